"""A server that restarts under its id is a new incarnation, without the state of the old one.

Guards against state that is kept by server id instead of by incarnation: the address for control
calls, the lease, the keys that the server holds, and its notices. A holder of keys that crashed
and restarted 0.2 s later under its id at another address ran no request in 9 s, and a quarter of
the requests failed in the first 2 s.
"""

import gevent
import pytest

from ploverhatch.simulation.keys.violations import find_violations
from tests.functional.test_servers_that_leave_or_rest import Scenario, now_s
from tests.standin.site import KEYED, PLAIN, StandinSite

GATEWAYS = 3
FIRST_REQUEST_S = 4.0  # Within this time the new incarnation runs requests.
SERVED_S = 2.0  # After this time all keys are served again, each by its present holder.
# SERVED_S for the old address, where a late grant to the old incarnation may reach the new one.
SAME_ADDRESS_SERVED_S = 5.5
LONG_BACKOFF_S = 60.0


@pytest.fixture
def scenario():
    running_scenario = Scenario(StandinSite(GATEWAYS, keyed=4, plain=2))
    running_scenario.begin()
    yield running_scenario
    running_scenario.close()


@pytest.mark.parametrize("elsewhere", [True, False])
def test_a_holder_that_is_back_under_its_id_gets_keys_again(scenario, elsewhere):
    crashed = scenario.busiest()[1]
    start_s = now_s()
    restarted = scenario.site.restart_upstream(crashed, 0.2, elsewhere)
    served_s = SERVED_S if elsewhere else SAME_ADDRESS_SERVED_S
    gevent.sleep(max(FIRST_REQUEST_S, served_s) + 2.0)
    scenario.stop_callers()
    assert restarted.ran and restarted.work[0].start_s < start_s + max(FIRST_REQUEST_S, served_s)
    assert scenario.served(KEYED, start_s + served_s) == 1.0
    assert find_violations(scenario.site.journal.holds) == []


def test_notices_of_an_incarnation_do_not_apply_to_the_next_one(scenario):
    crashed = scenario.busiest()[0]
    other = next(server for server in scenario.upstreams(PLAIN) if server is not crashed)
    for upstream in (crashed, other):
        upstream.behaviour.backoff_s = LONG_BACKOFF_S
    gevent.sleep(0.5)
    crashed.behaviour.leaving = True
    gevent.sleep(0.5)
    start_s = now_s()
    restarted = scenario.site.restart_upstream(crashed, 0.2)
    gevent.sleep(2.0)
    scenario.stop_callers()
    assert len(restarted.ran) > 20
    assert scenario.served(PLAIN, start_s + 1.2) == 1.0
    assert other.rejected
