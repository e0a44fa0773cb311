"""Renewals of a holder's ranges where some calls get no answer."""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import replace

import pytest

from ploverhatch.sharding.holders import LEASE_MS, MAX_LATE_CALLS
from ploverhatch.sharding.keymap import LAST_KEY, Holder, KeyMap, Move, first_assignment, settle
from ploverhatch.sharding.leader_core import LeaderCore
from ploverhatch.sharding.messages import CallOutcome, SendGrant, ServiceView, StoreMap, range_id
from ploverhatch.state.servers import ServerRecord

SERVICE = "svc"
HOLDERS = 2
ANSWER_MS = 5.0
NO_ANSWER_MS = 600.0
TICK_MS = 50.0
LENGTH_MS = 20_000.0


def holder(number):
    return Holder(f"s{number}", "10.0.0.1", 9000 + number)


def keymap_of(ranges):
    """Return a settled map with ranges assigned to holders in turn, each at its own token."""
    step = (LAST_KEY + 1) // ranges
    ends = [*range(step - 1, step * (ranges - 1), step), LAST_KEY]
    pieces = [Move(n * step, end, holder(n % HOLDERS)) for n, end in enumerate(ends)]
    keymap = settle(first_assignment(KeyMap(SERVICE), pieces), lambda item: True)
    rows = [replace(item, token=n + 1) for n, item in enumerate(keymap.ranges)]
    return replace(keymap, ranges=tuple(rows), revision=1)


class Term:
    """A leader that has inherited a map, in simulated time."""

    def __init__(self, rng, keymap, unanswered):
        self.rng = rng
        self.unanswered = unanswered
        self.answer_ms = ANSWER_MS
        self.core = LeaderCore()
        self.core.inherit(keymap, 0.0, 0.0)
        self.renewed_ms = {range_id(SERVICE, item): 0.0 for item in keymap.ranges}
        self.gaps = []
        self.calls = []
        self.numbers = itertools.count()
        records = [
            ServerRecord(f"s{n}", SERVICE, "10.0.0.1", 9000 + n, "z", 2, False)
            for n in range(HOLDERS)
        ]
        self.views = {SERVICE: ServiceView(records)}

    def carry_out(self, actions, now_ms):
        for action in actions:
            if isinstance(action, StoreMap):
                self.core.map_not_stored(SERVICE)
            elif isinstance(action, SendGrant):
                self.core.grant_sent(action.holder, now_ms)
                answered = self.rng.random() >= self.unanswered
                end_ms = now_ms + (self.answer_ms if answered else NO_ANSWER_MS)
                heapq.heappush(self.calls, (end_ms, next(self.numbers), action, answered, now_ms))

    def end_call(self):
        now_ms, _, call, answered, sent_ms = heapq.heappop(self.calls)
        if answered:
            self.gaps.append(sent_ms - self.renewed_ms[call.range_id])
            self.renewed_ms[call.range_id] = sent_ms
        outcome = CallOutcome.DONE if answered else CallOutcome.NO_ANSWER
        self.carry_out(self.core.grant_ended(call, outcome, now_ms), now_ms)

    def longest_gap_ms(self):
        """Return the longest time that a range was without an answered renewal."""
        for tick in range(int(LENGTH_MS / TICK_MS)):
            now_ms = tick * TICK_MS
            while self.calls and self.calls[0][0] <= now_ms:
                self.end_call()
            self.carry_out(self.core.tick(now_ms, self.views, True), now_ms)
        left = [LENGTH_MS - at_ms for at_ms in self.renewed_ms.values()]
        return max(*self.gaps, *left)


@pytest.mark.parametrize("ranges", [2, 20, 80])
def test_ranges_stay_leased_where_all_renewals_are_answered(ranges):
    assert Term(random.Random(1), keymap_of(ranges), 0.0).longest_gap_ms() < LEASE_MS


def test_ranges_stay_leased_where_some_renewals_get_no_answer():
    """One unanswered renewal delayed all others of its holder until their leases expired."""
    found = [Term(random.Random(seed), keymap_of(20), 0.4).longest_gap_ms() for seed in range(5)]
    assert max(found) < LEASE_MS, found


def test_a_holder_that_answers_nothing_gets_few_calls_at_once():
    """A suspended holder may have a hundred ranges."""
    term = Term(random.Random(1), keymap_of(200), 1.0)
    most = 0
    for tick in range(100):
        while term.calls and term.calls[0][0] <= tick * TICK_MS:
            term.end_call()
        term.carry_out(term.core.tick(tick * TICK_MS, term.views, False), tick * TICK_MS)
        most = max([most, *Counter(call[2].holder for call in term.calls).values()])
    assert most == MAX_LATE_CALLS


def test_a_slow_holder_gets_no_additional_calls():
    """Its answers arrive in order, so none of them was lost."""
    term = Term(random.Random(1), keymap_of(20), 0.0)
    term.answer_ms = 300.0
    assert term.longest_gap_ms() < LEASE_MS
    assert all(lease.lossy_until_ms < 0 for lease in term.core._leases.values())
