"""Task that watches the leader's lease, claims it and renews it."""

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
    """Holds this node's part in the election.

    Usage: run :meth:`run` in a task; ask :attr:`state`.
    """

    def __init__(
        self,
        store: ObjectStore,
        node: str,
        life: str,
        address: str,
        store_lost: Callable[[], None],
        store_regained: Callable[[], None],
        covered: Callable[[], bool] = lambda: False,
        strength: float = 1.0,
        zone: str = "",
    ) -> None:
        self._member = Member(address, zone, strength)
        self._led_since_ms = 0.0
        self._store = store
        self._address = address
        self._store_lost = store_lost
        self._store_regained = store_regained
        self._covered = covered
        self._looked_ms = -1e12
        self._wake = Signal()
        self._look_due = False  # another task got no answer from the store
        self._store_unavailable = False
        self._failures = 0  # calls in a row that got no answer
        self._registered = False
        self._registered_revision = 0
        self._renewal = 0
        self._nodes: dict[str, VersionedObject] = {}
        self._odd_nodes: dict[str, int] = {}  # objects that can't be read, by revision
        self._not_before_ms = 0.0
        self._resigned_ms = -1e12
        self._stopped = False
        self._looked = Event()  # the lease was read once, or a leader was heard
        self.state = ElectionState(node, life, strength=strength, strongest=strength)
        self.member_zones: dict[str, str] = {}  # of all nodes known, by address

    @property
    def address(self) -> str:
        """Where this node takes reports and answers other nodes."""
        return self._address

    @property
    def has_authority(self) -> bool:
        """Whether this node may send grants right now."""
        return election.has_authority(self.state, elapsed_ms())

    @property
    def may_change(self) -> bool:
        """Whether this node may start changes of ownership right now."""
        return election.may_change(self.state, elapsed_ms())

    @property
    def leader_address(self) -> str:
        """Where the leader takes reports; empty when there is none."""
        return self.state.leader_address

    @property
    def members(self) -> Collection[str]:
        """Addresses of all nodes known."""
        return self.member_zones.keys()

    @property
    def store_unavailable(self) -> bool:
        """Whether the store did not answer this task's last call."""
        return self._store_unavailable

    @property
    def offered_strength(self) -> float:
        """Strength of this machine if it is ready to take the lead from a weaker one, else 0."""
        ready = not self._store_unavailable and elapsed_ms() >= self._not_before_ms
        if self._stopped or not ready or not self.state.is_strongest:
            return 0.0
        return self.state.strength

    @property
    def node_count(self) -> int:
        """Number of nodes that share the budgets; 1 at least."""
        return max(len(self._nodes), 1)

    def await_leader(self, timeout_s: float) -> None:
        """Wait until it is known who leads, if the store or a leader tells."""
        self._looked.wait(timeout_s)

    def run(self) -> None:
        """Take part until stopped."""
        while not self._stopped:
            pause_s = self._round()
            self._look_due = self._wake.wait(pause_s)

    def check_store_now(self) -> None:
        """Ask the store at once: another task of this node got no answer."""
        if not self._store_unavailable and not self.state.leading:
            self._wake.raise_()

    def note_resumed(self) -> None:
        """The machine was suspended: renew the lease, or look who holds it, at once."""
        self._wake.raise_()

    def _round(self) -> float:
        try:
            if self.state.leading:
                self._renew()
            elif self._store_unavailable or self._look_due or not self._hears_leader:
                self._look()
        except StoreCallError as error:
            self._looked.set()
            self._note_store(error)
            self._failures += 1
            pause_ms = election.outage_retry_ms(self.state, self._failures, random.random())
            return pause_ms / 1000
        self._failures = 0
        self._note_store(None)
        if self.state.leading:
            self._look_for_nodes()
            return election.RENEW_MS / 1000
        return election.read_interval_ms(self.state, elapsed_ms(), random.random()) / 1000

    def _note_store(self, error: StoreCallError | None) -> None:
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
    def _hears_leader(self) -> bool:
        """Whether the leader was heard lately, so that its lease need not be read.

        A weak leader hands over: the strongest nodes then have to see that at once.
        """
        if self.state.leader_is_weak and self.state.is_strongest:
            return False
        return (
            self._covered() and elapsed_ms() - self._looked_ms < election.COVERED_READ_INTERVAL_MS
        )

    def note_leader(self, lease_revision: int, renewed_ms: float, address: str) -> None:
        """The leader told of its lease: renewed at ``renewed_ms``, elapsed clock of this node."""
        before = self.state
        self.state = election.observe_renewal(before, lease_revision, renewed_ms, address)
        self._looked.set()
        if before.leading and not self.state.leading:
            LOG.warning("Another node tells that it leads.", address=address)

    # ---- following --------------------------------------------------------------------

    def _look(self) -> None:
        stale = self._registered
        listing = self._store.list_all(kinds.LEASES, stale=stale)
        self._looked_ms = elapsed_ms()
        members = self._take_nodes(listing)
        strengths = [item.strength for item in members]
        strongest = max([*strengths, self.state.strength])
        rivals = max(1, strengths.count(strongest))
        self.state = replace(self.state, strongest=strongest, strongest_count=rivals)
        leases = [item for item in listing.items if item.name == kinds.LEADER_LEASE]
        for item in leases:
            self._observe(keymap_codec.decode_lease(item))
        if not leases and not stale:
            self.state = election.observe_absent(self.state)
        self._looked.set()
        if not self._registered:
            self._register()
        now_ms = elapsed_ms()
        if now_ms >= self._not_before_ms and election.may_claim(self.state, now_ms):
            delay_ms = election.claim_delay_ms(self.state)
            gevent.sleep(delay_ms / 1000)  # stronger machines go first
            self._claim(read_again=stale or delay_ms > 0)

    def _look_for_nodes(self) -> None:
        """Look, while leading, who shares the budgets and queues, as the other nodes do.

        Nodes that know other members take different ones for a queue's dispatcher. The
        renewals of the lease don't wait for it.
        """
        if elapsed_ms() - self._looked_ms >= election.COVERED_READ_INTERVAL_MS:
            self._looked_ms = elapsed_ms()
            gevent.spawn(self._read_nodes)

    def _read_nodes(self) -> None:
        try:
            self._take_nodes(self._store.list_all(kinds.LEASES, stale=True))
            if not self._registered:
                self._register()
        except StoreCallError as error:
            LOG.warning("Nodes not read.", cause=error)

    def _take_nodes(self, listing: Listing) -> list[Member]:
        self._nodes = {
            item.name: item for item in listing.items if item.name.startswith(NODE_PREFIX)
        }
        members = self._read_members()
        self.member_zones = {item.address: item.zone for item in members if item.address}
        missing = NODE_PREFIX + self.state.node not in self._nodes
        # A stale listing may be from before the registration.
        if self._registered and missing and listing.revision >= self._registered_revision:
            LOG.warning("Node's own object is gone.")
            self._registered = False
        return members

    def _read_members(self) -> list[Member]:
        """Return the nodes' own objects; one that another writer spoilt names no node."""
        members, odd = [], {}
        for item in self._nodes.values():
            try:
                members.append(keymap_codec.decode_member(item))
            except UnreadableObjectError as error:
                odd[item.name] = item.revision
                if self._odd_nodes.get(item.name) != item.revision:
                    LOG.error("Node's object not understood.", name=item.name, cause=error)
        self._odd_nodes = odd
        return members

    def _observe(self, lease: LeaseObject) -> None:
        before = self.state
        self.state = election.observe(before, lease, elapsed_ms())
        if before.leading and not self.state.leading:
            LOG.warning("Leadership lost.", to=lease.node)

    def _register(self) -> None:
        """Add this node, with its address, to those that share the budgets."""
        name = NODE_PREFIX + self.state.node
        content = keymap_codec.encode_member(self._member)
        known = self._nodes.get(name)
        try:
            if known is None:
                known = self._store.create(kinds.LEASES, name, content)
            elif name in self._odd_nodes or keymap_codec.decode_member(known) != self._member:
                known = self._store.replace(kinds.LEASES, name, content, known.revision)
        except RevisionConflictError as error:  # an earlier call of this node was late
            known = error.current
        self._registered_revision = known.revision if known is not None else 0
        self._registered = True

    def _claim(self, read_again: bool) -> None:
        if read_again and election.may_claim(self.state, elapsed_ms()):
            current = self._store.get(kinds.LEASES, kinds.LEADER_LEASE)
            if current is not None:
                self._observe(keymap_codec.decode_lease(current))
            else:
                self.state = election.observe_absent(self.state)
        now_ms = elapsed_ms()  # it may have resigned, or stopped, since the look
        if self._stopped or now_ms < self._not_before_ms:
            return
        if not election.may_claim(self.state, now_ms):
            return
        predecessor = self.state.seen.node
        if self._write_lease(self.state.seen.revision):
            self._led_since_ms = elapsed_ms()
            # Others may have started beside this node, and not have been there at its look.
            self._looked_ms = (
                elapsed_ms() - election.COVERED_READ_INTERVAL_MS + election.READ_INTERVAL_MS
            )
            LOG.info("Leadership won.", predecessor=predecessor or "-")

    def should_hand_over(self, offered: float) -> bool:
        """Whether this node leads, and makes way for one that offers its strength."""
        led_ms = elapsed_ms() - self._led_since_ms
        return election.should_hand_over(self.state, offered, led_ms)

    def hand_over(self) -> None:
        """Let a stronger node lead."""
        LOG.info("A stronger node is ready to lead.")
        self.resign()

    # ---- leading ------------------------------------------------------------------------

    def _renew(self) -> None:
        held = self._write_lease(self.state.seen.revision)
        if not held and self.state.seen.node != self.state.node:
            LOG.warning("Lease was taken over.", by=self.state.seen.node)

    def _write_lease(self, revision: int) -> bool:
        """Claim or renew by compare-and-set; true when this node holds the lease."""
        self._renewal += 1
        sent_ms = elapsed_ms()
        lease = election.lease_to_write(self.state, self._address, sent_ms)
        content = keymap_codec.encode_lease(lease, self._renewal)
        try:
            written = self._put(content, revision)
        except RevisionConflictError as error:
            return self._settle_conflict(error.current, sent_ms)
        except OutcomeUnknownError:
            current = self._store.get(kinds.LEASES, kinds.LEADER_LEASE)
            return self._settle_conflict(current, sent_ms)
        return self._acquire(replace(lease, revision=written.revision), sent_ms, sent_ms)

    def _acquire(self, lease: LeaseObject, renewed_ms: float, sent_ms: float) -> bool:
        """Hold a lease that the store has; false when this node resigned meanwhile."""
        if self._resigned_ms >= sent_ms:
            self.state = election.observe(self.state, lease, elapsed_ms())
            self._give_back()
            return False
        self.state = election.acquired(self.state, lease, renewed_ms)
        return True

    def _put(self, content: object, revision: int) -> VersionedObject:
        if revision:
            return self._store.replace(kinds.LEASES, kinds.LEADER_LEASE, content, revision)
        return self._store.create(kinds.LEASES, kinds.LEADER_LEASE, content)

    def _settle_conflict(self, current: VersionedObject | None, sent_ms: float) -> bool:
        """Learn who holds the lease after a write that did not surely succeed."""
        if current is None:
            # A store restored from a snapshot older than the first lease has none.
            led, self.state = self.state.leading, election.observe_absent(self.state)
            return self._write_over(0) if led else False
        lease = keymap_codec.decode_lease(current)
        if lease.is_before(self.state.seen):
            led = self.state.leading
            self._observe(lease)
            return self._write_over(lease.revision) if led else False
        if (lease.node, lease.incarnation) == self.state.identity and not lease.released:
            # Our own earlier write arrived: nobody else can have held the lease
            # since, so it counts from when this one was sent at the latest.
            renewed_ms = self.state.renewed_ms if self.state.leading else sent_ms
            return self._acquire(lease, renewed_ms, sent_ms)
        self._observe(lease)
        self.state = election.stepped_down(self.state)
        return False

    def _write_over(self, revision: int) -> bool:
        """Overwrite a lease of an earlier term, which a restored store has."""
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
        """Stop to lead without a word to the store: another leads already."""
        self.state = election.stepped_down(self.state)

    def resign(self, pause_ms: float = RESIGNED_PAUSE_MS) -> None:
        """Give the lease back, so that another node takes it at once."""
        self._resigned_ms = elapsed_ms()
        self._not_before_ms = self._resigned_ms + pause_ms
        if self.state.leading:
            self._give_back()

    def _give_back(self) -> None:
        revision = self.state.seen.revision
        lease = election.lease_to_write(self.state, self._address, elapsed_ms(), released=True)
        self.state = election.stepped_down(self.state)
        LOG.info("Leadership given back.")
        try:
            content = keymap_codec.encode_lease(lease, self._renewal + 1)
            self._store.replace(kinds.LEASES, kinds.LEADER_LEASE, content, revision)
        except (StoreCallError, RevisionConflictError) as error:
            LOG.warning("Lease was not given back.", cause=error)

    def stop(self) -> None:
        """Take no further part."""
        self._stopped = True
        self.resign()
