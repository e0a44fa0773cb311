"""Leader election: the task that reads, claims and renews the leader's lease.

The lease is one object in the store, changed by compare-and-set; see
:mod:`ploverhatch.leadership.election` for its rules. Beside it, each node keeps an object of
its own there, from which the nodes learn of each other.
"""

import random
from collections.abc import Callable, Collection
from dataclasses import replace

import gevent
from gevent.event import Event

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.logs import PartLogger
from ploverhatch.common.signal import Signal
from ploverhatch.gateway import keymap_codec
from ploverhatch.gateway.keymap_codec import Member
from ploverhatch.leadership import election
from ploverhatch.leadership.election import ElectionState, LeaseObject
from ploverhatch.store import kinds
from ploverhatch.store.objects import (
    Listing,
    ObjectStore,
    OutcomeUnknownError,
    RevisionConflictError,
    StoreCallError,
    UnreadableObjectError,
    VersionedObject,
)

LOG = PartLogger("elector")

NODE_PREFIX = "node-"
RESIGNED_PAUSE_MS = 6000.0


class Elector:
    """Takes part in the election for this node.

    Run :meth:`run` in a task and read :attr:`state`.

    :param node: name of this node.
    :param incarnation: name of this incarnation of the process.
    :param address: where this node receives reports, as ``host:port``.
    :param store_lost: called after each call that the store does not answer.
    :param store_regained: called when the store answers again.
    :param covered: whether the leader's relay may be relied on for all kinds of objects.
    :param strength: share of the resources needed to lead that this machine has, 0 to 1.
    :param zone: zone of this node.
    :param cut_off: whether this node reaches no server, although another node does.
    :param announce_release: tells the other nodes the revision of a lease that was released.
    """

    def __init__(
        self,
        store: ObjectStore,
        node: str,
        incarnation: str,
        address: str,
        store_lost: Callable[[], None],
        store_regained: Callable[[], None],
        covered: Callable[[], bool] = lambda: False,
        strength: float = 1.0,
        zone: str = "",
        cut_off: Callable[[], bool] = lambda: False,
        announce_release: Callable[[int], None] = lambda revision: None,
    ) -> None:
        self._member = Member(address, zone, strength)
        self._led_since_ms = 0.0
        self._store = store
        self._address = address
        self._store_lost = store_lost
        self._store_regained = store_regained
        self._covered = covered
        self._cut_off = cut_off
        self._announce_release = announce_release
        self._read_ms = -1e12
        self._wake = Signal()
        self._read_due = False  # the lease is to be read although the leader announces it
        self._store_unavailable = False
        self._failures = 0  # successive calls without an answer
        self._registered = False
        self._registered_revision = 0
        self._renewal = 0
        self._nodes: dict[str, VersionedObject] = {}
        self._malformed_nodes: dict[str, int] = {}  # revisions of malformed objects, by name
        self._not_before_ms = 0.0
        self._resigned_ms = -1e12
        self._stopped = False
        self._leader_known = Event()  # the lease was read, or a leader announced itself
        self.state = ElectionState(node, incarnation, strength=strength, strongest=strength)
        self.member_zones: dict[str, str] = {}  # zones of all known nodes, by address

    @property
    def address(self) -> str:
        """Where this node receives reports and answers other nodes, as ``host:port``."""
        return self._address

    @property
    def has_authority(self) -> bool:
        """Whether this node may send grants right now."""
        return election.has_authority(self.state, elapsed_ms())

    @property
    def may_change(self) -> bool:
        """Whether this node may begin moves of keys right now."""
        return election.may_change(self.state, elapsed_ms())

    @property
    def leader_address(self) -> str:
        """Where the leader receives reports; empty when no leader is known."""
        return self.state.leader_address

    @property
    def members(self) -> Collection[str]:
        """Addresses of all known nodes."""
        return self.member_zones.keys()

    @property
    def store_unavailable(self) -> bool:
        """Whether this task's last call to the store got no answer."""
        return self._store_unavailable

    @property
    def offered_strength(self) -> float:
        """Strength of this machine if it is ready to replace a weaker leader, else 0."""
        ready = not self._store_unavailable and elapsed_ms() >= self._not_before_ms
        if self._stopped or not ready or not self.state.is_strongest or self._cut_off():
            return 0.0
        return self.state.strength

    @property
    def node_count(self) -> int:
        """Number of nodes that share the budgets; at least 1."""
        return max(len(self._nodes), 1)

    def await_leader(self, timeout_s: float) -> None:
        """Wait until the lease was read, its read failed, or a leader announced itself.

        Return after ``timeout_s`` at the latest.
        """
        self._leader_known.wait(timeout_s)

    def run(self) -> None:
        """Take part in the election until stopped."""
        while not self._stopped:
            pause_s = self._round()
            self._read_due = self._wake.wait(pause_s)

    def check_store_now(self) -> None:
        """Read the lease at once, since a call of another task got no answer from the store."""
        if not self._store_unavailable and not self.state.leading:
            self._wake.raise_()

    def note_resumed(self) -> None:
        """Renew or read the lease at once, after a suspension of the machine."""
        self._wake.raise_()

    def _round(self) -> float:
        try:
            if self.state.leading:
                self._renew()
            elif self._store_unavailable or self._read_due or not self._leader_announces:
                self._read_lease()
        except StoreCallError as error:
            self._leader_known.set()
            self._note_store_answer(error)
            self._failures += 1
            pause_ms = election.outage_retry_ms(self.state, self._failures, random.random())
            return pause_ms / 1000
        self._failures = 0
        self._note_store_answer(None)
        if self.state.leading:
            self._refresh_nodes()
            return election.RENEW_MS / 1000
        return election.read_interval_ms(self.state, elapsed_ms(), random.random()) / 1000

    def _note_store_answer(self, error: StoreCallError | None) -> None:
        if error is not None:
            if not self._store_unavailable:
                LOG.warning("Store does not answer.", cause=error)
            self._store_unavailable = True
            self._store_lost()
            return
        if self._store_unavailable:
            self._store_unavailable = False
            LOG.info("Store answers again.")
            self._store_regained()

    @property
    def _leader_announces(self) -> bool:
        """Whether the leader has announced itself lately, so that its lease need not be read.

        The strongest nodes read the lease of a weak leader all the same: it hands over, and
        they have to see that at once.
        """
        if self.state.release_is_unread:
            return False
        if self.state.leader_is_weak and self.state.is_strongest:
            return False
        return self._covered() and elapsed_ms() - self._read_ms < election.COVERED_READ_INTERVAL_MS

    def note_leader(self, lease_revision: int, renewed_ms: float, address: str) -> None:
        """Note a leader that announced its lease.

        :param renewed_ms: when the lease was renewed, on this node's elapsed clock.
        :param address: where that leader receives reports.
        """
        before = self.state
        self.state = election.observe_renewal(before, lease_revision, renewed_ms, address)
        self._leader_known.set()
        if before.leading and not self.state.leading:
            LOG.warning("Another node announced that it leads.", address=address)

    def note_release(self, lease_revision: int) -> None:
        """Note that the leader announced that it has released its lease, and read it soon.

        :param lease_revision: revision of the released lease.
        """
        self.state = election.observe_release(self.state, lease_revision)
        delay_ms = election.released_read_delay_ms(self.state, random.random())
        gevent.spawn_later(delay_ms / 1000, self._read_released)

    def _read_released(self) -> None:
        if self.state.release_is_unread:
            self._wake.raise_()

    # ---- following --------------------------------------------------------------------

    def _read_lease(self) -> None:
        # A stale listing may have the lease as it was before its release.
        stale = self._registered and not self.state.release_is_unread
        listing = self._store.list_all(kinds.LEASES, stale=stale)
        self._read_ms = elapsed_ms()
        members = self._apply_nodes(listing)
        strengths = [item.strength for item in members]
        strongest = max([*strengths, self.state.strength])
        strongest_count = max(1, strengths.count(strongest))
        self.state = replace(self.state, strongest=strongest, strongest_count=strongest_count)
        leases = [item for item in listing.items if item.name == kinds.LEADER_LEASE]
        for item in leases:
            self._observe(keymap_codec.decode_lease(item))
        if not leases and not stale:
            self.state = election.observe_absent(self.state)
        self._leader_known.set()
        if not self._registered:
            self._register()
        if self._may_claim():
            delay_ms = election.claim_delay_ms(self.state)
            gevent.sleep(delay_ms / 1000)  # leaves stronger machines time to claim it first
            self._claim(read_again=stale or delay_ms > 0)

    def _refresh_nodes(self) -> None:
        """Read, while leading, which nodes share the budgets and queues, as the others do.

        Nodes that know different members would choose different dispatchers for a queue.
        The read runs in a task of its own, so that it does not delay renewals of the lease.
        """
        if elapsed_ms() - self._read_ms >= election.COVERED_READ_INTERVAL_MS:
            self._read_ms = elapsed_ms()
            gevent.spawn(self._read_nodes)

    def _read_nodes(self) -> None:
        try:
            self._apply_nodes(self._store.list_all(kinds.LEASES, stale=True))
            if not self._registered:
                self._register()
        except StoreCallError as error:
            LOG.warning("Objects of the nodes not read.", cause=error)

    def _apply_nodes(self, listing: Listing) -> list[Member]:
        self._nodes = {
            item.name: item for item in listing.items if item.name.startswith(NODE_PREFIX)
        }
        members = self._read_members()
        self.member_zones = {item.address: item.zone for item in members if item.address}
        missing = NODE_PREFIX + self.state.node not in self._nodes
        # A stale listing may date from before the registration.
        if self._registered and missing and listing.revision >= self._registered_revision:
            LOG.warning("Object of this node is gone from the store.")
            self._registered = False
        return members

    def _read_members(self) -> list[Member]:
        """Return the decoded objects of the nodes, without those that are malformed."""
        members, malformed = [], {}
        for item in self._nodes.values():
            try:
                members.append(keymap_codec.decode_member(item))
            except UnreadableObjectError as error:
                malformed[item.name] = item.revision
                if self._malformed_nodes.get(item.name) != item.revision:
                    LOG.error("Object of a node is malformed.", name=item.name, cause=error)
        self._malformed_nodes = malformed
        return members

    def _observe(self, lease: LeaseObject) -> None:
        before = self.state
        self.state = election.observe(before, lease, elapsed_ms())
        if before.leading and not self.state.leading:
            LOG.warning("Leadership lost.", to=lease.node)

    def _register(self) -> None:
        """Write this node's own object, so that the others count it and know its address."""
        name = NODE_PREFIX + self.state.node
        content = keymap_codec.encode_member(self._member)
        known = self._nodes.get(name)
        try:
            if known is None:
                known = self._store.create(kinds.LEASES, name, content)
            elif name in self._malformed_nodes or keymap_codec.decode_member(known) != self._member:
                known = self._store.replace(kinds.LEASES, name, content, known.revision)
        except RevisionConflictError as error:  # an earlier call of this node arrived late
            known = error.current
        self._registered_revision = known.revision if known is not None else 0
        self._registered = True

    def _may_claim(self) -> bool:
        """Whether this node may claim the lease now; to be checked again after each wait."""
        now_ms = elapsed_ms()
        if self._stopped or now_ms < self._not_before_ms:
            return False
        self.state = replace(self.state, cut_off=self._cut_off())
        return election.may_claim(self.state, now_ms)

    def _claim(self, read_again: bool) -> None:
        if read_again and self._may_claim():
            current = self._store.get(kinds.LEASES, kinds.LEADER_LEASE)
            if current is not None:
                self._observe(keymap_codec.decode_lease(current))
            else:
                self.state = election.observe_absent(self.state)
        if not self._may_claim():
            return
        predecessor = self.state.seen.node
        if self._write_lease(self.state.seen.revision):
            self._led_since_ms = elapsed_ms()
            # Nodes that start at the same time may have registered after this node's read.
            self._read_ms = (
                elapsed_ms() - election.COVERED_READ_INTERVAL_MS + election.READ_INTERVAL_MS
            )
            LOG.info("Leadership won.", predecessor=predecessor or "-")

    def should_hand_over(self, offered: float) -> bool:
        """Whether this node leads and should hand over to one that offers a strength."""
        led_ms = elapsed_ms() - self._led_since_ms
        return election.should_hand_over(self.state, offered, led_ms)

    def hand_over(self) -> None:
        """Resign in favour of a stronger node."""
        LOG.info("A stronger node is ready to lead.")
        self.resign()

    # ---- leading ------------------------------------------------------------------------

    def _renew(self) -> None:
        renewed = self._write_lease(self.state.seen.revision)
        if not renewed and self.state.seen.node != self.state.node:
            LOG.warning("Lease was taken over.", by=self.state.seen.node)

    def _write_lease(self, revision: int) -> bool:
        """Claim or renew the lease by compare-and-set; true when this node holds it."""
        self._renewal += 1
        sent_ms = elapsed_ms()
        lease = election.lease_to_write(self.state, self._address, sent_ms)
        content = keymap_codec.encode_lease(lease, self._renewal)
        try:
            written = self._put(content, revision)
        except RevisionConflictError as error:
            return self._resolve_conflict(error.current, sent_ms)
        except OutcomeUnknownError:
            current = self._store.get(kinds.LEASES, kinds.LEADER_LEASE)
            return self._resolve_conflict(current, sent_ms)
        return self._acquire(replace(lease, revision=written.revision), sent_ms, sent_ms)

    def _acquire(self, lease: LeaseObject, renewed_ms: float, sent_ms: float) -> bool:
        """Act on a lease that the store accepted; false when this node has resigned since."""
        if self._resigned_ms >= sent_ms:
            self.state = election.observe(self.state, lease, elapsed_ms())
            self._release_lease()
            return False
        self.state = election.acquired(self.state, lease, renewed_ms)
        return True

    def _put(self, content: object, revision: int) -> VersionedObject:
        if revision:
            return self._store.replace(kinds.LEASES, kinds.LEADER_LEASE, content, revision)
        return self._store.create(kinds.LEASES, kinds.LEADER_LEASE, content)

    def _resolve_conflict(self, current: VersionedObject | None, sent_ms: float) -> bool:
        """Find out who holds the lease after a conflicting write or one of unknown outcome."""
        if current is None:
            # A store that was restored from a snapshot older than the first lease has no lease.
            led, self.state = self.state.leading, election.observe_absent(self.state)
            return self._overwrite(0) if led else False
        lease = keymap_codec.decode_lease(current)
        if lease.is_before(self.state.seen):
            led = self.state.leading
            self._observe(lease)
            return self._overwrite(lease.revision) if led else False
        if (lease.node, lease.incarnation) == self.state.identity and not lease.released:
            # An earlier write of this node arrived: nobody else can have held the lease
            # since, so it counts from when the present write was sent at the latest.
            renewed_ms = self.state.renewed_ms if self.state.leading else sent_ms
            return self._acquire(lease, renewed_ms, sent_ms)
        self._observe(lease)
        self.state = election.stepped_down(self.state)
        return False

    def _overwrite(self, revision: int) -> bool:
        """Overwrite a lease of an earlier term, as found in a restored store."""
        LOG.warning("Restored store has an older lease; overwriting it.", term=self.state.seen.term)
        sent_ms = elapsed_ms()
        self._renewal += 1
        lease = election.lease_to_write(self.state, self._address, sent_ms)
        try:
            written = self._put(keymap_codec.encode_lease(lease, self._renewal), revision)
        except RevisionConflictError as error:
            if error.current is not None:
                self._observe(keymap_codec.decode_lease(error.current))
            self.state = election.stepped_down(self.state)
            return False
        return self._acquire(replace(lease, revision=written.revision), sent_ms, sent_ms)

    def step_down(self) -> None:
        """Stop leading without a write to the store, since another node leads already."""
        self.state = election.stepped_down(self.state)

    def resign(self, pause_ms: float = RESIGNED_PAUSE_MS) -> None:
        """Release the lease, so that another node can claim it at once.

        :param pause_ms: how long this node does not claim it again.
        """
        self._resigned_ms = elapsed_ms()
        self._not_before_ms = self._resigned_ms + pause_ms
        if self.state.leading:
            self._release_lease()

    def _release_lease(self) -> None:
        revision = self.state.seen.revision
        lease = election.lease_to_write(self.state, self._address, elapsed_ms(), released=True)
        self.state = election.stepped_down(self.state)
        LOG.info("Leadership given back.")
        try:
            content = keymap_codec.encode_lease(lease, self._renewal + 1)
            written = self._store.replace(kinds.LEASES, kinds.LEADER_LEASE, content, revision)
        except (StoreCallError, RevisionConflictError) as error:
            LOG.warning("Lease was not released.", cause=error)
        else:
            self._announce_release(written.revision)

    def stop(self) -> None:
        """Resign, and take no further part in the election."""
        self._stopped = True
        self.resign()
