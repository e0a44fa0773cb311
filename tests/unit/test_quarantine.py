"""Which requests are kept from servers, and for how long: the decision and its spreading."""

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

CONTENT = b"content"
CALLER, OTHER = b"caller", b"other"
REQUEST = Fingerprint(CONTENT, CALLER)
WORK_MS = 30.0


def end(number, at_ms, caller=CALLER, took_ms=WORK_MS):
    return CrashEvent(f"s{number}", caller, "node-1", at_ms - took_ms, at_ms)


def ledger_of(*ends):
    made = CrashLedger()
    for item in ends:
        made.note_crash(CONTENT, item)
    return made


def row(count, caller=CALLER, every_ms=400.0, first=0):
    return [end(first + n, 1000.0 + n * every_ms, caller) for n in range(count)]


def test_two_ends_hold_nothing_and_three_do():
    assert ledger_of(*row(2)).decide(REQUEST) is None
    hold = ledger_of(*row(3)).decide(REQUEST)
    assert hold.until_ms == 1800.0 + QUARANTINE_MS
    assert [item.server_id for item in hold.crashes] == ["s0", "s1", "s2"]


def test_servers_that_go_down_together_count_once():
    """A rack takes down all that was under way there; nobody knows which request did it."""
    copies = [end(n, 1000.0 + n, took_ms=200.0) for n in range(8)]
    assert ledger_of(*copies).decide(REQUEST) is None


def test_many_copies_at_one_server_hide_no_end_before_it():
    """Found on a day of our own: many callers asked for the same at once."""
    callers = [b"caller %d" % n for n in range(9)]
    ends = [end(n, 1000.0 + 400.0 * n, caller) for n in range(3) for caller in callers]
    hold = ledger_of(*ends).decide(Fingerprint(CONTENT, b"another"))
    assert [item.server_id for item in hold.crashes] == ["s0", "s1", "s2"]


@pytest.mark.parametrize("held_by", [(3, 3), (1, 2), (1, 1, 1), (2, 4, 4)])
def test_many_ends_at_one_time_let_no_held_request_through(held_by):
    """A request that is held stays so, however many of its copies end servers at once.

    Seen: of sixty callers' copies of one request most were sent after it had been held, so that
    all sixteen servers of a service ended.

    Cause: eight ends are kept of a content, of many rather those of other servers than copies
    at one. Where nine servers and more ended under copies that were under way together, these
    pushed those out that had come one after the other, or the copies at these servers, from
    which the hold followed.

    Proof: in six runs 223 of 365 lines `Sent under suspicion.` come after the same gateway's
    line `Request is kept from servers.`, and 62 lines let it through again. With these ends kept
    14 of 152 do, whose requests had been looked at already, and none lets it through.
    """
    ledger = ledger_of(*copies(*held_by))
    assert ledger.decide(Fingerprint(CONTENT, b"another"))
    last_ms = max(end.crashed_ms for _, known in ledger for end in known.crashes)
    for number in range(3 * MAX_CRASHES):
        late = CrashEvent(
            f"beside {number}", b"other %d" % number, "n", last_ms - 20.0, last_ms + 9
        )
        ledger.note_crash(CONTENT, late)
        assert ledger.decide(Fingerprint(CONTENT, b"another"))


@given(st.lists(st.tuples(st.integers(1, 5), st.integers(1, 9), st.floats(1.0, 900.0)), max_size=7))
def test_a_hold_outlasts_all_later_ends_while_nobody_is_answered(waves):
    """Waves of servers that end together, with copies of some callers each."""
    ledger, now_ms, held = CrashLedger(), 0.0, False
    for wave, (servers, callers, pause_ms) in enumerate(waves):
        now_ms += pause_ms
        for number in range(servers * callers):
            server, caller = f"s{wave}-{number % servers}", b"c%d" % (number // servers)
            ledger.note_crash(CONTENT, CrashEvent(server, caller, "n", now_ms, now_ms + WORK_MS))
            holds = ledger.decide(Fingerprint(CONTENT, b"another")) is not None
            assert holds or not held
            held = holds
        now_ms += WORK_MS


def test_copies_of_many_callers_at_two_servers_hold_a_request():
    """The platform counts each copy that ran as a server that ended: three and three here.

    Seen on days of our own: a popular request that ends its servers was sent to the third one
    in five to eight copies at once. Cause: ends were counted by servers, and the copies under
    way at one server are no evidence by themselves: what is popular is under way wherever a
    server ends. Proof: in the logs of seven such days nothing was answered between the first
    two ends, since the keys waited for their next holder; on nine days of crashes among
    popular requests (405 ends under requests) nothing is held.
    """
    ends = [end(n, 1000.0 + 3400.0 * n, b"caller %d" % c) for n in range(2) for c in range(3)]
    assert ledger_of(*ends).decide(Fingerprint(CONTENT, b"another"))


def copies(*counts, every_ms=3400.0, took_ms=WORK_MS):
    """Return ends of servers, each with copies of so many callers that were at no other one."""
    return [
        end(n, 1000.0 + every_ms * n, b"caller %d at %d" % (c, n), took_ms)
        for n, count in enumerate(counts)
        for c in range(count)
    ]


@pytest.mark.parametrize("counts", [(1, 2), (2, 1), (3, 3), (1, 7)])
def test_copies_of_three_callers_at_two_ends_hold_it_for_all(counts):
    hold = ledger_of(*copies(*counts)).decide(Fingerprint(CONTENT, b"another"))
    assert hold.by_many_callers
    assert [item.server_id for item in hold.crashes] == ["s0", "s1"]
    assert hold.until_ms == 4400.0 + QUARANTINE_MS


@pytest.mark.parametrize("counts", [(8,), (1, 1)])
def test_copies_at_one_end_and_few_copies_hold_nothing(counts):
    assert ledger_of(*copies(*counts)).decide(Fingerprint(CONTENT, b"another")) is None


def test_copies_at_servers_that_end_together_hold_nothing():
    assert ledger_of(*copies(4, 4, 4, every_ms=1.0)).decide(REQUEST) is None


def test_copies_of_what_was_answered_since_the_first_end_hold_nothing():
    first, *others = copies(1, 4)
    ledger = ledger_of(first)
    ledger.note_answer(Fingerprint(CONTENT, first.caller), 2000.0)
    for item in others:
        ledger.note_crash(CONTENT, item)
    assert ledger.decide(Fingerprint(CONTENT, b"another")) is None


def test_copies_of_long_work_hold_nothing():
    """It is under way wherever a server ends."""
    assert ledger_of(*copies(4, 4, took_ms=900.0)).decide(REQUEST) is None


def test_copies_beside_another_content_are_held_for_a_short_time():
    """One that ends its servers may be alone each time, and the popular one beside it."""
    ledger = ledger_of(*copies(3, 3))
    for number in range(2):
        ledger.note_crash(b"other", end(number, 1000.0 + 3400.0 * number, b"alone"))
    assert ledger.decide(REQUEST).until_ms == 4400.0 + AMBIGUOUS_QUARANTINE_MS
    ledger.note_crash(b"other", end(2, 7800.0, b"alone"))
    assert ledger.decide(REQUEST) is None  # the other one is the cause of both
    assert ledger.decide(Fingerprint(b"other", b"alone"))


def test_an_answer_shows_that_a_request_ends_no_servers():
    ledger = ledger_of(*row(2))
    assert ledger.note_answer(REQUEST, 1500.0)
    ledger.note_crash(CONTENT, end(7, 1800.0))
    assert ledger.decide(REQUEST) is None


def test_a_request_that_was_answered_before_is_held_after_more_ends():
    """It is sent often, or works for long, where servers go down every few seconds."""
    ledger = ledger_of(*row(1))
    ledger.note_answer(REQUEST, 1500.0)
    for number in range(CRASHES_AFTER_ANSWER):
        assert ledger.decide(REQUEST) is None
        ledger.note_crash(CONTENT, end(10 + number, 3000.0 + 400.0 * number))
    assert ledger.decide(REQUEST)


def test_a_held_request_whose_answer_comes_late_is_let_through():
    ledger = ledger_of(*row(3))
    ledger.note_answer(REQUEST, 2000.0)
    assert ledger.decide(REQUEST) is None


def test_only_the_caller_is_held_under_whose_requests_servers_ended():
    ledger = ledger_of(*row(5))
    assert ledger.decide(REQUEST)
    assert ledger.decide(Fingerprint(CONTENT, OTHER)) is None
    assert ledger.decide(Fingerprint(b"another", CALLER)) is None


def test_a_content_that_ends_servers_whoever_asks_is_held_for_all():
    ledger = ledger_of(*row(2), end(5, 2500.0, OTHER))
    assert ledger.decide(Fingerprint(CONTENT, b"third"))


def test_a_content_that_is_answered_to_some_is_held_for_the_others_only():
    ledger = ledger_of(*row(2), end(5, 2500.0, OTHER))
    ledger.note_answer(Fingerprint(CONTENT, b"third"), 2600.0)
    assert ledger.decide(Fingerprint(CONTENT, b"third")) is None
    ledger.note_crash(CONTENT, end(6, 3000.0))
    assert ledger.decide(REQUEST)
    assert ledger.decide(Fingerprint(CONTENT, OTHER)) is None


def at_ends(ledger, content, numbers):
    for number in numbers:
        ledger.note_crash(content, end(number, 1000.0 + 400.0 * number))


def test_a_request_that_was_there_by_another_ones_doing_is_not_held():
    ledger = CrashLedger()
    at_ends(ledger, CONTENT, [0, 1, 2, 3])
    at_ends(ledger, b"beside", [1, 2, 3])
    assert ledger.decide(REQUEST)
    assert ledger.decide(Fingerprint(b"beside", CALLER)) is None
    at_ends(ledger, b"beside", [4])  # the other one was not there
    assert ledger.decide(Fingerprint(b"beside", CALLER))


def test_a_request_that_works_for_long_is_not_held_for_what_others_did():
    """Servers that end each second leave it no time to be answered."""
    ledger = CrashLedger()
    at_ends(ledger, CONTENT, [0, 3, 6])
    at_ends(ledger, b"another cause", [10, 13, 16])
    for number in (0, 3, 10, 16):
        ledger.note_crash(b"long", end(number, 1000.0 + 400.0 * number, took_ms=900.0))
    assert ledger.decide(REQUEST)
    assert ledger.decide(Fingerprint(b"another cause", CALLER))
    assert ledger.decide(Fingerprint(b"long", CALLER)) is None
    at_ends(ledger, b"long", [30, 40, 50])  # none of the others was there
    assert ledger.decide(Fingerprint(b"long", CALLER))


def test_nor_before_it_is_clear_which_others_did_it():
    ledger = CrashLedger()
    at_ends(ledger, CONTENT, [0, 3])
    for number in (0, 3, 10):
        ledger.note_crash(b"long", end(number, 1000.0 + 400.0 * number, took_ms=900.0))
    assert ledger.decide(Fingerprint(b"long", CALLER)) is None


def test_nor_where_each_end_was_the_doing_of_another_one():
    ledger = CrashLedger()
    for number, cause in ((0, b"one"), (5, b"two"), (10, b"three")):
        at_ends(ledger, cause, [number])
        ledger.note_crash(b"long", end(number, 1000.0 + 400.0 * number, took_ms=900.0))
    assert ledger.decide(Fingerprint(b"long", CALLER)) is None


def test_nor_where_one_that_waited_in_a_queue_ended_most_of_its_servers():
    """Found by the soak, seed 946: times as they were there, in milliseconds."""
    ledger = CrashLedger()
    for number, cause_ms, long_ms in ((6, 77.0, 52.0), (7, 31.0, 323.0)):
        at_ms = 1000.0 + 2900.0 * (number - 6)
        ledger.note_crash(CONTENT, end(number, at_ms, took_ms=cause_ms))
        ledger.note_crash(b"long", end(number, at_ms, took_ms=long_ms))
    ledger.note_crash(CONTENT, end(8, 5000.0, took_ms=357.0))
    ledger.note_crash(b"long", end(10, 6800.0, took_ms=401.0))
    ledger.note_crash(b"another", end(10, 6800.0, took_ms=33.0))
    assert ledger.decide(REQUEST)
    assert ledger.decide(Fingerprint(b"long", CALLER)) is None


def test_nor_for_ends_of_one_that_was_held_before():
    """Found by the soak, seed 946: in queues, times tell nothing."""
    ledger = CrashLedger()
    for number, cause_ms, long_ms in ((6, 452.0, 405.0), (7, 33.0, 49.0)):
        at_ms = 1000.0 + 2650.0 * (number - 6)
        ledger.note_crash(CONTENT, end(number, at_ms, took_ms=cause_ms))
        ledger.note_crash(b"long", end(number, at_ms, took_ms=long_ms))
    ledger.note_crash(CONTENT, end(8, 4200.0, took_ms=61.0))
    ledger.note_crash(b"long", end(10, 6800.0, took_ms=509.0))
    ledger.note_crash(b"another", end(10, 6800.0, took_ms=501.0))
    assert ledger.decide(REQUEST)
    assert ledger.decide(Fingerprint(b"long", CALLER)) is None
    for number in (11,):
        at_ends(ledger, b"beside", [5 * number])
        ledger.note_crash(b"long", end(5 * number, 1000.0 + 2000.0 * number, took_ms=509.0))
    assert ledger.decide(Fingerprint(b"long", CALLER))


def test_one_that_ends_its_servers_late_is_held_whatever_came_beside_it():
    """After three ends nobody can tell; three sends more are allowed at most."""
    ledger = CrashLedger()
    for number in range(CRASHES_IF_AMBIGUOUS):
        assert ledger.decide(Fingerprint(b"late", CALLER)) is None
        at_ends(ledger, b"beside %d" % number, [5 * number])
        ledger.note_crash(b"late", end(5 * number, 1000.0 + 2000.0 * number, took_ms=900.0))
    assert ledger.decide(Fingerprint(b"late", CALLER))


def test_a_short_request_is_held_whatever_came_beside_it():
    ledger = CrashLedger()
    for number in range(CRASHES_TO_QUARANTINE):
        beside = end(number, 1000.0 + 400.0 * number, took_ms=WORK_MS / 10)
        ledger.note_crash(b"beside %d" % number, beside)
    at_ends(ledger, CONTENT, range(CRASHES_TO_QUARANTINE))
    assert ledger.decide(REQUEST)


def test_of_two_that_were_at_the_same_ends_a_trial_tells_the_cause():
    ledger = CrashLedger()
    beside = Fingerprint(b"beside", CALLER)
    at_ends(ledger, CONTENT, [0, 1, 2])
    at_ends(ledger, b"beside", [0, 1, 2])
    for request in (REQUEST, beside):
        hold = ledger.decide(request)
        assert hold.until_ms - hold.last.crashed_ms == AMBIGUOUS_QUARANTINE_MS
    at_ends(ledger, CONTENT, [12])
    assert ledger.decide(beside) is None
    hold = ledger.decide(REQUEST)
    assert hold.until_ms - hold.last.crashed_ms == 2 * QUARANTINE_MS


def test_an_answer_to_one_of_two_shows_that_it_was_the_other():
    ledger = CrashLedger()
    beside = Fingerprint(b"beside", CALLER)
    at_ends(ledger, CONTENT, [0, 1, 2])
    at_ends(ledger, b"beside", [0, 1, 2])
    ledger.note_answer(beside, 6000.0)
    assert ledger.decide(beside) is None
    hold = ledger.decide(REQUEST)
    assert hold.until_ms - hold.last.crashed_ms == QUARANTINE_MS


def test_two_that_always_come_together_are_tried_ever_more_rarely():
    ledger, now_ms, tries = CrashLedger(), 0.0, []
    while now_ms < 300_000.0:
        now_ms += 400.0
        hold = ledger.decide(REQUEST)
        if hold is None or now_ms >= hold.until_ms:
            tries.append(now_ms)
            for content in (CONTENT, b"beside"):
                ledger.note_crash(content, end(len(tries), now_ms + WORK_MS))
    late = [at_ms for at_ms in tries if at_ms > tries[2] + 3000.0]
    assert len(late) <= 4
    assert len([at_ms for at_ms in late if at_ms < 60_000.0]) <= 2


def test_each_end_after_the_third_doubles_the_time_up_to_a_bound():
    for more in range(7):
        ends = row(CRASHES_TO_QUARANTINE + more)
        hold = ledger_of(*ends).decide(REQUEST)
        assert hold.until_ms - hold.last.crashed_ms == QUARANTINE_MS * 2 ** min(more, MAX_DOUBLINGS)


def test_all_is_forgotten_in_the_end():
    ledger = ledger_of(*row(9))
    (item,) = [known for _, known in ledger]
    assert item.expires_ms <= item.newest_ms + QUARANTINE_MS * 2**MAX_DOUBLINGS + RETENTION_MS
    ledger.expire(item.expires_ms - 1)
    assert ledger.decide(REQUEST)
    ledger.expire(item.expires_ms)
    assert ledger.is_empty
    assert ledger.checksum == 0


def test_many_contents_are_bounded_and_what_ended_most_stays():
    ledger = ledger_of(*row(3))
    for number in range(MAX_RECORDS * 3):
        ledger.note_crash(b"%d" % number, end(number, 2000.0 + number))
    assert len(ledger) == MAX_RECORDS
    assert ledger.decide(REQUEST)
    assert ledger.get(b"%d" % (MAX_RECORDS * 3 - 1))


def test_a_telling_of_all_is_bounded():
    ledger = ledger_of(*row(30))
    (item,) = [known for _, known in ledger]
    assert len(item.crashes) == MAX_CRASHES


ENDS = st.builds(
    lambda server, caller, sent, took: CrashEvent(f"s{server}", caller, "n", sent, sent + took),
    st.integers(0, 5),
    st.sampled_from([CALLER, OTHER]),
    st.integers(0, 5000).map(float),
    st.integers(1, 400).map(float),
)
ANSWERS = st.tuples(st.sampled_from([CALLER, OTHER, b"third"]), st.integers(0, 5000).map(float))
EVENTS = st.lists(st.one_of(ENDS, ANSWERS), max_size=7)


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
def test_nodes_that_heard_the_same_in_any_order_decide_the_same(events, chance):
    records = [record_of(event) for event in events]
    repeated = [*records, *records[: len(records) // 2]]
    chance.shuffle(repeated)
    assert merged(repeated) == merged(records)


@given(EVENTS)
@settings(max_examples=300)
def test_nobody_is_held_without_three_servers_that_ended_one_after_the_other(events):
    known = merged(map(record_of, events))
    for caller in (CALLER, OTHER, b"third"):
        hold = known.decide(caller)
        if hold is None:
            continue
        assert len(hold.crashes) >= CRASHES_TO_QUARANTINE
        for before, after in zip(hold.crashes, hold.crashes[1:], strict=False):
            assert after.sent_ms >= before.crashed_ms
        answered = [event[1] for event in events if not isinstance(event, CrashEvent)
                    and event[0] == caller]  # fmt: skip
        own = {item.caller for item in hold.crashes} == {caller}
        assert not own or all(item.crashed_ms > max(answered, default=-1) for item in hold.crashes)


@given(EVENTS, st.floats(0, 1e6), st.floats(-1e6, 1e6))
@settings(max_examples=200)
def test_what_is_told_means_the_same_on_another_clock(events, now_ms, offset_ms):
    known = merged(map(record_of, events))
    now_ms += 10_000.0
    told = messages.encode(CONTENT, known, now_ms)
    heard = messages.decode(told, now_ms + offset_ms)
    for caller in (CALLER, OTHER, b"third"):
        before, after = known.decide(caller), heard.decide(caller)
        assert (before is None) == (after is None)
        if before is not None:
            assert after.until_ms - offset_ms == pytest.approx(before.until_ms, abs=1e-3)


def test_a_telling_that_was_held_up_does_not_hide_how_ends_followed_each_other():
    """A node that stood still reads at once what was told over seconds."""
    ends = row(3)
    known, late = CrashRecord(), CrashLedger()
    for item in ends:
        known = known.with_crash(item)
        told = messages.encode(CONTENT, known, item.crashed_ms)
        late.merge(CONTENT, messages.decode(told, 9000.0))
    assert late.decide(REQUEST)


def test_nodes_that_know_the_same_have_the_same_summary():
    first, second = ledger_of(*row(3)), CrashLedger()
    assert first.checksum != second.checksum
    for content, known in first:
        second.merge(content, messages.decode(messages.encode(content, known, 2000.0), 777_000.0))
    assert first.checksum == second.checksum


@pytest.mark.parametrize("part", range(5))
def test_a_fingerprint_differs_with_each_part(part):
    parts = [b"GET", b"h", b"/a", b"7", b"body"]
    changed = [value + b"x" if n == part else value for n, value in enumerate(parts)]
    same = fingerprint(b"hint", parts, [b"a"])
    assert same == fingerprint(b"hint", list(parts), [b"a"])
    assert same.request_digest != fingerprint(b"hint", changed, [b"a"]).request_digest
    assert same.caller_digest != fingerprint(b"hint", parts, [b"b"]).caller_digest


def test_parts_that_run_together_are_told_apart():
    assert fingerprint(b"", [b"a", b"bc"], []) != fingerprint(b"", [b"ab", b"c"], [])


def test_contents_that_share_a_hint_are_found_by_it_until_the_last_is_forgotten():
    mark = short_digest(b"/a?b", b"body")
    assert mark == short_digest(b"/a?b", b"othe")
    assert len({mark, short_digest(b"/a?c", b"body"), short_digest(b"/a?b", b"longer")}) == 3
    assert len(mark) == SHORT_DIGEST_BYTES
    ledger = CrashLedger()
    ledger.note_crash(mark + b"first", end(1, 0.0))
    ledger.note_crash(mark + b"second", end(2, 500.0))
    ledger.expire(RETENTION_MS)
    assert ledger.may_contain(mark)
    ledger.expire(RETENTION_MS + 500.0)
    assert not ledger.may_contain(mark)
    assert ledger.is_empty


# ---- in a fleet, under virtual time ------------------------------------------------------


class Fleet:
    """Nodes that tell each other by datagrams that may be lost; some are down for a while."""

    def __init__(self, chance, nodes=8, loss=0.1):
        self.chance = chance
        self.loss = loss
        self.ledgers = [CrashLedger() for _ in range(nodes)]
        self.down_until = [0.0] * nodes
        self.store = []  # what the leader saved
        self.loaded = None  # the ledger of the node that has loaded it

    def up(self, number, now_ms):
        return now_ms >= self.down_until[number]

    def tell(self, number, to, contents, now_ms):
        for content in contents:
            if self.up(to, now_ms) and self.chance.random() >= self.loss:
                told = messages.encode(content, self.ledgers[number].get(content), now_ms)
                self.ledgers[to].merge(content, messages.decode(told, now_ms + 1.0))

    def ended(self, number, content, item):
        self.ledgers[number].note_crash(content, item)
        for to in range(len(self.ledgers)):
            self.tell(number, to, [content], item.crashed_ms)

    def ask_round(self, now_ms):
        """Each node asks another one, as nodes do once a second."""
        for number, ledger in enumerate(self.ledgers):
            other = self.chance.randrange(len(self.ledgers))
            known = self.ledgers[other]
            both_up = self.up(number, now_ms) and self.up(other, now_ms)
            if both_up and known.checksum != ledger.checksum:
                self.tell(other, number, [content for content, _ in known], now_ms)

    def lead(self, now_ms):
        """The first node that is up leads, and saves what is held."""
        leader = next((n for n in range(len(self.ledgers)) if self.up(n, now_ms)), None)
        if leader is None:
            return
        ledger = self.ledgers[leader]
        if ledger is not self.loaded:
            for content in saved.load(ledger, self.store, now_ms):
                for to in range(len(self.ledgers)):
                    self.tell(leader, to, [content], now_ms)
            self.loaded = ledger
        self.store = saved.quarantined_records(ledger, now_ms)

    def restart(self, number, now_ms, down_ms):
        self.ledgers[number] = CrashLedger()
        self.down_until[number] = now_ms + down_ms


CONTACT_MS = 3000.0


def late_sends(seed, restarts=True, all_lost_ms=math.inf):
    """Send a request that ends its server each 0.4 to 4 s; return the sends that came late.

    A node is in touch when it was up for all of the time of contact.
    """
    chance = random.Random(seed)
    fleet = Fleet(chance)
    now_ms, next_ask, third_ms, late, server = 0.0, 1000.0, math.inf, 0, 0
    while now_ms < 60_000.0:
        now_ms += chance.uniform(400.0, 4000.0)
        while next_ask < now_ms:
            fleet.ask_round(next_ask)
            fleet.lead(next_ask)
            next_ask += 1000.0
        if now_ms >= all_lost_ms:
            all_lost_ms = math.inf
            for number in range(8):
                fleet.restart(number, now_ms, chance.uniform(500.0, 5000.0))
        if restarts and chance.random() < 0.3:
            fleet.restart(chance.randrange(8), now_ms, chance.uniform(500.0, 5000.0))
        number = chance.randrange(8)
        if not fleet.up(number, now_ms):
            continue
        hold = fleet.ledgers[number].decide(REQUEST)
        if hold is not None and now_ms < hold.until_ms:
            continue
        server += 1
        in_touch = now_ms - fleet.down_until[number] > CONTACT_MS
        late += in_touch and now_ms > third_ms + CONTACT_MS
        fleet.ended(number, CONTENT, end(server, now_ms + WORK_MS))
        if server == CRASHES_TO_QUARANTINE:
            third_ms = now_ms + WORK_MS
    return late


@pytest.mark.parametrize("first", range(0, 400, 100))
def test_no_node_in_touch_sends_it_on_more_than_three_times(first):
    assert max(late_sends(seed) for seed in range(first, first + 100)) <= 3


def test_without_the_hold_they_would(monkeypatch):
    monkeypatch.setattr(record, "CRASHES_TO_QUARANTINE", 10**6)
    assert min(late_sends(seed) for seed in range(20)) > 3


def test_what_was_held_is_known_after_all_nodes_were_lost():
    """Nothing was kept in the store, and three more servers ended before it was held again."""
    assert max(late_sends(seed, all_lost_ms=30_000.0) for seed in range(600)) <= 3
