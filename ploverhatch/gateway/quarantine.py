"""Keeps requests that end servers away from them, by what all nodes have seen.

A node that finds that a server ended under a request tells all others by a datagram, and
every node asks another one at a steady pace whether that one knows more. So what was seen
reaches each node within a second or two, also one that has just started or was cut off,
whoever leads. What follows from it is decided in :mod:`ploverhatch.quarantine`.
"""

import math
import random
from collections import deque
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass

import gevent
from gevent.event import Event

from ploverhatch.common import results
from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.logs import PartLogger
from ploverhatch.common.results import RefusedError, Result
from ploverhatch.gateway.call import Call
from ploverhatch.gateway.peer_link import Address
from ploverhatch.gateway.trial_permits import TrialPermits
from ploverhatch.gateway.upstreams import Upstream
from ploverhatch.quarantine import messages, saved
from ploverhatch.quarantine.fingerprint import Fingerprint, shown
from ploverhatch.quarantine.first_copies import FirstCopies
from ploverhatch.quarantine.ledger import CrashLedger
from ploverhatch.quarantine.messages import CrashesAsk, CrashesTold, ToldRecord
from ploverhatch.quarantine.record import ServerEnd

LOG = PartLogger("quarantine")

Send = Callable[[CrashesTold | CrashesAsk, Address], None]

UNRESOLVED_KEPT_MS = 6000.0  # the entry of a server that ended is gone by then: three heartbeats
MAX_UNRESOLVED = 16  # of one server
ABANDONED_WORK_MS = 300.0  # after its caller has left; what ends its server does so sooner
PROBE_TIMEOUT_S = 0.1  # a dead port refuses within a round trip; a cut link says nothing
DEFAULT_ANSWER_MS = 100.0  # of a server that has answered nothing yet
FROZEN_FACTOR = 4.0  # times its usual answer time: a server that is silent for so long
REPORT_INTERVAL_S = 0.02  # between tellings: what is seen meanwhile is told together
QUERY_INTERVAL_S = 1.0  # between asks of one other node
# A node that has just started asks some others before it sends requests on: they answer
# within a round trip. Where none does it waits no longer, and goes on asking.
INITIAL_QUERIES = 3
INITIAL_REPLY_TIMEOUT_S = 0.3
MEMBERS_TIMEOUT_S = 1.0  # until it is known which other nodes there are
MAX_RECORDS_PER_REPORT = 24  # records in one datagram: each has 200 bytes, one with eight ends 500
# Datagrams of tellings: a hundred nodes hear of ten ends a second from one node.
MAX_SENT_PER_S = 1000.0
MAX_SENT_BURST = 2000.0
# Callers of a request of which another copy is on trial come back after so long: where one
# server ended under it, it is mostly answered by then; where it was held, it is rarely.
TRIAL_RETRY_AFTER_S = 0.25
QUARANTINED_TRIAL_RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class _SentCopy:
    """A request as it was sent to a server."""

    request_id: str
    service: str
    fingerprint: Fingerprint
    server_id: str
    sent_ms: float

    @classmethod
    def of(cls, call: Call, upstream: Upstream, sent_ms: float) -> "_SentCopy":
        server_id = upstream.record.server_id
        return cls(call.trace.request_id, call.service, call.fingerprint, server_id, sent_ms)


@dataclass(frozen=True, slots=True)
class _UnresolvedAttempt:
    """A copy that ended without an answer while its server may have been there.

    ``broke`` says that the server broke its connection, else this node did.
    """

    copy: _SentCopy
    left_ms: float
    connection_lost: bool

    def is_harmless(self, last_answer_ms: float) -> bool:
        """Whether an answer to another request shows that the server went on after it."""
        return last_answer_ms >= self.left_ms + (0.0 if self.connection_lost else ABANDONED_WORK_MS)


class OnTrialElsewhereError(Exception):
    """Another copy of a request under suspicion is under way, or is about to be."""


class Quarantine:
    """One node's part.

    :param node: its name, as the witness of what it sees.
    :param members: addresses of the other nodes that are known.
    :param send: sends a message to a node.
    :param await_members: waits for so many seconds at most until the other nodes are known.
    :param leads: whether this node leads, so that all others report to it.
    :param ran_until_ms: until when the process ran before it stood still, if it just did.
    :param permits: for copies of requests under suspicion; by itself alone without it.
    """

    def __init__(
        self,
        node: str,
        members: Callable[[], Collection[Address]],
        send: Send,
        await_members: Callable[[float], None] = lambda timeout_s: None,
        leads: Callable[[], bool] = lambda: False,
        permits: TrialPermits | None = None,
        ran_until_ms: Callable[[], float] = elapsed_ms,
    ) -> None:
        self.crashes = 0  # requests under which a server was found to have ended
        self._node = node
        self._members = members
        self._send = send
        self._await_members = await_members
        self._leads = leads
        self._synced = Event()
        self._ledger = CrashLedger()
        self._ran_until_ms = ran_until_ms
        self._permits = permits or TrialPermits(lambda: None, lambda: 1, lambda message, to: None)
        self._first_copies = FirstCopies()
        self._unresolved: dict[str, deque[_UnresolvedAttempt]] = {}  # by server
        self._unreported: set[bytes] = set()
        self._reported_s = -math.inf  # when it was told last, elapsed
        self._logged: dict[bytes, int] = {}  # contents that are held: by how many ends
        self._send_budget = MAX_SENT_BURST
        self._refilled_ms = elapsed_ms()

    @property
    def quarantined_count(self) -> int:
        """How many contents are held for some caller."""
        return self._ledger.held(elapsed_ms())

    @property
    def known_count(self) -> int:
        """How many contents are remembered, held or not."""
        return len(self._ledger)

    @property
    def synced(self) -> bool:
        """Whether another node was asked what it knows, or none answers."""
        return bool(self._synced.is_set())

    def mark_synced(self) -> None:
        """Send requests on without asking other nodes first."""
        self._synced.set()

    # ---- for requests of this node ------------------------------------------------------

    def check(self, call: Call, may_have_run: bool) -> None:
        """Let a request be sent to a server; wait for a while where a copy is on trial.

        Once a server has ended under a request, and until a copy of it is answered, one copy
        at a time is under way at all nodes together: what ends servers ends one after the
        other, until three ends hold it, and what is popular waits for a single answer. Without
        that, all copies of the moment go to the servers that are left before any node can know
        of three ends.

        :raises RefusedError: when it is held, or another copy's trial takes too long.
        """
        self._synced.wait(INITIAL_REPLY_TIMEOUT_S)
        until_ms = call.move_by_ms if may_have_run else call.offer_by_ms
        self._await_first_copy(call, until_ms)
        while (after_ms := self._permit_wait_ms(call, may_have_run)) > 0:
            left_ms = until_ms - elapsed_ms()
            if left_ms <= 0:
                raise self._refusal(results.ON_TRIAL, call, may_have_run, TRIAL_RETRY_AFTER_S)
            self._permits.changed.wait(min(after_ms, left_ms) / 1000)

    def _await_first_copy(self, call: Call, until_ms: float) -> None:
        """Wait for a moment while another copy of what nobody was answered yet goes ahead."""
        while (wait_ms := self._first_copies.ask(call.short_digest, call, elapsed_ms())) > 0:
            left_ms = min(wait_ms, until_ms - elapsed_ms())
            if left_ms <= 0:
                return
            self._permits.changed.wait(left_ms / 1000)

    def recheck(self, call: Call, may_have_run: bool) -> None:
        """Look once more right before a request is sent, after the wait for its slot.

        :raises RefusedError: when it is held.
        :raises OnTrialElsewhereError: when it has to wait, which needs no slot.
        """
        if self._permit_wait_ms(call, may_have_run) > 0:
            raise OnTrialElsewhereError

    def _permit_wait_ms(self, call: Call, may_have_run: bool) -> float:
        """Return after how many milliseconds to ask again; 0: it may be sent now.

        :raises RefusedError: when it is held.
        """
        after_ms = 0.0
        while self._may_know(call):
            decision = self._ledger.hold(call.fingerprint)
            left_s = (decision.until_ms - elapsed_ms()) / 1000 if decision else 0.0
            if left_s > 0:
                raise self._refusal(results.QUARANTINED, call, may_have_run, left_s)
            if decision is None and not self._ledger.suspects(call.fingerprint.content):
                return 0.0
            if self._permits.has(call):
                return 0.0
            after_ms = self._permits.acquire(call)
            if after_ms > 0:
                if decision is not None:
                    raise self._refusal(
                        results.QUARANTINED, call, may_have_run, QUARANTINED_TRIAL_RETRY_AFTER_S
                    )
                return after_ms
            # While the permit was asked for, more may have become known.
        return 0.0

    def _refusal(
        self, result: Result, call: Call, may_have_run: bool, after_s: float
    ) -> RefusedError:
        decision = self._ledger.hold(call.fingerprint)
        record = self._ledger.get(call.fingerprint.content)
        ends = decision.ends if decision else record.unanswered if record else ()
        reason = self._reason(ends) if ends else ""
        if may_have_run:
            return RefusedError(results.ANSWER_LOST, reason)
        return RefusedError(result, reason, after_s)

    def _reason(self, ends: Sequence[ServerEnd]) -> str:
        last = ends[-1]
        age_ms = elapsed_ms() - last.ended_ms
        return f"{len(ends)}-ends,last:{last.server_id}@{last.witness},{age_ms:.0f}-ms-ago"

    def note_finished(self, call: Call) -> None:
        """A request has ended, so that another copy may go on trial."""
        if self._first_copies.over(call.short_digest, call):
            self._permits.changed.raise_()
        self._permits.release(call)

    def note_answer(self, call: Call) -> None:
        """A server has answered a request: it has not ended under it."""
        self._first_copies.answered(call.short_digest, elapsed_ms())
        if not self._ledger.may_know(call.short_digest):
            return
        if self._ledger.note_answer(call.fingerprint, elapsed_ms()):
            self._note_change(call.fingerprint.content)

    def note_lost(self, call: Call, upstream: Upstream, sent_ms: float) -> None:
        """A server broke a request's connection before its answer: look whether it has ended.

        Returns when that is known, so that a request that is held by it is sent nowhere
        else. The look goes on when the caller leaves meanwhile.
        """
        if _announced(upstream):
            return
        gevent.spawn(self._probe, call, upstream, sent_ms, elapsed_ms()).join(PROBE_TIMEOUT_S)

    def note_timeout(self, call: Call, upstream: Upstream, sent_ms: float) -> None:
        """A server gave no answer in time: it has frozen if it answered nothing else since."""
        now_ms = min(elapsed_ms(), self._ran_until_ms())
        usual_ms = upstream.answer_time.mean_ms or DEFAULT_ANSWER_MS
        if upstream.last_answer_ms >= sent_ms or now_ms - sent_ms < FROZEN_FACTOR * usual_ms:
            self.note_abandoned(call, upstream, sent_ms)
            return
        if self._first_copies.answered_since(call.short_digest, sent_ms):
            return  # another copy did no harm
        self._note_crash(_SentCopy.of(call, upstream, sent_ms), now_ms, frozen=True)

    def _probe(self, call: Call, upstream: Upstream, sent_ms: float, lost_ms: float) -> None:
        copy = _SentCopy.of(call, upstream, sent_ms)
        if upstream.has_ended(PROBE_TIMEOUT_S):
            self._note_crash(copy, lost_ms)
            self.note_server_ended(upstream)
        else:  # its next life may have the port already
            self._add_unresolved(upstream, _UnresolvedAttempt(copy, lost_ms, connection_lost=True))

    def note_abandoned(self, call: Call, upstream: Upstream, sent_ms: float) -> None:
        """A request's caller has left, or its time is over, while a server worked on it."""
        copy = _SentCopy.of(call, upstream, sent_ms)
        self._add_unresolved(
            upstream, _UnresolvedAttempt(copy, elapsed_ms(), connection_lost=False)
        )

    def _add_unresolved(self, upstream: Upstream, attempt: _UnresolvedAttempt) -> None:
        if not _announced(upstream):
            server_id = upstream.record.server_id
            self._unresolved.setdefault(server_id, deque(maxlen=MAX_UNRESOLVED)).append(attempt)

    def note_server_ended(self, upstream: Upstream) -> None:
        """A server has surely ended: its port is dead, or another life or none has its entry.

        Requests that ended without an answer shortly before, and after which it answered
        nothing, were the last that it worked on.
        """
        now_ms = elapsed_ms()
        for attempt in self._unresolved.pop(upstream.record.server_id, ()):
            is_late = now_ms - attempt.left_ms >= UNRESOLVED_KEPT_MS
            if not (
                is_late or _announced(upstream) or attempt.is_harmless(upstream.last_answer_ms)
            ):
                self._note_crash(attempt.copy, attempt.left_ms)

    def _expire_unresolved(self) -> None:
        now_ms = elapsed_ms()
        for server_id, attempts in list(self._unresolved.items()):
            if all(now_ms - attempt.left_ms >= UNRESOLVED_KEPT_MS for attempt in attempts):
                del self._unresolved[server_id]

    def _note_crash(self, copy: _SentCopy, ended_ms: float, frozen: bool = False) -> None:
        """A server has ended under a request, or frozen."""
        self.crashes += not frozen
        LOG.warning(
            "Server froze under a request." if frozen else "Server ended under a request.",
            request=copy.request_id,
            content=copy.fingerprint,
            server=copy.server_id,
            service=copy.service,
            after_ms=round(ended_ms - copy.sent_ms),
        )
        content, caller = copy.fingerprint
        crash = ServerEnd(copy.server_id, caller, self._node, copy.sent_ms, ended_ms, frozen)
        if self._ledger.note_end(content, crash):
            self._note_change(content)

    # ---- between nodes ------------------------------------------------------------------

    def log_suspect_send(self, call: Call, server_id: str) -> None:
        """Tell of a request that is sent though servers are known to have ended under it."""
        record = self._ledger.get(call.fingerprint.content) if self._may_know(call) else None
        if record is not None and record.unanswered:
            LOG.info(
                "Sent under suspicion.",
                request=call.trace.request_id,
                content=call.fingerprint,
                server=server_id,
                ends=len(record.unanswered),
            )

    def _may_know(self, call: Call) -> bool:
        """Whether anything may be known of a request; cheap, as all requests ask."""
        return self._ledger.may_know(call.short_digest)

    def _note_change(self, content: bytes) -> None:
        self._log_quarantine(content)
        self._report_soon(content)
        self._permits.changed.raise_()  # those who wait for a copy's trial look again

    def _report_soon(self, content: bytes) -> None:
        if not self._unreported:
            # The first one at once: the other nodes send copies on until they know of it.
            gevent.spawn_later(
                max(0.0, self._reported_s + REPORT_INTERVAL_S - elapsed_ms() / 1000),
                self._send_reports,
            )
        self._unreported.add(content)

    def send_reports_now(self) -> None:
        """Tell what waits to be told together, since the process ends."""
        if self._unreported:
            self._send_reports()

    def _send_reports(self) -> None:
        contents, self._unreported = self._unreported, set()
        self._reported_s = elapsed_ms() / 1000
        reports = self._reports(contents)
        members = list(self._members())
        for address in self._affordable(members, len(reports)):
            for message in reports:
                self._send(message, address)

    def _reports(self, contents: Iterable[bytes]) -> list[CrashesTold]:
        now_ms = elapsed_ms()
        records: list[ToldRecord] = []
        for content in contents:
            record = self._ledger.get(content)
            if record is not None:
                records.append(messages.encode(content, record, now_ms))
        starts = range(0, len(records), MAX_RECORDS_PER_REPORT)
        return [CrashesTold(records[start : start + MAX_RECORDS_PER_REPORT]) for start in starts]

    def _affordable(self, members: list[Address], each: int) -> list[Address]:
        """Return the nodes to tell; some of them, where too much was told lately.

        The others ask for it.
        """
        now_ms = elapsed_ms()
        refill = (now_ms - self._refilled_ms) / 1000 * MAX_SENT_PER_S
        self._send_budget = min(MAX_SENT_BURST, self._send_budget + refill)
        self._refilled_ms = now_ms
        max_nodes = int(self._send_budget / max(each, 1))
        chosen = members if len(members) <= max_nodes else random.sample(members, max_nodes)
        self._send_budget -= len(chosen) * each
        return chosen

    def handle_report(self, report: CrashesTold, _peer: Address) -> None:
        """Take what another node knows."""
        now_ms = elapsed_ms()
        for record in report.records:
            if not self._merge(record, now_ms):
                continue
            self._log_quarantine(record.content)
            self._permits.changed.raise_()
            # Nodes hear of new ones seconds later; these report to the leader by then.
            if self._leads():
                self._report_soon(record.content)
        if report.whole:
            self.mark_synced()

    def _merge(self, entry: ToldRecord, now_ms: float) -> bool:
        """Take one record; return whether it told something new."""
        before = self._ledger.get(entry.content)
        received = messages.decode(entry, now_ms, self._ran_until_ms())
        if not self._ledger.merge(entry.content, received):
            return False
        after = self._ledger.get(entry.content)
        if after is not None and after.unanswered and not (before and before.unanswered):
            last = after.unanswered[-1]
            LOG.info(
                "Heard of an end under a request.",
                content=shown(entry.content),
                server=last.server_id,
                witness=last.witness,
                ended_ms_ago=round(now_ms - last.ended_ms),
            )
        return True

    def quarantined_records(self) -> list[ToldRecord]:
        """Return what is held, as it is saved."""
        return saved.held_records(self._ledger, elapsed_ms())

    def load(self, records: list[ToldRecord]) -> None:
        """Take what was saved before, and tell the other nodes."""
        for content in saved.load(self._ledger, records, elapsed_ms()):
            self._note_change(content)

    def handle_query(self, query: CrashesAsk, peer: Address) -> None:
        """Tell all that is known to a node that knows something else."""
        same = self._ledger.is_empty or query.summary == self._ledger.summary
        if same and not query.just_started:
            return
        reports = self._reports(content for content, _ in self._ledger) or [CrashesTold([])]
        reports[-1] = CrashesTold(reports[-1].records, whole=True)
        for address in self._affordable([peer], len(reports)):
            for message in reports:
                self._send(message, address)

    def query_forever(self) -> None:
        """Ask some other nodes at the start, and then one after the other."""
        self._send_initial_queries()
        while True:
            gevent.sleep(QUERY_INTERVAL_S)
            self._ledger.expire(elapsed_ms())
            self._permits.expire()
            self._expire_unresolved()
            self._expire_logged()
            members = list(self._members())
            if members:
                self._send(CrashesAsk(self._ledger.summary), random.choice(members))

    def _send_initial_queries(self) -> None:
        self._await_members(MEMBERS_TIMEOUT_S)
        members = list(self._members())
        for address in random.sample(members, min(INITIAL_QUERIES, len(members))):
            self._send(CrashesAsk(self._ledger.summary, just_started=True), address)
        if members:
            self._synced.wait(INITIAL_REPLY_TIMEOUT_S)
        self.mark_synced()

    # ---- for operators --------------------------------------------------------------------

    def _log_quarantine(self, content: bytes) -> None:
        """Tell when a request is held, for longer than before, or no more."""
        decisions = self._ledger.holds(content)
        if not decisions:
            if self._logged.pop(content, None):
                LOG.info("Request is let through again.", content=shown(content))
            return
        decision = max(decisions, key=lambda decision: len(decision.ends))
        if len(decision.ends) <= self._logged.get(content, 0):
            return
        self._logged[content] = len(decision.ends)
        now_ms = elapsed_ms()
        LOG.warning(
            "Request is kept from servers.",
            content=shown(content),
            ends="|".join(
                f"{end.server_id}@{end.witness}:{now_ms - end.ended_ms:.0f}"
                for end in decision.ends
            ),
            for_s=round((decision.until_ms - now_ms) / 1000),
        )

    def _expire_logged(self) -> None:
        for content in [known for known in self._logged if self._ledger.get(known) is None]:
            del self._logged[content]


def _announced(upstream: Upstream) -> bool:
    """Whether a server said that it is about to end."""
    return upstream.record.draining or upstream.record.says_it_leaves
