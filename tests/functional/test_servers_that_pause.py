"""Full servers that stand still for a moment, or for long, behind dispatchers of their slots.

Guards against dispatchers that take a moment's silence of a full server for its end, refuse its
requests at once and tell the callers to come back in 2 s, though it could serve them in time.
"""

import re

import gevent
import pytest

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.simulation.keys.server import SAMPLE_KEYS
from tests.standin.scenario import RESULT, Scenario
from tests.standin.site import KEYED, PLAIN, StandinSite

GATEWAYS = HOLDERS = 4
PLAIN_SERVERS = 2
PLAIN_CALLERS = 24
KEYS = SAMPLE_KEYS[:48]
PAUSES = 8
PAUSE_INTERVAL_S = 1.0
SERVED = 0.999
QUEUE_TIMEOUT = b"2103"
OUTAGE_S = 3.5
# A request is refused once the silence has lasted for half of the time that a slot is of use to it.
LONGEST_HELD_S = 0.7
HOLDING_S = 1.2  # After this silence, no request of this time limit can expect a slot in time.
AT_ONCE_MS = 100.0
ENDED = re.compile(r"Request ended\. request=(\S+) .* took_ms=(\d+) ")


@pytest.fixture
def scenario():
    site = StandinSite(GATEWAYS, HOLDERS, PLAIN_SERVERS)
    running_scenario = Scenario(site, plain_callers=PLAIN_CALLERS, keys=KEYS)
    running_scenario.begin()
    gevent.sleep(1.0)
    yield running_scenario
    running_scenario.close()


def now_s():
    return elapsed_ms() / 1000


def took_ms_by_request(site):
    """Return how long each request took in its gateway, which excludes delays of this process."""
    ended = (ENDED.findall(gateway.log.read_text(errors="replace")) for gateway in site.gateways)
    return {name: int(took_ms) for found in ended for name, took_ms in found}


def stop_other_callers(scenario, service):
    """Stop the callers of the other service, whose requests would load this process as well."""
    keyed, plain = scenario.tasks[: len(KEYS)], scenario.tasks[len(KEYS) :]
    gevent.killall(plain if service == KEYED else keyed)


@pytest.mark.parametrize("pause_s", [0.06, 0.25])
@pytest.mark.parametrize("service", [KEYED, PLAIN])
def test_requests_of_full_servers_are_served_after_a_pause(scenario, service, pause_s):
    stop_other_callers(scenario, service)
    start_s = now_s()
    for _ in range(PAUSES):
        for upstream in scenario.upstreams(service):
            upstream.pause(pause_s)
        gevent.sleep(PAUSE_INTERVAL_S)
    scenario.stop_callers()
    assert scenario.served(service, start_s) >= SERVED, scenario.unserved(service, start_s)


def test_servers_that_stay_silent_hold_requests_for_no_longer_than_they_may_be_served(scenario):
    """Who can't be served in time is told at once; others are held until the silence is long."""
    stop_other_callers(scenario, PLAIN)
    start_s = now_s()
    servers = scenario.upstreams(PLAIN)
    for upstream in servers:
        upstream.pause(OUTAGE_S)
    gevent.sleep(OUTAGE_S - 0.5)
    scenario.stop_callers()
    refused = [
        request
        for request in scenario.asked(PLAIN, start_s)
        if (found := RESULT.search(request.head)) and found[1] == QUEUE_TIMEOUT
    ]
    assert refused
    assert max(request.took_s for request in refused) < LONGEST_HELD_S
    late = [request.name for request in refused if request.sent_s > start_s + HOLDING_S]
    took_ms = took_ms_by_request(scenario.site)
    assert late
    assert sorted(took_ms[name] for name in late)[len(late) * 9 // 10] < AT_ONCE_MS
