"""Two gateways: the leader relays changes, and the follower asks the store only if it must."""

import gevent
import pytest

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.gateway.feeds import STALLED_WATCH_MS
from ploverhatch.gateway.keymap_relay import KeymapRelay
from ploverhatch.gateway.relay import PROOF_WAIT_FRACTION
from ploverhatch.sharding.keymap import (
    LAST_KEY,
    Holder,
    KeyMap,
    Move,
    begin_moves,
    first_assignment,
)
from ploverhatch.store.objects import (
    HistoryDroppedError,
    ObjectChange,
    StoreCallError,
    VersionedObject,
)
from tests.functional.test_gateway import CONFIG, Site

HOLDERS = [Holder(f"s{number}", "10.0.0.1", 9000 + number) for number in range(3)]


def until(condition, limit_s=8.0):
    with gevent.Timeout(limit_s):
        while not condition():
            gevent.sleep(0.01)


@pytest.fixture
def pair():
    """A leader and a follower that is covered for all kinds."""
    site = Site()
    site.store.put("config", "main", CONFIG)
    site.start_upstream("s1", "keyed", sharded=True)
    site.start_upstream("p1", "plain")
    leader = site.start_gateway("node-1")
    until(lambda: leader.leads and leader.ready)
    follower = site.start_gateway("node-2")
    until(lambda: follower._relay.covered)
    yield site, leader, follower
    site.close()


def watches(site, kind):
    return sum(call[1] == kind and "watch" in call[3] for call in site.store.calls)


def test_a_change_is_relayed_without_a_call_of_the_follower(pair):
    site, leader, follower = pair
    before = watches(site, "servers")
    for number in range(4):
        site.start_upstream(f"new-{number}", "plain")
        until(lambda number=number: f"new-{number}" in follower.directory.servers.records, 1.0)
    watch_calls = [call for call in site.store.calls if "watch" in call[3] and call[1] == "servers"]
    assert watches(site, "servers") - before <= 16  # The leader sends at least one per 0.5 s.
    wait_ms = leader._settings.relay_limit_ms * PROOF_WAIT_FRACTION
    assert max(int(call[3]["wait_ms"]) for call in watch_calls[-4:]) == int(wait_ms)


def test_key_maps_are_relayed_as_differences(pair):
    site, leader, follower = pair
    site.start_upstream("s2", "keyed", sharded=True)
    site.store.remove("servers", "s1")
    until(lambda: all_held_by(follower, "s2"))
    assert follower.directory.keymaps["keyed"] == leader.directory.keymaps["keyed"]
    until(lambda: follower._relay.covered)


def all_held_by(gateway, server_id):
    ranges = gateway.directory.keymaps["keyed"].ranges
    return all(item.settled and item.holder.server_id == server_id for item in ranges)


@pytest.mark.parametrize("fault", ["gone", "cut off from the store"])
def test_without_a_current_leader_a_change_is_known_in_time(pair, fault, monkeypatch):
    site, leader, follower = pair
    if fault == "gone":
        leader.abort()
    else:
        for name in ("replace", "get", "watch", "list_all"):
            monkeypatch.setattr(leader._store, name, refuse)
        leader._store.interrupt()
    start_ms = elapsed_ms()
    site.store.put("config", "main", {**CONFIG, "version": "00000009"})
    until(lambda: follower.directory.table.version == 9, 3.0)
    limit_ms = follower._settings.relay_limit_ms
    assert elapsed_ms() - start_ms < limit_ms + 500.0


def test_a_watch_that_died_without_a_word_proves_nothing(pair, monkeypatch):
    """Guards against relying on a leader that renews its lease while its watch is dead."""
    site, leader, follower = pair

    def unanswered(_kind, _after, _wait_s):
        gevent.sleep(60)

    monkeypatch.setattr(leader._store, "watch", unanswered)
    leader._store.interrupt()
    gevent.sleep(0.3)
    start_ms = elapsed_ms()
    site.store.put("config", "main", {**CONFIG, "version": "00000009"})
    until(lambda: follower.directory.table.version == 9, 3.0)
    assert elapsed_ms() - start_ms < follower._settings.relay_limit_ms + 500.0
    assert leader.leads


def test_while_the_leader_lists_again_the_others_go_on_by_its_word(pair, monkeypatch):
    """Guards against 78 nodes that list all objects from the store at a leader's failed watch."""
    site, leader, follower = pair
    until(lambda: follower._relay.covered)
    monkeypatch.setattr(follower._store, "list_all", refuse)
    asked = []
    monkeypatch.setattr(follower._store, "watch", lambda kind, *_: asked.append(kind) or refuse())
    site.store.compact()
    leader._store.interrupt()
    gevent.sleep(1.0)
    assert asked == []
    assert follower._relay.covered


def test_dropped_history_makes_a_view_older_by_the_time_without_watches(pair, monkeypatch):
    _site, leader, _follower = pair
    (task,) = [task for task in leader._feeds if task.kind == "servers"]
    until(lambda: elapsed_ms() - task.view.current_ms < 500.0)
    monkeypatch.setattr(leader._store, "list_all", refuse)

    def dropped(_kind, _after, _wait_s):
        raise HistoryDroppedError("servers")

    monkeypatch.setattr(leader._store, "watch", dropped)
    leader._store.interrupt()
    until(lambda: elapsed_ms() - task.view.current_ms >= STALLED_WATCH_MS, 3.0)


def test_in_an_outage_one_task_of_a_node_asks_for_all(pair, monkeypatch):
    """Guards against 195 nodes that ask the store for two kinds at each beacon of the leader."""
    site, leader, follower = pair
    asked = []

    def unavailable(kind, *_args, **_options):
        asked.append(kind)
        raise StoreCallError("away")

    for name in ("replace", "get", "watch", "list_all"):
        monkeypatch.setattr(leader._store, name, refuse)
    for name in ("watch", "list_all"):
        monkeypatch.setattr(follower._store, name, unavailable)
    leader._store.interrupt()
    follower._store.interrupt()
    until(lambda: follower._elector.store_unavailable)
    gevent.sleep(3.0)
    assert asked.count("config") + asked.count("configuration") <= 3
    assert asked.count("servers") <= 3
    assert asked.count("leases") >= 5
    monkeypatch.undo()
    site.store.put("config", "main", {**CONFIG, "version": "00000009"})
    until(lambda: follower.directory.table.version == 9, 3.0)


def refuse(*_args, **_options):
    raise StoreCallError("refused")


def test_a_node_that_the_store_refuses_relies_on_the_leaders_relay(pair, monkeypatch):
    site, leader, follower = pair
    monkeypatch.setattr("ploverhatch.sharding.view.MAP_TRUST_MS", 1000.0)
    for name in ("replace", "get", "watch", "list_all"):
        monkeypatch.setattr(follower._store, name, refuse)
    gevent.sleep(1.5)
    assert follower.directory.keymaps_trusted
    site.start_upstream("late", "plain")
    until(lambda: "late" in follower.directory.servers.records, 1.0)
    leader.abort()
    gevent.sleep(1.5 + follower._settings.relay_limit_ms / 1000)
    assert not follower.directory.keymaps_trusted


def test_a_follower_reads_the_lease_seldom(pair):
    site, leader, follower = pair
    gevent.sleep(0.2)
    before = len([call for call in site.store.calls if call[3].get("stale")])
    gevent.sleep(2.0)
    assert len([call for call in site.store.calls if call[3].get("stale")]) - before <= 1


def test_the_follower_takes_over_when_the_leader_ends(pair):
    site, leader, follower = pair
    leader.abort()
    until(lambda: follower.leads, 8.0)


def all_settled(gateway):
    return all(item.settled for item in gateway.directory.keymaps["keyed"].ranges)


# ---- key maps as differences ----------------------------------------------------------


class KeymapDirectory:
    """A directory with key maps only."""

    def __init__(self, *keymaps):
        self.keymaps = {keymap.service: keymap for keymap in keymaps}
        self.outdated_keymaps = set()

    def put_keymap(self, keymap):
        self.keymaps[keymap.service] = keymap
        return True


def keymaps():
    """Return three successive maps."""
    first = first_assignment(KeyMap("keyed"), [Move(0, LAST_KEY, HOLDERS[0])])
    first = KeyMap("keyed", first.ranges, first.token, 5)
    second = begin_moves(first, [Move(100, 200, HOLDERS[1]), Move(150, 300, HOLDERS[2])])
    second = KeyMap("keyed", second.ranges, second.token, 6)
    third = begin_moves(second, [Move(0, LAST_KEY, HOLDERS[1])])
    return first, second, KeyMap("keyed", third.ranges, third.token, 9)


def relayed(*sequence):
    """Return the changes that a leader relays that knew the first map when its term began."""
    relay = KeymapRelay(KeymapDirectory(sequence[0]))
    relay.begin_term()
    return [relay.change_of(keymap) for keymap in sequence[1:]]


def test_differences_build_the_same_map():
    first, second, third = keymaps()
    directory = KeymapDirectory(first)
    for change in relayed(first, second, third):
        assert KeymapRelay(directory).apply(change)
    assert directory.keymaps["keyed"] == third


def test_a_difference_from_an_unknown_map_is_not_applied():
    first, second, third = keymaps()
    _, change = relayed(first, second, third)
    directory = KeymapDirectory(first)
    assert not KeymapRelay(directory).apply(change)
    assert directory.keymaps["keyed"] == first


def test_a_difference_that_leaves_a_gap_is_not_applied():
    pieces = [Move(0, 999, HOLDERS[0]), Move(1000, LAST_KEY, HOLDERS[1])]
    assigned = first_assignment(KeyMap("keyed"), pieces)
    before = KeyMap("keyed", assigned.ranges, assigned.token, 5)
    after = begin_moves(before, [Move(10, 20, HOLDERS[2])])
    (change,) = relayed(before, KeyMap("keyed", after.ranges, after.token, 6))
    narrower = KeyMap("keyed", before.ranges[:1], before.token, 5)
    assert KeymapRelay(KeymapDirectory(before)).apply(change)
    assert not KeymapRelay(KeymapDirectory(narrower)).apply(change)


def test_a_known_map_is_skipped_and_relayed_once():
    first, second, _ = keymaps()
    relay = KeymapRelay(KeymapDirectory(first))
    relay.begin_term()
    change = relay.change_of(second)
    assert relay.change_of(second) is None
    assert relay.encode(ObjectChange(VersionedObject("keyed", 6, None), gone=False)) is None
    assert KeymapRelay(KeymapDirectory(second)).apply(change)


def test_a_first_map_is_relayed_whole():
    first, *_ = keymaps()
    relay = KeymapRelay(KeymapDirectory())
    relay.begin_term()
    change = relay.change_of(first)
    assert change.base == 0
    directory = KeymapDirectory()
    assert KeymapRelay(directory).apply(change)
    assert directory.keymaps["keyed"] == first


# ---- whole kinds from the leader --------------------------------------------------------


def calls_for(site, kind, since):
    return [call for call in site.store.calls[since:] if call[1] == kind]


def test_a_node_that_starts_learns_from_the_leader(pair):
    site, leader, follower = pair
    # The leader stores ranges as settled some time after their grants, by a separate call.
    until(lambda: all_settled(leader))
    before = len(site.store.calls)
    late = site.start_gateway("node-3")
    until(lambda: late.ready and late._relay.covered)
    after = site.store.calls[before:]
    listed = [call for call in after if call[1] != "leases" and "watch" not in call[3]]
    assert listed == []
    assert late.directory.keymaps == leader.directory.keymaps
    assert late.directory.table.version == leader.directory.table.version
    assert late.directory.servers.records == leader.directory.servers.records


def test_a_node_that_starts_while_a_key_map_is_written_learns_from_the_leader(pair):
    site, leader, follower = pair
    until(lambda: all_settled(leader))
    before = len(site.store.calls)
    late = site.start_gateway("node-3")
    site.start_upstream("s2", "keyed", sharded=True)
    site.store.remove("servers", "s1")
    until(lambda: late.ready and late._relay.covered)
    until(lambda: all_held_by(late, "s2"))
    assert late.directory.keymaps == leader.directory.keymaps
    asked = [call for call in site.store.calls[before:] if call[0] == "GET"]
    assert [call for call in asked if call[1] != "leases" and "watch" not in call[3]] == []


def test_a_node_that_starts_reads_the_store_when_no_leader_answers(pair, monkeypatch):
    site, leader, follower = pair
    leader._peer_server.stop()
    late = site.start_gateway("node-3")
    until(lambda: late.ready, 4.0)


def test_a_long_configuration_costs_the_follower_no_call(pair):
    site, leader, follower = pair
    route = CONFIG["virtual_hosts"][0]["route_paths"][0]
    routes = [{**route, "name": f"r{n}", "path_prefix": f"/r{n}/"} for n in range(400)]
    hosts = [*CONFIG["virtual_hosts"], {"host": "long.example", "route_paths": routes}]
    before = len(site.store.calls)
    site.store.put("config", "main", {**CONFIG, "version": "00000009", "virtual_hosts": hosts})
    until(lambda: follower.directory.table.version == 9, 2.0)
    until(lambda: follower._relay.covered)
    limit = 4  # watches of the leader in that time
    assert len(calls_for(site, "config", before)) <= limit


def test_no_snapshot_is_made_from_an_old_view_of_the_leader(pair, monkeypatch):
    site, leader, follower = pair
    assert leader._relay.snapshot("servers") is not None
    assert follower._relay.snapshot("servers") is None
    for name in ("replace", "get", "watch", "list_all"):
        monkeypatch.setattr(leader._store, name, refuse)
    leader._store.interrupt()
    gevent.sleep(leader._settings.relay_limit_ms / 1000 + 0.1)
    assert leader._relay.snapshot("servers") is None
    assert leader._relay.snapshot("keymaps") is not None  # Its authority shows that it is current.


def test_a_node_without_the_store_finds_the_next_leader(monkeypatch):
    """Guards against refusing requests for all keys at such nodes after a change of leaders."""
    site = Site()
    site.store.put("config", "main", CONFIG)
    site.start_upstream("s1", "keyed", sharded=True)
    first = site.start_gateway("node-1")
    until(lambda: first.leads and first.ready)
    second = site.start_gateway("node-2")
    until(lambda: second._relay.covered)
    cut = site.start_gateway("node-3")
    until(lambda: cut._relay.covered)
    until(lambda: len(second._elector.members) >= 2, 8.0)
    monkeypatch.setattr("ploverhatch.sharding.view.MAP_TRUST_MS", 1500.0)
    for name in ("create", "replace", "get", "watch", "list_all"):
        monkeypatch.setattr(cut._store, name, refuse)
    first.abort()
    until(lambda: second.leads)
    until(lambda: cut._elector.leader_address == second._elector.address, 3.0)
    until(lambda: cut.directory.keymaps_trusted, 3.0)
    site.start_upstream("late", "plain")
    until(lambda: "late" in cut.directory.servers.records, 3.0)
    gevent.sleep(2.0)
    assert cut.directory.keymaps_trusted
    site.close()


def test_key_maps_stay_trusted_while_the_store_answers_nobody(pair, monkeypatch):
    site, leader, follower = pair
    monkeypatch.setattr("ploverhatch.sharding.view.MAP_TRUST_MS", 1000.0)
    for gateway in (leader, follower):
        for name in ("create", "replace", "get", "watch", "list_all"):
            monkeypatch.setattr(gateway._store, name, refuse)
        gateway._store.interrupt()
    gevent.sleep(2.0)
    assert leader._elector.has_authority
    assert leader.directory.keymaps_trusted
    assert follower.directory.keymaps_trusted


def test_a_move_goes_on_while_the_store_takes_no_map(pair, monkeypatch):
    """Guards against requests for hot ranges that wait for 3.7 s."""
    site, leader, follower = pair
    site.start_upstream("s2", "keyed", sharded=True)
    replace_object = leader._store.replace
    stored = []

    def replace_once(kind, name, spec, revision):
        if kind == "keymaps" and stored:
            raise StoreCallError("refused")
        stored.append(kind) if kind == "keymaps" else None
        return replace_object(kind, name, spec, revision)

    monkeypatch.setattr(leader._store, "replace", replace_once)
    site.store.remove("servers", "s1")

    def usable(gateway):
        keymap = gateway.directory.keymaps["keyed"]
        ranges = [item for item in keymap.ranges if item.holder.server_id == "s2"]
        granted = [gateway.directory.is_granted("keyed", item) for item in ranges]
        return bool(granted) and all(granted)

    until(lambda: usable(follower) and usable(leader), 6.0)
    assert stored == ["keymaps"]
