"""A simulated node: the decision code of a gateway in virtual time."""

from dataclasses import dataclass, replace
from functools import partial
from typing import TYPE_CHECKING

from ploverhatch.leadership import election
from ploverhatch.leadership.election import ElectionState, LeaseObject
from ploverhatch.sharding import view
from ploverhatch.sharding.holders import LEASE_MS, LeaseTiming
from ploverhatch.sharding.keymap import Holder, KeyMap
from ploverhatch.sharding.leader_core import STORE_UNAVAILABLE_MS, LeaderCore
from ploverhatch.sharding.messages import (
    Action,
    CallOutcome,
    ForgetServer,
    Resign,
    SendGrant,
    SendRelease,
    ServiceView,
    StepDown,
    StoreMap,
)
from ploverhatch.sharding.standbys import promote
from ploverhatch.simulation.keys.server import SAMPLE_KEYS
from ploverhatch.simulation.keys.store import Answer, StoredItem, StoreResult
from ploverhatch.simulation.world import Process, Task

if TYPE_CHECKING:
    from ploverhatch.simulation.keys.cell import KeyCell

SERVICE = "service"
LEASE = "lease"
TIMING = LeaseTiming()
TICK_MS = 50.0
CLOCK_RATE_ERROR = 0.001
REQUEST_MS = 8.0
CONNECT_MS = (0.5, 5.0)
SLOW_CONNECT_MS = (5.0, 300.0)
SLOW_CONNECT_FRACTION = 0.1
CALL_TIMEOUT_MS = 600.0
LATE_ORDER_MS = (2000.0, 12_000.0)
MOVES_LIMIT_MS = 1000.0  # time limit of unfinished moves at a planned stop, as in gateways
BEACON_MS = 250.0
BEACON_LOSS = 0.1
BEACON_DELAY_MS = (0.2, 3.0)
CUT_OFF_AFTER_MS = 700.0  # time that probes and other nodes' replies take
RESIGNED_PAUSE_MS = 6000.0  # as in gateways


@dataclass(eq=False)
class UnansweredGrant:
    """A grant that got no answer so far; its connection is open until it is discarded.

    The kernel discards it too, so that a frozen node's grants are discarded in time.
    """

    node: "SimKeyNode"
    core: LeaderCore
    sent_ms: float  # by the clock of the world
    acknowledged: bool = False  # whether its bytes have arrived
    dropped: bool = False

    @property
    def is_overdue(self) -> bool:
        """Whether its lease, counted from its sending, may soon have expired."""
        return self.node.world.now_ms - self.sent_ms >= TIMING.discard_ms

    @property
    def is_open(self) -> bool:
        """Whether its connection is open, so that its bytes may still arrive."""
        in_term = self.node.alive and self.node.core is self.core
        return in_term and not self.dropped and not self.is_overdue


class SimKeyNode(Process):
    """One incarnation of a node."""

    def __init__(self, cell: "KeyCell", name: str, incarnation: int) -> None:
        super().__init__(cell.world, "zone", CLOCK_RATE_ERROR)
        self.cell = cell
        self.name = name
        self.cut_from_servers: CallOutcome | None = None  # what its calls meet while it is cut off
        self.state = ElectionState(name, str(incarnation))
        self.core: LeaderCore | None = None
        self.keymap = KeyMap(SERVICE)
        self.known_ended: set[str] = set()
        self._term = 0
        # The incarnation at the other end of the open connection, by holder.
        self._connected_to: dict[str, str] = {}
        self._kept: set[str] = set()  # holders to which an idle connection is open
        self._unanswered: dict[str, UnansweredGrant] = {}  # by holder
        self._no_claim_before_ms = 0.0
        self._resigned_ms = -1e12
        self._unreached_since_ms: float | None = None  # by this node only
        self._busy = False
        self._loading = False
        self._last_read_ms = -1e12
        self._contact_ms = self.now_ms
        # The end of the time for moves, once a planned stop has begun.
        self._moves_end_ms: float | None = None
        self.granted: frozenset[int] = frozenset()  # tokens that the leader has granted
        cell.store.watchers[name] = self._on_change
        self._list()
        self._every(TICK_MS, self._tick)
        self._every(REQUEST_MS, self._send_request)
        self._every(election.RENEW_MS, self._elect)
        self._every(BEACON_MS, self._send_beacons)

    @property
    def now_ms(self) -> float:
        """The time by this node's own elapsed clock, in milliseconds."""
        return self.clock.read()

    def _every(self, period_ms: float, task: Task) -> None:
        def run() -> None:
            task()
            self.later(period_ms, run)

        self.later(self.world.random.uniform(0, period_ms), run)

    def _list(self) -> None:
        """Read the key map when the node starts; a watch delivers later changes."""

        def listed(result: StoreResult, item: StoredItem | None) -> None:
            if result is not StoreResult.DONE:
                self.later(250.0, self._list)
            elif item is not None:
                self._on_change(SERVICE, item)

        self.cell.store.read(self.name, SERVICE, self._answer(listed))

    # ---- election -------------------------------------------------------------------------

    @property
    def has_authority(self) -> bool:
        """Whether this node may send grants as the leader now."""
        return election.has_authority(self.state, self.now_ms)

    def stop(self) -> None:
        """Start a planned stop: finish the moves that were begun, then release the lease."""
        self._moves_end_ms = self.now_ms + MOVES_LIMIT_MS

    def _release_when_done(self) -> None:
        if self._moves_end_ms is None or not self.state.leading:
            return
        unfinished = self.core is not None and self.core.has_unfinished_moves
        if not unfinished or self.now_ms >= self._moves_end_ms:
            self._release_lease()

    def _resign(self) -> None:
        self._resigned_ms = self.now_ms
        self._no_claim_before_ms = self.now_ms + RESIGNED_PAUSE_MS
        if self.state.leading:
            self._release_lease()

    def _note_links(self) -> None:
        if not self.cell.only_others_reach_servers(self):
            self._unreached_since_ms = None
        elif self._unreached_since_ms is None:
            self._unreached_since_ms = self.now_ms

    @property
    def is_cut_off(self) -> bool:
        """Whether this node knows that it reaches no server, although another node does."""
        since_ms = self._unreached_since_ms
        return since_ms is not None and self.now_ms - since_ms >= CUT_OFF_AFTER_MS

    def _release_lease(self) -> None:
        lease = election.lease_to_write(self.state, "", self.now_ms, released=True)
        revision = self.state.seen.revision
        self.state = election.stepped_down(self.state)
        self.cell.store.write(self.name, LEASE, lease, revision, lambda result, item: None)

    def _elect(self) -> None:
        if self._moves_end_ms is not None and not self.state.leading:
            return
        if self._busy:
            return
        self._busy = True
        if self.state.leading:
            self._write_lease(self.state.seen.revision)
        elif self.now_ms - self._last_read_ms >= election.READ_INTERVAL_MS:
            self._last_read_ms = self.now_ms
            self.cell.store.read(self.name, LEASE, self._answer(self._lease_read))
        else:
            self._busy = False

    def _answer(self, task: Answer) -> Answer:
        def run(result: StoreResult, item: StoredItem | None) -> None:
            if result in {StoreResult.DONE, StoreResult.CONFLICT}:
                self._contact_ms = self.now_ms
            task(result, item)

        return lambda result, item: self.do(lambda: run(result, item))

    def _lease_read(self, result: StoreResult, item: StoredItem | None) -> None:
        self._busy = False
        if result is not StoreResult.DONE:
            return
        now_ms = self.now_ms
        if item is not None:
            self._observe(item)
        self.state = replace(self.state, cut_off=self.is_cut_off)
        if now_ms < self._no_claim_before_ms or not election.may_claim(self.state, now_ms):
            return
        self._busy = True
        self._write_lease(item.revision if item else 0)

    def _observe(self, item: StoredItem) -> None:
        lease = replace(item.value, revision=item.revision)
        self.state = election.observe(self.state, lease, self.now_ms)

    def _write_lease(self, revision: int) -> None:
        sent_ms = self.now_ms
        lease = election.lease_to_write(self.state, "", sent_ms)

        def done(result: StoreResult, item: StoredItem | None) -> None:
            self._busy = False
            if result is StoreResult.DONE and item is not None:
                self._acquire(replace(lease, revision=item.revision), sent_ms, sent_ms)
            elif result is StoreResult.CONFLICT:
                self._settle(item, sent_ms)
            elif result is StoreResult.UNKNOWN:
                self._busy = True
                read_back = self._answer(
                    lambda result, item: self._read_back(result, item, sent_ms)
                )
                self.cell.store.read(self.name, LEASE, read_back)

        self.cell.store.write(self.name, LEASE, lease, revision, self._answer(done))

    def _acquire(self, lease: LeaseObject, renewed_ms: float, sent_ms: float) -> None:
        if self._resigned_ms >= sent_ms:
            self.state = election.observe(self.state, lease, self.now_ms)
            self._release_lease()
        else:
            self.state = election.acquired(self.state, lease, renewed_ms)

    def _read_back(
        self,
        result: StoreResult,
        item: StoredItem | None,
        sent_ms: float,
    ) -> None:
        self._busy = False
        if result is StoreResult.DONE:
            self._settle(item, sent_ms)

    def _settle(self, item: StoredItem | None, sent_ms: float) -> None:
        if item is None:
            self.state = election.stepped_down(self.state)
            return
        lease = replace(item.value, revision=item.revision)
        if (lease.node, lease.incarnation) == self.state.identity and not lease.released:
            renewed_ms = self.state.renewed_ms if self.state.leading else sent_ms
            self._acquire(lease, renewed_ms, sent_ms)
            return
        self._observe(item)
        self.state = election.stepped_down(self.state)

    def _start_leading(self) -> None:
        """Read the key map, then lead with a new core for this term."""
        term = self.state.seen.term
        core = LeaderCore(writer=f"{self.name} {self.state.incarnation} {term}")
        self._connected_to.clear()
        self._kept.clear()
        self._unanswered.clear()

        def loaded(result: StoreResult, item: StoredItem | None) -> None:
            self._loading = False
            if result is not StoreResult.DONE or not self.state.leading:
                return
            if self.state.seen.term != term:
                return
            inherited_ms = max(self.state.inherited_until_ms, self.now_ms)
            core.note_renewable(inherited_ms)
            if item is not None:
                keymap = replace(item.value, revision=item.revision)
                core.inherit(keymap, inherited_ms, self.now_ms, same_incarnations=False)
            self.core = core

        self._loading = True
        self.cell.store.read(self.name, SERVICE, self._answer(loaded))

    # ---- beacons of the leader ------------------------------------------------------------

    def _send_beacons(self) -> None:
        """Send the leader's lease, map revision and granted tokens to all other nodes."""
        if not self.has_authority or self.core is None:
            return
        self._contact_ms = self.now_ms
        renewed_age_ms = self.now_ms - self.state.renewed_ms
        map_revision = self.core.keymap(SERVICE).revision
        self.granted = self.core.granted(SERVICE)
        promoted = self.core.promoted(SERVICE)
        self._note_promoted(map_revision, promoted)
        beacon = (self.state.seen.revision, renewed_age_ms, map_revision, self.granted, promoted)
        for node in list(self.cell.nodes.values()):
            if node is not self and self.world.random.random() >= BEACON_LOSS:
                delay_ms = self.world.random.uniform(*BEACON_DELAY_MS)
                self.world.after(delay_ms, partial(node.receive_beacon, *beacon, self.world.now_ms))

    def receive_beacon(
        self,
        lease_revision: int,
        renewed_age_ms: float,
        map_revision: int,
        granted: frozenset[int],
        promoted: frozenset[int],
        sent_ms: float,
    ) -> None:
        """Apply a beacon; a process that was frozen applies it late and accounts for its age."""

        def apply() -> None:
            if lease_revision < self.state.relayed_revision:
                return
            own_sent_ms = self.now_ms - (self.world.now_ms - sent_ms)
            self.state = election.observe_renewal(
                self.state, lease_revision, own_sent_ms - renewed_age_ms
            )
            self.granted = granted
            self._note_promoted(map_revision, promoted)
            if self.keymap.revision >= map_revision:
                self._contact_ms = max(self._contact_ms, own_sent_ms)

        self.do(apply)

    def _note_promoted(self, map_revision: int, tokens: frozenset[int]) -> None:
        if self.keymap.revision == map_revision:
            self.keymap = promote(self.keymap, tokens)

    # ---- leading --------------------------------------------------------------------------

    def _on_change(self, name: str, item: StoredItem) -> None:
        def apply() -> None:
            if name == SERVICE and item.revision > self.keymap.revision:
                self.keymap = replace(item.value, revision=item.revision)

        self.do(apply)

    def _tick(self) -> None:
        self._note_links()
        self._release_when_done()
        if not self.state.leading or self.state.seen.term != self._term:
            self.core = None
            self._term = self.state.seen.term
        if not self.has_authority:
            return
        if self.core is None:
            if not self._loading:
                self._start_leading()
            return
        self.core.map_seen(self.keymap, self.now_ms)
        records = [
            record for record in self.cell.records() if record.server_id not in self.known_ended
        ]
        known = ServiceView(records, self.cell.rates(), {}, unresponsive=self.cell.unresponsive)
        may_change = election.may_change(self.state, self.now_ms)
        finishing = self._moves_end_ms is not None
        store_unavailable = self.now_ms - self.state.renewed_ms >= STORE_UNAVAILABLE_MS
        actions = self.core.tick(
            self.now_ms, {SERVICE: known}, may_change, finishing, store_unavailable, self.is_cut_off
        )
        self.cell.check_known_holders(self)
        self._execute(self.core, actions)

    def _execute(self, core: LeaderCore, actions: list[Action]) -> None:
        if core is not self.core:
            return
        for action in actions:
            if isinstance(action, StoreMap):
                self._store_map(core, action.keymap)
            elif isinstance(action, SendGrant):
                self._send_grant(core, action)
            elif isinstance(action, SendRelease):
                self._send_release(core, action)
            elif isinstance(action, ForgetServer):
                self.known_ended.add(action.server_id)
            elif isinstance(action, Resign):
                self._resign()
            elif isinstance(action, StepDown):
                self.state = election.stepped_down(self.state)

    def _store_map(self, core: LeaderCore, keymap: KeyMap) -> None:
        def done(result: StoreResult, item: StoredItem | None) -> None:
            if result is StoreResult.DONE and item is not None:
                core.map_stored(keymap, item.revision, self.now_ms)
                self.keymap = core.keymap(SERVICE)
            elif result is StoreResult.FAILED:
                core.map_not_stored(SERVICE)
            else:
                self.cell.store.read(self.name, SERVICE, self._answer(read_back))

        def read_back(result: StoreResult, item: StoredItem | None) -> None:
            core.map_not_stored(SERVICE)
            if result is StoreResult.DONE and item is not None:
                core.map_seen(replace(item.value, revision=item.revision), self.now_ms)

        self.cell.store.write(self.name, SERVICE, keymap, keymap.revision, self._answer(done))

    def _send_grant(self, core: LeaderCore, action: SendGrant) -> None:
        server_id = action.holder.server_id

        def ended(outcome: CallOutcome) -> None:
            self._execute(core, core.grant_ended(action, outcome, self.now_ms))

        def answered(unanswered: UnansweredGrant, outcome: CallOutcome) -> None:
            self._note_outcome(server_id, unanswered, outcome)
            ended(outcome)

        def connected() -> None:
            incarnation = self.cell.incarnation_at(action.holder)
            broke = self._has_broken(action.holder, incarnation)
            broke = self._may_have_broken(action.holder) or broke
            if broke:
                core.note_connection_closed(action.holder)
            if action.renewal and broke:
                ended(CallOutcome.UNPROVEN)
                return
            self._note_refused(core, action.holder)
            if server_id not in self._kept and not self.cell.can_connect(self, action.holder):
                ended(CallOutcome.NO_ANSWER)  # nothing was sent
                return
            permitted = self.has_authority and core.may_send(
                action.holder, action.range_id, action.renewal
            )
            if not permitted:
                ended(CallOutcome.NOT_SENT)
                return
            core.grant_sent(action.holder, self.now_ms)
            self._kept.discard(server_id)
            unanswered = UnansweredGrant(self, core, self.world.now_ms)
            span = action.range_id
            self.cell.deliver(
                self,
                action.holder,
                lambda server, late, held_up: server.grant(
                    span.first, span.last, span.token, LEASE_MS, late, held_up
                ),
                lambda outcome: self.do(lambda: answered(unanswered, outcome)),
                unanswered,
            )

        self.later(self._connect_ms(), connected)

    def _note_refused(self, core: LeaderCore, holder: Holder) -> None:
        """Count a refused connection as a closed one, as gateways do."""
        if self.cell.refuses(self, holder):
            core.note_connection_closed(holder)

    def _has_broken(self, holder: Holder, incarnation: str) -> bool:
        """Return whether the open connection to a holder has closed since its last use."""
        before = self._connected_to.get(holder.server_id, incarnation)
        self._connected_to[holder.server_id] = incarnation
        return before != incarnation

    def _note_outcome(self, server_id: str, grant: UnansweredGrant, outcome: CallOutcome) -> None:
        """Keep the connection of an answered grant, and that of one grant without an answer."""
        if outcome is CallOutcome.NO_ANSWER and server_id not in self._unanswered:
            self._unanswered[server_id] = grant
            return
        grant.dropped = True
        if outcome in {CallOutcome.DONE, CallOutcome.REFUSED}:
            self._kept.add(server_id)
            earlier = self._unanswered.pop(server_id, None)
            if earlier is not None:
                earlier.dropped = True

    def _may_have_broken(self, holder: Holder) -> bool:
        """Return whether an unanswered grant no longer shows that the same incarnation runs."""
        unanswered = self._unanswered.get(holder.server_id)
        if unanswered is None:
            return False
        if unanswered.is_overdue:
            del self._unanswered[holder.server_id]
            unanswered.dropped = True
            return True
        return not unanswered.acknowledged and self.cell.can_connect(self, holder)

    def _send_release(self, core: LeaderCore, action: SendRelease) -> None:
        def ended(outcome: CallOutcome) -> None:
            self._execute(core, core.release_ended(action, outcome, "", self.now_ms))

        def connected() -> None:
            if not self.has_authority:
                ended(CallOutcome.NOT_SENT)
                return
            self._note_refused(core, action.holder)
            self.cell.deliver_release(self, action, lambda outcome: self.do(lambda: ended(outcome)))

        self.later(self._connect_ms(), connected)

    def _connect_ms(self) -> float:
        slow = self.world.random.random() < SLOW_CONNECT_FRACTION
        return self.world.random.uniform(*(SLOW_CONNECT_MS if slow else CONNECT_MS))

    # ---- requests -------------------------------------------------------------------------

    def _send_request(self) -> None:
        key = self.world.random.choice(SAMPLE_KEYS)
        found = self.keymap.find(key)
        trusted = view.map_is_trusted(self._contact_ms, self.now_ms)
        if found is None or not trusted:
            return
        if not found.settled and found.token not in self.granted:
            return
        server = self.cell.server_for_requests(found.holder)
        if server is None:
            return

        def arrive() -> None:
            if server.request(key):
                self.cell.served(key, self.name)

        self.world.after(self.world.random.uniform(0.2, 3.0), arrive)
