"""Standbys: servers that may be granted ranges while the store accepts no map."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from ploverhatch.gateway import keymap_codec
from ploverhatch.sharding.holders import LeaseTiming
from ploverhatch.sharding.keymap import (
    Holder,
    KeyMap,
    Move,
    begin_moves,
    first_assignment,
    settle,
)
from ploverhatch.sharding.leader_core import LeaderCore
from ploverhatch.sharding.messages import (
    CallOutcome,
    HoldEnd,
    SendGrant,
    SendRelease,
    ServiceView,
    StoreMap,
    range_id,
)
from ploverhatch.sharding.standbys import assign_standbys, inherited, promote
from ploverhatch.state.servers import ServerRecord
from ploverhatch.store.objects import VersionedObject

SERVICE = "svc"
LEAVES_MS = 1000.0


def holder(number):
    return Holder(f"s{number}", "10.0.0.1", 9000 + number)


def record(number, draining=False):
    return ServerRecord(f"s{number}", SERVICE, "10.0.0.1", 9000 + number, "zone", 2, draining)


def view(*leaving, count=3):
    records = [record(number, number in leaving) for number in range(count)]
    return {SERVICE: ServiceView(records, {}, {})}


def of_kind(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


def assigned(count=3):
    """Return a settled map of ``count`` servers, with standbys, as the store has it."""
    width = 65536 // count
    pieces = [Move(n * width, (n + 1) * width - 1, holder(n)) for n in range(count - 1)]
    pieces.append(Move((count - 1) * width, 65535, holder(count - 1)))
    keymap = settle(first_assignment(KeyMap(SERVICE), pieces), lambda item: True)
    return replace(assign_standbys(keymap, keymap, [holder(n) for n in range(count)]), revision=1)


def leading(keymap):
    """Return a core that has stored the map in its term."""
    core = LeaderCore()
    core.inherit(KeyMap(SERVICE), 0.0)
    core.map_stored(keymap, keymap.revision, 0.0)
    return core


@given(
    st.lists(st.tuples(st.integers(0, 65535), st.integers(0, 65535), st.integers(0, 4)), max_size=8)
)
def test_reserved_tokens_belong_to_no_grant_and_rise(drawn):
    candidates = [holder(number) for number in range(5)]
    stored = assigned(5)
    for one, other, target in drawn:
        moves = [Move(min(one, other), max(one, other), holder(target))]
        keymap = begin_moves(settle(stored, lambda item: True), moves)
        keymap = assign_standbys(keymap, stored, candidates)
        grants = {item.token for item in keymap.ranges}
        for item in keymap.ranges:
            assert item.renewal.holder == item.holder != item.standby.holder
            assert item.token < item.renewal.token < item.standby.token <= keymap.token
            assert not grants & {item.renewal.token, item.standby.token}
        known = {standby for item in stored.ranges for standby in (item.renewal, item.standby)}
        assert known <= {standby for item in keymap.ranges for standby in item.standbys}
        stored = keymap


# Guards against maps that grow with each move, until the store takes none of them any more.
def test_a_replaced_standby_is_listed_in_one_more_map_only():
    candidates = [holder(number) for number in range(5)]
    stored = assigned(5)
    for number in range(40):
        moved = begin_moves(stored, [Move(0, 100, holder(number % 5))])
        keymap = assign_standbys(settle(moved, lambda item: True), stored, candidates)
        by_key = {item.first: item for item in keymap.ranges}
        replaced = {stored.find(0).renewal, stored.find(0).standby}
        assert replaced <= set(by_key[0].standbys)
        assert len(by_key[0].standbys) <= 4
        stored = keymap


@given(st.sets(st.integers(1, 12)))
def test_promotions_have_the_same_result_one_at_a_time_and_together(tokens):
    """A node that missed the first of two promotions still sent requests to the lost holder."""
    keymap = assigned()
    promoted = keymap
    for token in sorted(tokens):
        promoted = promote(promoted, {token})
    assert promote(keymap, tokens) == promoted


def test_the_stored_form_keeps_standbys():
    keymap = inherited(assigned())
    for known in (assigned(), keymap):
        stored = VersionedObject(SERVICE, 1, keymap_codec.encode_keymap(known))
        assert keymap_codec.decode_keymap(stored) == known


def test_the_standby_is_granted_the_range_when_its_holder_has_released_it():
    core = leading(assigned())
    before = core.keymap(SERVICE).find(0)
    actions = core.tick(LEAVES_MS, view(0), False, store_unavailable=True)
    (release,) = of_kind(actions, SendRelease)
    assert release.holder == holder(0)
    assert release.range_id.token == before.standby.token
    grants = of_kind(core.tick(LEAVES_MS + 50, view(0), False, store_unavailable=True), SendGrant)
    assert all(grant.renewal for grant in grants)
    actions = core.release_ended(release, CallOutcome.DONE, "handover", LEAVES_MS + 60)
    (grant,) = of_kind(actions, SendGrant)
    assert (grant.holder, grant.range_id.token) == (before.standby.holder, before.standby.token)
    assert core.promoted(SERVICE) == {before.standby.token}


def test_while_the_store_answers_no_standby_is_promoted():
    core = leading(assigned())
    core.tick(LEAVES_MS, view(0), True)
    assert core.promoted(SERVICE) == frozenset()


def test_only_a_standby_that_is_known_to_be_stored_is_promoted():
    """A later leader would not know of other standbys."""
    core = leading(KeyMap(SERVICE))
    (action,) = of_kind(core.tick(0.0, view(), True) + core.tick(2000.0, view(), True), StoreMap)
    core.map_not_stored(SERVICE)
    core.tick(3000.0, view(0), False, store_unavailable=True)
    assert core.promoted(SERVICE) == frozenset()
    core.map_stored(action.keymap, 1, 3000.0)
    core.tick(3100.0, view(0), False, store_unavailable=True)
    assert core.promoted(SERVICE)


def test_a_leader_promotes_no_standbys_of_its_successor():
    """Otherwise keys are released at the successor's tokens, and its own grants are refused.

    The simulation showed this (seeds 207 and 250).
    """
    core = leading(assigned())
    later = begin_moves(assigned(), [Move(0, 65535, holder(0))])
    later = assign_standbys(later, later, [holder(number) for number in range(3)])
    core.map_seen(replace(later, revision=2), 500.0)
    core.tick(LEAVES_MS, view(0), False, store_unavailable=True)
    assert core.promoted(SERVICE) == frozenset()


def test_a_holder_whose_connection_closed_is_granted_its_range_again():
    core = leading(assigned())
    core.note_connection_closed(holder(0))
    actions = core.tick(LEAVES_MS, view(), False, store_unavailable=True)
    (grant,) = [grant for grant in of_kind(actions, SendGrant) if not grant.renewal]
    assert (grant.holder, grant.range_id.token) == (
        holder(0),
        assigned().find(0).renewal.token,
    )


def test_a_promotion_is_stored_first_when_the_store_is_available_again():
    core = leading(assigned())
    (release,) = of_kind(core.tick(LEAVES_MS, view(0), False, store_unavailable=True), SendRelease)
    (grant,) = of_kind(core.release_ended(release, CallOutcome.DONE, "", 1010.0), SendGrant)
    core.grant_ended(grant, CallOutcome.DONE, 1020.0)
    (action,) = of_kind(core.tick(9000.0, view(0), True), StoreMap)
    item = action.keymap.find(0)
    assert (item.holder, item.token, item.settled) == (grant.holder, grant.range_id.token, True)
    core.map_stored(action.keymap, 2, 9010.0)
    assert core.promoted(SERVICE) == frozenset()


def test_a_promotion_that_the_stored_map_shows_is_stored_once():
    """A leader stored the same promotion for ever, and moved no keys of servers that were gone.

    A promoted token stayed listed for another part of the range, which had moved since.
    """
    keymap = assigned()
    rest = keymap.find(0).last // 2
    moved = settle(begin_moves(keymap, [Move(rest, rest, holder(2))]), lambda item: True)
    stored = replace(assign_standbys(moved, keymap, [holder(n) for n in range(3)]), revision=2)
    promoted = keymap.find(0).standby
    assert promoted in stored.find(rest).standbys
    core = leading(keymap)
    core.tick(LEAVES_MS, view(0), False, store_unavailable=True)
    assert promoted.token in core.promoted(SERVICE)
    core.map_stored(stored, stored.revision, 1100.0)
    now_ms, writes = 9000.0, 0
    while actions := of_kind(core.tick(now_ms, view(0), True), StoreMap):
        writes += 1
        assert writes < 4
        core.map_stored(actions[0].keymap, 2 + writes, now_ms)
    assert all(item.holder != holder(0) for item in core.keymap(SERVICE).ranges)


def test_the_move_of_a_map_stored_after_a_promotion_waits_for_the_standby():
    """The answer to the map's write was lost, so the map may be stored after the promotion."""
    core = leading(assigned())
    (action,) = of_kind(core.tick(LEAVES_MS, view(0), True), StoreMap)
    core.map_not_stored(SERVICE)
    (release,) = of_kind(core.tick(1300.0, view(0), False, store_unavailable=True), SendRelease)
    (grant,) = of_kind(core.release_ended(release, CallOutcome.DONE, "", 1310.0), SendGrant)
    core.grant_ended(grant, CallOutcome.DONE, 1320.0)
    core.map_seen(replace(action.keymap, revision=2), 1400.0)
    moved = core.keymap(SERVICE).find(0)
    assert moved.token > grant.range_id.token
    assert moved.holder == grant.holder or grant.holder in moved.previous
    (release, *_) = of_kind(core.tick(1450.0, view(0), False, store_unavailable=True), SendRelease)
    stores = of_kind(core.tick(1460.0, view(0), True), StoreMap)
    assert not any(action.keymap.find(0).settled for action in stores)
    assert not core.keymap(SERVICE).find(0).settled


def test_the_next_leader_has_standbys_release_before_it_grants_anything():
    core = LeaderCore()
    core.inherit(assigned(), 5000.0, 0.0, same_incarnations=False)
    (action,) = of_kind(core.tick(100.0, view(), True), StoreMap)
    core.map_stored(action.keymap, 2, 110.0)
    actions = core.tick(150.0, view(), True)
    assert of_kind(actions, SendGrant) == []
    releases = of_kind(actions, SendRelease)
    standbys = {item.standby.holder for item in assigned().ranges}
    assert {release.holder for release in releases} == standbys
    granted = []
    for release in releases:
        granted += core.release_ended(release, CallOutcome.DONE, "its-own", 160.0)
    holders = {range_id(SERVICE, item): item.holder for item in action.keymap.ranges}
    assert {grant.range_id: grant.holder for grant in granted} == holders
    assert {grant.handover for grant in granted} == {""}


def releases_of_standbys(core):
    """Return the releases that a leader sends to the standbys of an earlier one."""
    core.inherit(assigned(), 5000.0, 0.0, same_incarnations=False)
    (action,) = of_kind(core.tick(100.0, view(), True), StoreMap)
    core.map_stored(action.keymap, 2, 110.0)
    return of_kind(core.tick(150.0, view(), True), SendRelease)


def test_a_former_standby_that_has_stopped_is_not_waited_for():
    core = LeaderCore()
    granted = []
    for release in releases_of_standbys(core):
        granted += core.release_ended(release, CallOutcome.OTHER_INSTANCE, "", 160.0)
    grants = of_kind(granted, SendGrant)
    assert len(grants) == 3
    assert {end for grant in grants for end in grant.ended.values()} == {HoldEnd.STOPPED}


def test_a_former_standby_whose_address_refuses_is_waited_for():
    """A link that refused a release was taken as proof that the standby had ended."""
    core = LeaderCore()
    for release in releases_of_standbys(core):
        assert core.release_ended(release, CallOutcome.NOT_LISTENING, "", 160.0) == []
    expired_ms = LeaseTiming().expiry_ms(5000.0)
    assert of_kind(core.tick(expired_ms - 1.0, view(), True), SendGrant) == []
    grants = of_kind(core.tick(expired_ms, view(), True), SendGrant)
    assert len(grants) == 3
    assert {end for grant in grants for end in grant.ended.values()} == {HoldEnd.EXPIRED}
