"""A stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import copy
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

from review.parts.http import Message, encode, read_message

ANSWER_S = 0.004
HISTORY_S = 20.0
PAGE = 500
SILENCE = asyncio.Event()  # never set: nothing further comes on such a connection


class Store:
    """Objects by kind and name, one counter of revisions, watches; nothing is ever lost."""

    def __init__(self) -> None:
        self.revision = 0
        self.kinds: dict[str, dict[str, dict]] = {}
        self.events: list[tuple[float, int, str, dict, bool]] = []
        self.dropped = 0  # events up to this revision are forgotten
        self.changed = asyncio.Event()
        # When the last call of a kind arrived: by machine, method or "WATCH", and kind of objects.
        self.calls: dict[tuple[str, str, str], float] = {}
        self.cut: set[str] = set()  # machines that are partitioned from the store, silently
        # Called before a write of a machine is carried out; true: it isn't, and gets no answer.
        self.intercept = lambda machine, method, path, document: False

    async def start(self, machine: str = "") -> int:
        """Listen at one more port, for one machine; return the port."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve(machine, reader, writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        return server.sockets[0].getsockname()[1]

    # ---- for the operator and the upstreams, whose calls are made in this process ----------

    def put(self, kind: str, name: str, spec: object = None, **rest: object) -> int:
        """Create or replace an object; return its revision, the acknowledgement."""
        known = self.kinds.setdefault(kind, {}).get(name)
        item = {
            "metadata": {
                "name": name,
                "revision": 0,
                "made": known["metadata"]["made"] if known else self.revision + 1,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": rest.get("status"),
        }
        same = known and known["spec"] == spec and known["status"] == item["status"]
        return known["metadata"]["revision"] if same else self._change(kind, name, item, False)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self.kinds.get(kind, {}).pop(name, None)
        if item is not None:
            self._change(kind, name, item, True)

    def _change(self, kind: str, name: str, item: dict, gone: bool) -> int:
        self.revision += 1
        if not gone:
            item["metadata"]["revision"] = self.revision
            self.kinds.setdefault(kind, {})[name] = item
        now = time.monotonic()
        self.events.append((now, self.revision, kind, copy.deepcopy(item), gone))
        while self.events and now - self.events[0][0] > HISTORY_S:
            self.dropped = self.events.pop(0)[1]
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    # ---- on the wire ------------------------------------------------------------------------

    async def _serve(
        self, machine: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                self._note(machine, request)
                await asyncio.sleep(ANSWER_S)
                if machine in self.cut:
                    await SILENCE.wait()
                if request.start[0] != "GET" and self.intercept(
                    machine, request.start[0], request.start[1], json.loads(request.body or b"{}")
                ):
                    await SILENCE.wait()
                status, document = await self.answer(request)
                if machine in self.cut:
                    await SILENCE.wait()
                body = b"" if document is None else json.dumps(document).encode()
                writer.write(
                    encode(f"HTTP/1.1 {status} X", {"Content-Type": "application/json"}, body)
                )
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    def _note(self, machine: str, request: Message) -> None:
        target = urlsplit(request.start[1])
        call = "WATCH" if "watch=" in target.query else request.start[0]
        self.calls[machine, call, target.path.split("/")[3]] = time.monotonic()

    async def answer(self, request: Message) -> tuple[int, object]:
        method, target = request.start[0], urlsplit(request.start[1])
        query = {name: values[0] for name, values in parse_qs(target.query).items()}
        parts = [unquote(part) for part in target.path.split("/")[3:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        items = self.kinds.setdefault(kind, {})
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query.get("wait_ms", "0")))
        if method == "GET" and not name:
            names = sorted(known for known in items if known > query.get("after", ""))
            page = [items[known] for known in names[:PAGE]]
            return 200, {"items": page, "more": len(names) > PAGE, "at": self.revision}
        if method == "GET":
            return (200, items[name]) if name in items else (404, None)
        document = json.loads(request.body or b"{}")
        metadata = document.get("metadata", {})
        if method == "POST":
            name = metadata["name"]
            if name in items:
                return 409, items[name]
            self.put(kind, name, document.get("spec"))
            return 201, items[name]
        if name not in items:
            return 404, None
        wanted = metadata.get("revision", query.get("revision"))
        if wanted is not None and int(wanted) != items[name]["metadata"]["revision"]:
            return 409, items[name]
        if method == "PUT" and len(parts) == 2:
            self.put(kind, name, document.get("spec"), status=items[name]["status"])
            return 200, items[name]
        if method == "DELETE":
            item = items[name]
            self.remove(kind, name)
            return 200, item
        return 400, None

    async def _watch(self, kind: str, after: int, wait_ms: int) -> tuple[int, object]:
        end = time.monotonic() + wait_ms / 1000
        while True:
            if after < self.dropped:
                return 410, None
            found = [
                {"object": item, "gone": gone}
                for _, revision, known, item, gone in self.events
                if known == kind and revision > after
            ]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass
