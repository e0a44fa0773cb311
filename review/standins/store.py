"""Stand-in of the platform's metadata store: objects, conditions and watches (PROTOCOL.md)."""

import asyncio
import json
from urllib.parse import parse_qs, unquote

from review.standins.http1 import encode_answer, read_message

PREFIX = "/ploverhatch/objects/"
PAGE = 500


class Store:
    def __init__(self):
        self.objects = {}  # (kind, name) -> object
        self.revision = 1
        self.history = []  # (revision, kind, object, gone)
        self.changed = asyncio.Event()
        self.port = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    # ---- for the platform and the upstreams ----

    def put(self, kind, name, spec, status=None):
        self.revision += 1
        known = self.objects.get((kind, name))
        made = known["metadata"]["made"] if known else self.revision
        metadata = {
            "name": name,
            "revision": self.revision,
            "made": made,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": status}
        self.objects[kind, name] = item
        self._note(kind, item, False)
        return item

    def remove(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            metadata = {**item["metadata"], "revision": self.revision}
            self._note(kind, {**item, "metadata": metadata}, True)

    def _note(self, kind, item, gone):
        self.history.append((self.revision, kind, item, gone))
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    # ---- the protocol ----

    async def _serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                status, document = await self._answer(request)
                body = b"" if document is None else json.dumps(document).encode()
                writer.write(encode_answer(status, [("Content-Type", "application/json")], body))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _answer(self, request):
        method, target, _ = request.first.split(" ")
        path, _, text = target.partition("?")
        query = {name: values[0] for name, values in parse_qs(text).items()}
        kind, _, name = path.removeprefix(PREFIX).partition("/")
        name = unquote(name)
        if method == "GET":
            if "watch" in query:
                return await self._watch(kind, int(query["watch"]), int(query["wait_ms"]) / 1000)
            if name:
                item = self.objects.get((kind, name))
                return (200, item) if item else (404, None)
            names = sorted(key[1] for key in self.objects if key[0] == kind)
            names = [known for known in names if known > query.get("after", "")]
            items = [self.objects[kind, known] for known in names[:PAGE]]
            return 200, {"items": items, "more": len(names) > PAGE, "at": self.revision}
        return self._change(method, kind, name, json.loads(request.body or b"{}"), query)

    async def _watch(self, kind, after, wait_s):
        end = asyncio.get_running_loop().time() + wait_s
        while True:
            rows = [row for row in self.history if row[0] > after and row[1] == kind]
            left = end - asyncio.get_running_loop().time()
            if rows or left <= 0:
                events = [{"object": item, "gone": gone} for _, _, item, gone in rows]
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except (TimeoutError, asyncio.TimeoutError):
                pass

    def _change(self, method, kind, name, body, query):
        metadata = body.get("metadata", {})
        is_status = name.endswith("/status")
        name = name.removesuffix("/status") or metadata["name"]
        known = self.objects.get((kind, name))
        if method == "POST":
            return (409, known) if known else (201, self.put(kind, name, body.get("spec")))
        if known is None:
            return 404, None
        now = known["metadata"]["revision"]
        if int(metadata.get("revision", query.get("revision", now))) != now:
            return 409, known
        if method == "DELETE":
            self.remove(kind, name)
            return 200, known
        if is_status:
            return 200, self.put(kind, name, known["spec"], body.get("status"))
        if known["spec"] == body.get("spec"):
            return 200, known
        return 200, self.put(kind, name, body.get("spec"), known["status"])
