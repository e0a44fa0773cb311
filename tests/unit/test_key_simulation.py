"""Whole cells in simulated time: which servers hold which keys, under injected faults."""

from itertools import combinations

import pytest

from ploverhatch.simulation.keys.faults import (
    FAULTS,
    LATE_WRITES,
    NODE_CUTS,
    NOT_DRAWN,
    REFUSING,
    run_during_cut,
    run_schedule,
    run_seed,
)
from tests.unit.key_mutations import MUTATIONS, mutated

REFUSED = set(REFUSING.values())
# A pair's seed is its place, so those of later faults are appended.
EARLIER = sorted(FAULTS.keys() - NOT_DRAWN)
WITHOUT_LATE_WRITES = sorted(FAULTS.keys() - LATE_WRITES)
PAIRS = list(combinations(sorted(FAULTS.keys() - REFUSED - NOT_DRAWN), 2))
PAIRS += [pair for pair in combinations(EARLIER, 2) if not REFUSED.isdisjoint(pair)]
PAIRS += [pair for pair in combinations(WITHOUT_LATE_WRITES, 2) if not NODE_CUTS.isdisjoint(pair)]
PAIRS += [pair for pair in combinations(sorted(FAULTS), 2) if not LATE_WRITES.isdisjoint(pair)]
UNREACHABLE_AND_RESTARTED = (1, ("cut-server", "kill-all", "restart-server"))
# Schedules (a seed and faults) that have a violation when the mechanism is switched off.
FAILING_SCHEDULES = {
    "lapse not waited out": (1, ("late-orders", "store-loses-answers")),
    "release not awaited": UNREACHABLE_AND_RESTARTED,
    "server's slow clock not allowed for": UNREACHABLE_AND_RESTARTED,
    "leases of the last leader not inherited": UNREACHABLE_AND_RESTARTED,
    "suspensions not counted": (5, ("suspend-leader", "suspend-leader", "split-leader")),
    "standbys of the last leader not released": (0, ("cut-leader-from-store", "drain-server")),
    "late map adopted without the known holders": (1, ("drain-server", "cut-leader-by-write")),
    "refused release not waited out": (245, ("late-orders", "split-leader-refused")),
    "unanswered grants not discarded": (1, ("cut-server",)),
    "old maps trusted": (6, ("split-leader", "late-orders", "late-orders")),
    "leader acts past its authority": (4, ("freeze-leader", "split-leader", "split-leader")),
}


# Schedules, found by random seeds, that had a violation in earlier versions.
FOUND_SCHEDULES = {
    "late grant revived a lease": [
        (194, ("cut-leader-from-store", "late-orders", "cut-server", "hot-key", "kill-all"))
    ],
    "next incarnation accepted a renewal": [
        (12, ("rebirth", "rebirth", "store-down")),
        (31, ("rebirth", "drain-server")),
        (10, ("rebirth", "stop-leader")),
        (24, ("rebirth", "rebirth", "false-silence", "freeze-leader")),
        (128, ("rebirth", "store-down")),
    ],
    "old map": [
        (299, ("late-orders", "split-leader", "drain-server")),
        (646, ("store-slow", "late-orders", "store-down", "hot-key", "split-leader")),
    ],
    "refused release": [
        (700346, ("false-silence", "refuse-server", *["false-silence"] * 2, "kill-leader")),
        (700353, ("kill-leader", "false-silence", "kill-leader", "cut-server", "refuse-server")),
        (700494, ("false-silence", "refuse-server", "kill-leader", *["refuse-server"] * 2)),
    ],
    "promotion stored for ever": [
        (700306, ("suspend-leader", "rebirth")),
        (700343, ("rebirth", "restart-server", "split-leader")),
        (730249, ("freeze-leader", "rebirth")),
        (
            831014,
            (
                "late-orders",
                "split-leader-refused",
                "cut-leader-from-store",
                "late-orders",
                "rebirth",
            ),
        ),
    ],
    "earlier leader still had authority": [
        (4582, ("restart-server", "drain-server", "kill-leader", "kill-node", "split-leader")),
        (
            5084,
            (
                "split-leader",
                "store-loses-answers",
                "cut-leader-from-servers",
                "freeze-leader",
                "freeze-leader",
            ),
        ),
    ],
}


def explain(verdict):
    return f"seed {verdict.seed}, {verdict.faults}: {verdict.violations[:3]} {verdict.unserved}"


@pytest.mark.parametrize("fault", sorted(FAULTS))
def test_one_fault(fault):
    verdict = run_schedule(7, [fault])
    assert verdict.clean, explain(verdict)
    assert verdict.requests > 1000


# Guards against a new leader that adopts its predecessor's late map, and with it forgets servers
# that hold keys by a standby's grant.
@pytest.mark.parametrize("other", ["drain-server", "restart-server", "evacuate", "cut-server"])
def test_a_map_of_the_last_leader_that_is_stored_late_makes_no_holder_forgotten(other):
    for seed in range(12):
        verdict = run_schedule(seed, [other, "cut-leader-by-write"])
        assert verdict.clean, explain(verdict)


@pytest.mark.parametrize("pair", PAIRS, ids="+".join)
def test_two_faults(pair):
    verdict = run_schedule(PAIRS.index(pair), pair)
    assert verdict.clean, explain(verdict)


@pytest.mark.parametrize("first", range(0, 200, 20))
def test_random_schedules(first):
    for seed in range(first, first + 20):
        verdict = run_seed(seed)
        assert verdict.clean, explain(verdict)


@pytest.mark.parametrize("schedule", FOUND_SCHEDULES["next incarnation accepted a renewal"])
def test_a_server_that_is_back_at_its_address(schedule):
    """The next incarnation accepted a renewal or a repeated grant at an unchanged token.

    The schedules show this after a connection closed within a term, at a change of leaders, and
    for a range that moved.
    """
    verdict = run_schedule(*schedule)
    assert verdict.clean, explain(verdict)


@pytest.mark.parametrize("fault", ["cut-leader-from-servers", "refuse-leader", *sorted(NODE_CUTS)])
def test_while_nodes_are_cut_from_all_servers_the_others_requests_are_served(fault):
    """A cut leader held the lease, and then cut candidates claimed it in turn."""
    for seed in range(10):
        verdict = run_during_cut(seed, fault)
        assert verdict.clean, explain(verdict)


@pytest.mark.parametrize("fault", sorted(NODE_CUTS))
def test_nodes_that_are_cut_from_servers_at_random_times(fault):
    others = sorted(FAULTS)
    for seed in range(10):
        verdict = run_schedule(seed, [others[seed * 7 % len(others)], fault, "store-slow", fault])
        assert verdict.clean, explain(verdict)


def test_a_seed_replays_exactly():
    assert run_seed(5) == run_seed(5)


@pytest.mark.parametrize("name", sorted(MUTATIONS))
def test_proof_fails_without_mechanism(name):
    assert run_schedule(*FAILING_SCHEDULES[name]).clean
    with mutated(name):
        assert run_schedule(*FAILING_SCHEDULES[name]).violations


@pytest.mark.parametrize("schedule", FOUND_SCHEDULES["late grant revived a lease"])
def test_a_late_grant_and_a_server_cut_from_the_leader(schedule):
    """A node used a map that was 4 s old; a late grant had revived its holder's expired lease."""
    verdict = run_schedule(*schedule)
    assert verdict.clean, explain(verdict)


def test_a_late_order_and_a_cut_leader():
    """A node without a current view sent requests according to a map that was 12 s old.

    The old holder had accepted a late grant, and the new leader could not reach it.
    """
    for schedule in FOUND_SCHEDULES["old map"]:
        verdict = run_schedule(*schedule)
        assert verdict.clean, explain(verdict)


@pytest.mark.parametrize("schedule", FOUND_SCHEDULES["refused release"])
def test_a_refused_release_is_no_proof_that_a_standby_has_ended(schedule):
    """A link refused the release to a standby that lived on, and its keys were granted anew."""
    verdict = run_schedule(*schedule)
    assert verdict.clean, explain(verdict)


@pytest.mark.parametrize("schedule", FOUND_SCHEDULES["promotion stored for ever"])
def test_keys_are_served_again_after_a_promotion_whose_token_stays_listed(schedule):
    """A leader stored the same promotion for ever, and moved no keys of servers that were gone."""
    verdict = run_schedule(*schedule)
    assert verdict.clean, explain(verdict)


@pytest.mark.parametrize("schedule", FOUND_SCHEDULES["earlier leader still had authority"])
def test_a_leader_replaced_before_its_predecessors_time_was_over(schedule):
    """The third leader waited for the leases of the second one only.

    The first one, cut off from the store, still renewed its grants.
    """
    verdict = run_schedule(*schedule)
    assert verdict.clean, explain(verdict)
