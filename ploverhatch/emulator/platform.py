"""Emulator of the platform: object store with watches, machine list, faults.

It is run by ``ploverhatch emulator platform``. Users and tests set faults through ``/v1/faults``.
"""

import re
from collections import deque
from dataclasses import asdict, dataclass
from typing import Any
from urllib.parse import parse_qs, unquote

import gevent
from gevent.event import Event

from ploverhatch.common.problem import HttpReply, json_reply
from ploverhatch.emulator.service import Service
from ploverhatch.transport.http_server import AbortConnectionError
from ploverhatch.transport.wsgi import Environ, read_json, request_target

HISTORY_CHANGES = 1000
DEFAULT_MAX_READERS = 16


@dataclass
class PlatformFaults:
    """Faults that are injected now, with the field names of ``/v1/faults``."""

    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0  # number of next changes that take effect but aren't answered
    machine_lag_ms: int = 0
    max_readers: int = DEFAULT_MAX_READERS


class ObjectStore:
    """Objects with compare-and-set and a bounded history of changes."""

    def __init__(self) -> None:
        self.revision = 0
        self.items: dict[tuple[str, str], dict[str, Any]] = {}
        self.history: deque[dict[str, Any]] = deque(maxlen=HISTORY_CHANGES)
        self.changed = Event()

    def change(
        self, kind: str, name: str, expected: int, document: dict[str, Any], deleted: bool
    ) -> dict[str, Any] | None:
        """Write or delete an object and return it; return ``None`` on a version conflict."""
        current = self.items.get((kind, name))
        if (current["version"] if current else 0) != expected:
            return None
        self.revision += 1
        item = {
            "kind": kind,
            "name": name,
            "version": self.revision,
            "body": document.get("body"),
            "operation": document.get("operation", ""),
            "deleted": deleted,
        }
        if deleted:
            self.items.pop((kind, name), None)
        else:
            self.items[(kind, name)] = item
        self.history.append(item)
        self.changed.set()
        self.changed.clear()
        return item

    def since(self, after: int) -> list[dict[str, Any]] | None:
        """Return the changes after a revision; ``None`` if some of them were compacted."""
        if after >= self.revision:
            return []
        if not self.history or self.history[0]["version"] > after + 1:
            return None
        return [item for item in self.history if item["version"] > after]


class PlatformEmulator(Service):
    """HTTP service around an :class:`ObjectStore` and a machine list."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.store = ObjectStore()
        self.faults = PlatformFaults()
        self.readers = 0
        self._machines: dict[str, dict[str, Any]] = {}
        self._visible_machines: dict[str, dict[str, Any]] = {}
        super().__init__(address, self._handle)

    @property
    def url(self) -> str:
        """Base URL of the service."""
        return f"http://{self.server.server_host}:{self.server.port}"

    def set_machine(self, name: str, host: str, port: int, state: str) -> None:
        """Set a row of the machine list; readers see it after the lag."""
        row = {"name": name, "host": host, "port": port, "state": state}
        self._machines[name] = row
        gevent.spawn_later(
            self.faults.machine_lag_ms / 1000, self._visible_machines.__setitem__, name, row
        )
        if not self.faults.machine_lag_ms:
            self._visible_machines[name] = row

    def remove_machine(self, name: str) -> None:
        """Remove a machine from the list; readers see it after the lag."""
        self._machines.pop(name, None)
        gevent.spawn_later(
            self.faults.machine_lag_ms / 1000, self._visible_machines.pop, name, None
        )

    def _handle(self, environ: Environ) -> HttpReply:
        path, _ = request_target(environ)
        method = environ["REQUEST_METHOD"]
        if path.startswith("/v1/faults"):
            return self._handle_faults(path, environ)
        if self.faults.delay_ms:
            gevent.sleep(self.faults.delay_ms / 1000)
        if self.faults.down:
            return json_reply({"error": "down"}, 503)
        if path == "/v1/objects":
            items = list(self.store.items.values())
            return json_reply({"revision": self.store.revision, "items": items})
        if path == "/v1/watch":
            return self._watch(environ)
        if path.startswith("/v1/machines"):
            return self._handle_machines(path, method, environ)
        found = re.fullmatch(r"/v1/objects/([^/]+)/([^/]+)", path)
        if found is None:
            return json_reply({"error": "no such path"}, 404)
        return self._handle_object(method, unquote(found[1]), unquote(found[2]), environ)

    def _handle_faults(self, path: str, environ: Environ) -> HttpReply:
        if path.endswith("/compact"):
            self.store.history.clear()
            return json_reply({})
        for name, value in read_json(environ).items():
            setattr(self.faults, name, value)
        return json_reply(asdict(self.faults))

    def _handle_machines(self, path: str, method: str, environ: Environ) -> HttpReply:
        if method == "GET":
            return json_reply({"machines": list(self._visible_machines.values())})
        name = path.rsplit("/", 1)[-1]
        if method == "DELETE":
            self.remove_machine(name)
        else:
            row = read_json(environ)
            self.set_machine(name, row["host"], int(row["port"]), row.get("state", "live"))
        return json_reply({})

    def _handle_object(self, method: str, kind: str, name: str, environ: Environ) -> HttpReply:
        current = self.store.items.get((kind, name))
        if method == "GET":
            if current is None:
                return json_reply({"error": "absent"}, 404)
            return json_reply(current, extra=(("ETag", f'"{current["version"]}"'),))
        expected = int(environ.get("HTTP_IF_MATCH", '"0"').strip('"'))
        deleted = method == "DELETE"
        item = self.store.change(kind, name, expected, read_json(environ), deleted)
        if item is None:
            return json_reply({"current": current}, 412)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise AbortConnectionError
        return json_reply({**item, "revision": self.store.revision})

    def _watch(self, environ: Environ) -> HttpReply:
        query = parse_qs(environ.get("QUERY_STRING", ""))
        after, wait_ms = int(query["after"][0]), int(query["wait_ms"][0])
        if self.readers >= self.faults.max_readers:
            return json_reply({"error": "too many readers"}, 429)
        self.readers += 1
        try:
            if self.store.revision <= after:
                self.store.changed.wait(wait_ms / 1000)
            changes = self.store.since(after)
        finally:
            self.readers -= 1
        if self.faults.down:
            return json_reply({"error": "down"}, 503)
        if changes is None:
            return json_reply({"error": "compacted"}, 410)
        return json_reply({"revision": self.store.revision, "items": changes})
