"""Stand-in of an upstream: slots, a short queue, keys held by grants, answers (PROTOCOL.md).

It is sound, except that a faulty one sends an answer a second time, now and then. Such an answer
too many arrives late, at the point where the next answer on its connection is due.
"""

import asyncio
import hashlib
import json
import random
import time

from review.standins.http1 import encode_answer, read_message

KEYS = 65_536


class Run:
    def __init__(self, request_id, key):
        self.request_id, self.key = request_id, key
        self.began_s, self.ended_s = time.monotonic(), None


class Upstream:
    """One incarnation of an upstream.

    :param note: called with a line for the record.
    :param extra_share: share of its answers that it sends a second time, drawn at random.
    :ivar twice: returns whether one particular answer is sent a second time, by its text.
    """

    def __init__(
        self,
        server_id,
        service,
        note,
        slots=2,
        queue=2,
        sharded=False,
        extra_share=0.0,
        seed=0,
        rate_limit=None,
    ):
        self.server_id, self.service, self.note = server_id, service, note
        self.slots, self.queue, self.sharded = slots, queue, sharded
        self.extra_share = extra_share
        self._random = random.Random(f"{server_id} {seed}")
        self.answers = self.extras = 0
        self.twice = lambda text: self._random.random() < self.extra_share
        self.fence = [0] * KEYS
        self.until_s = [0.0] * KEYS
        self.lease_s = [0.0] * KEYS  # when the latest lease runs out, released or not
        self.running = {}  # id(run) -> Run
        self.last_grant = ""
        self.waiting = 0
        self.runs = []
        self.on_grant = lambda upstream, first, last, fence: None
        self.rate_limit = rate_limit  # requests in a tenth of a second, or None
        self._taken = (0, 0)
        self._freed = asyncio.Condition()
        self.port = 0
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self):
        """End: nothing listens any more, and open connections are closed."""
        self._server.close()
        for writer in list(self._writers):
            writer.close()

    def record(self, state="ready", zone="z1"):
        info = {"service": self.service, "version": "v1", "zone": zone, "slots": self.slots}
        status = {"state": state, "call_seq": 1, "cold_remaining_ms": 0}
        return {"address": f"127.0.0.1:{self.port}", "info": info}, status

    # ---- connections ----

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        late = None  # an answer too many, sent where the next one is due
        try:
            while (request := await read_message(reader)) is not None:
                if late is not None:
                    self.extras += 1
                    self.note(f"{self.server_id} sends an answer too many: {late[1]}")
                    writer.write(late[0])
                    await writer.drain()
                    late = None
                # What is closed meanwhile is dropped.
                work = asyncio.ensure_future(self._answer(request))
                closed = asyncio.ensure_future(_closed(reader))
                await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    work.cancel()
                    await asyncio.gather(work, return_exceptions=True)
                    return
                closed.cancel()
                await asyncio.gather(closed, return_exceptions=True)
                answer, text = work.result()
                self.answers += 1
                writer.write(answer)
                await writer.drain()
                if self.twice(text):
                    late = answer, text
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request):
        method, target, _ = request.first.split(" ")
        expected = request.get("expect-instance")
        request_id = request.get("request-id")
        base = [("Request-Id", request_id)] if request_id else []
        if expected and expected != self.server_id:
            headers = [*base, ("Instance-Id", self.server_id), ("Not-Executed", "1")]
            return encode_answer(421, headers), "421 other instance"
        if target == "/ploverhatch/grant":
            return self._grant(json.loads(request.body))
        if target == "/ploverhatch/release":
            return await self._release(json.loads(request.body))
        if not request_id:
            return encode_answer(400, [("Not-Executed", "1")]), "400"
        return await self._request(request, request_id, base, target)

    # ---- keys ----

    def _grant(self, call):
        first, last, fence = call["from"], call["target_version"], call["fence"]
        if max(self.fence[first : last + 1]) > fence:
            return encode_answer(409), f"409 to grant {first}-{last} fence {fence}"
        self.on_grant(self, first, last, fence)
        until_s = time.monotonic() + call["hold_ms"] / 1000
        width = last - first + 1
        self.fence[first : last + 1] = [fence] * width
        self.until_s[first : last + 1] = [until_s] * width
        self.lease_s[first : last + 1] = [until_s] * width
        self.last_grant = f"200 to grant {first}-{last} fence {fence}"
        return encode_answer(200), self.last_grant

    async def _release(self, call):
        first, last, fence = call["from"], call["target_version"], call["fence"]
        self.note(f"{self.server_id} is asked to release {first}-{last} at {fence}")
        self.fence[first : last + 1] = [max(known, fence) for known in self.fence[first : last + 1]]
        self.until_s[first : last + 1] = [0.0] * (last - first + 1)
        while any(first <= run.key <= last for run in self.running.values()):
            async with self._freed:
                try:
                    await asyncio.wait_for(self._freed.wait(), 0.05)
                except (TimeoutError, asyncio.TimeoutError):
                    pass
        self.note(f"{self.server_id} has released {first}-{last} at {fence}")
        handover = [("Handover", hashlib.sha1(f"{first}{last}{fence}".encode()).hexdigest()[:16])]
        return encode_answer(200, handover), f"200 to release {first}-{last} fence {fence}"

    def holds(self, key):
        return self.until_s[key] > time.monotonic()

    # ---- requests ----

    def _full(self):
        if self.rate_limit is None:
            return False
        tenth = int(time.monotonic() * 10)
        count = self._taken[1] if self._taken[0] == tenth else 0
        if count >= self.rate_limit:
            return True
        self._taken = tenth, count + 1
        return False

    async def _request(self, request, request_id, base, target):
        key = int(request.get("shard-key", "-1"))
        refused = [*base, ("Not-Executed", "1")]
        if self.sharded and not self.holds(key):
            return encode_answer(421, refused), f"421 to {request_id}"
        if self._full():
            return encode_answer(429, refused), f"429 to {request_id}"
        if len(self.running) >= self.slots:
            if self.waiting >= self.queue:
                return encode_answer(503, refused), f"503 to {request_id}"
            self.waiting += 1
            deadline_s = time.monotonic() + int(request.get("request-deadline-ms", "2000")) / 1000
            try:
                while len(self.running) >= self.slots:
                    if time.monotonic() > deadline_s:
                        return encode_answer(503, refused), f"503 to {request_id}"
                    async with self._freed:
                        try:
                            await asyncio.wait_for(self._freed.wait(), 0.02)
                        except (TimeoutError, asyncio.TimeoutError):
                            pass
            finally:
                self.waiting -= 1
            if self.sharded and not self.holds(key):
                return encode_answer(421, refused), f"421 to {request_id}"
        run = Run(request_id, key)
        self.runs.append(run)
        self.running[id(run)] = run
        self.note(f"{self.server_id} runs {request_id} key {key}")
        try:
            await asyncio.sleep(int(request.get("work-ms", "100")) / 1000)
        finally:
            run.ended_s = time.monotonic()
            del self.running[id(run)]
            async with self._freed:
                self._freed.notify_all()
        body = f"answer to {request_id}".encode()
        seal = hashlib.sha1(body).hexdigest()[:12]
        return encode_answer(200, [*base, ("Response-Seal", seal)], body), f"200 to {request_id}"


async def _closed(reader):
    """Return once the other end has closed the connection; bytes that arrived stay unread."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.01)
