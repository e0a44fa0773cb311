"""The store comes back from a copy some seconds old: what it confirms is in force in time.

What the system wrote since the copy is gone, its leases and key maps among it; revisions go back
and are given out again. What operators and servers wrote since is written again at once.
"""

import gevent
import pytest

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.simulation.keys.violations import find_violations
from tests.standin.callers import Caller
from tests.standin.drills import OWN_KINDS, come_back
from tests.standin.play import Play
from tests.standin.site import KEYED, PLAIN, StandinSite, configuration, route

GATEWAYS = 4
UPSTREAMS = 4
COPY_AGE_S = 4.0
AWAY_S = 0.8
NEWS_S = 0.5  # from the store's return until operators and servers write
IN_FORCE_S = 2.0
JUDGED_S = 3.0
SERVED = 0.99


@pytest.fixture
def play(request):
    options = getattr(request, "param", {})
    made = Play(StandinSite(GATEWAYS, UPSTREAMS, UPSTREAMS), **options)
    made.begin()
    yield made
    made.close()


def now_s():
    return elapsed_ms() / 1000


def be_away(store, copy, watches_end=True, servers_after_s=0.0):
    """Have the store be away, and come back as it was."""
    store.faults.refuse = 503
    gevent.sleep(AWAY_S)
    come_back(store, copy, watches_end, servers_after_s)
    store.faults.refuse = 0


def drill(play, watches_end=True):
    store = play.site.store
    copy = store.copy()
    gevent.sleep(COPY_AGE_S)
    be_away(store, copy, watches_end)


def write_news(play, version=2):
    """Add a route, and have a server of each service say that it leaves; return these."""
    store = play.site.store
    changed = configuration(version)
    changed["virtual_hosts"][0]["route_paths"].append(route("new", PLAIN, kind="safe"))
    store.put("config", "main", changed)
    leaving = play.busiest()
    for upstream in leaving:
        store.put("servers", upstream.server_id, *upstream.record(upstream.service, "draining"))
    return leaving


def judge(play, leaving, news_s):
    """Ask for the new route at each gateway, and check what reaches the servers that leave."""
    gevent.sleep(max(0.0, news_s + IN_FORCE_S - now_s()))
    start_s = now_s()
    asked = []
    while now_s() < start_s + JUDGED_S:
        for gateway in play.site.gateways:
            asked.append(Caller(f"new{len(asked)}", "/new/a").ask(gateway).status)
        gevent.sleep(0.1)
    end_s = now_s()
    play.stop_callers()
    assert asked.count(404) == 0, f"{asked.count(404)} of {len(asked)}"
    for upstream in leaving:
        late = [request for request in upstream.ran if request.received_ms / 1000 > start_s]
        assert late == [], f"{len(late)} reached {upstream.server_id}"
    for service in (PLAIN, KEYED):
        assert play.served(service, start_s, end_s) >= SERVED, play.unserved(service, start_s)
    assert find_violations(play.site.journal.holds) == []


# A gateway that knew a later revision than the store's took nothing new from it.
@pytest.mark.parametrize("watches_end", [True, False])
def test_what_is_written_after_a_drill_is_in_force_in_time(play, watches_end):
    drill(play, watches_end)
    gevent.sleep(NEWS_S)
    news_s = now_s()
    judge(play, write_news(play), news_s)


# Revisions that were lost are given out again, for other changes: watches then pass these over.
def test_news_in_revisions_that_were_lost_are_in_force_in_time(play):
    store = play.site.store
    before = store.revision + 2 * int(COPY_AGE_S)
    drill(play, watches_end=False)
    news_s = now_s()
    leaving = write_news(play)
    while store.revision < before + 50:
        store.put("others", f"name-{store.revision}", {})
    judge(play, leaving, news_s)


def test_two_drills_a_second_apart_leave_nothing_behind(play):
    store = play.site.store
    copy = store.copy()
    gevent.sleep(COPY_AGE_S)
    be_away(store, copy)
    gevent.sleep(1.0)
    be_away(store, copy)
    gevent.sleep(NEWS_S)
    news_s = now_s()
    judge(play, write_news(play), news_s)


# The copy shows a server as ready that has said since that it leaves, and an older configuration.
def test_what_the_copy_shows_does_not_come_back_into_force(play):
    store = play.site.store
    copy = store.copy()
    gevent.sleep(COPY_AGE_S / 2)
    news_s = now_s()
    leaving = write_news(play)
    gevent.sleep(COPY_AGE_S / 2)
    be_away(store, copy)
    judge(play, leaving, news_s)


# Servers write again some time after the store's return: until then it shows them as ready.
@pytest.mark.parametrize("play", [{"plain_callers": 24}], indirect=True)
def test_a_server_that_leaves_stays_so_until_it_writes_again(play):
    store = play.site.store
    for upstream in play.upstreams(PLAIN):
        upstream.behaviour.work_s = 0.1  # so busy that each server is needed
    copy = store.copy()
    news_s = now_s()
    leaving = write_news(play)
    gevent.sleep(COPY_AGE_S)
    be_away(store, copy, servers_after_s=2.0)
    judge(play, leaving, news_s)


# Keys moved since the copy was made: their tokens may not be given out again.
def test_keys_that_moved_since_the_copy_have_one_owner(play):
    store = play.site.store
    copy = store.copy()
    leaving = write_news(play)
    news_s = now_s()
    gevent.sleep(COPY_AGE_S)
    be_away(store, copy)
    judge(play, leaving, news_s)
    gevent.sleep(4.0)
    assert find_violations(play.site.journal.holds) == []


# Each node, the leader too, is killed while the store is away, and starts from the copy.
def test_a_site_that_starts_from_the_copy_serves(play):
    store = play.site.store
    copy = store.copy()
    leaving = write_news(play)
    gevent.sleep(COPY_AGE_S)
    for gateway in play.site.gateways:
        gateway.life.kill()
    be_away(store, copy)
    for gateway in play.site.gateways:
        gateway.start()
    gevent.sleep(9.0)
    judge(play, leaving, now_s() - IN_FORCE_S)


def start_from(play, copy):
    """Kill each node, and start it from what the store comes back as."""
    for gateway in play.site.gateways:
        gateway.life.kill()
    come_back(play.site.store, copy)
    for gateway in play.site.gateways:
        gateway.start()
    gevent.sleep(9.0)


# Servers refuse the tokens of a leader that starts from a copy which predates two restores.
def test_a_second_restore_of_one_copy_leaves_no_key_unserved(play):
    store = play.site.store
    copy = store.copy()
    leaving = write_news(play)
    gevent.sleep(COPY_AGE_S / 2)
    be_away(store, copy)
    gevent.sleep(1.0)
    another = next(one for one in play.upstreams(KEYED) if one not in leaving)
    store.put("servers", another.server_id, *another.record(KEYED, "draining"))
    gevent.sleep(COPY_AGE_S / 2)
    start_from(play, copy)
    judge(play, leaving, now_s() - IN_FORCE_S)


# Servers refuse the tokens of a leader that finds no key map, since all were lost in a restore.
def test_a_copy_from_before_the_first_key_map_leaves_no_key_unserved(play):
    objects, revision = play.site.store.copy()
    without = {key: item for key, item in objects.items() if key[0] not in OWN_KINDS}
    leaving = write_news(play)
    gevent.sleep(COPY_AGE_S / 2)
    start_from(play, (without, revision))
    judge(play, leaving, now_s() - IN_FORCE_S)
