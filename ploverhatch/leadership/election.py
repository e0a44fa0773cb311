"""Decisions about the leader's lease.

The lease object holds the leader's identity, and its revision rises with each renewal. A candidate
that sees the same object for ``TAKEOVER_MS`` replaces it by compare-and-set, which only one
candidate can win. No decision depends on a wall clock.

A leader may act until ``AUTHORITY_MS`` after it *sent* the last renewal that the store
acknowledged. This is longer than ``TAKEOVER_MS``, so that it can renew grants while the store is
unavailable. A new leader therefore treats its predecessor's grants as renewable until that time is
over, unless a server confirms otherwise. The lease also holds the time for which leaders before
its holder may still act, since the holder may be replaced before that time is over.

A node that reaches no server, although another node does, is cut off. It could renew no grants,
so it leaves a claim to the others. Where no node reaches a server, none is cut off.

This module does no I/O and reads no clock. Times are milliseconds of the elapsed clock.
"""

from dataclasses import dataclass, replace

RENEW_MS = 500.0
READ_INTERVAL_MS = 1000.0  # time between reads of the lease on a node that doesn't lead
# The same while the node receives the leader's beacons, its periodic messages to other nodes.
COVERED_READ_INTERVAL_MS = 4000.0
TAKEOVER_MS = 2600.0
AUTHORITY_MS = 8000.0
# The strongest nodes read an unrenewed lease at the time when it may be claimed, spread over
# SPREAD_PER_NODE_MS for each of them, so that they don't all ask the store at once. Weaker nodes
# delay their claims by at most MAX_CLAIM_DELAY_MS. This is longer than a dozen of the strongest
# nodes need, plus the difference in when nodes received the leader's last beacon.
SPREAD_PER_NODE_MS = 20.0
MAX_CLAIM_DELAY_MS = 1000.0
STRENGTH_GAP = 0.3  # a leader that is weaker by more than this hands over
# In an outage of the store, the nodes that may lead next ask it at a constant interval. The
# others learn from the next leader that it answers again, and ask with exponential backoff.
OUTAGE_RETRY_MS = 250.0
MAX_OUTAGE_RETRY_MS = 2000.0
MIN_LEAD_MS = 2000.0  # time for which a leader leads before it hands over


@dataclass(frozen=True, slots=True)
class LeaseObject:
    """The lease as stored; ``revision`` 0 means that there is none."""

    revision: int = 0
    node: str = ""
    incarnation: str = ""  # names one start of the node's process
    address: str = ""
    released: bool = False
    earlier_ms: float = 0.0  # time after the write for which earlier leaders may act
    strength: float = 1.0  # resources of the holder's machine, as a part of what a leader needs
    term: int = 0  # rises with each claim; 0 if an earlier version of the program wrote the lease

    def is_before(self, other: "LeaseObject") -> bool:
        """Whether the lease is of an earlier term than another one, whatever its revision."""
        return 0 < self.term < other.term


@dataclass(frozen=True, slots=True)
class ElectionState:
    """A node's knowledge of the lease and of its own role."""

    node: str
    incarnation: str
    seen: LeaseObject = LeaseObject()
    seen_since_ms: float = 0.0
    leading: bool = False
    renewed_ms: float = -1e12  # when the last acknowledged renewal was sent
    inherited_until_ms: float = -1e12  # time until which earlier leaders may act
    relayed_revision: int = 0  # revision of the lease in the latest beacon
    relayed_renewal_ms: float = -1e12  # latest time at which a relayed renewal was sent
    relayed_address: str = ""  # address of the leader in the latest beacon
    released_revision: int = 0  # revision of the latest lease announced as released
    strength: float = 1.0  # strength of this node's machine
    strongest: float = 1.0  # highest strength of the known nodes
    strongest_count: int = 1  # number of nodes with that strength
    cut_off: bool = False  # this node reaches no server, although another node does

    @property
    def is_strongest(self) -> bool:
        """Whether no stronger node is known."""
        return self.strength >= self.strongest

    @property
    def release_is_unread(self) -> bool:
        """Whether a release of the lease was announced, and nothing later is known of it."""
        return self.released_revision > max(self.seen.revision, self.relayed_revision)

    @property
    def leader_is_weak(self) -> bool:
        """Whether a node that is weaker by more than ``STRENGTH_GAP`` holds the lease."""
        held = bool(self.seen.revision) and not self.seen.released
        return held and self.seen.strength < self.strength - STRENGTH_GAP

    @property
    def identity(self) -> tuple[str, str]:
        """The node and its incarnation."""
        return self.node, self.incarnation

    @property
    def leader_address(self) -> str:
        """The address for reports to the latest known leader; empty if there is none."""
        if self.relayed_address and self.relayed_revision > self.seen.revision:
            return self.relayed_address
        return "" if self.seen.released else self.seen.address


def observe(state: ElectionState, lease: LeaseObject, now_ms: float) -> ElectionState:
    """Return the state after a read of the lease object, which may be stale.

    A store that was restored from a snapshot has a lease of an earlier term at a later revision.
    Such a lease doesn't say who leads; the next write of the lease replaces it.
    """
    if lease.revision <= state.seen.revision:
        return state
    if lease.is_before(state.seen):
        return replace(state, seen=replace(state.seen, revision=lease.revision))
    lost = state.leading and (lease.node, lease.incarnation) != state.identity
    known = lease.revision <= state.relayed_revision  # a beacon has relayed this renewal
    since_ms = min(now_ms, state.relayed_renewal_ms) if known else now_ms
    return replace(state, seen=lease, seen_since_ms=since_ms, leading=state.leading and not lost)


def observe_absent(state: ElectionState) -> ElectionState:
    """Return the state after a read that found no lease object; the next write creates it."""
    return replace(state, seen=replace(state.seen, revision=0))


def observe_renewal(
    state: ElectionState, lease_revision: int, renewed_ms: float, address: str = ""
) -> ElectionState:
    """Return the state after a beacon, in which the leader relays the renewal of its lease.

    A beacon with an older lease than the last one changes nothing. A node that leads, and learns
    of a later lease than its own, has been replaced. It stops at once, even if the store doesn't
    answer it.
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


def observe_release(state: ElectionState, lease_revision: int) -> ElectionState:
    """Return the state after a leader announced that it has released its lease.

    :param lease_revision: revision of the released lease.
    """
    return replace(state, released_revision=max(lease_revision, state.released_revision))


def since_renewal_ms(state: ElectionState, now_ms: float) -> float:
    """Return the time since the last sign that the lease was renewed."""
    return now_ms - max(state.seen_since_ms, state.relayed_renewal_ms)


def may_claim(state: ElectionState, now_ms: float) -> bool:
    """Whether this node may claim the lease.

    The lease has to be absent, released, this node's own, or not renewed.
    """
    if state.leading or state.cut_off:
        return False
    lease = state.seen
    if lease.revision == 0 or lease.released:
        return True
    if lease.node == state.node:  # an earlier incarnation of this node has certainly stopped
        return True
    return since_renewal_ms(state, now_ms) >= TAKEOVER_MS


def claim_delay_ms(state: ElectionState) -> float:
    """Return the time by which this node delays a claim in favour of stronger nodes.

    A leader relays all changes to all nodes. If its link has a tenth of the needed bandwidth,
    changes arrive late, and each node asks the store. On 79 nodes this caused 6,100 calls in 30 s
    instead of 1,200, and requests on the leader's link waited for a second behind relayed changes.
    """
    return MAX_CLAIM_DELAY_MS * max(0.0, state.strongest - state.strength)


def read_interval_ms(state: ElectionState, now_ms: float, spread: float) -> float:
    """Return the time to the next read of the lease.

    The strongest nodes read it as soon as they may claim it, the others at a fixed interval.

    :param spread: 0 to 1, drawn at random by the node, so that not all nodes read at once.
    """
    left_ms = TAKEOVER_MS - since_renewal_ms(state, now_ms)
    if not state.is_strongest or not 0 < left_ms < READ_INTERVAL_MS:
        return READ_INTERVAL_MS
    return left_ms + _spread_ms(state, spread)


def released_read_delay_ms(state: ElectionState, spread: float) -> float:
    """Return the time to the read of a lease whose release was announced.

    Only the strongest nodes read it before their next regular read.

    :param spread: 0 to 1, drawn at random by the node, so that not all nodes read at once.
    """
    return _spread_ms(state, spread) if state.is_strongest else READ_INTERVAL_MS


def _spread_ms(state: ElectionState, spread: float) -> float:
    return spread * min(SPREAD_PER_NODE_MS * state.strongest_count, READ_INTERVAL_MS)


def outage_retry_ms(state: ElectionState, failures: int, spread: float) -> float:
    """Return the time to the next call after the store did not answer.

    :param failures: number of successive calls without an answer, including the last one.
    :param spread: 0 to 1, drawn at random by the node.
    """
    pause_ms = OUTAGE_RETRY_MS
    if not state.leading and not state.is_strongest:
        pause_ms = min(OUTAGE_RETRY_MS * 2.0**failures, MAX_OUTAGE_RETRY_MS)
    return pause_ms * (1.0 + spread)


def should_hand_over(state: ElectionState, offered: float, led_ms: float) -> bool:
    """Whether this leader hands over to a stronger node that is ready to lead.

    :param offered: the strength of that node.
    :param led_ms: the time for which this node has led.
    """
    weaker = state.strength < offered - STRENGTH_GAP
    return state.leading and weaker and led_ms >= MIN_LEAD_MS


def earlier_authority_ms(state: ElectionState, now_ms: float) -> float:
    """Return the time for which the lease's holder and earlier leaders may still act."""
    lease = state.seen
    idle_ms = since_renewal_ms(state, now_ms)
    earlier_ms = max(0.0, lease.earlier_ms - idle_ms)
    if lease.revision == 0 or lease.released or lease.node == state.node:
        return earlier_ms
    return max(earlier_ms, AUTHORITY_MS - idle_ms, 0.0)


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
    """Return the state after the store acknowledged a claim or renewal sent at ``sent_ms``."""
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
    """Return the state after the node has stopped acting as the leader."""
    return replace(state, leading=False, renewed_ms=-1e12)


def has_authority(state: ElectionState, now_ms: float) -> bool:
    """Whether this node leads and may send grants; to be checked right before each send."""
    return state.leading and now_ms - state.renewed_ms < AUTHORITY_MS


def may_change(state: ElectionState, now_ms: float) -> bool:
    """Whether this node leads and may begin moves of keys."""
    return state.leading and now_ms - state.renewed_ms < TAKEOVER_MS
