"""Planned stops of real gateways while a request passes through two of them."""

import gevent
import pytest
from gevent import socket

from ploverhatch.common.clock import elapsed_ms
from tests.standin.callers import Caller
from tests.standin.links import LinkState
from tests.standin.site import CUT_PROGRAM, GRACE_S, PLAIN, StandinSite

START_LIMIT_S = 20.0
CUT_LIMIT_S = 10.0
# Longer than a stopping process without requests runs: the time until callers have learned of it.
LONG_WORK_S = 3.4
OUTLASTING_WORK_S = 5.7  # of 6 s that the route and the caller allow; longer than a stop


@pytest.fixture
def site():
    made = StandinSite(gateways=2, keyed=1, plain=2, programs=(CUT_PROGRAM,))
    yield made
    made.close()


def ask(gateway, name, work_s):
    """Return the status of one unsafe request, 0 without an answer, and its time in seconds."""
    head = (
        f"POST /slow/{name} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {name}\r\n"
        f"Request-Deadline-Ms: 6000\r\nWork-Ms: {work_s * 1000:.0f}\r\nContent-Length: 0\r\n\r\n"
    )
    start_ms = elapsed_ms()
    data = b""
    try:
        with socket.create_connection(("127.0.0.1", gateway.front), 8.0) as sock:
            sock.sendall(head.encode())
            data = sock.recv(65536)
    except OSError as error:
        print(f"{name}: {error!r}")
    return int(data.split()[1]) if data else 0, (elapsed_ms() - start_ms) / 1000


def until(condition, limit_s):
    with gevent.Timeout(limit_s):
        while not condition():
            gevent.sleep(0.05)


def cut_one(site):
    """Cut a gateway from all servers; return it once the other one serves its callers."""
    cut, other = site.gateways
    caller = Caller("c0", "/p/a")
    for gateway in (cut, other):
        until(lambda gateway=gateway: caller.ask(gateway).status == 200, START_LIMIT_S)
    cut.cut(LinkState.REFUSED, [upstream.address.port for upstream in site.upstreams.values()])
    gevent.sleep(0.2)  # for the process to see its links cut
    until(lambda: caller.ask(cut).status == 200, CUT_LIMIT_S)
    return cut, other


# Guards against stops that end while a request of another gateway's caller is being served: of the
# gateway that reaches the servers, and of the one that is cut and holds the caller's connection.
@pytest.mark.parametrize("stopped", ["cut", "other"])
def test_a_request_that_passes_through_two_gateways_outlasts_the_stop_of_one(site, stopped):
    cut, other = cut_one(site)
    gateway = cut if stopped == "cut" else other
    long = gevent.spawn(ask, cut, "long", LONG_WORK_S)
    outlasting = gevent.spawn(ask, cut, "outlasting", OUTLASTING_WORK_S)
    servers = [upstream for upstream in site.upstreams.values() if upstream.service == PLAIN]
    until(lambda: sum(run.end_s is None for up in servers for run in up.work) == 2, 3.0)
    gateway.incarnation.stop()
    gateway.incarnation.finish()
    assert not gateway.incarnation.killed_after_grace
    status, took_s = long.get(timeout=GRACE_S)
    assert status == 200
    assert LONG_WORK_S <= took_s < LONG_WORK_S + 0.5
    status, _ = outlasting.get(timeout=GRACE_S)
    assert status == 504  # It may have run. Without an answer the caller wouldn't know of the end.
    names = [name for name, _ in site.ran() if name in {"long", "outlasting"}]
    assert sorted(names) == ["long", "outlasting"]


# Guards against a stopping gateway that takes requests which it won't finish.
def test_a_gateway_that_stops_takes_no_further_requests(site):
    cut, other = cut_one(site)
    held = gevent.spawn(ask, cut, "held", LONG_WORK_S)
    servers = [upstream for upstream in site.upstreams.values() if upstream.service == PLAIN]
    until(lambda: any(run.end_s is None for up in servers for run in up.work), 3.0)
    other.incarnation.stop()
    gevent.sleep(0.3)
    asked = [ask(cut, f"late-{number}", 0.0) for number in range(5)]
    assert [status for status, _ in asked] == [503] * 5
    assert max(took_s for _, took_s in asked) < 1.0
    assert held.get(timeout=GRACE_S)[0] == 200
