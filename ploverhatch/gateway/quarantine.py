"""Keeps requests that crash servers away from servers, by what all nodes have observed.

A node that finds that a server crashed while it ran a request reports this to all other nodes
by datagram. In addition, every node regularly asks another one whether it knows more. So each
observation reaches every node within a second or two, including nodes that have just started
or were disconnected, whichever node leads. What follows from the observations is decided in
:mod:`ploverhatch.quarantine`. A server that freezes counts as crashed.
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
from ploverhatch.gateway.links import LinkMonitor
from ploverhatch.gateway.peer_link import Address
from ploverhatch.gateway.trial_permits import TrialPermits
from ploverhatch.gateway.upstreams import Upstream, UpstreamPool
from ploverhatch.quarantine import messages, saved
from ploverhatch.quarantine.fingerprint import Fingerprint, format_digest
from ploverhatch.quarantine.first_copies import FirstCopies
from ploverhatch.quarantine.ledger import CrashLedger
from ploverhatch.quarantine.messages import CrashQuery, CrashRecordEntry, CrashReport
from ploverhatch.quarantine.record import CrashEvent

LOG = PartLogger("quarantine")

Send = Callable[[CrashReport | CrashQuery, Address], None]

# The store entry of a crashed server is removed by then, after three missed heartbeats.
UNRESOLVED_KEPT_MS = 6000.0
MAX_UNRESOLVED = 16  # The greatest number of unresolved attempts per server.
# A server may go on working on a request for this long after its caller left. If the request
# crashes the server, it does so sooner.
ABANDONED_WORK_MS = 300.0
# A dead port refuses a connection within a round trip; a broken link doesn't answer at all.
PROBE_TIMEOUT_S = 0.1
DEFAULT_ANSWER_MS = 100.0  # The assumed answer time of a server that hasn't answered yet.
# A server that answers nothing for this many times its usual answer time is frozen.
FROZEN_FACTOR = 4.0
REPORT_INTERVAL_S = 0.02  # Crashes that are observed meanwhile are reported together.
QUERY_INTERVAL_S = 1.0
# A node that has just started queries some others before it sends requests to servers. They
# reply within a round trip. If none does, the node stops waiting but goes on querying.
INITIAL_QUERIES = 3
INITIAL_REPLY_TIMEOUT_S = 0.3
MEMBERS_TIMEOUT_S = 1.0  # The longest wait at the start for the list of other nodes.
# A record takes 200 bytes of a datagram, one with eight crashes 500.
MAX_RECORDS_PER_REPORT = 24
# With this many datagrams a node can report ten crashes a second to a hundred nodes.
MAX_SENT_PER_S = 1000.0
MAX_SENT_BURST = 2000.0
# The retry delay for callers while another copy of their request is on trial. The trial of a
# request that crashed one server has mostly ended by then, that of a quarantined one rarely.
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
    """A copy that ended without an answer, though its server may still have been running.

    :param left_ms: when the copy ended, in elapsed milliseconds.
    :param connection_lost: whether the server closed the connection; otherwise this node did.
    """

    copy: _SentCopy
    left_ms: float
    connection_lost: bool

    def is_harmless(self, last_answer_ms: float) -> bool:
        """Whether a later answer to another request shows that the server survived."""
        return last_answer_ms >= self.left_ms + (0.0 if self.connection_lost else ABANDONED_WORK_MS)


class OnTrialElsewhereError(Exception):
    """Another copy of a suspect request is in flight, or is about to be sent."""


class Quarantine:
    """Checks one node's requests, and shares what the node observes with other nodes.

    :param node: name of this node, reported as the witness of what it observes.
    :param members: returns the addresses of the other known nodes.
    :param send: sends a message to a node.
    :param await_members: waits until the other nodes are known, for at most so many seconds.
    :param leads: whether this node leads, so that all others report to it.
    :param permits: permits for copies of suspect requests; without it, the node alone decides.
    :param ran_until_ms: returns the start of a suspension that has just ended, else the present
        time; both in elapsed milliseconds.
    :param links: the state of this node's links, since a link that is cut isn't a server's end.
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
        links: LinkMonitor | None = None,
    ) -> None:
        self._links = links or LinkMonitor(UpstreamPool(""), tuple, lambda message, to: None)
        self.crashes = 0  # Crashes that this node observed under requests, without freezes.
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
        self._unresolved: dict[str, deque[_UnresolvedAttempt]] = {}  # By server.
        self._unreported: set[bytes] = set()
        self._reported_s = -math.inf  # When reports were last sent, in elapsed seconds.
        self._logged: dict[bytes, int] = {}  # The number of crashes of each quarantined digest.
        self._send_budget = MAX_SENT_BURST
        self._refilled_ms = elapsed_ms()

    @property
    def quarantined_count(self) -> int:
        """The number of request digests that are quarantined for some caller."""
        return self._ledger.quarantined_count(elapsed_ms())

    @property
    def known_count(self) -> int:
        """The number of request digests with a record, quarantined or not."""
        return len(self._ledger)

    @property
    def synced(self) -> bool:
        """Whether another node's records were received, or no node replied to a query."""
        return bool(self._synced.is_set())

    def mark_synced(self) -> None:
        """Treat this node's records as synchronized, so that requests wait for no other node."""
        self._synced.set()

    # ---- for requests of this node ------------------------------------------------------

    def check(self, call: Call, may_have_run: bool) -> None:
        """Return once a request may be sent to a server; wait while another copy is on trial.

        Once a request has crashed a server, and until a copy of it is answered, all nodes together
        send one copy at a time. So a request that crashes servers crashes successive ones until
        three crashes quarantine it, and a popular request waits for a single answer. Otherwise
        all copies of the moment would reach the remaining servers before any node could know of
        three crashes.

        :param may_have_run: whether an earlier attempt may have run the request.
        :raises RefusedError: when the request is quarantined, or another copy's trial takes too
            long.
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
        """Wait briefly while the first copy of a request that has no answer yet is in flight."""
        while (wait_ms := self._first_copies.admit(call.short_digest, call, elapsed_ms())) > 0:
            left_ms = min(wait_ms, until_ms - elapsed_ms())
            if left_ms <= 0:
                return
            self._permits.changed.wait(left_ms / 1000)

    def recheck(self, call: Call, may_have_run: bool) -> None:
        """Check a request again right before it is sent, after the wait for its slot.

        :raises RefusedError: when the request is quarantined.
        :raises OnTrialElsewhereError: when the request has to wait, which it does without a slot.
        """
        if self._permit_wait_ms(call, may_have_run) > 0:
            raise OnTrialElsewhereError

    def _permit_wait_ms(self, call: Call, may_have_run: bool) -> float:
        """Return the milliseconds until the next check, or 0 if the request may be sent now.

        :raises RefusedError: when the request is quarantined.
        """
        after_ms = 0.0
        while self._may_know(call):
            decision = self._ledger.decide(call.fingerprint)
            left_s = (decision.until_ms - elapsed_ms()) / 1000 if decision else 0.0
            if left_s > 0:
                raise self._refusal(results.QUARANTINED, call, may_have_run, left_s)
            if decision is None and not self._ledger.is_suspect(call.fingerprint.request_digest):
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
            # Reports may have arrived while the permit was requested.
        return 0.0

    def _refusal(
        self, result: Result, call: Call, may_have_run: bool, after_s: float
    ) -> RefusedError:
        decision = self._ledger.decide(call.fingerprint)
        record = self._ledger.get(call.fingerprint.request_digest)
        crashes = (
            decision.crashes if decision else record.crashes_since_any_answer if record else ()
        )
        reason = self._reason(crashes) if crashes else ""
        if may_have_run:
            return RefusedError(results.ANSWER_LOST, reason)
        return RefusedError(result, reason, after_s)

    def _reason(self, crashes: Sequence[CrashEvent]) -> str:
        last = crashes[-1]
        age_ms = elapsed_ms() - last.crashed_ms
        return f"{len(crashes)}-ends,last:{last.server_id}@{last.witness},{age_ms:.0f}-ms-ago"

    def note_finished(self, call: Call) -> None:
        """Note that a request has finished, so that another copy may go on trial."""
        if self._first_copies.finish(call.short_digest, call):
            self._permits.changed.raise_()
        self._permits.release(call)

    def note_answer(self, call: Call) -> None:
        """Note that a server answered a request and so survived it."""
        self._first_copies.note_answer(call.short_digest, elapsed_ms())
        if not self._ledger.may_contain(call.short_digest):
            return
        if self._ledger.note_answer(call.fingerprint, elapsed_ms()):
            self._note_change(call.fingerprint.request_digest)

    def note_lost(self, call: Call, upstream: Upstream, sent_ms: float) -> None:
        """Note that a server closed the connection before its answer; probe whether it crashed.

        This returns when the result is known or the probe times out, so that a request which is
        quarantined because of this crash isn't retried elsewhere. The probe goes on if the caller
        disconnects meanwhile.
        """
        if _announced(upstream):
            return
        gevent.spawn(self._probe, call, upstream, sent_ms, elapsed_ms()).join(2 * PROBE_TIMEOUT_S)

    def note_timeout(self, call: Call, upstream: Upstream, sent_ms: float) -> None:
        """Note that a server didn't answer in time; it is frozen if it answered nothing since."""
        now_ms = min(elapsed_ms(), self._ran_until_ms())
        usual_ms = upstream.answer_time.mean_ms or DEFAULT_ANSWER_MS
        if self._links.in_doubt(upstream.record.server_id):
            self.note_abandoned(call, upstream, sent_ms)
            return
        if upstream.last_answer_ms >= sent_ms or now_ms - sent_ms < FROZEN_FACTOR * usual_ms:
            self.note_abandoned(call, upstream, sent_ms)
            return
        if self._first_copies.answered_since(call.short_digest, sent_ms):
            return  # Another copy was answered since then, so the request is harmless.
        self._note_crash(_SentCopy.of(call, upstream, sent_ms), now_ms, frozen=True)

    def _probe(self, call: Call, upstream: Upstream, sent_ms: float, lost_ms: float) -> None:
        copy = _SentCopy.of(call, upstream, sent_ms)
        if self._links.has_ended(upstream, PROBE_TIMEOUT_S):
            self._note_crash(copy, lost_ms)
            self.note_server_ended(upstream)
        else:  # The server's next incarnation may listen on the port already.
            self._add_unresolved(upstream, _UnresolvedAttempt(copy, lost_ms, connection_lost=True))

    def note_abandoned(self, call: Call, upstream: Upstream, sent_ms: float) -> None:
        """Note that a request's caller left, or its time ended, while a server worked on it."""
        copy = _SentCopy.of(call, upstream, sent_ms)
        self._add_unresolved(
            upstream, _UnresolvedAttempt(copy, elapsed_ms(), connection_lost=False)
        )

    def _add_unresolved(self, upstream: Upstream, attempt: _UnresolvedAttempt) -> None:
        if not _announced(upstream):
            server_id = upstream.record.server_id
            self._unresolved.setdefault(server_id, deque(maxlen=MAX_UNRESOLVED)).append(attempt)

    def note_refused(self, upstream: Upstream) -> None:
        """Note that a server's address refused a connection, by its end or by a cut link."""
        if upstream.record.server_id in self._unresolved:
            gevent.spawn(self._check_ended, upstream)

    def _check_ended(self, upstream: Upstream) -> None:
        if self._links.has_ended(upstream, PROBE_TIMEOUT_S):
            self.note_server_ended(upstream)

    def note_server_ended(self, upstream: Upstream) -> None:
        """Note that a server has certainly ended.

        All nodes are refused at its port, or its entry is gone or belongs to another incarnation.
        Requests that ended without an answer shortly before, and after which the server answered
        nothing, were the last that it worked on, so its crash is attributed to them.
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
        """Record and report that a server crashed or froze while it ran a request."""
        self.crashes += not frozen
        LOG.warning(
            "Server froze while it ran a request."
            if frozen
            else "Server crashed while it ran a request.",
            request=copy.request_id,
            content=copy.fingerprint,
            server=copy.server_id,
            service=copy.service,
            after_ms=round(ended_ms - copy.sent_ms),
        )
        digest, caller = copy.fingerprint
        crash = CrashEvent(copy.server_id, caller, self._node, copy.sent_ms, ended_ms, frozen)
        if self._ledger.note_crash(digest, crash):
            self._note_change(digest)

    # ---- between nodes ------------------------------------------------------------------

    def log_suspect_send(self, call: Call, server_id: str) -> None:
        """Log that a request is sent although it is known to have crashed servers."""
        record = self._ledger.get(call.fingerprint.request_digest) if self._may_know(call) else None
        if record is not None and record.crashes_since_any_answer:
            LOG.info(
                "Suspect request sent.",
                request=call.trace.request_id,
                content=call.fingerprint,
                server=server_id,
                ends=len(record.crashes_since_any_answer),
            )

    def _may_know(self, call: Call) -> bool:
        """Whether a record of a request may exist; cheap, since it is called for each request."""
        return self._ledger.may_contain(call.short_digest)

    def _note_change(self, digest: bytes) -> None:
        self._log_quarantine(digest)
        self._report_soon(digest)
        self._permits.changed.raise_()  # Requests that wait for a trial check again.

    def _report_soon(self, digest: bytes) -> None:
        if not self._unreported:
            # The first report is sent at once, because other nodes send copies until they get it.
            gevent.spawn_later(
                max(0.0, self._reported_s + REPORT_INTERVAL_S - elapsed_ms() / 1000),
                self._send_reports,
            )
        self._unreported.add(digest)

    def send_reports_now(self) -> None:
        """Send the reports that wait to be sent together, because the process is about to exit."""
        if self._unreported:
            self._send_reports()

    def _send_reports(self) -> None:
        digests, self._unreported = self._unreported, set()
        self._reported_s = elapsed_ms() / 1000
        reports = self._reports(digests)
        members = list(self._members())
        for address in self._affordable(members, len(reports)):
            for message in reports:
                self._send(message, address)

    def _reports(self, digests: Iterable[bytes]) -> list[CrashReport]:
        now_ms = elapsed_ms()
        records: list[CrashRecordEntry] = []
        for digest in digests:
            record = self._ledger.get(digest)
            if record is not None:
                records.append(messages.encode(digest, record, now_ms))
        starts = range(0, len(records), MAX_RECORDS_PER_REPORT)
        return [CrashReport(records[start : start + MAX_RECORDS_PER_REPORT]) for start in starts]

    def _affordable(self, members: list[Address], each: int) -> list[Address]:
        """Return the nodes to send to; a random part of them if the send budget is used up.

        The other nodes receive the same records by their own queries.

        :param each: the number of datagrams for each node.
        """
        now_ms = elapsed_ms()
        refill = (now_ms - self._refilled_ms) / 1000 * MAX_SENT_PER_S
        self._send_budget = min(MAX_SENT_BURST, self._send_budget + refill)
        self._refilled_ms = now_ms
        # The elapsed time may go back by a moment, and with it the budget.
        max_nodes = max(0, int(self._send_budget / max(each, 1)))
        chosen = members if len(members) <= max_nodes else random.sample(members, max_nodes)
        self._send_budget -= len(chosen) * each
        return chosen

    def handle_report(self, report: CrashReport, _peer: Address) -> None:
        """Merge the records that another node sent."""
        now_ms = elapsed_ms()
        for record in report.records:
            if not self._merge(record, now_ms):
                continue
            self._log_quarantine(record.request_digest)
            self._permits.changed.raise_()
            # Nodes learn of a new node only after seconds, and until then it reports to the
            # leader.
            if self._leads():
                self._report_soon(record.request_digest)
        if report.is_complete:
            self.mark_synced()

    def _merge(self, entry: CrashRecordEntry, now_ms: float) -> bool:
        """Merge one record; return whether it contained anything new."""
        before = self._ledger.get(entry.request_digest)
        received = messages.decode(entry, now_ms, self._ran_until_ms())
        if not self._ledger.merge(entry.request_digest, received):
            return False
        after = self._ledger.get(entry.request_digest)
        if (
            after is not None
            and after.crashes_since_any_answer
            and not (before and before.crashes_since_any_answer)
        ):
            last = after.crashes_since_any_answer[-1]
            LOG.info(
                "Crash report received.",
                content=format_digest(entry.request_digest),
                server=last.server_id,
                witness=last.witness,
                ended_ms_ago=round(now_ms - last.crashed_ms),
            )
        return True

    def quarantined_records(self) -> list[CrashRecordEntry]:
        """Return the records of quarantined requests, in the form in which they are saved."""
        return saved.quarantined_records(self._ledger, elapsed_ms())

    def load(self, records: list[CrashRecordEntry]) -> None:
        """Load saved records and report them to the other nodes."""
        for digest in saved.load(self._ledger, records, elapsed_ms()):
            self._note_change(digest)

    def handle_query(self, query: CrashQuery, peer: Address) -> None:
        """Send all records to a node whose records differ, or that has just started."""
        same = self._ledger.is_empty or query.checksum == self._ledger.checksum
        if same and not query.just_started:
            return
        reports = self._reports(digest for digest, _ in self._ledger) or [CrashReport([])]
        reports[-1] = CrashReport(reports[-1].records, is_complete=True)
        for address in self._affordable([peer], len(reports)):
            for message in reports:
                self._send(message, address)

    def query_forever(self) -> None:
        """Query some other nodes at the start, and then a random one at each interval, forever."""
        self._send_initial_queries()
        while True:
            gevent.sleep(QUERY_INTERVAL_S)
            self._ledger.expire(elapsed_ms())
            self._permits.expire()
            self._expire_unresolved()
            self._expire_logged()
            members = list(self._members())
            if members:
                self._send(CrashQuery(self._ledger.checksum), random.choice(members))

    def _send_initial_queries(self) -> None:
        self._await_members(MEMBERS_TIMEOUT_S)
        members = list(self._members())
        for address in random.sample(members, min(INITIAL_QUERIES, len(members))):
            self._send(CrashQuery(self._ledger.checksum, just_started=True), address)
        if members:
            self._synced.wait(INITIAL_REPLY_TIMEOUT_S)
        self.mark_synced()

    # ---- for operators --------------------------------------------------------------------

    def _log_quarantine(self, digest: bytes) -> None:
        """Log when a request becomes quarantined, stays so for longer, or is released."""
        decisions = self._ledger.decisions(digest)
        if not decisions:
            if self._logged.pop(digest, None):
                LOG.info("Request no longer quarantined.", content=format_digest(digest))
            return
        decision = max(decisions, key=lambda decision: len(decision.crashes))
        if len(decision.crashes) <= self._logged.get(digest, 0):
            return
        self._logged[digest] = len(decision.crashes)
        now_ms = elapsed_ms()
        LOG.warning(
            "Request quarantined.",
            content=format_digest(digest),
            ends="|".join(
                f"{crash.server_id}@{crash.witness}:{now_ms - crash.crashed_ms:.0f}"
                for crash in decision.crashes
            ),
            for_s=round((decision.until_ms - now_ms) / 1000),
        )

    def _expire_logged(self) -> None:
        for digest in [known for known in self._logged if self._ledger.get(known) is None]:
            del self._logged[digest]


def _announced(upstream: Upstream) -> bool:
    """Whether a server announced that it is about to stop."""
    return upstream.record.draining or upstream.record.announced_leaving
