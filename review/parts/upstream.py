"""A stand-in of an upstream, as PROTOCOL.md describes it."""

import asyncio
import itertools
import json
import secrets
import time

from review.parts.http import encode, read_message
from review.parts.store import Store

KEYS = range(0, 65_536, 64)  # the keys that the clients use and the judge looks at


class Upstream:
    """One incarnation of an upstream. It keeps itself in the store and runs requests.

    :param runs: receives one entry for each request that it runs.
    """

    def __init__(
        self,
        store: Store,
        runs: list[dict],
        service: str,
        zone: str,
        slots: int = 4,
        work_s: float = 0.02,
        sharded: bool = False,
    ) -> None:
        self.id = "i-" + secrets.token_hex(5)
        self.service, self.zone, self.slots = service, zone, slots
        self.work_s = work_s
        self.sharded = sharded
        self.port = 0
        self.address = ""  # as registered; a proxy in front, where there is one
        self.state = "ready"
        self.answers_requests = True
        self._store = store
        self._runs = runs
        self._free = asyncio.Semaphore(slots)
        self._seal = itertools.count(1)
        self.leases: dict[int, tuple[int, float]] = {}  # key: fence, end
        self._seen: dict[int, int] = {}  # key: highest fence
        self.grants: list[dict] = []

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def register(self, port: int = 0) -> None:
        """Write the entry in the store."""
        self.address = f"127.0.0.1:{port or self.port}"
        self.beat()

    def beat(self) -> None:
        """Write the entry as it is now."""
        info = {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots}
        status = {"state": self.state, "call_seq": 1, "cold_remaining_ms": 0}
        spec = {"address": self.address, "info": info}
        self._store.put("servers", self.id, spec, status=status)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                status, fields, body = await self._answer(request)
                writer.write(encode(f"HTTP/1.1 {status} X", fields, body))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _answer(self, request) -> tuple[int, dict[str, str], bytes]:
        method, target, fields = request.start[0], request.start[1], request.fields
        if fields.get("expect-instance", self.id) != self.id:
            return 421, {"Instance-Id": self.id}, b""
        if target == "/ploverhatch/grant":
            return self._grant(json.loads(request.body))
        if target == "/ploverhatch/release":
            return self._release(json.loads(request.body))
        name = fields.get("request-id", "")
        if self.sharded:
            lease = self.leases.get(int(fields.get("shard-key", "-1")))
            if lease is None or lease[1] < time.monotonic():
                return 421, {"Request-Id": name, "Not-Executed": "1"}, b""
        async with self._free:
            began = time.monotonic()
            self._runs.append(
                {
                    "t": began,
                    "id": name,
                    "method": method,
                    "path": target,
                    "body": len(request.body),
                    "service": self.service,
                    "by": self.id,
                    "key": int(fields.get("shard-key", "-1")),
                }
            )
            await asyncio.sleep(self.work_s)
        seal = f"{self.id}.{next(self._seal)}"
        return 200, {"Request-Id": name, "Response-Seal": seal}, f"{self.service} {name}".encode()

    def _grant(self, call: dict) -> tuple[int, dict[str, str], bytes]:
        keys = _used(call)
        if any(self._seen.get(key, -1) > call["fence"] for key in keys):
            return 409, {}, b""
        end = time.monotonic() + call["hold_ms"] / 1000
        for key in keys:
            self._seen[key] = call["fence"]
            self.leases[key] = call["fence"], end
        self.grants.append({"t": time.monotonic(), **call})
        return 200, {}, b""

    def _release(self, call: dict) -> tuple[int, dict[str, str], bytes]:
        for key in _used(call):
            self._seen[key] = max(self._seen.get(key, -1), call["fence"])
            self.leases.pop(key, None)
        return 200, {"Handover": secrets.token_hex(8)}, b""


def _used(call: dict) -> range:
    """Return those of the keys of a call that the clients use."""
    step = KEYS.step
    return range(-(-call["from"] // step) * step, call["target_version"] + 1, step)
