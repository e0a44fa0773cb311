"""A planned stop (graceful shutdown) answers every request that it accepted.

Guards against requests that end with a closed connection because new connections keep arriving
while a process stops. The platform does this where fewer than half of a zone's machines are
ready: it then sends new connections to all of them, also to those that are stopping. The
process waited until it had no connection, kept accepting new ones, and ended at nine tenths
of its grace time with requests under way. So a stop must bound which requests it still accepts,
not only how long it waits for them.

Also guards against closing a new connection as idle before its first request has arrived.
"""

import signal
from collections import Counter

import gevent
import pytest
from gevent import socket

from ploverhatch.common.clock import elapsed_ms
from tests.standin.site import GRACE_S, PLAIN, StandinSite, configuration

CALLERS = 6
WORK_S = 0.3
LONG_WORK_S = 1.2  # of 1.5 s that callers allow
REQUEST = (
    b"GET /p/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nRequest-Deadline-Ms: %d\r\n\r\n"
)
UNANSWERED = "sent, no answer"
START_LIMIT_S = 15.0
STOP_LIMIT_S = 8.0
SUSPENDED_S = 1.5


@pytest.fixture
def site():
    made = StandinSite(gateways=1, keyed=1, plain=3)
    yield made
    made.close()


class Callers:
    """Callers that send each request on a new connection while the process accepts any."""

    def __init__(self, port, pause_s=0.0, deadline_ms=1500):
        self._deadline_ms = deadline_ms
        self._port = port
        self._pause_s = pause_s  # between connecting and sending
        self._count = 0
        self.statuses = Counter()
        self.unanswered = []

    def ask(self):
        """Return the status of one request.

        :raises ConnectionRefusedError: when no connection is accepted, or when one is reset
            before it is established, since its listener closes: nothing was sent then.
        """
        self._count += 1
        name = b"r%d" % self._count
        try:
            sock = socket.create_connection(("127.0.0.1", self._port), timeout=30.0)
        except ConnectionResetError as error:
            raise ConnectionRefusedError from error
        with sock:
            gevent.sleep(self._pause_s)
            answer = _exchange(sock, REQUEST % (name, self._deadline_ms))
        if not answer:
            self.unanswered.append(name.decode())
        status = int(answer.split()[1]) if answer else UNANSWERED
        self.statuses[status] += 1
        return status

    def run(self):
        while True:
            try:
                self.ask()
            except ConnectionRefusedError:
                return


def _exchange(sock, payload):
    """Return the head of the answer; empty if the connection ends before the head is complete."""
    answer = b""
    try:
        sock.sendall(payload)
        while b"\r\n\r\n" not in answer:
            part = sock.recv(65536)
            if not part:
                return b""
            answer += part
    except ConnectionError:
        return b""
    return answer


def await_service(callers):
    with gevent.Timeout(START_LIMIT_S):
        while True:
            try:
                if callers.ask() == 200:
                    return
            except ConnectionRefusedError:
                pass
            gevent.sleep(0.1)


def stop(gateway):
    """Send SIGTERM and wait for the process to end; return the time that took, in seconds."""
    start_s = elapsed_ms() / 1000
    gateway.signal(signal.SIGTERM)
    with gevent.Timeout(STOP_LIMIT_S):
        while gateway.process.poll() is None:
            gevent.sleep(0.02)
    return elapsed_ms() / 1000 - start_s


def ask_during_a_stop(site, work_s, pause_s):
    """Send requests on new connections until a process that is stopped accepts no more."""
    (gateway,) = site.gateways
    callers = Callers(gateway.front, pause_s)
    await_service(callers)
    for upstream in site.upstreams.values():
        if upstream.service == PLAIN:
            upstream.behaviour.work_s = work_s
    tasks = [gevent.spawn(callers.run) for _ in range(CALLERS)]
    gevent.sleep(0.5)
    assert stop(gateway) < GRACE_S
    assert len(gevent.joinall(tasks, timeout=5.0, raise_error=True)) == CALLERS
    return callers


@pytest.mark.parametrize("work_s", [WORK_S, LONG_WORK_S])
def test_no_request_is_given_up_while_new_connections_keep_coming(site, work_s):
    callers = ask_during_a_stop(site, work_s, 0.0)
    ran = {name for name, _ in site.ran()}
    given_up = [name for name in callers.unanswered if name in ran]
    assert given_up == [], callers.statuses
    # Nor does the process send its own answer in place of that of a server that is at work.
    assert set(callers.statuses) - {UNANSWERED} <= {200, 503}
    assert site.gateways[0].process.returncode == 0


def test_a_request_of_before_the_stop_that_outlasts_the_process_is_answered(site):
    """Guards against leaving it unanswered, since its time limit was set before the stop began."""
    document = configuration(2)
    for route in document["virtual_hosts"][0]["route_paths"]:
        route["timeout_ms"] = 20_000
    site.store.put("config", "main", document)
    (gateway,) = site.gateways
    callers = Callers(gateway.front, deadline_ms=20_000)
    await_service(callers)
    for upstream in site.upstreams.values():
        upstream.behaviour.work_s = 12.0
    asked = gevent.spawn(callers.ask)
    gevent.sleep(0.3)
    assert stop(gateway) < GRACE_S
    assert asked.get(timeout=2.0) == 504


def test_no_new_connection_is_closed_before_its_first_request(site):
    callers = ask_during_a_stop(site, 0.01, 0.1)
    assert callers.unanswered == [], callers.statuses


def test_a_process_that_stood_still_when_it_was_told_to_stop_ends_before_it_is_killed(site):
    """The platform's grace time begins when it sends the signal, not when the process resumes."""
    (gateway,) = site.gateways
    callers = Callers(gateway.front, 0.0)
    await_service(callers)
    tasks = [gevent.spawn(callers.run) for _ in range(CALLERS)]
    gevent.sleep(0.5)
    gateway.signal(signal.SIGSTOP)
    gevent.spawn_later(SUSPENDED_S, gateway.signal, signal.SIGCONT)
    gevent.sleep(0.2)
    assert stop(gateway) < GRACE_S
    gevent.joinall(tasks, timeout=5.0)
    assert gateway.process.returncode == 0
