"""Load on servers while the gateways that grant their slots are stopped or killed in turn."""

import signal
from math import inf

import gevent
import pytest

from ploverhatch.common.clock import elapsed_ms
from tests.standin.callers import Caller
from tests.standin.site import PLAIN, StandinSite, request_id

GATEWAYS = 4
SERVERS = 3
SLOTS = 4
CAPACITY = 6  # requests per server: its slots, and half as many that wait there
WORK_S = 0.9
CALLERS = 30
DISCOVERY_S = 6.0  # All nodes know each other by then.
RESTART_INTERVAL_S = 4.0
MIN_SERVED_FRACTION = 0.8  # of what the servers' slots can serve
LINK_DELAY_S = 0.005


@pytest.fixture
def site():
    made = StandinSite(GATEWAYS, keyed=1, plain=SERVERS)
    yield made
    made.close()


def arrivals_beyond_capacity(upstream, sent, from_s):
    """Return how many requests arrived while the server was already at its capacity.

    A request counts until its work ends, its caller has an answer, or its gateway is killed.
    """
    ends = {request_id(work.request): work.end_s for work in upstream.work}
    spans = []
    for request in upstream.arrived:
        item = sent[request_id(request)]
        killed = [start for start, end in item.incarnation.faults if end == inf]
        answered_s = item.sent_s + item.took_s if item.took_s else inf
        end_s = min(ends.get(item.name) or inf, answered_s, *killed, inf)
        spans.append((request.received_ms / 1000, end_s))
    return sum(
        sum(start < at and end > at + LINK_DELAY_S for start, end in spans) >= CAPACITY
        for at, _ in spans
        if at >= from_s
    )


@pytest.mark.parametrize("signal_number", [None, signal.SIGTERM, signal.SIGKILL])
def test_a_full_server_gets_no_more_while_dispatchers_change(site, signal_number):
    """Guards against slots of a full server that are granted again when its dispatcher changes."""
    callers = [Caller(f"p{n}", "/p/a") for n in range(CALLERS)]
    with gevent.Timeout(20.0):
        for gateway in site.gateways:
            while callers[0].ask(gateway).status != 200:
                gevent.sleep(0.05)
    for upstream in site.upstreams.values():
        upstream.behaviour.work_s = WORK_S
        upstream.arrived.clear()
        upstream.work.clear()
    tasks = []
    for index, caller in enumerate(callers):
        first = index % GATEWAYS
        order = site.gateways[first:] + site.gateways[:first]
        tasks.append(gevent.spawn(caller.ask_forever, order))
    gevent.sleep(DISCOVERY_S)
    start_s = elapsed_ms() / 1000
    for gateway in site.gateways:
        if signal_number == signal.SIGTERM:
            gateway.incarnation.stop()
            gevent.spawn(restart, gateway)
        elif signal_number == signal.SIGKILL:
            gateway.incarnation.kill()
            gateway.start()
        gevent.sleep(RESTART_INTERVAL_S)
    gevent.killall(tasks)
    sent = {item.name: item for caller in callers for item in caller.asked}
    servers = [upstream for upstream in site.upstreams.values() if upstream.service == PLAIN]
    excess = {
        upstream.server_id: arrivals_beyond_capacity(upstream, sent, start_s)
        for upstream in servers
    }
    assert excess == dict.fromkeys(excess, 0)
    served = sum(item.status == 200 for item in sent.values() if item.sent_s >= start_s)
    assert served > SERVERS * SLOTS * GATEWAYS * RESTART_INTERVAL_S / WORK_S * MIN_SERVED_FRACTION


def restart(gateway):
    gateway.incarnation.finish()
    gateway.start()
