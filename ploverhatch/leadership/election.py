"""Decisions about the leader's lease. Pure; times are elapsed milliseconds.

The lease object holds the leader's identity and a number that rises with each
renewal. A candidate that sees the same object for ``takeover_ms`` replaces it
by compare-and-set, which only one can win. Nobody reads a wall clock.

A leader may act on its own until ``authority_ms`` after it *sent* the last
renewal that the store acknowledged; this is longer than ``takeover_ms``, so
that grants are renewed while the store is away. A new leader therefore treats
grants of its predecessor as renewable until that time is over, unless a server
confirms otherwise. The lease also says for how long leaders before its holder
may still act, since a holder may be replaced before their time is over.
"""

from dataclasses import dataclass, replace

RENEW_MS = 500.0
READ_INTERVAL_MS = 1000.0  # how often a node that does not lead reads the lease
COVERED_READ_INTERVAL_MS = 4000.0  # ... while the leader tells it that it renews
TAKEOVER_MS = 2600.0
AUTHORITY_MS = 8000.0
# The strongest nodes look when a silent lease may be claimed, within so much time after it
# for each of them, so that they do not all ask at once. The others leave them more time
# than a dozen of them take, and than they may have heard the leader later.
SPREAD_EACH_MS = 20.0
LONGEST_CLAIM_DELAY_MS = 1000.0
CLEARLY_WEAKER = 0.3  # of what leading takes: a leader so much weaker hands over
# In an outage of the store, those that may lead soon ask it at a steady pace; the others
# hear from them that it answers again, and ask less and less often.
OUTAGE_RETRY_MS = 250.0
LONGEST_OUTAGE_RETRY_MS = 2000.0
LEAST_LEAD_MS = 2000.0  # a leader hands over after this time at the earliest


@dataclass(frozen=True, slots=True)
class LeaseObject:
    """The lease as it lies in the store; ``revision`` 0 means there is none."""

    revision: int = 0
    node: str = ""
    incarnation: str = ""  # one start of the node's process
    address: str = ""
    released: bool = False
    earlier_ms: float = 0.0  # how long leaders before this one may act, when written
    strength: float = 1.0  # of its machine: how much of what leading takes it has
    term: int = 0  # rises with each claim; 0 where an earlier version wrote none

    def is_before(self, other: "LeaseObject") -> bool:
        """Whether it is of an earlier term, whatever its revision."""
        return 0 < self.term < other.term


@dataclass(frozen=True, slots=True)
class ElectionState:
    """What a node believes about the lease."""

    node: str
    incarnation: str
    seen: LeaseObject = LeaseObject()
    seen_since_ms: float = 0.0
    leading: bool = False
    renewed_ms: float = -1e12  # when the last acknowledged renewal was sent
    inherited_until_ms: float = -1e12  # until when earlier leaders may act
    relayed_revision: int = 0  # of the lease, as its leader last told
    relayed_renewal_ms: float = -1e12  # when that renewal was sent
    relayed_address: str = ""  # of that leader
    strength: float = 1.0  # of this node's machine
    strongest: float = 1.0  # machine of a node that is known
    strongest_count: int = 1  # nodes that are as strong as that

    @property
    def is_strongest(self) -> bool:
        """Whether no stronger machine is known."""
        return self.strength >= self.strongest

    @property
    def leader_is_weak(self) -> bool:
        """Whether the lease is held by a machine that is clearly weaker than this one."""
        held = bool(self.seen.revision) and not self.seen.released
        return held and self.seen.strength < self.strength - CLEARLY_WEAKER

    @property
    def identity(self) -> tuple[str, str]:
        """Node and life."""
        return self.node, self.incarnation

    @property
    def leader_address(self) -> str:
        """Where the latest leader known takes reports; empty when there is none."""
        if self.relayed_address and self.relayed_revision > self.seen.revision:
            return self.relayed_address
        return "" if self.seen.released else self.seen.address


def observe(state: ElectionState, lease: LeaseObject, now_ms: float) -> ElectionState:
    """Take a reading of the lease object, which may be old.

    A store restored from a snapshot has a lease of an earlier term at a later revision. It
    doesn't tell who leads; the next write of the lease replaces it.
    """
    if lease.revision <= state.seen.revision:
        return state
    if lease.is_before(state.seen):
        return replace(state, seen=replace(state.seen, revision=lease.revision))
    lost = state.leading and (lease.node, lease.incarnation) != state.identity
    known = lease.revision <= state.relayed_revision  # it is as old as was told, at most
    since_ms = min(now_ms, state.relayed_renewal_ms) if known else now_ms
    return replace(state, seen=lease, seen_since_ms=since_ms, leading=state.leading and not lost)


def observe_absent(state: ElectionState) -> ElectionState:
    """The store has no lease object: the next write makes one."""
    return replace(state, seen=replace(state.seen, revision=0))


def observe_renewal(
    state: ElectionState, lease_revision: int, renewed_ms: float, address: str = ""
) -> ElectionState:
    """The leader told that it renewed its lease; what is older than known changes nothing.

    A node that leads itself, and hears of a lease later than its own, was replaced:
    it stops at once, though the store may not answer it.
    """
    if lease_revision < state.relayed_revision:
        return state
    replaced = state.leading and lease_revision > state.seen.revision
    return replace(
        state,
        relayed_revision=lease_revision,
        relayed_renewal_ms=max(renewed_ms, state.relayed_renewal_ms),
        relayed_address=address or state.relayed_address,
        leading=state.leading and not replaced,
    )


def since_renewal_ms(state: ElectionState, now_ms: float) -> float:
    """Return for how long nothing showed that the lease is being renewed."""
    return now_ms - max(state.seen_since_ms, state.relayed_renewal_ms)


def may_claim(state: ElectionState, now_ms: float) -> bool:
    """Whether the lease may be claimed: free, released, our own, or silent too long."""
    if state.leading:
        return False
    lease = state.seen
    if lease.revision == 0 or lease.released:
        return True
    if lease.node == state.node:  # an earlier life of this node has surely ended
        return True
    return since_renewal_ms(state, now_ms) >= TAKEOVER_MS


def claim_delay_ms(state: ElectionState) -> float:
    """Return how long this node leaves a claim to stronger ones.

    A leader tells all nodes of all changes. One whose link bears a tenth of that tells
    them late, and each then asks the store: 6,100 calls in 30 s instead of 1,200 on 79
    nodes, and requests that waited for a second behind what it told.
    """
    return LONGEST_CLAIM_DELAY_MS * max(0.0, state.strongest - state.strength)


def read_interval_ms(state: ElectionState, now_ms: float, spread: float) -> float:
    """Return the time to the next look at the lease.

    The strongest nodes look as soon as they may claim it, others at their own pace.

    :param spread: 0 to 1, drawn by the node, so that not all look at once.
    """
    left_ms = TAKEOVER_MS - since_renewal_ms(state, now_ms)
    if not state.is_strongest or not 0 < left_ms < READ_INTERVAL_MS:
        return READ_INTERVAL_MS
    return left_ms + spread * min(SPREAD_EACH_MS * state.strongest_count, READ_INTERVAL_MS)


def outage_retry_ms(state: ElectionState, failures: int, spread: float) -> float:
    """Return the time to the next call after the store did not answer.

    :param failures: calls in a row without an answer, this one included.
    :param spread: 0 to 1, drawn by the node.
    """
    pause_ms = OUTAGE_RETRY_MS
    if not state.leading and not state.is_strongest:
        pause_ms = min(OUTAGE_RETRY_MS * 2.0**failures, LONGEST_OUTAGE_RETRY_MS)
    return pause_ms * (1.0 + spread)


def should_hand_over(state: ElectionState, offered: float, led_ms: float) -> bool:
    """Whether this leader makes way for a stronger node that is ready to lead.

    :param offered: the strength of that node.
    :param led_ms: for how long this one leads.
    """
    weaker = state.strength < offered - CLEARLY_WEAKER
    return state.leading and weaker and led_ms >= LEAST_LEAD_MS


def earlier_authority_ms(state: ElectionState, now_ms: float) -> float:
    """Return how long the lease's holder and those before it may still act."""
    lease = state.seen
    seen_ms = since_renewal_ms(state, now_ms)
    earlier_ms = max(0.0, lease.earlier_ms - seen_ms)
    if lease.revision == 0 or lease.released or lease.node == state.node:
        return earlier_ms
    return max(earlier_ms, AUTHORITY_MS - seen_ms, 0.0)


def lease_to_write(
    state: ElectionState, address: str, now_ms: float, released: bool = False
) -> LeaseObject:
    """Return the lease object that a claim, a renewal or a resignation writes."""
    if state.leading:
        earlier_ms = max(0.0, state.inherited_until_ms - now_ms)
    else:
        earlier_ms = earlier_authority_ms(state, now_ms)
    term = state.seen.term if state.leading else state.seen.term + 1
    return LeaseObject(
        0, state.node, state.incarnation, address, released, earlier_ms, state.strength, term
    )


def acquired(state: ElectionState, lease: LeaseObject, sent_ms: float) -> ElectionState:
    """The store acknowledged a claim or renewal that was sent at ``sent_ms``."""
    inherited_until_ms = state.inherited_until_ms
    if not state.leading:
        inherited_until_ms = sent_ms + earlier_authority_ms(state, sent_ms)
    return replace(
        state,
        seen=lease,
        seen_since_ms=sent_ms,
        leading=True,
        renewed_ms=sent_ms,
        inherited_until_ms=inherited_until_ms,
    )


def stepped_down(state: ElectionState) -> ElectionState:
    """Stop acting as the leader."""
    return replace(state, leading=False, renewed_ms=-1e12)


def has_authority(state: ElectionState, now_ms: float) -> bool:
    """Whether the leader may send grants; checked right before each send."""
    return state.leading and now_ms - state.renewed_ms < AUTHORITY_MS


def may_change(state: ElectionState, now_ms: float) -> bool:
    """Whether the leader may start changes of ownership."""
    return state.leading and now_ms - state.renewed_ms < TAKEOVER_MS
