"""Keeps requests that end servers away from them, by what all nodes have seen.

A node that finds that a server ended under a request tells all others by a datagram, and
every node asks another one at a steady pace whether that one knows more. So what was seen
reaches each node within a second or two, also one that has just started or was cut off,
whoever leads. What follows from it is decided in :mod:`ploverhatch.quarantine`.
"""

import random
from collections.abc import Callable, Collection, Iterable

import gevent
from gevent.event import Event

from ploverhatch.common import results
from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.logs import PartLogger
from ploverhatch.common.results import RefusedError
from ploverhatch.gateway.call import Call
from ploverhatch.gateway.peer_link import Address
from ploverhatch.gateway.upstreams import Upstream
from ploverhatch.quarantine import messages
from ploverhatch.quarantine.fingerprint import shown
from ploverhatch.quarantine.ledger import CrashLedger
from ploverhatch.quarantine.messages import CrashesAsk, CrashesTold, ToldRecord
from ploverhatch.quarantine.record import Hold, ServerEnd

LOG = PartLogger("quarantine")

Send = Callable[[CrashesTold | CrashesAsk, Address], None]

LOOK_S = 0.1  # a dead port refuses within a round trip; a cut link says nothing
TELL_S = 0.02  # what is seen within that time is told together
ASK_S = 1.0  # between asks of one other node
# A node that has just started asks some others before it sends requests on: they answer
# within a round trip. Where none does it waits no longer, and goes on asking.
FIRST_ASKED = 3
FIRST_ANSWER_S = 0.3
MEMBERS_S = 1.0  # until it is known which other nodes there are
MOST_TOLD = 24  # records in one datagram: each has 200 bytes, one with eight ends 500
# Datagrams of tellings: a hundred nodes hear of ten ends a second from one node.
MOST_SENT_PER_S = 1000.0
MOST_SENT_AT_ONCE = 2000.0
TRIAL_S = 1.0  # while a request is on trial here, its repeats come back after so long


class Quarantine:
    """One node's part.

    :param node: its name, as the witness of what it sees.
    :param members: addresses of the other nodes that are known.
    :param send: sends a message to a node.
    :param await_members: waits for so many seconds at most until the other nodes are known.
    :param leads: whether this node leads, so that all others report to it.
    """

    def __init__(
        self,
        node: str,
        members: Callable[[], Collection[Address]],
        send: Send,
        await_members: Callable[[float], None] = lambda timeout_s: None,
        leads: Callable[[], bool] = lambda: False,
    ) -> None:
        self.ends = 0  # requests under which a server was found to have ended
        self._node = node
        self._members = members
        self._send = send
        self._await_members = await_members
        self._leads = leads
        self._settled = Event()
        self._ledger = CrashLedger()
        self._trial: Call | None = None
        self._untold: set[bytes] = set()
        self._logged: dict[bytes, int] = {}  # contents that are held: by how many ends
        self._may_send = MOST_SENT_AT_ONCE
        self._refilled_ms = elapsed_ms()

    @property
    def held(self) -> int:
        """How many contents are held for some caller."""
        return self._ledger.held(elapsed_ms())

    @property
    def known(self) -> int:
        """How many contents are remembered, held or not."""
        return len(self._ledger)

    @property
    def settled(self) -> bool:
        """Whether another node was asked what it knows, or none answers."""
        return bool(self._settled.is_set())

    def settle(self) -> None:
        """Send requests on without asking other nodes first."""
        self._settled.set()

    # ---- for requests of this node ------------------------------------------------------

    def check(self, call: Call, may_have_run: bool) -> None:
        """Let a request be sent to a server.

        :raises RefusedError: when it is held.
        """
        self._settled.wait(FIRST_ANSWER_S)
        if not self._ledger.may_know(call.hint):
            return
        hold = self._ledger.hold(call.fingerprint)
        if hold is None:
            return
        left_s = (hold.until_ms - elapsed_ms()) / 1000
        if left_s <= 0:
            # One at a time, so that it shows which one it is that ends servers.
            self._trial = self._trial or call
            if self._trial is call:
                return
            left_s = TRIAL_S
        if may_have_run:
            raise RefusedError(results.ANSWER_LOST, self._reason(hold))
        raise RefusedError(results.QUARANTINED, self._reason(hold), left_s)

    def _reason(self, hold: Hold) -> str:
        last = hold.last
        age_ms = elapsed_ms() - last.ended_ms
        return f"{len(hold.ends)}-ends,last:{last.server_id}@{last.witness},{age_ms:.0f}-ms-ago"

    def over(self, call: Call) -> None:
        """A request has ended, so that another one may go on trial."""
        if self._trial is call:
            self._trial = None

    def answered(self, call: Call) -> None:
        """A server has answered a request: it has not ended under it."""
        if not self._ledger.may_know(call.hint):
            return
        if self._ledger.note_answer(call.fingerprint, elapsed_ms()):
            self._changed_here(call.fingerprint.content)

    def lost(self, call: Call, upstream: Upstream, sent_ms: float) -> None:
        """A server broke a request's connection before its answer: look whether it has ended.

        Returns when that is known, so that a request that is held by it is sent nowhere
        else. The look goes on when the caller leaves meanwhile.
        """
        if upstream.record.draining or upstream.record.says_it_leaves:
            return  # its end was announced
        gevent.spawn(self._look, call, upstream, sent_ms, elapsed_ms()).join(LOOK_S)

    def _look(self, call: Call, upstream: Upstream, sent_ms: float, lost_ms: float) -> None:
        if not upstream.has_ended(LOOK_S):
            return
        self.ends += 1
        server_id = upstream.record.server_id
        LOG.warning(
            "Server ended under a request.",
            request=call.trace.request_id,
            content=call.fingerprint,
            server=server_id,
            service=call.service,
            after_ms=round(lost_ms - sent_ms),
        )
        caller = call.fingerprint.caller
        end = ServerEnd(server_id, caller, self._node, sent_ms, lost_ms)
        if self._ledger.note_end(call.fingerprint.content, end):
            self._changed_here(call.fingerprint.content)

    # ---- between nodes ------------------------------------------------------------------

    def sending(self, call: Call, server_id: str) -> None:
        """Tell of a request that is sent though servers are known to have ended under it."""
        record = self._ledger.get(call.fingerprint.content) if self._knows(call) else None
        if record is not None and record.unanswered:
            LOG.info(
                "Sent under suspicion.",
                request=call.trace.request_id,
                content=call.fingerprint,
                server=server_id,
                ends=len(record.unanswered),
            )

    def _knows(self, call: Call) -> bool:
        return self._ledger.may_know(call.hint)

    def _changed_here(self, content: bytes) -> None:
        self._log_hold(content)
        self._tell_soon(content)

    def _tell_soon(self, content: bytes) -> None:
        if not self._untold:
            gevent.spawn_later(TELL_S, self._tell_untold)
        self._untold.add(content)

    def tell_now(self) -> None:
        """Tell what waits to be told together, since the process ends."""
        if self._untold:
            self._tell_untold()

    def _tell_untold(self) -> None:
        contents, self._untold = self._untold, set()
        told = self._told(contents)
        members = list(self._members())
        for address in self._affordable(members, len(told)):
            for message in told:
                self._send(message, address)

    def _told(self, contents: Iterable[bytes]) -> list[CrashesTold]:
        now_ms = elapsed_ms()
        records: list[ToldRecord] = []
        for content in contents:
            record = self._ledger.get(content)
            if record is not None:
                records.append(messages.encode(content, record, now_ms))
        starts = range(0, len(records), MOST_TOLD)
        return [CrashesTold(records[start : start + MOST_TOLD]) for start in starts]

    def _affordable(self, members: list[Address], each: int) -> list[Address]:
        """Return the nodes to tell; some of them, where too much was told lately.

        The others ask for it.
        """
        now_ms = elapsed_ms()
        refill = (now_ms - self._refilled_ms) / 1000 * MOST_SENT_PER_S
        self._may_send = min(MOST_SENT_AT_ONCE, self._may_send + refill)
        self._refilled_ms = now_ms
        most = int(self._may_send / max(each, 1))
        chosen = members if len(members) <= most else random.sample(members, most)
        self._may_send -= len(chosen) * each
        return chosen

    def take_told(self, told: CrashesTold, _peer: Address) -> None:
        """Take what another node knows."""
        now_ms = elapsed_ms()
        for record in told.records:
            if not self._merge(record, now_ms):
                continue
            self._log_hold(record.content)
            # Nodes hear of new ones seconds later; these report to the leader by then.
            if self._leads():
                self._tell_soon(record.content)
        if told.whole:
            self.settle()

    def _merge(self, told: ToldRecord, now_ms: float) -> bool:
        """Take one record; return whether it told something new."""
        before = self._ledger.get(told.content)
        if not self._ledger.merge(told.content, messages.decode(told, now_ms)):
            return False
        after = self._ledger.get(told.content)
        if after is not None and after.unanswered and not (before and before.unanswered):
            last = after.unanswered[-1]
            LOG.info(
                "Heard of an end under a request.",
                content=shown(told.content),
                server=last.server_id,
                witness=last.witness,
                ended_ms_ago=round(now_ms - last.ended_ms),
            )
        return True

    def take_ask(self, ask: CrashesAsk, peer: Address) -> None:
        """Tell all that is known to a node that knows something else."""
        same = self._ledger.is_empty or ask.summary == self._ledger.summary
        if same and not ask.just_started:
            return
        told = self._told(content for content, _ in self._ledger) or [CrashesTold([])]
        told[-1] = CrashesTold(told[-1].records, whole=True)
        for address in self._affordable([peer], len(told)):
            for message in told:
                self._send(message, address)

    def ask_forever(self) -> None:
        """Ask some other nodes at the start, and then one after the other."""
        self._ask_first()
        while True:
            gevent.sleep(ASK_S)
            self._ledger.expire(elapsed_ms())
            self._forget_logged()
            members = list(self._members())
            if members:
                self._send(CrashesAsk(self._ledger.summary), random.choice(members))

    def _ask_first(self) -> None:
        self._await_members(MEMBERS_S)
        members = list(self._members())
        for address in random.sample(members, min(FIRST_ASKED, len(members))):
            self._send(CrashesAsk(self._ledger.summary, just_started=True), address)
        if members:
            self._settled.wait(FIRST_ANSWER_S)
        self.settle()

    # ---- for operators --------------------------------------------------------------------

    def _log_hold(self, content: bytes) -> None:
        """Tell when a request is held, for longer than before, or no more."""
        holds = self._ledger.holds(content)
        if not holds:
            if self._logged.pop(content, None):
                LOG.info("Request is let through again.", content=shown(content))
            return
        hold = max(holds, key=lambda hold: len(hold.ends))
        if len(hold.ends) <= self._logged.get(content, 0):
            return
        self._logged[content] = len(hold.ends)
        now_ms = elapsed_ms()
        LOG.warning(
            "Request is kept from servers.",
            content=shown(content),
            ends="|".join(
                f"{end.server_id}@{end.witness}:{now_ms - end.ended_ms:.0f}" for end in hold.ends
            ),
            for_s=round((hold.until_ms - now_ms) / 1000),
        )

    def _forget_logged(self) -> None:
        for content in [known for known in self._logged if self._ledger.get(known) is None]:
            del self._logged[content]
