"""Permits for copies of requests under suspicion: this node's copies, and those it keeps.

The leader keeps them (:mod:`ploverhatch.quarantine.trials`), since all nodes agree on it within
a moment, also those that have just started; the others ask it by datagrams. Where it doesn't
answer, or there is none, a node goes on by itself: then each of them has one copy under way.
"""

import itertools
import math
import random
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent.event import AsyncResult

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.logs import PartLogger
from ploverhatch.common.signal import Signal
from ploverhatch.gateway.call import Call
from ploverhatch.quarantine.messages import TrialAsk, TrialMessage, TrialOver, TrialWord
from ploverhatch.quarantine.trials import PERMIT_MS, Trials

LOG = PartLogger("quarantine")

Node = tuple[str, int]  # address

REPLY_TIMEOUT_S = 0.025  # the leader is asked again after it, and twice before it is passed over
MAX_TRIES = 2
# A wait that took longer than this many times its time-out counts for nothing, so often at
# most: this process was suspended meanwhile, and where a whole machine was, so was the leader.
OVERSLEPT_FACTOR = 2.0
MAX_OVERSLEPT = 3
SKIP_LEADER_MS = (
    1000.0  # for how long a leader that did not answer isn't asked, unless it does late
)
# Between asks of this node for one content while another node has a copy of it under way. Where
# there are many nodes they ask more rarely, so that the leader hears of 1,000 a second at most.
POLL_MS = 50.0
POLL_MS_PER_NODE = 1.0


@dataclass(slots=True)
class _Claim:
    """What is known here of a content's permit."""

    call: Call | None  # that asks for it or has it; ``None``: another node has
    number: int
    until_ms: float
    leader: Node | None = None  # that was asked
    granted: bool = False


class TrialPermits:
    """One node's part.

    :param leader: address of the leader if it is another node, else ``None``.
    :param nodes: how many nodes there are.
    :param send: sends a message to a node.
    """

    def __init__(
        self,
        leader: Callable[[], Node | None],
        nodes: Callable[[], int],
        send: Callable[[TrialMessage, Node], None],
    ) -> None:
        self._leader = leader
        self._nodes = nodes
        self._send = send
        self._trials = Trials()
        self._claims: dict[bytes, _Claim] = {}
        self._replies: dict[int, AsyncResult[float]] = {}
        self._skip_leader_until_ms = (
            -math.inf
        )  # until when a leader that did not answer isn't asked
        self._numbers = itertools.count(random.getrandbits(32))
        self.changed = Signal()  # raised when a copy of this node has ended

    @property
    def granted_count(self) -> int:
        """Permits that this node gave."""
        return len(self._trials)

    def has(self, call: Call) -> bool:
        """Whether a request has its permit for long enough to be sent."""
        claim = self._claims.get(call.fingerprint.content)
        if claim is None or claim.call is not call or not claim.granted:
            return False
        return claim.until_ms - elapsed_ms() > PERMIT_MS / 2

    def acquire(self, call: Call) -> float:
        """Return after how many milliseconds to ask again; 0: the request may be sent.

        One that has the permit already gets it for the whole time again.
        """
        content = call.fingerprint.content
        now_ms = elapsed_ms()
        claim = self._claims.get(content)
        number = next(self._numbers)
        if claim is not None and claim.until_ms > now_ms:
            if claim.call is not call:
                return claim.until_ms - now_ms
            number = claim.number
        claim = self._claims[content] = _Claim(call, number, now_ms + PERMIT_MS)
        again_ms = max(POLL_MS, POLL_MS_PER_NODE * self._nodes())
        after_ms = min(self._request(content, claim), again_ms)
        if after_ms > 0:
            claim.call = None
            claim.until_ms = elapsed_ms() + after_ms
            return after_ms
        claim.granted = True
        claim.until_ms = elapsed_ms() + PERMIT_MS
        return 0.0

    def release(self, call: Call) -> None:
        """A request has ended, with or without a permit."""
        for content, claim in list(self._claims.items()):
            if claim.call is call:
                del self._claims[content]
                self._finish(content, claim)
                self.changed.raise_()

    def _finish(self, content: bytes, claim: _Claim) -> None:
        self._trials.end(content, claim.number)
        if claim.leader is not None:
            self._send(TrialOver(content, claim.number), claim.leader)

    def expire(self) -> None:
        """Forget what is over."""
        now_ms = elapsed_ms()
        self._claims = {c: claim for c, claim in self._claims.items() if claim.until_ms > now_ms}

    # ---- between nodes ------------------------------------------------------------------

    def _request(self, content: bytes, claim: _Claim) -> float:
        """Ask the leader; where it doesn't answer this node decides."""
        leader = self._leader()
        if leader is not None and elapsed_ms() >= self._skip_leader_until_ms:
            claim.leader = leader
            after_ms = self._ask_leader(leader, TrialAsk(content, claim.number))
            if after_ms is not None:
                return after_ms
            LOG.info("Leader says nothing of trials.", node=f"{leader[0]}:{leader[1]}")
            self._skip_leader_until_ms = elapsed_ms() + SKIP_LEADER_MS
        claim.leader = None
        return self._trials.ask(content, claim.number, elapsed_ms())

    def _ask_leader(self, node: Node, request: TrialAsk) -> float | None:
        reply = self._replies[request.number] = AsyncResult()
        try:
            waits = overslept = 0
            while waits < MAX_TRIES:
                start_ms = elapsed_ms()
                self._send(request, node)
                reply.wait(REPLY_TIMEOUT_S)
                # Where the process stood still, the timer goes off before the word is read.
                gevent.sleep(0)
                if reply.ready():
                    return float(reply.get())
                took_s = (elapsed_ms() - start_ms) / 1000
                if took_s > OVERSLEPT_FACTOR * REPLY_TIMEOUT_S and overslept < MAX_OVERSLEPT:
                    overslept += 1
                else:
                    waits += 1
        finally:
            del self._replies[request.number]
        return None

    def handle_request(self, request: TrialAsk, peer: Node) -> None:
        """Answer another node, to which this one leads."""
        after_ms = self._trials.ask(request.content, (peer, request.number), elapsed_ms())
        self._send(TrialWord(request.number, after_ms), peer)

    def handle_reply(self, reply: TrialWord, peer: Node) -> None:
        """Take the leader's answer; one that comes too late tells that the leader is there."""
        if peer == self._leader():
            self._skip_leader_until_ms = -math.inf
        pending = self._replies.get(reply.number)
        if pending is not None:
            pending.set(reply.after_ms)

    def handle_finished(self, message: TrialOver, peer: Node) -> None:
        """Take a permit back."""
        self._trials.end(message.content, (peer, message.number))
