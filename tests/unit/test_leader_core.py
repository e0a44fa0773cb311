"""Decisions of the key leader's core, tested event by event."""

from dataclasses import replace

from ploverhatch.sharding.holders import LEASE_MS, UNREACHABLE_MS, LeaseTiming
from ploverhatch.sharding.keymap import (
    Holder,
    KeyMap,
    Move,
    begin_moves,
    first_assignment,
    settle,
)
from ploverhatch.sharding.leader_core import (
    CUT_OFF_MS,
    NEW_KEYS_GRACE_MS,
    SETTLE_MS,
    STABLE_SERVERS_MS,
    LeaderCore,
)
from ploverhatch.sharding.messages import (
    CallOutcome,
    ForgetServer,
    Resign,
    SendGrant,
    SendRelease,
    ServiceView,
    StepDown,
    StoreMap,
)
from ploverhatch.sharding.restored import TOKEN_GAP
from ploverhatch.sharding.view import unused_from_ms
from ploverhatch.state.servers import ServerRecord

SERVICE = "svc"
TIMING = LeaseTiming()


def record(number, draining=False):
    return ServerRecord(f"s{number}", SERVICE, "10.0.0.1", 9000 + number, "zone", 2, draining)


def holder(number):
    return Holder(f"s{number}", "10.0.0.1", 9000 + number)


def view(*records, rates=None):
    return {SERVICE: ServiceView(records, rates or {}, {})}


def of_kind(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


def two_servers():
    """Return a core with a settled map, in which s0 holds the lower half and s1 the upper one."""
    pieces = [Move(0, 32767, holder(0)), Move(32768, 65535, holder(1))]
    keymap = settle(first_assignment(KeyMap(SERVICE), pieces), lambda item: True)
    core = LeaderCore()
    core.inherit(replace(keymap, revision=1), 0.0)
    return core


def store(core, actions, revision):
    (action,) = of_kind(actions, StoreMap)
    core.map_stored(action.keymap, revision, 0.0)


def test_first_assignment_waits_for_a_stable_set_of_servers():
    core = LeaderCore()
    assert core.tick(0.0, view(record(0)), True) == []
    assert core.tick(900.0, view(record(0), record(1)), True) == []
    assert core.tick(1500.0, view(record(0), record(1)), True) == []
    actions = core.tick(900.0 + STABLE_SERVERS_MS, view(record(0), record(1)), True)
    (action,) = of_kind(actions, StoreMap)
    assert [item.holder for item in action.keymap.ranges] == [holder(0), holder(1)]
    assert not any(item.settled for item in action.keymap.ranges)


def test_grants_leave_only_after_the_map_is_stored():
    core = LeaderCore()
    core.tick(0.0, view(record(0)), True)
    actions = core.tick(STABLE_SERVERS_MS, view(record(0)), True)
    assert of_kind(actions, SendGrant) == []
    assert of_kind(core.tick(1100.0, view(record(0)), True), SendGrant) == []
    store(core, actions, 5)
    (grant,) = of_kind(core.tick(1150.0, view(record(0)), True), SendGrant)
    assert (grant.range_id.token, grant.renewal) == (1, False)
    core.grant_ended(grant, CallOutcome.DONE, 1160.0)
    assert core.granted("svc") == {1}
    assert of_kind(core.tick(1200.0, view(record(0)), True), StoreMap) == []
    settled_ms = 1160.0 + SETTLE_MS
    settled = of_kind(core.tick(settled_ms, view(record(0)), True), StoreMap)[0].keymap
    assert all(item.settled for item in settled.ranges)


def test_a_draining_server_releases_before_another_is_granted():
    core = two_servers()
    records = view(record(0, draining=True), record(1))
    core.grant_sent(holder(0), 900.0)
    actions = core.tick(1000.0, records, True)
    store(core, actions, 2)
    actions = core.tick(1050.0, records, True)
    (release,) = of_kind(actions, SendRelease)
    assert release.holder == holder(0)
    assert release.range_id.token == 2
    assert all(grant.renewal for grant in of_kind(actions, SendGrant))
    actions = core.release_ended(release, CallOutcome.DONE, "handover", 1100.0)
    (grant,) = of_kind(actions, SendGrant)
    assert (grant.holder, grant.handover, grant.range_id.token) == (holder(1), "handover", 2)


def test_a_grant_waits_until_the_lease_of_an_unresponsive_holder_expires():
    core = two_servers()
    core.grant_sent(holder(0), 900.0)
    records = view(record(0, draining=True), record(1))
    store(core, core.tick(1000.0, records, True), 2)
    now_ms = 1050.0
    while now_ms < TIMING.expiry_ms(900.0):
        for action in core.tick(now_ms, records, True):
            if isinstance(action, SendRelease):
                core.release_ended(action, CallOutcome.NO_ANSWER, "", now_ms)
            elif isinstance(action, SendGrant):
                assert action.renewal, f"granted at {now_ms} before the lease expired"
                core.grant_ended(action, CallOutcome.DONE, now_ms)
        now_ms += 50.0
    grants = of_kind(core.tick(TIMING.expiry_ms(900.0) + 1, records, True), SendGrant)
    assert [grant.holder for grant in grants if not grant.renewal] == [holder(1)]
    assert TIMING.expiry_ms(900.0) > 900.0 + LEASE_MS * 1.02


def test_another_incarnation_at_the_address_ends_the_wait():
    core = two_servers()
    core.grant_sent(holder(0), 900.0)
    records = view(record(0, draining=True), record(1))
    store(core, core.tick(1000.0, records, True), 2)
    (release,) = of_kind(core.tick(1050.0, records, True), SendRelease)
    actions = core.release_ended(release, CallOutcome.OTHER_INSTANCE, "", 1100.0)
    assert of_kind(actions, ForgetServer) == [ForgetServer("s0")]
    assert [grant.holder for grant in of_kind(actions, SendGrant)] == [holder(1)]


def test_renewals_go_to_each_holder_one_at_a_time():
    core = two_servers()
    grants = of_kind(core.tick(100.0, view(record(0), record(1)), True), SendGrant)
    assert {grant.holder for grant in grants} == {holder(0), holder(1)}
    assert all(grant.renewal for grant in grants)
    assert core.tick(150.0, view(record(0), record(1)), True) == []
    for grant in grants:
        core.grant_ended(grant, CallOutcome.DONE, 200.0)
    assert core.tick(200.0 + TIMING.renew_ms - 1, view(record(0), record(1)), True) == []
    assert len(core.tick(200.0 + TIMING.renew_ms, view(record(0), record(1)), True)) == 2


def test_a_renewal_is_not_sent_once_its_keys_move():
    core = two_servers()
    (grant, *_) = of_kind(core.tick(100.0, view(record(0), record(1)), True), SendGrant)
    assert core.may_send(grant.holder, grant.range_id, renewal=True)
    draining = view(record(0, draining=True), record(1, draining=True), record(2))
    core.tick(1000.0, draining, True)
    assert not core.may_send(grant.holder, grant.range_id, renewal=True)


def test_no_moves_begin_without_a_fresh_lease():
    core = two_servers()
    actions = core.tick(1000.0, view(record(0, draining=True), record(1)), False)
    assert of_kind(actions, StoreMap) == []


def test_an_unreachable_server_loses_its_keys():
    core = two_servers()
    records = view(record(0), record(1), record(2))
    now_ms = 0.0
    moved = []
    while now_ms < UNREACHABLE_MS * 3 and not moved:
        for action in core.tick(now_ms, records, True):
            if isinstance(action, SendGrant):
                core.grant_sent(action.holder, now_ms)
                lost = action.holder == holder(0)
                outcome = CallOutcome.NO_ANSWER if lost else CallOutcome.DONE
                core.grant_ended(action, outcome, now_ms)
            elif isinstance(action, StoreMap):
                moved = [item for item in action.keymap.ranges if not item.settled]
        now_ms += 50.0
    assert moved
    assert all(item.previous == (holder(0),) for item in moved)


def test_a_leader_that_reaches_few_servers_resigns():
    core = two_servers()
    records = view(record(0), record(1))
    now_ms = 0.0
    actions = []
    while now_ms < UNREACHABLE_MS + CUT_OFF_MS + 1000 and not of_kind(actions, Resign):
        actions = core.tick(now_ms, records, True)
        assert of_kind(actions, StoreMap) == []
        for grant in of_kind(actions, SendGrant):
            core.grant_ended(grant, CallOutcome.NO_ANSWER, now_ms)
        now_ms += 50.0
    assert of_kind(actions, Resign)


def test_a_leader_that_is_cut_off_resigns_at_once_and_moves_no_keys():
    core = two_servers()
    draining = view(record(0, draining=True), record(1))
    assert core.tick(1000.0, draining, True, cut_off=True) == [Resign(confirmed=True)]


# Guards against a cell without a leader, whose nodes rely on its beacons in an outage of the store.
def test_a_leader_that_is_cut_off_renews_grants_until_the_store_can_pass_the_lease_on():
    core = two_servers()
    draining = view(record(0, draining=True), record(1))
    for now_ms in (2000.0, 2050.0):
        actions = core.tick(now_ms, draining, True, store_unavailable=True, cut_off=True)
        assert all(isinstance(action, SendGrant) and action.renewal for action in actions)
        assert actions or now_ms > 2000.0
    assert core.tick(2100.0, draining, True, cut_off=True) == [Resign(confirmed=True)]


def test_after_a_write_without_an_answer_the_map_in_the_store_is_used():
    core = two_servers()
    records = view(record(0, draining=True), record(1))
    (action,) = of_kind(core.tick(1000.0, records, True), StoreMap)
    core.map_not_stored(SERVICE)
    core.map_seen(replace(action.keymap, revision=9), 1000.0)  # it had been stored after all
    assert core.keymap(SERVICE).revision == 9
    assert of_kind(core.tick(1050.0, records, True), SendRelease)


def test_an_older_map_is_not_adopted():
    core = two_servers()
    core.map_seen(replace(KeyMap(SERVICE), revision=1), 0.0)
    assert core.keymap(SERVICE).ranges


def test_a_grant_that_was_not_sent_does_not_count_against_the_server():
    core = two_servers()
    records = view(record(0), record(1))
    for now_ms in range(0, 3000, 50):
        for grant in of_kind(core.tick(float(now_ms), records, True), SendGrant):
            core.grant_ended(grant, CallOutcome.NOT_SENT, float(now_ms))
    assert of_kind(core.tick(3000.0, records, True), Resign) == []


def test_a_refused_renewal_of_keys_that_stay_tells_of_a_newer_leader():
    """A replaced leader that did not step down got 60 refused renewals in 3 s."""
    core = two_servers()
    (grant, *_) = of_kind(core.tick(100.0, view(record(0), record(1)), True), SendGrant)
    assert of_kind(core.grant_ended(grant, CallOutcome.REFUSED, 110.0), StepDown)


def test_a_leader_stays_after_a_refused_renewal_of_keys_that_move():
    core = two_servers()
    grants = of_kind(core.tick(100.0, view(record(0), record(1)), True), SendGrant)
    (grant,) = [grant for grant in grants if grant.holder == holder(0)]
    store(core, core.tick(1000.0, view(record(0, draining=True), record(1)), True), 2)
    assert of_kind(core.grant_ended(grant, CallOutcome.REFUSED, 1010.0), StepDown) == []


def test_short_leases_are_renewed_sooner():
    timing = LeaseTiming(1000.0)
    assert timing.renew_ms == 300.0
    assert 1020.0 < timing.expiry_ms(0.0) < 1500.0


def test_a_dominant_key_that_was_moved_rests():
    """Without a cooldown, one key moved twice within 0.4 s."""
    core = two_servers()
    records = view(record(0), record(1), record(2), rates={5: 60.0})
    fast = {"s0": 100.0, "s1": 50.0, "s2": 100.0}
    views = {SERVICE: replace(records[SERVICE], service_ms=fast)}
    (moved,) = of_kind(core.tick(1000.0, views, True), StoreMap)
    assert moved.keymap.find(5).holder == holder(1)
    settled = settle(moved.keymap, lambda item: True)
    core.map_stored(settled, 2, 1000.0)
    faster = {"s0": 100.0, "s1": 100.0, "s2": 40.0}
    views = {SERVICE: replace(records[SERVICE], service_ms=faster)}
    for action in of_kind(core.tick(1500.0, views, True), StoreMap):
        assert action.keymap.find(5).holder == holder(1)


def test_servers_that_are_gone_are_forgotten_once_their_leases_have_expired():
    core = two_servers()
    core.grant_sent(holder(0), 0.0)
    core.grant_sent(holder(1), 0.0)
    core.grant_sent(holder(7), 0.0)  # no map or record names it any more
    expired_ms = TIMING.expiry_ms(0.0) + 1.0
    assert core.forget_gone(["s5"], expired_ms - 10.0) == {"s0", "s1", "s5", "s7"}
    assert core.forget_gone(["s5"], expired_ms) == {"s0", "s1", "s5"}


def test_keys_of_a_silent_holder_wait_until_no_node_uses_the_old_map():
    """A late grant revived an expired lease (simulation, seed 194)."""
    core = two_servers()
    core.grant_sent(holder(0), 0.0)
    stored_ms = TIMING.expiry_ms(0.0) - 500.0  # the lease expires soon after
    records = view(record(1))
    actions = core.tick(stored_ms, records, True)
    (action,) = of_kind(actions, StoreMap)
    core.map_stored(action.keymap, 2, stored_ms)
    (release,) = of_kind(core.tick(stored_ms, records, True), SendRelease)
    core.release_ended(release, CallOutcome.NO_ANSWER, "", stored_ms + 100.0)
    unused_ms = unused_from_ms(stored_ms)
    assert unused_ms > TIMING.expiry_ms(0.0)

    def first_grants(now_ms):
        grants = of_kind(core.tick(now_ms, records, True), SendGrant)
        return [grant for grant in grants if not grant.renewal]

    assert first_grants(unused_ms - 1.0) == []
    assert [grant.holder for grant in first_grants(unused_ms)] == [holder(1)]


def renewed(core, actions, now_ms):
    """Acknowledge the renewals among actions; return all actions and those that follow."""
    followed = list(actions)
    for action in followed:
        if isinstance(action, SendGrant) and action.renewal:
            followed += core.grant_ended(action, CallOutcome.DONE, now_ms)
    return followed


def granted_core():
    """Return a core whose range at token 2 has moved from s0 to s1, and isn't stored as settled."""
    core = two_servers()
    records = view(record(0, draining=True), record(1))
    store(core, renewed(core, core.tick(1000.0, records, True), 1000.0), 2)
    (release,) = of_kind(renewed(core, core.tick(1050.0, records, True), 1050.0), SendRelease)
    (grant,) = of_kind(core.release_ended(release, CallOutcome.DONE, "", 1100.0), SendGrant)
    core.grant_ended(grant, CallOutcome.DONE, 1150.0)
    return core


def test_a_granted_range_is_renewed_though_the_store_is_away():
    """A leader that was cut off from the store during moves let granted ranges expire."""
    core = granted_core()
    records = view(record(1))
    sent = []
    for tick in range(60):
        now_ms = 1150.0 + tick * 50
        sent += of_kind(renewed(core, core.tick(now_ms, records, False), now_ms), SendGrant)
    renewals = [grant for grant in sent if grant.range_id.token == 2]
    assert renewals
    assert all(grant.renewal and grant.holder == holder(1) for grant in renewals)
    assert core.may_send(holder(1), renewals[0].range_id, True)


def test_a_granted_range_that_moves_again_has_its_holder_as_the_previous_one():
    core = granted_core()
    records = view(record(1, draining=True), record(2))
    (action,) = of_kind(core.tick(1400.0, records, True), StoreMap)
    assert {item.previous for item in action.keymap.ranges} == {(holder(1),)}
    assert all(item.holder == holder(2) for item in action.keymap.ranges)


def test_a_later_leader_grants_an_unsettled_range_again():
    stored = granted_core().keymap(SERVICE)
    later = LeaderCore()
    later.inherit(replace(stored, revision=3), 1200.0, 1200.0)
    assert later.granted(SERVICE) == frozenset()
    actions = later.tick(1300.0, view(record(1)), True)
    assert [action.holder for action in of_kind(actions, SendRelease)] == [holder(0)]


# ---- unresponsive holders ------------------------------------------------------------------


def unresponsive_view(*records, unresponsive=()):
    return {SERVICE: ServiceView(records, unresponsive=unresponsive)}


def test_a_holder_whose_callers_get_no_answer_gets_a_renewal_at_once():
    core = two_servers()
    records = record(0), record(1)
    renewals = of_kind(core.tick(0.0, unresponsive_view(*records), True), SendGrant)
    for call in renewals:
        core.grant_ended(call, CallOutcome.DONE, 10.0)
    assert core.tick(100.0, unresponsive_view(*records), True) == []
    (probe,) = of_kind(
        core.tick(200.0, unresponsive_view(*records, unresponsive={"s0"}), True), SendGrant
    )
    assert (probe.holder, probe.renewal) == (holder(0), True)


def test_two_signs_of_silence_are_enough_to_move_its_keys():
    core = two_servers()
    views = unresponsive_view(record(0), record(1), record(2), unresponsive={"s0"})
    for call in of_kind(core.tick(0.0, views, True), SendGrant):
        outcome = CallOutcome.NO_ANSWER if call.holder == holder(0) else CallOutcome.DONE
        core.grant_ended(call, outcome, 600.0)
    (action,) = of_kind(core.tick(650.0, views, True), StoreMap)
    assert all(item.holder != holder(0) for item in action.keymap.moving)


def test_a_lost_answer_alone_moves_no_keys():
    core = two_servers()
    views = unresponsive_view(record(0), record(1), record(2))
    for call in of_kind(core.tick(0.0, views, True), SendGrant):
        outcome = CallOutcome.NO_ANSWER if call.holder == holder(0) else CallOutcome.DONE
        core.grant_ended(call, outcome, 600.0)
    assert of_kind(core.tick(650.0, views, True), StoreMap) == []


def test_a_silent_holder_of_many_ranges_gets_one_release_after_the_other():
    core = LeaderCore()
    pieces = [
        Move(first, first + 1023, holder((first // 1024) % 2)) for first in range(0, 65536, 1024)
    ]
    keymap = settle(first_assignment(KeyMap(SERVICE), pieces), lambda item: True)
    core.inherit(replace(keymap, revision=1), 0.0)
    records = view(record(0, draining=True), record(1))
    store(core, core.tick(1000.0, records, True), 2)
    first = of_kind(core.tick(1050.0, records, True), SendRelease)
    assert len(first) > 10
    for call in first:
        core.release_ended(call, CallOutcome.NO_ANSWER, "", 1100.0)
    sent = [
        len(of_kind(core.tick(float(now), records, True), SendRelease))
        for now in range(1400, 2400, 50)
    ]
    assert max(sent) == 1
    assert 3 <= sum(sent) <= 5


def test_rates_of_new_keys_do_not_count_for_their_new_holder():
    core = two_servers()
    records = view(record(0, draining=True), record(1))
    store(core, core.tick(1000.0, records, True), 2)
    (release,) = of_kind(core.tick(1050.0, records, True), SendRelease)
    (grant,) = of_kind(core.release_ended(release, CallOutcome.DONE, "", 1100.0), SendGrant)
    core.grant_ended(grant, CallOutcome.DONE, 1150.0)
    (action,) = of_kind(core.tick(1150.0 + SETTLE_MS, records, True), StoreMap)
    core.map_stored(action.keymap, 3, 1700.0)
    rates = {5: 20.0, 40_000: 10.0}
    assert core.rates_by_holder(SERVICE, rates, 1150.0 + NEW_KEYS_GRACE_MS - 1) == {}
    assert core.rates_by_holder(SERVICE, rates, 1150.0 + NEW_KEYS_GRACE_MS) == {"s1": 30.0}


def test_a_leader_that_is_about_to_resign_ends_its_moves_and_begins_none():
    """The successor has ranges of unfinished moves released again, and requests for them wait."""
    core = two_servers()
    records = view(record(0, draining=True), record(1))
    store(core, core.tick(1000.0, records, True), 2)
    (release,) = of_kind(core.tick(1050.0, records, True), SendRelease)
    assert core.has_unfinished_moves
    both_leave = view(record(0, draining=True), record(1, draining=True), record(2))
    (grant,) = of_kind(core.release_ended(release, CallOutcome.DONE, "h", 1200.0), SendGrant)
    assert of_kind(core.tick(1250.0, both_leave, True, finishing=True), StoreMap) == []
    core.grant_ended(grant, CallOutcome.DONE, 1300.0)
    actions = core.tick(1350.0, both_leave, True, finishing=True)
    (settled,) = of_kind(actions, StoreMap)
    assert {item.holder for item in settled.keymap.ranges} == {holder(1)}
    store(core, actions, 3)
    assert not core.has_unfinished_moves
    assert of_kind(core.tick(9000.0, both_leave, True, finishing=True), StoreMap) == []


# ---- holders that ask for a backoff --------------------------------------------------------


def shedding_view(*records, shedding=()):
    return {SERVICE: ServiceView(records, shedding=shedding)}


def test_the_keys_of_a_holder_that_asks_every_node_for_a_backoff_move():
    core = two_servers()
    views = shedding_view(record(0), record(1), record(2), shedding={"s0"})
    (action,) = of_kind(core.tick(0.0, views, True), StoreMap)
    moved = action.keymap.moving
    assert {item.previous for item in moved} == {(holder(0),)}
    assert holder(0) not in {item.holder for item in action.keymap.ranges}


def test_where_most_holders_are_backing_off_their_keys_stay():
    """The other holders could not serve these keys as well."""
    core = two_servers()
    views = shedding_view(record(0), record(1), record(2), shedding={"s0", "s1"})
    assert of_kind(core.tick(0.0, views, True), StoreMap) == []


# ---- holders of which a later incarnation may answer ---------------------------------------


def test_grants_from_before_a_closed_connection_are_repeated_and_not_renewed():
    core = two_servers()
    views = view(record(0), record(1))
    core.note_connection_closed(holder(0))
    actions = core.tick(0.0, views, True)
    assert {call.holder for call in of_kind(actions, SendGrant)} == {holder(1)}
    (action,) = of_kind(actions, StoreMap)
    (moving,) = action.keymap.moving
    assert (moving.holder, moving.previous) == (holder(0), ())
    assert moving.token > 1
    core.map_stored(action.keymap, 2, 10.0)
    (call,) = of_kind(core.tick(50.0, views, True), SendGrant)
    assert (call.holder, call.renewal, call.range_id.token) == (holder(0), False, moving.token)
    core.grant_ended(call, CallOutcome.DONE, 60.0)
    assert of_kind(core.tick(100.0, views, True), StoreMap) == []
    (renewal,) = of_kind(core.tick(2000.0, views, False), SendGrant)[:1]
    assert renewal.range_id.token == moving.token or renewal.holder == holder(1)


def test_such_grants_expire_while_no_map_can_be_stored():
    core = two_servers()
    core.note_connection_closed(holder(0))
    calls = of_kind(core.tick(0.0, view(record(0), record(1)), False), SendGrant)
    assert {call.holder for call in calls} == {holder(1)}


def test_a_new_leader_renews_nothing_that_another_one_granted():
    """Only the predecessor had connections that would show the restart of a server."""
    stored = two_servers().keymap(SERVICE)
    later = LeaderCore()
    later.inherit(replace(stored, revision=3), 0.0, 0.0, same_incarnations=False)
    actions = later.tick(100.0, view(record(0), record(1)), True)
    assert of_kind(actions, SendGrant) == []
    (action,) = of_kind(actions, StoreMap)
    assert {item.token > 1 for item in action.keymap.ranges} == {True}


def test_a_new_leader_does_not_repeat_a_grant_of_a_move_at_its_token():
    stored = granted_core().keymap(SERVICE)
    later = LeaderCore()
    later.inherit(replace(stored, revision=3), 1200.0, 1200.0, same_incarnations=False)
    views = view(record(0), record(1))
    actions = later.tick(1300.0, views, True)
    tokens = {item.token for item in stored.moving}
    for now_ms in (1300.0, 9000.0):
        assert not tokens & {call.range_id.token for call in of_kind(actions, SendGrant)}
        actions = later.tick(now_ms, views, False)


# ---- a store that was restored with an older map ---------------------------------------------


# An older map, read after a failed write, gave ranges back to their former holders.
def test_a_map_of_before_is_written_over_and_gives_nobody_keys():
    core = two_servers()
    moved = begin_moves(core.keymap(SERVICE), [Move(0, 100, holder(1))])
    core.map_seen(replace(settle(moved, lambda item: True), revision=5), 0.0)
    newest = core.keymap(SERVICE)
    before = replace(newest, ranges=(), token=newest.token - 1, revision=9)
    core.map_seen(before, 10.0)
    assert core.keymap(SERVICE) == replace(newest, revision=9)
    (action,) = of_kind(core.tick(20.0, view(record(0), record(1)), True), StoreMap)
    assert action.keymap.ranges == newest.ranges
    assert action.keymap.token == newest.token + TOKEN_GAP


# After later maps were lost, the remaining map doesn't name all servers that may hold keys.
def test_keys_of_an_invalid_map_are_released_by_every_server_first():
    core = two_servers()
    core.invalidate(SERVICE, 8000.0)
    (action,) = of_kind(core.tick(0.0, view(record(0), record(1), record(2)), True), StoreMap)
    token = action.keymap.token
    assert token > TOKEN_GAP
    for item in action.keymap.ranges:
        assert {other.server_id for other in item.previous} | {item.holder.server_id} == {
            "s0",
            "s1",
            "s2",
        }
    core.map_stored(action.keymap, 2, 0.0)
    calls = core.tick(50.0, view(record(0), record(1), record(2)), True)
    assert of_kind(calls, SendGrant) == []
    assert {call.range_id.token for call in of_kind(calls, SendRelease)} == {token}


# A server whose record is gone may still hold keys that it was asked to release.
def test_previous_holders_without_a_record_are_waited_for_too():
    core = two_servers()
    moved = begin_moves(core.keymap(SERVICE), [Move(0, 32767, holder(1))])
    core.map_seen(replace(moved, revision=5), 0.0)
    core.invalidate(SERVICE, 8000.0)
    (action,) = of_kind(core.tick(0.0, view(record(1)), True), StoreMap)
    moving = action.keymap.find(0)
    assert moving.holder == holder(1)
    assert holder(0) in moving.previous
