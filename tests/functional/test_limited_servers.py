"""A server that names a limit gets no more than it from all gateways together."""

import gevent
import pytest

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.gateway.shared_slots import DISCOVERY_MS
from ploverhatch.simulation.keys.server import SAMPLE_KEYS
from tests.standin.limits import over_limit
from tests.standin.play import Play
from tests.standin.site import GRACE_S, KEYED, PLAIN, StandinSite

GATEWAYS = 4
KEYED_UPSTREAMS = PLAIN_UPSTREAMS = 4
PLAIN_CALLERS = 24  # more than can wait at a time for what the servers offer
PLAY_S = 12.0
SERVED = 0.99
MOVED_S = 4.0  # until the keys that a limited holder can't serve are with others
AT_ONCE_S = 0.1


@pytest.fixture
def play(request):
    options = {"plain_callers": PLAIN_CALLERS, **getattr(request, "param", {})}
    made = Play(StandinSite(GATEWAYS, KEYED_UPSTREAMS, PLAIN_UPSTREAMS), **options)
    made.begin()
    yield made
    made.close()


def now_s():
    return elapsed_ms() / 1000


def name_limit(upstreams, limit):
    for upstream in upstreams:
        upstream.behaviour.limit = limit


# A server in need got many times what it had named, from gateways that had passed its word on.
@pytest.mark.parametrize("limit", ["2.5", "0.4"])
def test_a_limited_server_gets_no_more_than_it_named(play, limit):
    start_s = now_s()
    limited = play.busiest()
    name_limit(limited, limit)
    gevent.sleep(PLAY_S)
    play.stop_callers()
    assert all(upstream.named for upstream in limited)
    assert over_limit(play.site, play.sent) == []
    assert play.served(PLAIN, start_s) >= SERVED
    assert play.served(KEYED, start_s + MOVED_S) >= SERVED


# Where all servers of a service are limited, callers beyond the limits waited or overran them.
def test_where_all_are_limited_the_others_are_refused_at_once(play):
    gevent.sleep(DISCOVERY_MS / 1000)
    name_limit(play.site.upstreams.values(), "6")
    gevent.sleep(2.0)
    start_s = now_s()
    gevent.sleep(PLAY_S)
    play.stop_callers()
    assert over_limit(play.site, play.sent) == []
    for service in (PLAIN, KEYED):
        asked = play.asked(service, start_s)
        refused = [one for one in asked if one.status != 200]
        assert {one.status for one in refused} == {503}
        assert all(float(one.head.split(b"retry-after: ")[1].split()[0]) > 0 for one in refused)
        # What the servers offer is used.
        assert len(asked) - len(refused) >= 0.8 * 6 * 4 * PLAY_S


# A gateway that starts again knows no limit, and the one that counts may be the one that is gone.
def test_limits_hold_while_gateways_are_killed_and_start_again(play):
    name_limit(play.site.upstreams.values(), "6")
    gevent.sleep(4.0)
    for gateway in play.site.gateways[:3]:
        gateway.life.kill()
        gevent.sleep(1.0)
        gateway.start()
        gevent.sleep(2.5)
    gevent.sleep(2.0)
    play.stop_callers()
    assert over_limit(play.site, play.sent) == []


# While the node that counts stands still another one counts, and both give once it wakes.
def test_limits_hold_while_gateways_stand_still(play):
    name_limit(play.site.upstreams.values(), "6")
    gevent.sleep(4.0)
    for gateway in play.site.gateways:
        gateway.life.freeze(2.0)
        gevent.sleep(3.0)
    play.stop_callers()
    assert over_limit(play.site, play.sent) == []


# A gateway that stops goes on giving what comes free there while another one counts already.
def test_limits_hold_while_gateways_stop_as_planned(play):
    name_limit(play.site.upstreams.values(), "6")
    gevent.sleep(4.0)
    for gateway in play.site.gateways[:3]:
        gateway.life.stop()
        with gevent.Timeout(GRACE_S + 1.0):
            while gateway.life.alive:
                gevent.sleep(0.05)
        gateway.start()
    gevent.sleep(3.0)
    play.stop_callers()
    assert over_limit(play.site, play.sent) == []


# A server whose limit is over was left without its share.
@pytest.mark.parametrize("play", [{"keys": SAMPLE_KEYS[::2]}], indirect=True)
def test_a_server_that_names_no_limit_any_more_is_used_as_before(play):
    limited = play.busiest()
    name_limit(limited, "2.5")
    gevent.sleep(5.0)
    name_limit(limited, "")
    for upstream in play.site.upstreams.values():
        upstream.behaviour.work_s = 0.06  # so busy that each server is needed
    gevent.sleep(8.0)
    before = {upstream.server_id: len(upstream.ran) for upstream in play.site.upstreams.values()}
    gevent.sleep(4.0)
    play.stop_callers()
    for upstream in limited:
        ran = {
            other.server_id: len(other.ran) - before[other.server_id]
            for other in play.upstreams(upstream.service)
        }
        assert ran[upstream.server_id] >= 0.25 * sum(ran.values()) / len(ran), ran
