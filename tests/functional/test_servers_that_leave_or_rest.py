"""A server that says that it leaves, or asks for rest, gets what it asks of each node.

Seen: a server said in its answers that it leaves, while the store could not take that from
it. Two nodes sent it requests 2.0 and 2.1 s after each had passed such an answer on. On
another day four of fourteen servers turned requests away and asked for 3 s of rest each
time. They got up to 20 requests a second, each one tried twice at the same server.

How it came about: what an answer says of its server was passed on to the caller and not
read. That a server leaves was learned from its entry alone, and a refusal was forgotten
with its request.

Cause: a node judged each answer for its request only; what it says of the server had no
place where it was kept, and no place was asked before each send.

Proof: with a line for each such word, the nodes know of it in the same millisecond and
count hundreds of sends to the server afterwards, keyed or not, first tries and repeats.
"""

import gevent
import pytest

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.simulation.keys.judge import judge
from tests.standin.play import Play
from tests.standin.site import KEYED, PLAIN, RECORD_S, StandinSite
from tests.standin.wishes import DRAIN_S, broken_rests, late_to_leaving

GATEWAYS = 4
KEYED_UPSTREAMS = PLAIN_UPSTREAMS = 4
PLAY_S = 6.0
SERVED = 0.99
SERVED_OF_KEYS = 0.9  # the keys of one of four holders wait until they have moved
REST_S = 3.0
AT_ONCE_S = 0.1
KEYS_BACK_S = 3.0
LAPSED_S = 5.0  # the lease of a holder that ended without a word, and its detection
JUDGED_S = 4.0
STORE_BACK_S = 4.0
RESTS = b"ploverhatch-result: 2112"


@pytest.fixture
def play():
    made = Play(StandinSite(GATEWAYS, KEYED_UPSTREAMS, PLAIN_UPSTREAMS))
    made.begin()
    yield made
    made.close()


def now_s():
    return elapsed_ms() / 1000


def test_one_that_says_that_it_leaves_gets_nothing_more(play):
    """The store says nothing of it; its keys go to others."""
    start_s = now_s()
    leaving = play.busiest()
    for upstream in leaving:
        upstream.behaviour.leaving = True
    gevent.sleep(PLAY_S)
    play.stop_callers()
    assert all(upstream.passed_on for upstream in leaving)
    assert late_to_leaving(play.site, play.sent) == []
    for service in (PLAIN, KEYED):
        assert play.served(service, start_s) >= SERVED
        assert play.served(service, start_s + DRAIN_S) == 1.0


def test_one_that_asks_for_rest_gets_it(play):
    start_s = now_s()
    resting = play.busiest()
    for upstream in resting:
        upstream.behaviour.rest_s = REST_S
    gevent.sleep(PLAY_S)
    play.stop_callers()
    assert all(len(upstream.turned_away) >= GATEWAYS / 2 for upstream in resting)
    assert broken_rests(play.site, play.sent) == []
    assert play.served(PLAIN, start_s) >= SERVED
    assert play.served(KEYED, start_s) >= SERVED_OF_KEYS


def test_where_all_ask_for_rest_callers_are_told_at_once_how_long(play):
    for upstream in play.site.upstreams.values():
        upstream.behaviour.rest_s = REST_S
    gevent.sleep(0.6)
    start_s = now_s()
    gevent.sleep(REST_S - 1.2)
    end_s = now_s()
    play.stop_callers()
    assert broken_rests(play.site, play.sent) == []
    for service in (PLAIN, KEYED):
        refused = play.asked(service, start_s, end_s)
        told = [one for one in refused if RESTS in one.head]
        assert len(told) >= len(refused) * 0.9
        assert sorted(one.took_s for one in told)[len(told) * 9 // 10] < AT_ONCE_S
        for one in told:
            after_s = float(one.head.split(b"retry-after: ")[1].split()[0])
            assert 0 < after_s <= REST_S + 0.2


def test_when_a_rest_ends_requests_come_one_by_one(play):
    """What a server gets in its first 100 ms, and that it is served as before soon after."""
    resting = play.busiest()
    for upstream in resting:
        upstream.behaviour.rest_s = 2.0
    gevent.sleep(1.0)
    for upstream in resting:
        upstream.behaviour.rest_s = 0.0
        upstream.behaviour.work_s = 0.2  # so that who comes in the first moment is told apart
    gevent.sleep(2.5)
    for upstream in resting:
        upstream.behaviour.work_s = 0.01
    gevent.sleep(2.0)
    start_s = now_s()
    gevent.sleep(1.0)
    play.stop_callers()
    assert broken_rests(play.site, play.sent) == []
    for upstream in resting:
        turned_s = min(at_s for _, at_s, _ in upstream.turned_away)
        first_s = min((w.start_s for w in upstream.work if w.start_s > turned_s), default=None)
        if first_s is None:
            continue  # its keys went to others, and stay there
        came = [w for w in upstream.work if first_s <= w.start_s < first_s + 0.1]
        assert len(came) <= GATEWAYS
    assert play.served(PLAIN, start_s) == play.served(KEYED, start_s) == 1.0


def leave_without_the_store(play, leaving):
    """Have servers leave while the store is away; return when, after 5 s with callers."""
    play.site.store.faults.silent = True
    play.site.store.wake()
    gevent.sleep(0.5)
    for upstream in leaving:
        upstream.behaviour.leaving = True
    start_s = now_s()
    gevent.sleep(5.0)
    play.stop_callers()
    assert late_to_leaving(play.site, play.sent) == []
    assert play.served(PLAIN, start_s) >= SERVED
    return start_s


def assert_served_with_the_store(play):
    play.site.store.faults.silent = False
    gevent.sleep(6.0)
    callers = play.callers[KEYED]
    for gateway in play.site.gateways:
        assert [caller.ask(gateway).status for caller in callers] == [200] * len(callers)


def test_where_all_holders_leave_while_the_store_is_away_callers_are_told_at_once(play):
    """Their keys can go nowhere; the store's return brings them back."""
    start_s = leave_without_the_store(play, [play.busiest()[0], *play.upstreams(KEYED)])
    refused = [one for one in play.asked(KEYED, start_s + DRAIN_S) if one.status != 200]
    assert {one.status for one in refused} == {503}
    assert sorted(one.took_s for one in refused)[len(refused) * 9 // 10] < AT_ONCE_S
    for _ in range(KEYED_UPSTREAMS):
        play.site.start_upstream(KEYED)
    assert_served_with_the_store(play)


def test_one_that_leaves_while_the_store_is_away_gets_nothing_more(play):
    start_s = leave_without_the_store(play, play.busiest())
    assert play.served(KEYED, start_s + DRAIN_S) >= SERVED
    refused = [one for one in play.asked(KEYED, start_s) if one.status != 200]
    assert {one.status for one in refused} <= {503}
    assert_served_with_the_store(play)


def test_keys_of_one_that_leaves_are_served_while_the_store_is_away(play):
    """Keys of a holder that left were refused until the store was back."""
    play.site.store.faults.silent = True
    play.site.store.wake()
    gevent.sleep(0.5)
    leaving = play.busiest()[1]
    leaving.behaviour.leaving = True
    start_s = now_s()
    gevent.sleep(DRAIN_S + KEYS_BACK_S + 1.0)
    play.stop_callers()
    assert play.served(KEYED, start_s + DRAIN_S + KEYS_BACK_S) >= SERVED


@pytest.mark.parametrize(("fault", "value"), [("silent", True), ("refuse", 503)])
def test_keys_of_one_that_ends_are_served_while_the_store_is_away(play, fault, value):
    """Keys of a holder that ended were refused until the store was back."""
    setattr(play.site.store.faults, fault, value)
    play.site.store.wake()
    gevent.sleep(0.5)
    ended = play.busiest()[1]
    ended.crash()
    gevent.spawn_later(RECORD_S, play.site.drop_record, ended)
    start_s = now_s()
    gevent.sleep(LAPSED_S + JUDGED_S)
    setattr(play.site.store.faults, fault, type(value)())
    gevent.sleep(STORE_BACK_S)
    back_s = now_s()
    gevent.sleep(JUDGED_S)
    play.stop_callers()
    served = play.served(KEYED, start_s + LAPSED_S, start_s + LAPSED_S + JUDGED_S)
    assert served >= SERVED, play.unserved(KEYED, start_s + LAPSED_S, start_s + LAPSED_S + JUDGED_S)
    assert play.served(KEYED, back_s) >= SERVED, play.unserved(KEYED, back_s)
    assert judge(play.site.journal.holds) == []
