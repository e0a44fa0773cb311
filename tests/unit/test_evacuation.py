"""Evacuation of a zone: which servers count as leaving, and where their keys move."""

from dataclasses import replace

from ploverhatch.admission import groups
from ploverhatch.admission.groups import GroupName
from ploverhatch.gateway.directory import Directory
from ploverhatch.routing.route_table import RouteTable, Service
from ploverhatch.sharding.keymap import Holder, KeyMap, Move, first_assignment, settle
from ploverhatch.sharding.leader_core import LeaderCore
from ploverhatch.sharding.messages import (
    CallOutcome,
    SendGrant,
    SendRelease,
    ServiceView,
    StoreMap,
)
from ploverhatch.state.servers import ServerRecord, ServerSet

SERVICE = "svc"
ZONES = ("a", "b", "c")


def record(number, draining=False):
    zone = ZONES[number % len(ZONES)]
    return ServerRecord(f"s{number}", SERVICE, "10.0.0.1", 9000 + number, zone, 2, draining)


def full_set(count=6):
    servers = ServerSet()
    servers.replace_all([record(number) for number in range(count)], 0.0)
    return servers


def leaving(servers):
    return {item.server_id for item in servers.records.values() if item.leaving}


def test_the_servers_of_an_evacuated_zone_are_leaving():
    servers = full_set()
    servers.set_evacuated({"b"}, 100.0)
    assert leaving(servers) == {"s1", "s4"}
    assert servers.leaving_since == {"s1": 100.0, "s4": 100.0}


def test_a_server_that_joins_an_evacuated_zone_is_leaving_too():
    servers = full_set()
    servers.set_evacuated({"b"}, 100.0)
    servers.put(record(7), 200.0)
    assert "s7" in leaving(servers)


def test_a_zone_that_is_no_longer_evacuated_is_used_again_except_draining_servers():
    servers = full_set()
    servers.set_evacuated({"b", "c"}, 100.0)
    servers.put(record(4, draining=True), 150.0)
    back = servers.set_evacuated({"c"}, 200.0)
    assert {item.server_id for item in back} == {"s1", "s4"}
    assert leaving(servers) == {"s2", "s4", "s5"}
    assert "s1" not in servers.leaving_since


def test_a_zone_may_be_evacuated_again():
    servers = full_set()
    for now_ms in (100.0, 300.0):
        servers.set_evacuated({"b"}, now_ms)
        assert servers.leaving_since["s1"] == now_ms
        servers.set_evacuated((), now_ms + 100.0)
        assert leaving(servers) == set()


def test_an_evacuated_server_is_no_member_of_its_group():
    servers = full_set()
    servers.set_evacuated({"b"}, 100.0)
    members = groups.members_of(GroupName(SERVICE), servers.of_service(SERVICE))
    assert {item.zone for item in members} == {"a", "c"}


def make_directory(cold_per_s):
    directory = Directory()
    services = {SERVICE: Service(SERVICE, False, 100, 3000.0, cold_per_s)}
    directory.apply_table(RouteTable(1, {}, services))
    directory.replace_servers([record(number) for number in range(3)])
    return directory


def test_servers_of_a_zone_that_is_no_longer_evacuated_count_as_cold():
    directory = make_directory(cold_per_s=6.7)
    directory.set_evacuated({"b"})
    directory.set_evacuated(())
    assert directory.servers.cold_until_ms.keys() == {"s1"}


def test_without_a_bound_for_cold_servers_none_counts_as_cold():
    directory = make_directory(cold_per_s=0.0)
    directory.set_evacuated({"b"})
    directory.set_evacuated(())
    assert directory.servers.cold_until_ms == {}


# ---- keys --------------------------------------------------------------------------------


def holder(number):
    return Holder(f"s{number}", "10.0.0.1", 9000 + number)


def three_holders():
    pieces = [Move(0, 20_000, holder(0)), Move(20_001, 40_000, holder(1))]
    pieces.append(Move(40_001, 65_535, holder(2)))
    keymap = settle(first_assignment(KeyMap(SERVICE), pieces), lambda item: True)
    core = LeaderCore()
    core.inherit(replace(keymap, revision=1), 0.0)
    return core


def view(records, **changes):
    return {SERVICE: ServiceView(tuple(records), **changes)}


def of_kind(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


def test_keys_are_handed_over_from_an_evacuated_zone():
    core = three_holders()
    servers = full_set(3)
    servers.set_evacuated({"b"}, 1000.0)
    views = view(servers.of_service(SERVICE))
    (action,) = of_kind(core.tick(1000.0, views, True), StoreMap)
    core.map_stored(action.keymap, 2, 1010.0)
    releases = of_kind(core.tick(1050.0, views, True), SendRelease)
    assert {call.holder for call in releases} == {holder(1)}
    granted = []
    for call in releases:
        granted += of_kind(core.release_ended(call, CallOutcome.DONE, "warm", 1100.0), SendGrant)
    assert {call.holder for call in granted} <= {holder(0), holder(2)}
    assert all(call.handover == "warm" for call in granted)


def test_keys_stay_if_all_zones_are_evacuated():
    core = three_holders()
    servers = full_set(3)
    servers.set_evacuated(ZONES, 1000.0)
    assert of_kind(core.tick(1000.0, view(servers.of_service(SERVICE)), True), StoreMap) == []


def test_a_cold_server_is_given_no_more_busy_keys_than_it_can_serve():
    """Keys of a draining server move to servers that can serve them."""
    core = three_holders()
    records = [record(0), record(1), record(2)]
    rates = {key: 20.0 for key in range(20_100, 39_000, 1_500)}
    changes = {"rates": rates, "cold": {"s0"}, "cold_per_s": 6.7}
    views = view([records[0], replace(records[1], draining=True), records[2]], **changes)
    (action,) = of_kind(core.tick(1000.0, views, True), StoreMap)
    moved = [item for item in action.keymap.ranges if not item.settled]
    rate = sum(
        rate
        for key, rate in rates.items()
        for item in moved
        if item.first <= key <= item.last and item.holder == holder(0)
    )
    assert rate < sum(rates.values()) / 4
