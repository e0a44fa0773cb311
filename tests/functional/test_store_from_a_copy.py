"""The store is restored from a snapshot some seconds old; changes confirmed later apply in time.

The restore loses all that gateways wrote since the snapshot, such as leases and key maps, and the
store issues the revisions after the snapshot again. Operators and servers repeat their own writes
at once, unless a test says otherwise.
"""

import gevent
import pytest

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.simulation.keys.violations import find_violations
from tests.standin.callers import Caller
from tests.standin.scenario import Scenario
from tests.standin.site import KEYED, PLAIN, StandinSite, configuration, route
from tests.standin.store_restore import GATEWAY_KINDS, restore_store

GATEWAYS = 4
UPSTREAMS = 4
SNAPSHOT_AGE_S = 4.0
OUTAGE_S = 0.8
CHANGES_DELAY_S = 0.5  # from the end of the outage until operators and servers make changes
MAX_APPLY_S = 2.0
CHECKED_S = 3.0
MIN_SERVED_FRACTION = 0.99


@pytest.fixture
def scenario(request):
    options = getattr(request, "param", {})
    running_scenario = Scenario(StandinSite(GATEWAYS, UPSTREAMS, UPSTREAMS), **options)
    running_scenario.begin()
    yield running_scenario
    running_scenario.close()


def now_s():
    return elapsed_ms() / 1000


def restore_after_outage(store, snapshot, watches_end=True, servers_after_s=0.0):
    """Make the store unavailable for ``OUTAGE_S`` seconds and restore it from a snapshot."""
    store.faults.refuse = 503
    gevent.sleep(OUTAGE_S)
    restore_store(store, snapshot, watches_end, servers_after_s)
    store.faults.refuse = 0


def restore_from_old_snapshot(scenario, watches_end=True):
    store = scenario.site.store
    snapshot = store.copy()
    gevent.sleep(SNAPSHOT_AGE_S)
    restore_after_outage(store, snapshot, watches_end)


def write_changes(scenario, version=2):
    """Add a route, and mark a server of each service as draining; return these servers."""
    store = scenario.site.store
    changed = configuration(version)
    changed["virtual_hosts"][0]["route_paths"].append(route("new", PLAIN, kind="safe"))
    store.put("config", "main", changed)
    leaving = scenario.busiest()
    for upstream in leaving:
        store.put("servers", upstream.server_id, *upstream.record(upstream.service, "draining"))
    return leaving


def check_service(scenario, leaving, changed_s):
    """Check that each gateway serves the new route and that leaving servers receive no request."""
    gevent.sleep(max(0.0, changed_s + MAX_APPLY_S - now_s()))
    start_s = now_s()
    statuses = []
    while now_s() < start_s + CHECKED_S:
        for gateway in scenario.site.gateways:
            statuses.append(Caller(f"new{len(statuses)}", "/new/a").ask(gateway).status)
        gevent.sleep(0.1)
    end_s = now_s()
    scenario.stop_callers()
    assert statuses.count(404) == 0, f"{statuses.count(404)} of {len(statuses)}"
    for upstream in leaving:
        late = [request for request in upstream.ran if request.received_ms / 1000 > start_s]
        assert late == [], f"{len(late)} reached {upstream.server_id}"
    for service in (PLAIN, KEYED):
        assert scenario.served(service, start_s, end_s) >= MIN_SERVED_FRACTION, scenario.unserved(
            service, start_s
        )
    assert find_violations(scenario.site.journal.holds) == []


# Guards against gateways that ignore changes of the store, since they know a later revision.
@pytest.mark.parametrize("watches_end", [True, False])
def test_what_is_written_after_a_drill_is_in_force_in_time(scenario, watches_end):
    restore_from_old_snapshot(scenario, watches_end)
    gevent.sleep(CHANGES_DELAY_S)
    changed_s = now_s()
    check_service(scenario, write_changes(scenario), changed_s)


# Lost revisions are issued again for other changes, which a watch may miss.
def test_news_in_revisions_that_were_lost_are_in_force_in_time(scenario):
    store = scenario.site.store
    before = store.revision + 2 * int(SNAPSHOT_AGE_S)
    restore_from_old_snapshot(scenario, watches_end=False)
    changed_s = now_s()
    leaving = write_changes(scenario)
    while store.revision < before + 50:
        store.put("others", f"name-{store.revision}", {})
    check_service(scenario, leaving, changed_s)


def test_two_drills_a_second_apart_leave_nothing_behind(scenario):
    store = scenario.site.store
    snapshot = store.copy()
    gevent.sleep(SNAPSHOT_AGE_S)
    restore_after_outage(store, snapshot)
    gevent.sleep(1.0)
    restore_after_outage(store, snapshot)
    gevent.sleep(CHANGES_DELAY_S)
    changed_s = now_s()
    check_service(scenario, write_changes(scenario), changed_s)


# The snapshot has an older configuration and shows a server as ready that is leaving by now.
def test_what_the_copy_shows_does_not_come_back_into_force(scenario):
    store = scenario.site.store
    snapshot = store.copy()
    gevent.sleep(SNAPSHOT_AGE_S / 2)
    changed_s = now_s()
    leaving = write_changes(scenario)
    gevent.sleep(SNAPSHOT_AGE_S / 2)
    restore_after_outage(store, snapshot)
    check_service(scenario, leaving, changed_s)


# Servers repeat their writes 2 s after the restore; until then the store shows them as ready.
@pytest.mark.parametrize("scenario", [{"plain_callers": 24}], indirect=True)
def test_a_server_that_leaves_stays_so_until_it_writes_again(scenario):
    store = scenario.site.store
    for upstream in scenario.upstreams(PLAIN):
        upstream.behaviour.work_s = 0.1  # high utilisation, so that every server is needed
    snapshot = store.copy()
    changed_s = now_s()
    leaving = write_changes(scenario)
    gevent.sleep(SNAPSHOT_AGE_S)
    restore_after_outage(store, snapshot, servers_after_s=2.0)
    check_service(scenario, leaving, changed_s)


# Keys moved after the snapshot, so their fencing tokens must not be issued again.
def test_keys_that_moved_since_the_copy_have_one_owner(scenario):
    store = scenario.site.store
    snapshot = store.copy()
    leaving = write_changes(scenario)
    changed_s = now_s()
    gevent.sleep(SNAPSHOT_AGE_S)
    restore_after_outage(store, snapshot)
    check_service(scenario, leaving, changed_s)
    gevent.sleep(4.0)
    assert find_violations(scenario.site.journal.holds) == []


# Each node, including the leader, is killed during the outage and starts with the restored store.
def test_a_site_that_starts_from_the_copy_serves(scenario):
    store = scenario.site.store
    snapshot = store.copy()
    leaving = write_changes(scenario)
    gevent.sleep(SNAPSHOT_AGE_S)
    for gateway in scenario.site.gateways:
        gateway.incarnation.kill()
    restore_after_outage(store, snapshot)
    for gateway in scenario.site.gateways:
        gateway.start()
    gevent.sleep(9.0)
    check_service(scenario, leaving, now_s() - MAX_APPLY_S)


def start_from(scenario, snapshot):
    """Kill each node, restore the store from a snapshot, and start the nodes again."""
    for gateway in scenario.site.gateways:
        gateway.incarnation.kill()
    restore_store(scenario.site.store, snapshot)
    for gateway in scenario.site.gateways:
        gateway.start()
    gevent.sleep(9.0)


# Guards against a leader that starts after the second restore of one snapshot: its tokens may be
# too low, so that servers refuse them.
def test_a_second_restore_of_one_copy_leaves_no_key_unserved(scenario):
    store = scenario.site.store
    snapshot = store.copy()
    leaving = write_changes(scenario)
    gevent.sleep(SNAPSHOT_AGE_S / 2)
    restore_after_outage(store, snapshot)
    gevent.sleep(1.0)
    another = next(candidate for candidate in scenario.upstreams(KEYED) if candidate not in leaving)
    store.put("servers", another.server_id, *another.record(KEYED, "draining"))
    gevent.sleep(SNAPSHOT_AGE_S / 2)
    start_from(scenario, snapshot)
    check_service(scenario, leaving, now_s() - MAX_APPLY_S)


# Guards against a leader that finds no key map after a restore: its tokens may be too low, so
# that servers refuse them.
def test_a_copy_from_before_the_first_key_map_leaves_no_key_unserved(scenario):
    objects, revision = scenario.site.store.copy()
    without = {key: item for key, item in objects.items() if key[0] not in GATEWAY_KINDS}
    leaving = write_changes(scenario)
    gevent.sleep(SNAPSHOT_AGE_S / 2)
    start_from(scenario, (without, revision))
    check_service(scenario, leaving, now_s() - MAX_APPLY_S)
