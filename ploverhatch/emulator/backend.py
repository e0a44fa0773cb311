"""Emulator of a back end: grants, slots, drain, faults and an execution log.

It is run by ``ploverhatch emulator backend``. Checkers judge by the execution log, which shows
which process executed which request, when, and under which token.
"""

import json
import secrets
from dataclasses import asdict, dataclass
from typing import Any

import gevent
from gevent.lock import BoundedSemaphore

from ploverhatch.backend import http_backend
from ploverhatch.backend.interface import Refusal
from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.problem import HttpReply, json_reply
from ploverhatch.emulator.service import Service
from ploverhatch.ownership.grant_book import GrantBook, Verdict
from ploverhatch.ownership.messages import Grant, SyncRequest
from ploverhatch.transport.wsgi import Environ, read_body, read_json

MAX_BODY_BYTES = 4 << 20
MAX_CANCELLED = 10_000
_REFUSAL_STATUS = 503


@dataclass
class BackendBehaviour:
    """Speed, limits and faults of an emulated back end.

    The field names are those of the ``behaviour`` control call.
    """

    slots: int = 2
    queue: int = 16
    service_ms: float = 2.0
    cold_ms: float = 0.0  # extra service time, which falls to zero over cold_span_ms
    cold_span_ms: float = 5000.0
    probe_ms: float = 0.0
    healthy: bool = True  # reported by the probe, whether correct or not
    reported_load: float = -1.0  # negative: the actual load is reported
    draining: bool = False
    refuse: bool = False
    answer_status: int = 200  # of the requests that ran
    open: bool = False  # whether requests without a token run, for baselines


@dataclass(frozen=True)
class Execution:
    """One executed request; times are on the host's elapsed clock, in ms."""

    server: str
    boot_id: str
    request_id: str
    idempotency_key: str
    group: str
    key_hash: int
    token: int
    started_ms: float
    ended_ms: float


def clock_ms() -> float:
    """Return the time on the host's elapsed clock, in ms."""
    return elapsed_ms()


class BackendEmulator(Service):
    """An emulated back end; one process may run several."""

    def __init__(
        self, name: str, address: tuple[str, int], behaviour: BackendBehaviour | None = None
    ) -> None:
        self.name = name
        self.behaviour = behaviour or BackendBehaviour()
        self.book = GrantBook(boot_id=secrets.token_hex(4))
        self.executions: list[Execution] = []
        self._started_ms = clock_ms()
        self._slots = BoundedSemaphore(self.behaviour.slots)
        self._waiting = 0
        self._running: set[str] = set()
        self._cancelled: dict[str, None] = {}
        super().__init__(address, self._handle)

    def _handle(self, environ: Environ) -> HttpReply:
        path = environ["PATH_INFO"]
        if path.startswith("/control/"):
            return self._handle_control(path.removeprefix("/control/"), environ)
        return self._handle_request(environ)

    def _handle_control(self, verb: str, environ: Environ) -> HttpReply:
        if verb == "executions":
            return json_reply([asdict(item) for item in self.executions])
        document = read_json(environ)
        if verb == "sync":
            return json_reply(self._sync(document))
        if verb == "probe":
            gevent.sleep(self.behaviour.probe_ms / 1000)
            return json_reply(
                {
                    "healthy": self.behaviour.healthy,
                    "load": self._load(),
                    "clock_ms": clock_ms(),
                }
            )
        if verb == "cancel":
            return json_reply({"never_ran": self._cancel(document["request_id"])})
        if verb == "behaviour":
            for name, value in document.items():
                setattr(self.behaviour, name, value)
            return json_reply(asdict(self.behaviour))
        return json_reply({"error": "no such verb"}, 404)

    def _load(self) -> float:
        if self.behaviour.reported_load >= 0:
            return self.behaviour.reported_load
        return len(self._running) + self._waiting

    def _sync(self, document: dict[str, Any]) -> dict[str, Any]:
        self.book.draining = self.behaviour.draining
        request = SyncRequest(
            epoch=document["epoch"],
            term=document["term"],
            sequence=document["sequence"],
            boot_id=document["boot_id"],
            expires_clock_ms=document["expires_clock_ms"],
            full=document["full"],
            grants=tuple(
                Grant(http_backend.range_from_json(row), int(row[3])) for row in document["grants"]
            ),
            revokes=tuple(http_backend.range_from_json(row) for row in document["revokes"]),
        )
        reply = self.book.sync(request, clock_ms())
        return {
            "accepted": reply.accepted,
            "boot_id": reply.boot_id,
            "clock_ms": reply.clock_ms,
            "busy": [http_backend.range_to_json(span) for span in reply.busy],
            "draining": reply.draining,
        }

    def _cancel(self, request_id: str) -> bool:
        if request_id in self._running:
            return False
        if any(item.request_id == request_id for item in self.executions):
            return False
        self._cancelled[request_id] = None
        while len(self._cancelled) > MAX_CANCELLED:
            del self._cancelled[next(iter(self._cancelled))]
        return True

    def _handle_request(self, environ: Environ) -> HttpReply:
        body = read_body(environ, MAX_BODY_BYTES)
        if self.behaviour.refuse:
            return self._refuse(Refusal.BUSY)
        if self._slots.locked() and self._waiting >= self.behaviour.queue:
            return self._refuse(Refusal.BUSY)
        budget_ms = float(environ.get("HTTP_REQUEST_BUDGET_MS", "5000"))
        self._waiting += 1
        admitted = self._slots.acquire(timeout=budget_ms / 1000)
        self._waiting -= 1
        if not admitted:
            return self._refuse(Refusal.TOO_LATE)
        try:
            return self._execute(environ, body)
        finally:
            self._slots.release()

    def _execute(self, environ: Environ, body: bytes) -> HttpReply:
        """Check the token, then start the request, without a switch of greenlets in between."""
        request_id = environ.get("HTTP_REQUEST_ID", "")
        group = environ.get("HTTP_SLICE_GROUP", "")
        key_hash = int(environ.get("HTTP_SLICE_KEY_HASH", "0"))
        token = int(environ.get("HTTP_SLICE_TOKEN", "0"))
        not_after_ms = float(environ.get("HTTP_SLICE_NOT_AFTER", "0")) or float("inf")
        if request_id in self._cancelled:
            return self._refuse(Refusal.CANCELLED)
        started_ms = clock_ms()
        verdict = self.book.check_start(group, key_hash, token, started_ms, not_after_ms)
        if self.behaviour.open and not token:
            verdict = Verdict.EXECUTE
        if verdict is not Verdict.EXECUTE:
            return self._refuse(Refusal(verdict.value))
        self._running.add(request_id)
        self.book.begin(group, key_hash)
        try:
            gevent.sleep(self._service_ms() / 1000)
        finally:
            self.book.end(group, key_hash)
            self._running.discard(request_id)
            self.executions.append(
                Execution(
                    server=self.name,
                    boot_id=self.book.boot_id,
                    request_id=request_id,
                    idempotency_key=environ.get("HTTP_IDEMPOTENCY_KEY", ""),
                    group=group,
                    key_hash=key_hash,
                    token=token,
                    started_ms=started_ms,
                    ended_ms=clock_ms(),
                )
            )
        return self._answer(environ, body)

    def _service_ms(self) -> float:
        age_ms = clock_ms() - self._started_ms
        cold = max(0.0, 1 - age_ms / self.behaviour.cold_span_ms)
        return self.behaviour.service_ms + self.behaviour.cold_ms * cold

    def _answer(self, environ: Environ, body: bytes) -> HttpReply:
        document = {
            "server": self.name,
            "method": environ["REQUEST_METHOD"],
            "path": environ["PATH_INFO"],
            "body_bytes": len(body),
            "echo": environ.get("HTTP_ECHO", ""),
        }
        payload = json.dumps(document).encode()
        headers = (
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(payload))),
            (http_backend.HEADER_CLOCK, str(clock_ms())),
        )
        return HttpReply(self.behaviour.answer_status, headers, payload)

    def _refuse(self, refusal: Refusal) -> HttpReply:
        headers = (
            ("Content-Length", "0"),
            (http_backend.HEADER_REFUSAL, refusal.value),
            (http_backend.HEADER_CLOCK, str(clock_ms())),
        )
        return HttpReply(_REFUSAL_STATUS, headers, b"")
