"""Stand-in of the platform's metadata store: pages, watches, conditions, faults."""

import json
from copy import deepcopy
from dataclasses import dataclass, field
from urllib.parse import parse_qs, unquote

import gevent
from gevent.event import Event

from ploverhatch.gateway.caller_server import CallerServer
from ploverhatch.gateway.messages import CallerReply
from ploverhatch.routing.route_table import ClientLimits
from ploverhatch.transport.http_connection import HostPort

PREFIX = "/ploverhatch/objects/"


@dataclass
class Faults:
    """Faults that are injected now."""

    refuse: int = 0  # status of every answer; 0: no refusal
    silent: bool = False
    lose_answers: int = 0  # number of next writes whose answers are lost
    lose_late_s: float = 0.0  # delay until those writes are applied
    delay_s: float = 0.0


@dataclass
class MetadataStore:
    """Objects by kind and name, with a history of changes."""

    page: int = 50
    objects: dict = field(default_factory=dict)  # (kind, name) -> object
    revision: int = 0
    history: list = field(default_factory=list)  # (revision, kind, object, gone)
    compacted: int = 0
    faults: Faults = field(default_factory=Faults)
    calls: list = field(default_factory=list)
    changed: Event = field(default_factory=Event)
    era: int = 0  # increases with each restore from a copy
    watches_ended: int = 0  # number of times that all waiting watches were ended

    # ---- direct use by tests ----------------------------------------------------------

    def put(self, kind, name, spec, status=None):
        self.revision += 1
        known = self.objects.get((kind, name))
        made = known["metadata"]["made"] if known else self.revision
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "made": made,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": status,
        }
        self.objects[kind, name] = item
        self._note(kind, item, False)
        return item

    def remove(self, kind, name):
        item = self.objects.pop((kind, name))
        self.revision += 1
        self._note(kind, item, True)

    def compact(self):
        self.compacted = self.revision
        self.history.clear()
        self.wake()

    def copy(self):
        """Return a copy for a later :meth:`restore`."""
        return deepcopy(self.objects), self.revision

    def restore(self, copy, watches_end=True):
        """Restore a copy. Later changes are lost, and their revisions are used again.

        :param watches_end: whether waiting watches are answered 410 at once; otherwise they go on.
        """
        objects, self.revision = copy
        self.objects = deepcopy(objects)
        self.history = [row for row in self.history if row[0] <= self.revision]
        self.era += 1
        if watches_end:
            self.watches_ended += 1
            self.wake()

    def wake(self):
        event, self.changed = self.changed, Event()
        event.set()

    def _note(self, kind, item, gone):
        self.history.append((self.revision, kind, item, gone))
        self.wake()

    # ---- the protocol -----------------------------------------------------------------

    def handle(self, request):
        path, _, query_text = request.target.decode().partition("?")
        query = {name: values[0] for name, values in parse_qs(query_text).items()}
        kind, _, name = path.removeprefix(PREFIX).partition("/")
        self.calls.append((request.method.decode(), kind, unquote(name), query))
        if self.faults.delay_s:
            gevent.sleep(self.faults.delay_s)
        if self.faults.silent:
            gevent.sleep(60)
        if self.faults.refuse:
            return CallerReply(self.faults.refuse)
        method = request.method
        if method == b"GET":
            return self._read(kind, unquote(name), query)
        body = json.loads(request.body) if request.body else {}
        return self._change(method, kind, unquote(name), body)

    def _read(self, kind, name, query):
        if "watch" in query:
            return self._watch(kind, int(query["watch"]), int(query["wait_ms"]) / 1000)
        if name:
            item = self.objects.get((kind, name))
            return _json(200, item) if item else CallerReply(404)
        names = sorted(key[1] for key in self.objects if key[0] == kind)
        names = [known for known in names if known > query.get("after", "")]
        items = [self.objects[kind, known] for known in names[: self.page]]
        page = {"items": items, "more": len(names) > self.page, "at": self.revision}
        return _json(200, page)

    def _watch(self, kind, after, wait_s):
        if after > self.revision:
            return CallerReply(410)
        ended = self.watches_ended
        with gevent.Timeout(wait_s, False):
            while True:
                if after < self.compacted or ended != self.watches_ended:
                    return CallerReply(410)
                changes = [row for row in self.history if row[0] > after and row[1] == kind]
                if changes:
                    break
                self.changed.wait()
        changes = [row for row in self.history if row[0] > after and row[1] == kind]
        events = [{"object": item, "gone": gone} for _, _, item, gone in changes]
        return _json(200, {"events": events, "at": self.revision})

    def _change(self, method, kind, name, body):
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            if self.faults.lose_late_s:
                gevent.spawn_later(self.faults.lose_late_s, self._apply, method, kind, name, body)
            else:
                self._apply(method, kind, name, body)
            gevent.sleep(60)
        return self._apply(method, kind, name, body)

    def _apply(self, method, kind, name, body):
        metadata = body.get("metadata", {})
        name = name or metadata["name"]
        known = self.objects.get((kind, name))
        if method == b"POST":
            if known:
                return _json(409, known)
            return _json(201, self.put(kind, name, body.get("spec")))
        if known is None:
            return CallerReply(404)
        if metadata.get("revision", known["metadata"]["revision"]) != known["metadata"]["revision"]:
            return _json(409, known)
        return _json(200, self.put(kind, name, body.get("spec"), known["status"]))


def _json(status, document):
    body = json.dumps(document).encode()
    return CallerReply(status, [(b"Content-Type", b"application/json")], body)


class StoreServer:
    """An HTTP server for a store, on a free port."""

    def __init__(self):
        self.store = MetadataStore()
        self.rewrite = bytes  # applied to the body of each answer; ``bytes`` changes nothing
        self._server = CallerServer(HostPort("127.0.0.1", 0), self._handle, ClientLimits)
        self._server.start()
        self.address = HostPort("127.0.0.1", self._server.port)

    def _handle(self, request):
        reply = self.store.handle(request)
        reply.headers.append((b"Store-Era", b"%d" % self.store.era))
        reply.body = self.rewrite(reply.body)
        return reply

    def close(self):
        self._server.stop()
