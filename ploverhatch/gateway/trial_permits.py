"""Permits for trials, which are single attempts of suspect requests.

The leader grants the permits (:mod:`ploverhatch.quarantine.trials`), because all nodes agree on
the leader within a moment, including nodes that have just started. The other nodes request
permits from it by datagram. Without a leader, or if it doesn't answer, each node grants permits
to itself, so that each node has one copy of a suspect request in flight.
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
from ploverhatch.quarantine.messages import TrialFinished, TrialMessage, TrialReply, TrialRequest
from ploverhatch.quarantine.trials import PERMIT_MS, Trials

LOG = PartLogger("quarantine")

Node = tuple[str, int]  # Address of a node.

# The leader is sent a request MAX_TRIES times, with this timeout, before it is skipped.
REPLY_TIMEOUT_S = 0.025
MAX_TRIES = 2
# A wait longer than this many timeouts means that this process was suspended, and the leader
# too if the whole machine was. Up to MAX_OVERSLEPT such waits don't count as tries.
OVERSLEPT_FACTOR = 2.0
MAX_OVERSLEPT = 3
# A leader that didn't answer is skipped for this long, or until a late reply arrives.
SKIP_LEADER_MS = 1000.0
# The interval of this node's requests for one digest while another node has a copy in flight.
# The interval grows with the number of nodes, so that the leader gets at most 1,000 a second.
POLL_MS = 50.0
POLL_MS_PER_NODE = 1.0


@dataclass(slots=True)
class _Claim:
    """What this node knows of the permit for a request digest."""

    call: Call | None  # The call that requests or holds it; ``None`` if another node holds it.
    number: int
    until_ms: float
    leader: Node | None = None  # The leader to which the request was sent.
    granted: bool = False


class TrialPermits:
    """Requests trial permits for one node, and grants them while it leads.

    :param leader: returns the leader's address if another node leads, else ``None``.
    :param nodes: returns the number of nodes.
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
        self._skip_leader_until_ms = -math.inf
        self._numbers = itertools.count(random.getrandbits(32))
        self.changed = Signal()  # Raised when a copy of this node has finished.

    @property
    def granted_count(self) -> int:
        """The number of permits that this node granted."""
        return len(self._trials)

    def has(self, call: Call) -> bool:
        """Whether a request holds a permit that is valid for long enough to send it."""
        claim = self._claims.get(call.fingerprint.request_digest)
        if claim is None or claim.call is not call or not claim.granted:
            return False
        return claim.until_ms - elapsed_ms() > PERMIT_MS / 2

    def acquire(self, call: Call) -> float:
        """Return the milliseconds until the next try, or 0 once the permit is acquired.

        A request that already holds the permit gets it for the full time again.
        """
        digest = call.fingerprint.request_digest
        now_ms = elapsed_ms()
        claim = self._claims.get(digest)
        number = next(self._numbers)
        if claim is not None and claim.until_ms > now_ms:
            if claim.call is not call:
                return claim.until_ms - now_ms
            number = claim.number
        claim = self._claims[digest] = _Claim(call, number, now_ms + PERMIT_MS)
        again_ms = max(POLL_MS, POLL_MS_PER_NODE * self._nodes())
        after_ms = min(self._request(digest, claim), again_ms)
        if after_ms > 0:
            claim.call = None
            claim.until_ms = elapsed_ms() + after_ms
            return after_ms
        claim.granted = True
        claim.until_ms = elapsed_ms() + PERMIT_MS
        return 0.0

    def release(self, call: Call) -> None:
        """Release what a finished request holds; it may hold no permit."""
        for digest, claim in list(self._claims.items()):
            if claim.call is call:
                del self._claims[digest]
                self._finish(digest, claim)
                self.changed.raise_()

    def _finish(self, digest: bytes, claim: _Claim) -> None:
        self._trials.release(digest, claim.number)
        if claim.leader is not None:
            self._send(TrialFinished(digest, claim.number), claim.leader)

    def expire(self) -> None:
        """Drop expired claims."""
        now_ms = elapsed_ms()
        self._claims = {
            digest: claim for digest, claim in self._claims.items() if claim.until_ms > now_ms
        }

    # ---- between nodes ------------------------------------------------------------------

    def _request(self, digest: bytes, claim: _Claim) -> float:
        """Ask the leader for a permit; this node decides if the leader doesn't answer."""
        leader = self._leader()
        if leader is not None and elapsed_ms() >= self._skip_leader_until_ms:
            claim.leader = leader
            after_ms = self._ask_leader(leader, TrialRequest(digest, claim.number))
            if after_ms is not None:
                return after_ms
            LOG.info("Leader did not answer a trial request.", node=f"{leader[0]}:{leader[1]}")
            self._skip_leader_until_ms = elapsed_ms() + SKIP_LEADER_MS
        claim.leader = None
        return self._trials.acquire(digest, claim.number, elapsed_ms())

    def _ask_leader(self, node: Node, request: TrialRequest) -> float | None:
        reply = self._replies[request.number] = AsyncResult()
        try:
            waits = overslept = 0
            while waits < MAX_TRIES:
                start_ms = elapsed_ms()
                self._send(request, node)
                reply.wait(REPLY_TIMEOUT_S)
                # After a suspension the timer fires before a reply that has arrived is read.
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

    def handle_request(self, request: TrialRequest, peer: Node) -> None:
        """Answer a request of another node, for which this node is the leader."""
        after_ms = self._trials.acquire(
            request.request_digest, (peer, request.number), elapsed_ms()
        )
        self._send(TrialReply(request.number, after_ms), peer)

    def handle_reply(self, reply: TrialReply, peer: Node) -> None:
        """Handle the leader's reply; even a late one shows that the leader is running."""
        if peer == self._leader():
            self._skip_leader_until_ms = -math.inf
        pending = self._replies.get(reply.number)
        if pending is not None:
            pending.set(reply.retry_after_ms)

    def handle_finished(self, message: TrialFinished, peer: Node) -> None:
        """Release the permit of a trial that has finished."""
        self._trials.release(message.request_digest, (peer, message.number))
