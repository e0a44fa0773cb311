"""Incarnations of servers: the state of one doesn't apply to another."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from ploverhatch.gateway.dialect import ReleaseCall
from ploverhatch.platform.dialect import PlatformDialect
from ploverhatch.sharding.keymap import Holder, KeyMap, Move, first_assignment, settle
from ploverhatch.sharding.leader_core import LeaderCore
from ploverhatch.sharding.messages import SendGrant, SendRelease, ServiceView, StoreMap
from ploverhatch.state.incarnations import (
    incarnation_id,
    is_later_incarnation,
    registered_name,
    started_ms,
)
from ploverhatch.state.server_notices import ServerNotice
from ploverhatch.state.servers import ServerRecord, ServerSet

SERVICE = "svc"
STARTED_MS = 1_764_700_000_000


@given(st.text(), st.integers(min_value=1, max_value=10**15))
def test_an_incarnation_id_holds_server_and_start(name, start_ms):
    assert registered_name(incarnation_id(name, start_ms)) == name
    assert started_ms(incarnation_id(name, start_ms)) == start_ms


def test_a_server_with_unknown_start_has_one_incarnation():
    assert incarnation_id("i-1", 0) == "i-1"
    assert registered_name("i-1") == "i-1"
    assert registered_name("i~x") == "i~x"
    assert started_ms("i-1") == 0


def test_only_a_later_start_of_the_same_server_proves_that_an_incarnation_ended():
    first, second = incarnation_id("i-1", STARTED_MS), incarnation_id("i-1", STARTED_MS + 5)
    assert is_later_incarnation(second, first)
    assert not is_later_incarnation(first, second)
    assert not is_later_incarnation(first, first)
    assert not is_later_incarnation(incarnation_id("i-2", STARTED_MS + 5), first)
    assert not is_later_incarnation(second, "i-1")
    assert not is_later_incarnation("i-1", first)


def record(start_ms, port=9000, name="i-1", **changes):
    values = ServerRecord(incarnation_id(name, start_ms), SERVICE, "10.0.0.1", port, "z1", 2, False)
    return replace(values, **changes)


def test_the_record_of_another_incarnation_replaces_the_previous_one():
    servers = ServerSet()
    assert servers.put(record(STARTED_MS), 0.0) == ""
    servers.apply_notice(incarnation_id("i-1", STARTED_MS), ServerNotice(True, 9000.0), 10.0)
    servers.note_cold(incarnation_id("i-1", STARTED_MS), 5000.0)
    assert servers.put(record(STARTED_MS + 5), 100.0) == incarnation_id("i-1", STARTED_MS)
    assert list(servers.records) == [incarnation_id("i-1", STARTED_MS + 5)]
    (present,) = servers.records.values()
    assert not present.leaving
    assert servers.notices.backing_off(100.0) == {}
    assert not servers.is_cold(present.server_id, 100.0)
    servers.remove("i-1", 200.0)
    assert servers.records == {}


def test_a_listing_replaces_incarnations():
    servers = ServerSet()
    servers.replace_all([record(STARTED_MS), record(STARTED_MS, 9001, "i-2")], 0.0)
    servers.note_store_failure(0.0)
    servers.replace_all([record(STARTED_MS + 5), record(STARTED_MS, 9001, "i-2")], 100.0)
    assert set(servers.records) == {
        incarnation_id("i-1", STARTED_MS + 5),
        incarnation_id("i-2", STARTED_MS),
    }
    assert servers.vanished == {}


def test_calls_name_the_server_and_not_its_incarnation():
    dialect = PlatformDialect()
    call = dialect.encode_release(
        ReleaseCall(1, 2, 3), incarnation_id("i-1", STARTED_MS), "10.0.0.1:80"
    )
    assert b"\r\nExpect-Instance: i-1\r\n" in call


# ---- the leader ----------------------------------------------------------------------------


def holder(start_ms, port=9000, name="i-1"):
    return Holder(incarnation_id(name, start_ms), "10.0.0.1", port)


def core_of(first, second):
    pieces = [Move(0, 32767, first), Move(32768, 65535, second)]
    keymap = settle(first_assignment(KeyMap(SERVICE), pieces), lambda item: True)
    core = LeaderCore()
    core.inherit(replace(keymap, revision=1), 0.0)
    return core


def moved(core, *records):
    """Show records to the leader; return its calls after its map is stored."""
    views = {SERVICE: ServiceView(records)}
    actions = core.tick(1000.0, views, True)
    (stored,) = [action for action in actions if isinstance(action, StoreMap)]
    core.map_stored(stored.keymap, 2, 1000.0)
    return core.tick(1050.0, views, True)


def of_kind(actions, kind):
    return [action for action in actions if isinstance(action, kind) and _of_moves(action)]


def _of_moves(action):
    return isinstance(action, SendRelease) or not action.renewal


def test_keys_of_an_ended_incarnation_are_granted_again_at_once_with_a_higher_token():
    core = core_of(holder(STARTED_MS), holder(STARTED_MS, 9001, "i-2"))
    actions = moved(core, record(STARTED_MS + 5, 9007), record(STARTED_MS, 9001, "i-2"))
    grants = of_kind(actions, SendGrant)
    assert grants and {call.range_id.token for call in grants} != {1}
    assert holder(STARTED_MS) not in {call.holder for call in grants}
    assert of_kind(actions, SendRelease) == []


def test_a_server_restarted_at_its_address_releases_first():
    """A delayed grant to the previous incarnation could reach the new one."""
    core = core_of(holder(STARTED_MS), holder(STARTED_MS, 9001, "i-2"))
    actions = moved(core, record(STARTED_MS + 5), record(STARTED_MS, 9001, "i-2"))
    assert of_kind(actions, SendGrant) == []
    assert {call.holder for call in of_kind(actions, SendRelease)} == {holder(STARTED_MS)}


def test_an_incarnation_with_unknown_start_may_be_the_same_and_releases_first():
    """A map of an earlier version names servers, not incarnations."""
    core = core_of(Holder("i-1", "10.0.0.1", 9000), holder(STARTED_MS, 9001, "i-2"))
    actions = moved(core, record(STARTED_MS, 9007), record(STARTED_MS, 9001, "i-2"))
    assert of_kind(actions, SendGrant) == []
    assert [call.holder.server_id for call in of_kind(actions, SendRelease)] == ["i-1"]
