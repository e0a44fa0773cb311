"""Quarantine decisions: their rules, and how crash records spread between nodes."""

import math
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ploverhatch.quarantine import messages, record, saved
from ploverhatch.quarantine.fingerprint import (
    SHORT_DIGEST_BYTES,
    Fingerprint,
    fingerprint,
    short_digest,
)
from ploverhatch.quarantine.ledger import (
    AMBIGUOUS_QUARANTINE_MS,
    CRASHES_IF_AMBIGUOUS,
    MAX_RECORDS,
    CrashLedger,
)
from ploverhatch.quarantine.record import (
    CRASHES_AFTER_ANSWER,
    CRASHES_TO_QUARANTINE,
    MAX_CRASHES,
    MAX_DOUBLINGS,
    QUARANTINE_MS,
    RETENTION_MS,
    CrashEvent,
    CrashRecord,
)

DIGEST = b"content"
CALLER, OTHER = b"caller", b"other"
REQUEST = Fingerprint(DIGEST, CALLER)
WORK_MS = 30.0


def crash(number, at_ms, caller=CALLER, took_ms=WORK_MS):
    return CrashEvent(f"s{number}", caller, "node-1", at_ms - took_ms, at_ms)


def ledger_of(*crashes):
    ledger = CrashLedger()
    for item in crashes:
        ledger.note_crash(DIGEST, item)
    return ledger


def successive_crashes(count, caller=CALLER, every_ms=400.0, first=0):
    return [crash(first + n, 1000.0 + n * every_ms, caller) for n in range(count)]


def test_three_crashes_quarantine_a_request_and_two_do_not():
    assert ledger_of(*successive_crashes(2)).decide(REQUEST) is None
    decision = ledger_of(*successive_crashes(3)).decide(REQUEST)
    assert decision.until_ms == 1800.0 + QUARANTINE_MS
    assert [item.server_id for item in decision.crashes] == ["s0", "s1", "s2"]


def test_servers_that_go_down_together_count_once():
    """A failing rack takes down all its servers, and any request under way there may be blamed."""
    copies = [crash(n, 1000.0 + n, took_ms=200.0) for n in range(8)]
    assert ledger_of(*copies).decide(REQUEST) is None


def test_many_copies_at_one_server_hide_no_end_before_it():
    """Guards against lost crashes when many callers send the same request at once."""
    callers = [b"caller %d" % n for n in range(9)]
    crashes = [crash(n, 1000.0 + 400.0 * n, caller) for n in range(3) for caller in callers]
    decision = ledger_of(*crashes).decide(Fingerprint(DIGEST, b"another"))
    assert [item.server_id for item in decision.crashes] == ["s0", "s1", "s2"]


@pytest.mark.parametrize("counts", [(3, 3), (1, 2), (1, 1, 1), (2, 4, 4)])
def test_many_ends_at_one_time_let_no_held_request_through(counts):
    """A quarantined request stays quarantined, however many of its copies crash servers at once.

    Guards against a record that drops the crashes its decision rests on. A record keeps eight
    crashes. If nine or more servers crashed under copies that ran at the same time, their crashes
    displaced the successive ones, or those of several copies at one server, and the request was
    let through: most copies of sixty callers were sent after the decision, and all sixteen
    servers of a service crashed.
    """
    ledger = ledger_of(*copies(*counts))
    assert ledger.decide(Fingerprint(DIGEST, b"another"))
    last_ms = max(item.crashed_ms for _, known in ledger for item in known.crashes)
    for number in range(3 * MAX_CRASHES):
        late = CrashEvent(
            f"beside {number}", b"other %d" % number, "n", last_ms - 20.0, last_ms + 9
        )
        ledger.note_crash(DIGEST, late)
        assert ledger.decide(Fingerprint(DIGEST, b"another"))


@given(st.lists(st.tuples(st.integers(1, 5), st.integers(1, 9), st.floats(1.0, 900.0)), max_size=7))
def test_a_hold_outlasts_all_later_ends_while_nobody_is_answered(waves):
    """Each wave is a number of servers that crash together, with copies of some callers each."""
    ledger, now_ms, was_quarantined = CrashLedger(), 0.0, False
    for wave, (servers, callers, pause_ms) in enumerate(waves):
        now_ms += pause_ms
        for number in range(servers * callers):
            server, caller = f"s{wave}-{number % servers}", b"c%d" % (number // servers)
            ledger.note_crash(DIGEST, CrashEvent(server, caller, "n", now_ms, now_ms + WORK_MS))
            is_quarantined = ledger.decide(Fingerprint(DIGEST, b"another")) is not None
            assert is_quarantined or not was_quarantined
            was_quarantined = is_quarantined
        now_ms += WORK_MS


def test_copies_of_many_callers_at_two_servers_hold_a_request():
    """Here three copies ran at each of two servers, which the platform counts as six crashes.

    Guards against counting servers only: a popular request that crashes its servers was sent to
    the third server in five to eight copies at once. A popular request that is harmless is under
    way wherever a server crashes, but is answered between two crashes: in nine test runs with
    crashes among popular requests (405 crashes under requests), none was quarantined.
    """
    crashes = [crash(n, 1000.0 + 3400.0 * n, b"caller %d" % c) for n in range(2) for c in range(3)]
    assert ledger_of(*crashes).decide(Fingerprint(DIGEST, b"another"))


def copies(*counts, every_ms=3400.0, took_ms=WORK_MS):
    """Return crashes of servers, each of which has its own callers, as many as its count."""
    return [
        crash(n, 1000.0 + every_ms * n, b"caller %d at %d" % (c, n), took_ms)
        for n, count in enumerate(counts)
        for c in range(count)
    ]


@pytest.mark.parametrize("counts", [(1, 2), (2, 1), (3, 3), (1, 7)])
def test_copies_of_three_callers_at_two_crashes_quarantine_it_for_all(counts):
    decision = ledger_of(*copies(*counts)).decide(Fingerprint(DIGEST, b"another"))
    assert decision.by_many_callers
    assert [item.server_id for item in decision.crashes] == ["s0", "s1"]
    assert decision.until_ms == 4400.0 + QUARANTINE_MS


@pytest.mark.parametrize("counts", [(8,), (1, 1)])
def test_copies_at_one_crash_and_few_copies_quarantine_nothing(counts):
    assert ledger_of(*copies(*counts)).decide(Fingerprint(DIGEST, b"another")) is None


def test_copies_at_servers_that_crash_together_quarantine_nothing():
    assert ledger_of(*copies(4, 4, 4, every_ms=1.0)).decide(REQUEST) is None


def test_copies_of_a_request_answered_since_the_first_crash_quarantine_nothing():
    first, *others = copies(1, 4)
    ledger = ledger_of(first)
    ledger.note_answer(Fingerprint(DIGEST, first.caller), 2000.0)
    for item in others:
        ledger.note_crash(DIGEST, item)
    assert ledger.decide(Fingerprint(DIGEST, b"another")) is None


def test_copies_of_a_long_request_quarantine_nothing():
    """A request that runs for long is under way wherever a server crashes."""
    assert ledger_of(*copies(4, 4, took_ms=900.0)).decide(REQUEST) is None


def test_copies_beside_another_request_are_quarantined_for_a_short_time():
    """The other request may be the cause of each crash, and the popular one a bystander."""
    ledger = ledger_of(*copies(3, 3))
    for number in range(2):
        ledger.note_crash(b"other", crash(number, 1000.0 + 3400.0 * number, b"alone"))
    assert ledger.decide(REQUEST).until_ms == 4400.0 + AMBIGUOUS_QUARANTINE_MS
    ledger.note_crash(b"other", crash(2, 7800.0, b"alone"))
    assert ledger.decide(REQUEST) is None  # the other request is the cause of both crashes
    assert ledger.decide(Fingerprint(b"other", b"alone"))


def test_an_answer_shows_that_a_request_crashes_no_servers():
    ledger = ledger_of(*successive_crashes(2))
    assert ledger.note_answer(REQUEST, 1500.0)
    ledger.note_crash(DIGEST, crash(7, 1800.0))
    assert ledger.decide(REQUEST) is None


def test_a_request_that_was_answered_before_is_held_after_more_ends():
    """It may be a bystander that is sent often, or runs for long, where servers crash often."""
    ledger = ledger_of(*successive_crashes(1))
    ledger.note_answer(REQUEST, 1500.0)
    for number in range(CRASHES_AFTER_ANSWER):
        assert ledger.decide(REQUEST) is None
        ledger.note_crash(DIGEST, crash(10 + number, 3000.0 + 400.0 * number))
    assert ledger.decide(REQUEST)


def test_a_quarantined_request_whose_answer_comes_late_is_let_through():
    ledger = ledger_of(*successive_crashes(3))
    ledger.note_answer(REQUEST, 2000.0)
    assert ledger.decide(REQUEST) is None


def test_only_the_caller_under_whose_requests_servers_crashed_is_quarantined():
    ledger = ledger_of(*successive_crashes(5))
    assert ledger.decide(REQUEST)
    assert ledger.decide(Fingerprint(DIGEST, OTHER)) is None
    assert ledger.decide(Fingerprint(b"another", CALLER)) is None


def test_a_request_that_crashes_servers_for_several_callers_is_quarantined_for_all():
    ledger = ledger_of(*successive_crashes(2), crash(5, 2500.0, OTHER))
    assert ledger.decide(Fingerprint(DIGEST, b"third"))


def test_a_request_that_some_callers_get_answered_is_quarantined_for_the_others_only():
    ledger = ledger_of(*successive_crashes(2), crash(5, 2500.0, OTHER))
    ledger.note_answer(Fingerprint(DIGEST, b"third"), 2600.0)
    assert ledger.decide(Fingerprint(DIGEST, b"third")) is None
    ledger.note_crash(DIGEST, crash(6, 3000.0))
    assert ledger.decide(REQUEST)
    assert ledger.decide(Fingerprint(DIGEST, OTHER)) is None


def note_crashes(ledger, digest, numbers):
    for number in numbers:
        ledger.note_crash(digest, crash(number, 1000.0 + 400.0 * number))


def test_a_request_at_crashes_that_another_one_caused_is_not_quarantined():
    ledger = CrashLedger()
    note_crashes(ledger, DIGEST, [0, 1, 2, 3])
    note_crashes(ledger, b"beside", [1, 2, 3])
    assert ledger.decide(REQUEST)
    assert ledger.decide(Fingerprint(b"beside", CALLER)) is None
    note_crashes(ledger, b"beside", [4])  # the other request was not under way at this crash
    assert ledger.decide(Fingerprint(b"beside", CALLER))


def test_a_request_that_works_for_long_is_not_held_for_what_others_did():
    """Where a server crashes every second, a long request has no time to be answered."""
    ledger = CrashLedger()
    note_crashes(ledger, DIGEST, [0, 3, 6])
    note_crashes(ledger, b"another cause", [10, 13, 16])
    for number in (0, 3, 10, 16):
        ledger.note_crash(b"long", crash(number, 1000.0 + 400.0 * number, took_ms=900.0))
    assert ledger.decide(REQUEST)
    assert ledger.decide(Fingerprint(b"another cause", CALLER))
    assert ledger.decide(Fingerprint(b"long", CALLER)) is None
    note_crashes(ledger, b"long", [30, 40, 50])  # no other request ran at these crashes
    assert ledger.decide(Fingerprint(b"long", CALLER))


def test_a_long_request_is_not_quarantined_before_the_cause_is_clear():
    ledger = CrashLedger()
    note_crashes(ledger, DIGEST, [0, 3])
    for number in (0, 3, 10):
        ledger.note_crash(b"long", crash(number, 1000.0 + 400.0 * number, took_ms=900.0))
    assert ledger.decide(Fingerprint(b"long", CALLER)) is None


def test_a_long_request_is_not_quarantined_for_crashes_with_a_cause_each():
    ledger = CrashLedger()
    for number, cause in ((0, b"one"), (5, b"two"), (10, b"three")):
        note_crashes(ledger, cause, [number])
        ledger.note_crash(b"long", crash(number, 1000.0 + 400.0 * number, took_ms=900.0))
    assert ledger.decide(Fingerprint(b"long", CALLER)) is None


def test_a_long_request_is_not_quarantined_for_one_that_waited_in_a_queue():
    """The times are those of soak test seed 946, in milliseconds."""
    ledger = CrashLedger()
    for number, cause_ms, long_ms in ((6, 77.0, 52.0), (7, 31.0, 323.0)):
        at_ms = 1000.0 + 2900.0 * (number - 6)
        ledger.note_crash(DIGEST, crash(number, at_ms, took_ms=cause_ms))
        ledger.note_crash(b"long", crash(number, at_ms, took_ms=long_ms))
    ledger.note_crash(DIGEST, crash(8, 5000.0, took_ms=357.0))
    ledger.note_crash(b"long", crash(10, 6800.0, took_ms=401.0))
    ledger.note_crash(b"another", crash(10, 6800.0, took_ms=33.0))
    assert ledger.decide(REQUEST)
    assert ledger.decide(Fingerprint(b"long", CALLER)) is None


def test_a_long_request_is_not_quarantined_for_crashes_of_an_earlier_suspect():
    """Requests wait in queues here, so their times don't show the cause (soak test seed 946)."""
    ledger = CrashLedger()
    for number, cause_ms, long_ms in ((6, 452.0, 405.0), (7, 33.0, 49.0)):
        at_ms = 1000.0 + 2650.0 * (number - 6)
        ledger.note_crash(DIGEST, crash(number, at_ms, took_ms=cause_ms))
        ledger.note_crash(b"long", crash(number, at_ms, took_ms=long_ms))
    ledger.note_crash(DIGEST, crash(8, 4200.0, took_ms=61.0))
    ledger.note_crash(b"long", crash(10, 6800.0, took_ms=509.0))
    ledger.note_crash(b"another", crash(10, 6800.0, took_ms=501.0))
    assert ledger.decide(REQUEST)
    assert ledger.decide(Fingerprint(b"long", CALLER)) is None
    for number in (11,):
        note_crashes(ledger, b"beside", [5 * number])
        ledger.note_crash(b"long", crash(5 * number, 1000.0 + 2000.0 * number, took_ms=509.0))
    assert ledger.decide(Fingerprint(b"long", CALLER))


def test_a_request_that_crashes_servers_late_is_quarantined_whatever_ran_beside_it():
    """After three crashes the cause is unknown; at most three further sends are allowed."""
    ledger = CrashLedger()
    for number in range(CRASHES_IF_AMBIGUOUS):
        assert ledger.decide(Fingerprint(b"late", CALLER)) is None
        note_crashes(ledger, b"beside %d" % number, [5 * number])
        ledger.note_crash(b"late", crash(5 * number, 1000.0 + 2000.0 * number, took_ms=900.0))
    assert ledger.decide(Fingerprint(b"late", CALLER))


def test_a_short_request_is_quarantined_whatever_ran_beside_it():
    ledger = CrashLedger()
    for number in range(CRASHES_TO_QUARANTINE):
        beside = crash(number, 1000.0 + 400.0 * number, took_ms=WORK_MS / 10)
        ledger.note_crash(b"beside %d" % number, beside)
    note_crashes(ledger, DIGEST, range(CRASHES_TO_QUARANTINE))
    assert ledger.decide(REQUEST)


def test_a_trial_shows_the_cause_of_two_requests_at_the_same_crashes():
    ledger = CrashLedger()
    beside = Fingerprint(b"beside", CALLER)
    note_crashes(ledger, DIGEST, [0, 1, 2])
    note_crashes(ledger, b"beside", [0, 1, 2])
    for request in (REQUEST, beside):
        decision = ledger.decide(request)
        assert decision.until_ms - decision.last.crashed_ms == AMBIGUOUS_QUARANTINE_MS
    note_crashes(ledger, DIGEST, [12])
    assert ledger.decide(beside) is None
    decision = ledger.decide(REQUEST)
    assert decision.until_ms - decision.last.crashed_ms == 2 * QUARANTINE_MS


def test_an_answer_to_one_of_two_requests_shows_that_the_other_is_the_cause():
    ledger = CrashLedger()
    beside = Fingerprint(b"beside", CALLER)
    note_crashes(ledger, DIGEST, [0, 1, 2])
    note_crashes(ledger, b"beside", [0, 1, 2])
    ledger.note_answer(beside, 6000.0)
    assert ledger.decide(beside) is None
    decision = ledger.decide(REQUEST)
    assert decision.until_ms - decision.last.crashed_ms == QUARANTINE_MS


def test_two_requests_that_always_run_together_are_tried_ever_more_rarely():
    ledger, now_ms, tries = CrashLedger(), 0.0, []
    while now_ms < 300_000.0:
        now_ms += 400.0
        decision = ledger.decide(REQUEST)
        if decision is None or now_ms >= decision.until_ms:
            tries.append(now_ms)
            for digest in (DIGEST, b"beside"):
                ledger.note_crash(digest, crash(len(tries), now_ms + WORK_MS))
    late = [at_ms for at_ms in tries if at_ms > tries[2] + 3000.0]
    assert len(late) <= 4
    assert len([at_ms for at_ms in late if at_ms < 60_000.0]) <= 2


def test_each_crash_after_the_third_doubles_the_time_up_to_a_bound():
    for more in range(7):
        crashes = successive_crashes(CRASHES_TO_QUARANTINE + more)
        decision = ledger_of(*crashes).decide(REQUEST)
        assert decision.until_ms - decision.last.crashed_ms == QUARANTINE_MS * 2 ** min(
            more, MAX_DOUBLINGS
        )


def test_a_record_is_dropped_after_its_retention_time():
    ledger = ledger_of(*successive_crashes(9))
    (item,) = [known for _, known in ledger]
    assert item.expires_ms <= item.newest_ms + QUARANTINE_MS * 2**MAX_DOUBLINGS + RETENTION_MS
    ledger.expire(item.expires_ms - 1)
    assert ledger.decide(REQUEST)
    ledger.expire(item.expires_ms)
    assert ledger.is_empty
    assert ledger.checksum == 0


def test_records_are_bounded_and_the_one_with_most_crashes_stays():
    ledger = ledger_of(*successive_crashes(3))
    for number in range(MAX_RECORDS * 3):
        ledger.note_crash(b"%d" % number, crash(number, 2000.0 + number))
    assert len(ledger) == MAX_RECORDS
    assert ledger.decide(REQUEST)
    assert ledger.get(b"%d" % (MAX_RECORDS * 3 - 1))


def test_the_crashes_of_a_record_are_bounded():
    ledger = ledger_of(*successive_crashes(30))
    (item,) = [known for _, known in ledger]
    assert len(item.crashes) == MAX_CRASHES


CRASHES = st.builds(
    lambda server, caller, sent, took: CrashEvent(f"s{server}", caller, "n", sent, sent + took),
    st.integers(0, 5),
    st.sampled_from([CALLER, OTHER]),
    st.integers(0, 5000).map(float),
    st.integers(1, 400).map(float),
)
ANSWERS = st.tuples(st.sampled_from([CALLER, OTHER, b"third"]), st.integers(0, 5000).map(float))
EVENTS = st.lists(st.one_of(CRASHES, ANSWERS), max_size=7)


def record_of(event):
    if isinstance(event, CrashEvent):
        return CrashRecord((event,))
    caller, at_ms = event
    return CrashRecord((), {caller: at_ms}, at_ms)


def merged(records):
    known = CrashRecord()
    for item in records:
        known = known.merged(item)
    return known


@given(EVENTS, st.randoms(use_true_random=False))
@settings(max_examples=300)
def test_nodes_that_merge_the_same_records_in_any_order_decide_the_same(events, rng):
    records = [record_of(event) for event in events]
    repeated = [*records, *records[: len(records) // 2]]
    rng.shuffle(repeated)
    assert merged(repeated) == merged(records)


@given(EVENTS)
@settings(max_examples=300)
def test_no_caller_is_quarantined_without_three_successive_crashes(events):
    known = merged(map(record_of, events))
    for caller in (CALLER, OTHER, b"third"):
        decision = known.decide(caller)
        if decision is None:
            continue
        assert len(decision.crashes) >= CRASHES_TO_QUARANTINE
        for before, after in zip(decision.crashes, decision.crashes[1:], strict=False):
            assert after.sent_ms >= before.crashed_ms
        answered = [event[1] for event in events if not isinstance(event, CrashEvent)
                    and event[0] == caller]  # fmt: skip
        own = {item.caller for item in decision.crashes} == {caller}
        assert not own or all(
            item.crashed_ms > max(answered, default=-1) for item in decision.crashes
        )


@given(EVENTS, st.floats(0, 1e6), st.floats(-1e6, 1e6))
@settings(max_examples=200)
def test_a_received_record_means_the_same_on_another_clock(events, now_ms, offset_ms):
    known = merged(map(record_of, events))
    now_ms += 10_000.0
    sent = messages.encode(DIGEST, known, now_ms)
    received = messages.decode(sent, now_ms + offset_ms)
    for caller in (CALLER, OTHER, b"third"):
        before, after = known.decide(caller), received.decide(caller)
        assert (before is None) == (after is None)
        if before is not None:
            assert after.until_ms - offset_ms == pytest.approx(before.until_ms, abs=1e-3)


def test_a_delayed_report_does_not_hide_that_crashes_are_successive():
    """A node that resumes after a suspension reads the reports of several seconds at once."""
    crashes = successive_crashes(3)
    known, late = CrashRecord(), CrashLedger()
    for item in crashes:
        known = known.with_crash(item)
        sent = messages.encode(DIGEST, known, item.crashed_ms)
        late.merge(DIGEST, messages.decode(sent, 9000.0))
    assert late.decide(REQUEST)


def test_nodes_with_the_same_records_have_the_same_checksum():
    first, second = ledger_of(*successive_crashes(3)), CrashLedger()
    assert first.checksum != second.checksum
    for digest, known in first:
        second.merge(digest, messages.decode(messages.encode(digest, known, 2000.0), 777_000.0))
    assert first.checksum == second.checksum


@pytest.mark.parametrize("part", range(5))
def test_a_fingerprint_differs_with_each_part(part):
    parts = [b"GET", b"h", b"/a", b"7", b"body"]
    changed = [value + b"x" if n == part else value for n, value in enumerate(parts)]
    same = fingerprint(b"hint", parts, [b"a"])
    assert same == fingerprint(b"hint", list(parts), [b"a"])
    assert same.request_digest != fingerprint(b"hint", changed, [b"a"]).request_digest
    assert same.caller_digest != fingerprint(b"hint", parts, [b"b"]).caller_digest


def test_parts_with_the_same_concatenation_have_different_fingerprints():
    assert fingerprint(b"", [b"a", b"bc"], []) != fingerprint(b"", [b"ab", b"c"], [])


def test_requests_that_share_a_short_digest_are_found_until_the_last_is_dropped():
    prefix = short_digest(b"/a?b", b"body")
    assert prefix == short_digest(b"/a?b", b"othe")
    assert len({prefix, short_digest(b"/a?c", b"body"), short_digest(b"/a?b", b"longer")}) == 3
    assert len(prefix) == SHORT_DIGEST_BYTES
    ledger = CrashLedger()
    ledger.note_crash(prefix + b"first", crash(1, 0.0))
    ledger.note_crash(prefix + b"second", crash(2, 500.0))
    ledger.expire(RETENTION_MS)
    assert ledger.may_contain(prefix)
    ledger.expire(RETENTION_MS + 500.0)
    assert not ledger.may_contain(prefix)
    assert ledger.is_empty


# ---- several nodes in simulated time -----------------------------------------------------


class Fleet:
    """Nodes, some of them down, that report crashes to each other by datagrams that may be lost."""

    def __init__(self, rng, nodes=8, loss=0.1):
        self.rng = rng
        self.loss = loss
        self.ledgers = [CrashLedger() for _ in range(nodes)]
        self.down_until = [0.0] * nodes
        self.store = []  # the records that the leader saved
        self.loaded = None  # the ledger of the node that loaded them

    def up(self, number, now_ms):
        return now_ms >= self.down_until[number]

    def report(self, number, to, digests, now_ms):
        for digest in digests:
            if self.up(to, now_ms) and self.rng.random() >= self.loss:
                sent = messages.encode(digest, self.ledgers[number].get(digest), now_ms)
                self.ledgers[to].merge(digest, messages.decode(sent, now_ms + 1.0))

    def note_crash(self, number, digest, item):
        self.ledgers[number].note_crash(digest, item)
        for to in range(len(self.ledgers)):
            self.report(number, to, [digest], item.crashed_ms)

    def query_round(self, now_ms):
        """Have each node query another one, as nodes do once a second."""
        for number, ledger in enumerate(self.ledgers):
            other = self.rng.randrange(len(self.ledgers))
            known = self.ledgers[other]
            both_up = self.up(number, now_ms) and self.up(other, now_ms)
            if both_up and known.checksum != ledger.checksum:
                self.report(other, number, [digest for digest, _ in known], now_ms)

    def lead(self, now_ms):
        """Have the first node that is up lead, and save the quarantined requests."""
        leader = next((n for n in range(len(self.ledgers)) if self.up(n, now_ms)), None)
        if leader is None:
            return
        ledger = self.ledgers[leader]
        if ledger is not self.loaded:
            for digest in saved.load(ledger, self.store, now_ms):
                for to in range(len(self.ledgers)):
                    self.report(leader, to, [digest], now_ms)
            self.loaded = ledger
        self.store = saved.quarantined_records(ledger, now_ms)

    def restart(self, number, now_ms, down_ms):
        self.ledgers[number] = CrashLedger()
        self.down_until[number] = now_ms + down_ms


PROPAGATION_MS = 3000.0


def late_sends(seed, restarts=True, all_lost_ms=math.inf):
    """Send a request that crashes its server each 0.4 to 4 s; return the number of late sends.

    A send is late if it comes more than the propagation time after the third crash, from a node
    that has been up for longer than that time.
    """
    rng = random.Random(seed)
    fleet = Fleet(rng)
    now_ms, next_query, third_ms, late, server = 0.0, 1000.0, math.inf, 0, 0
    while now_ms < 60_000.0:
        now_ms += rng.uniform(400.0, 4000.0)
        while next_query < now_ms:
            fleet.query_round(next_query)
            fleet.lead(next_query)
            next_query += 1000.0
        if now_ms >= all_lost_ms:
            all_lost_ms = math.inf
            for number in range(8):
                fleet.restart(number, now_ms, rng.uniform(500.0, 5000.0))
        if restarts and rng.random() < 0.3:
            fleet.restart(rng.randrange(8), now_ms, rng.uniform(500.0, 5000.0))
        number = rng.randrange(8)
        if not fleet.up(number, now_ms):
            continue
        decision = fleet.ledgers[number].decide(REQUEST)
        if decision is not None and now_ms < decision.until_ms:
            continue
        server += 1
        is_current = now_ms - fleet.down_until[number] > PROPAGATION_MS
        late += is_current and now_ms > third_ms + PROPAGATION_MS
        fleet.note_crash(number, DIGEST, crash(server, now_ms + WORK_MS))
        if server == CRASHES_TO_QUARANTINE:
            third_ms = now_ms + WORK_MS
    return late


@pytest.mark.parametrize("first", range(0, 400, 100))
def test_nodes_that_are_current_send_it_on_three_times_at_most(first):
    assert max(late_sends(seed) for seed in range(first, first + 100)) <= 3


def test_without_a_quarantine_they_send_it_on_more_often(monkeypatch):
    monkeypatch.setattr(record, "CRASHES_TO_QUARANTINE", 10**6)
    assert min(late_sends(seed) for seed in range(20)) > 3


def test_what_was_held_is_known_after_all_nodes_were_lost():
    """Guards against a loss of all quarantines, after which three more servers crashed."""
    assert max(late_sends(seed, all_lost_ms=30_000.0) for seed in range(600)) <= 3
