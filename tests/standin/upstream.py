"""Stand-in of an upstream: incarnations, slots, grants, fences, and faulty answers."""

import json
import random
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from socket import SHUT_RDWR

import gevent
from gevent.lock import BoundedSemaphore
from gevent.server import StreamServer

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.gateway.caller_server import CallerServer
from ploverhatch.gateway.messages import CallerReply, CallerRequest
from ploverhatch.routing.route_table import ClientLimits
from ploverhatch.transport.http_connection import HostPort

CRASHES_SERVER = b"ends-server"  # header field of a request that crashes the upstream that runs it
# Statuses with which a server may end a request that it ran. Callers take 408, 421, 429 and 503 for
# a promise that it did not run, which the server does not make without Not-Executed.
FAILURE_STATUSES = (408, 421, 429, 500, 503, 504)
WORK_HEADER = b"work-ms"  # header field with the service time of a request at speed 1


@dataclass
class Behaviour:
    """How the upstream handles requests."""

    work_s: float = 0.0
    speed: float = 1.0  # divides the service times that requests set
    status: int = 200
    refuse: int = 0  # number of next requests that are answered as not executed
    reset: int = 0  # number of next requests whose connection is closed without an answer
    wrong_id: bool = False
    sealed: bool = True
    hang: bool = False
    crash_after_s: float = 0.03  # time from the start of a crashing request to the crash
    leaving: bool = False  # announced in all answers
    backoff_s: float = 0.0  # nonzero: each request is rejected with this Retry-After
    limit: str = ""  # requests a second from all callers, announced in all answers; empty: none
    paused_until_s: float = 0.0  # elapsed seconds until which nothing is read, run or answered
    failing_share: float = 0.0  # of the requests that ran: answered with one of FAILURE_STATUSES


@dataclass
class Work:
    """One run of a request, in elapsed seconds; ``end_s`` is ``None`` while it runs."""

    request: CallerRequest
    start_s: float
    end_s: float | None = None


@dataclass
class Upstream:
    """One incarnation of an upstream; successive ones may have the same id."""

    server_id: str
    sharded: bool = False
    slots: int = 4
    behaviour: Behaviour = field(default_factory=Behaviour)
    ran: list = field(default_factory=list)
    arrived: list = field(default_factory=list)
    work: list = field(default_factory=list)
    granted_ranges: dict = field(default_factory=dict)  # (first, last) -> (fence, until)
    observed_fences: list = field(default_factory=list)  # (first, last, fence)
    grants: list = field(default_factory=list)
    rejected: list = field(default_factory=list)  # (request, elapsed s, backoff s)
    leaving_answers: list = field(default_factory=list)  # (request, elapsed s)
    limit_answers: list = field(default_factory=list)  # (request, elapsed s, announced limit)
    failed: list = field(default_factory=list)  # (request that ran, status of its failure)
    crashed_s: float | None = None  # elapsed seconds of the crash
    born: int = 0  # Unix milliseconds of its start; 0: not in its record
    port: int = 0  # 0: any free port
    incarnation: str = ""  # differs from other incarnations of the same id
    on_crash: Callable = lambda upstream: None  # called when a request crashes the upstream

    def __post_init__(self):
        self.incarnation = self.incarnation or self.server_id
        self._slots = BoundedSemaphore(self.slots)
        self._random = random.Random(self.incarnation)
        self._server = CallerServer(HostPort("127.0.0.1", self.port), self.handle, ClientLimits)
        self._server.start()
        self.address = HostPort("127.0.0.1", self._server.port)

    def close(self):
        self._server.stop()

    def crash(self):
        """Stop listening and reset all open connections."""
        if self.crashed_s is not None:
            return
        self.crashed_s = elapsed_ms() / 1000
        self.close()
        for connection in list(self._server._connections):
            with suppress(OSError):
                connection._socket.shutdown(SHUT_RDWR)

    def record(self, service, state="ready", zone="z1"):
        born = {"born": self.born} if self.born else {}
        return (
            {
                "address": f"{self.address.host}:{self.address.port}",
                "info": {"service": service, "version": "v1", "zone": zone, "slots": self.slots},
                **born,
            },
            {"state": state, "call_seq": 1, "cold_remaining_ms": 0},
        )

    def pause(self, duration_s):
        """Stand still for a time, as in a garbage collection or a suspension of the machine."""
        self.behaviour.paused_until_s = elapsed_ms() / 1000 + duration_s

    def _await_end_of_pause(self):
        while (left_s := self.behaviour.paused_until_s - elapsed_ms() / 1000) > 0:
            gevent.sleep(left_s)

    def handle(self, request):
        self._await_end_of_pause()
        reply = self._handle(request)
        self._await_end_of_pause()
        if self.behaviour.leaving:
            reply.headers.append((b"Server-Leaving", b"1"))
        if self.behaviour.limit:
            reply.headers.append((b"Server-Limit", self.behaviour.limit.encode()))
            self.limit_answers.append((request, elapsed_ms() / 1000, self.behaviour.limit))
        return reply

    def _handle(self, request):
        headers = {name.lower(): value for name, value in request.headers}
        if self.crashed_s is not None:
            raise ConnectionResetError
        self.arrived.append(request)
        expected = headers.get(b"expect-instance")
        if expected is not None and expected.decode() != self.server_id:
            return CallerReply(421, [(b"Instance-Id", self.server_id.encode())])
        if request.path == b"/ploverhatch/grant":
            return self._grant(json.loads(request.body))
        if request.path == b"/ploverhatch/release":
            return self._release(json.loads(request.body))
        return self._request(request, headers)

    def _grant(self, call):
        span = call["from"], call["target_version"]
        if any(_overlap(span, row) and row[2] > call["fence"] for row in self.observed_fences):
            return CallerReply(409)
        self.observed_fences.append((*span, call["fence"]))
        self.granted_ranges[span] = call["fence"], elapsed_ms() / 1000 + call["hold_ms"] / 1000
        self.grants.append(call)
        return CallerReply(200)

    def _release(self, call):
        span = call["from"], call["target_version"]
        self.observed_fences.append((*span, call["fence"]))
        self.granted_ranges = {
            known: row for known, row in self.granted_ranges.items() if not _overlap(span, known)
        }
        return CallerReply(200, [(b"Handover", b"h-1")])

    def _holds(self, key):
        now = elapsed_ms() / 1000
        return any(
            first <= key <= last and until > now
            for (first, last), (_, until) in self.granted_ranges.items()
        )

    def _request(self, request, headers):
        behaviour = self.behaviour
        base = [(b"Request-Id", headers.get(b"request-id", b""))]
        refusal = self._refusal(request, headers)
        if refusal is not None:
            status, *fields = refusal
            return CallerReply(status, [*base, (b"Not-Executed", b"1"), *fields])
        if behaviour.reset:
            behaviour.reset -= 1
            raise ConnectionResetError
        if behaviour.hang:
            gevent.sleep(60)
        with self._slots:
            self.ran.append(request)
            if CRASHES_SERVER in headers:
                self._crash_during_request()
            self._work(request, headers)
        if behaviour.wrong_id:
            base = [(b"Request-Id", b"another")]
        if behaviour.sealed:
            base.append((b"Response-Seal", b"seal"))
        if behaviour.leaving:
            self.leaving_answers.append((request, elapsed_ms() / 1000))
        return CallerReply(self._status(request), base, b"answer of " + self.incarnation.encode())

    def _status(self, request):
        if self._random.random() >= self.behaviour.failing_share:
            return self.behaviour.status
        status = self._random.choice(FAILURE_STATUSES)
        self.failed.append((request, status))
        return status

    def _refusal(self, request, headers):
        """Return status and header fields of a rejection, or ``None``."""
        behaviour = self.behaviour
        if self.sharded and not self._holds(int(headers[b"shard-key"])):
            return (421,)
        if behaviour.backoff_s:
            self.rejected.append((request, elapsed_ms() / 1000, behaviour.backoff_s))
            return 503, (b"Retry-After", b"%g" % behaviour.backoff_s)
        if behaviour.refuse:
            behaviour.refuse -= 1
            return (503,)
        return None

    def _crash_during_request(self):
        gevent.sleep(self.behaviour.crash_after_s)
        self.crash()
        self.on_crash(self)
        raise ConnectionResetError

    def _work(self, request, headers):
        """Sleep for the service time that the request or else the behaviour sets."""
        service_ms = headers.get(WORK_HEADER)
        work = Work(request, elapsed_ms() / 1000)
        self.work.append(work)
        try:
            gevent.sleep(self._service_s(service_ms))
        finally:
            work.end_s = elapsed_ms() / 1000

    def _service_s(self, service_ms):
        if service_ms is None:
            return self.behaviour.work_s
        return int(service_ms) / 1000 / self.behaviour.speed


def _overlap(span, other):
    return span[0] <= other[1] and other[0] <= span[1]


class RawUpstream:
    """Answers each request with the next of the bytes that a test provides.

    The connection is closed without an answer where an entry is ``None``.
    """

    def __init__(self, *answers, close=False):
        self.answers = list(answers)
        self.close_after = close
        self.received = []
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = HostPort("127.0.0.1", self._server.server_port)

    def close(self):
        self._server.stop(timeout=0)

    def _serve(self, sock, _address):
        while self.answers:
            data = sock.recv(65536)
            if not data:
                return
            self.received.append(data)
            answer = self.answers.pop(0)
            if answer is None:
                return
            sock.sendall(answer)
            if self.close_after:
                return
        gevent.sleep(30)


class RepeatingUpstream:
    """Sends some answers a second time, at the point where the next one is due.

    :param answer: returns the answer to a request, by its ``Request-Id`` and its number, which
        starts at 0.
    :param repeats: returns whether the answer to a request is sent a second time, by its number.
    """

    def __init__(self, answer, repeats):
        self.received = []  # ids of the requests
        self.copies = 0  # answers sent a second time
        self._answer, self._repeats = answer, repeats
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = HostPort("127.0.0.1", self._server.server_port)

    def _serve(self, sock, _address):
        copy = b""
        with suppress(OSError):
            while data := sock.recv(65536):
                if copy:
                    self.copies += 1
                    sock.sendall(copy)
                number, request_id = len(self.received), _request_id(data)
                self.received.append(request_id)
                answer = self._answer(request_id, number)
                sock.sendall(answer)
                copy = answer if self._repeats(number) else b""


def _request_id(data):
    fields = data.partition(b"\r\n\r\n")[0].split(b"\r\n")[1:]
    values = [field[12:] for field in fields if field.lower().startswith(b"request-id: ")]
    return values[0] if values else b""
