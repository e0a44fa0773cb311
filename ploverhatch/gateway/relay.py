"""The relay of changes between nodes, which saves calls to the store.

The leader sends the changes of the store, and beacons that say how current its view is; the
other nodes apply them. Each node runs one relay, which sends while the node leads.
:mod:`ploverhatch.relay` decides for how long a node may rely on the leader.
"""

from collections.abc import Callable, Collection, Sequence
from dataclasses import replace

import gevent
import msgspec

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.gateway.directory import Directory
from ploverhatch.gateway.elector import Elector
from ploverhatch.gateway.feeds import FeedTask
from ploverhatch.gateway.keymap_relay import KeymapRelay
from ploverhatch.gateway.peer_objects import SnapshotClient
from ploverhatch.relay import coverage, packing, publisher
from ploverhatch.relay.coverage import Coverage
from ploverhatch.relay.messages import Beacon, RelayedChange, RelayedUpdate, Snapshot
from ploverhatch.relay.publisher import FeedView, Term
from ploverhatch.sharding.keymap import KeyMap
from ploverhatch.store import kinds

BEACON_S = 0.25
# Grants that are acknowledged within this time share one beacon, since each goes to all nodes.
URGENT_S = 0.03
FIRST_WAIT_S = 0.8
OWN_MAPS_MS = 500.0  # interval at which the leader checks again whether it still leads
LEADER_WAIT_S = 0.5  # longest wait at the start for a known leader
LONG_WAIT_S = 2.0  # shorter than key maps are trusted, and finds dead connections
PROOF_WAIT_FRACTION = 0.65  # of the longest age at which the leader's view may be used
REORDERING_S = 0.05  # a beacon may arrive before the changes that it covers
MAX_CHANGES_BYTES = 200_000  # in one message; nodes ask the leader for longer ones


class Relay:
    """Sends or applies changes, depending on whether this node leads.

    :param limit_ms: longest age at which the leader's view may be used.
    :param term: returns the term while this node leads; ``None`` while it does not.
    :param elector: receives the leader's announcements, and knows who leads.
    :param leader: fetches snapshots from the leader.
    :param send: sends a message to all nodes that reported lately.
    """

    def __init__(
        self,
        limit_ms: float,
        directory: Directory,
        keymaps: KeymapRelay,
        term: Callable[[], Term | None],
        elector: Elector,
        leader: SnapshotClient,
        send: Callable[[RelayedUpdate | Beacon], None],
    ) -> None:
        self.first_wait_s = FIRST_WAIT_S
        self._coverage = Coverage(limit_ms)
        self._directory = directory
        self._keymaps = keymaps
        self._term = term
        self._elector = elector
        self._leader = leader
        self._send = send
        self._tasks: dict[str, FeedTask] = {}
        self._sent_through: dict[str, int] = {}  # revision sent in this term, by kind
        self._urgent = False  # a beacon is about to be sent before its time
        self._packed: dict[str, tuple[int, bytes]] = {}  # revision and objects, by kind
        self._leading = False

    def attach(self, tasks: Sequence[FeedTask]) -> None:
        """Set the feeds, one for each kind."""
        self._tasks = {task.kind: task for task in tasks}

    def watch_wait_s(self, kind: str) -> float:
        """Return how long a watch waits at the store.

        A leader's watches wait shorter, since each answer proves that its view is current. The
        watch of key maps is an exception, since the leader writes them itself.
        """
        if not self._leading or kind == kinds.KEYMAPS:
            return LONG_WAIT_S
        return self._coverage.limit_ms * PROOF_WAIT_FRACTION / 1000

    # ---- as any node --------------------------------------------------------------------

    def covered_until_ms(self, kind: str, cursor: int) -> float:
        """Return until when the store need not be asked for a kind."""
        if not self._leading:
            return coverage.covered_until_ms(self._coverage, kind, cursor)
        if kind == kinds.KEYMAPS and self._sent_through.get(kind, -1) >= 0:
            return elapsed_ms() + OWN_MAPS_MS  # only the leader writes key maps
        return float("-inf")

    def handle_beacon(self, beacon: Beacon) -> None:
        """Apply a beacon of the leader."""
        if beacon.released:
            self._elector.note_release(beacon.lease_revision)
            return
        now_ms = elapsed_ms()
        self._coverage = coverage.apply_beacon(self._coverage, beacon)
        self._elector.note_leader(
            beacon.lease_revision, beacon.sent_ms - beacon.renewed_age_ms, beacon.address
        )
        for service, (revision, promoted) in beacon.promoted.items():
            self._directory.note_promoted(service, revision, promoted)
        for service, tokens in beacon.granted.items():
            self._directory.note_granted(service, tokens)
        self._directory.note_leaving(beacon.leaving, "the-leader")
        self._directory.note_rate_limits(beacon.limits, "the-leader")
        self._directory.note_speeds(beacon.speeds)
        self._note_keymaps()
        behind = [
            task
            for task in self._tasks.values()
            if self.covered_until_ms(task.kind, task.cursor) < now_ms
        ]
        if behind:
            gevent.spawn_later(REORDERING_S, _wake_all, behind)

    def _note_keymaps(self) -> None:
        """Trust the key maps for as long as if the store itself had answered.

        So a node whose calls the store rejects goes on with the leader's relay.
        """
        task = self._tasks[kinds.KEYMAPS]
        current_ms = coverage.current_ms(self._coverage, kinds.KEYMAPS, task.cursor)
        self._directory.note_keymaps(current_ms)

    # ---- snapshots of a kind -------------------------------------------------------------

    def await_leader(self) -> None:
        """Wait for a limited time until the leader is known."""
        self._elector.await_leader(LEADER_WAIT_S)

    def should_ask_leader(self, kind: str, cursor: int) -> bool:
        """Whether the leader should be asked for all objects of a kind."""
        if self._term() is not None or not self._leader.may_ask(kind):
            return False
        return cursor < 0 or coverage.is_behind(self._coverage, kind, cursor, elapsed_ms())

    def fetch(self, kind: str) -> Snapshot | None:
        """Return all objects of a kind from the leader, or ``None``."""
        return self._leader.fetch(kind)

    @property
    def leads(self) -> bool:
        """Whether this node leads and relays changes to the others."""
        return self._leading

    @property
    def store_unavailable(self) -> bool:
        """Whether the store does not answer, and the elector polls it."""
        return self._elector.store_unavailable

    def valid_until_ms(self, current_ms: float) -> float:
        """Return until when a view may be used that was known to be current at a time."""
        return current_ms + self._coverage.limit_ms

    def snapshot(self, kind: str) -> Snapshot | None:
        """Return all objects of a kind for another node.

        ``None`` unless this node leads and its view is current.
        """
        task = self._tasks.get(kind)
        if task is None or self._term() is None:
            return None
        view = self._claimed(kind)
        age_ms = max(0.0, elapsed_ms() - view.current_ms)
        if view.through_revision < 0 or age_ms >= self._coverage.limit_ms:
            return None
        return Snapshot(
            kind, view.through_revision, age_ms, self._packed_items(task, view.through_revision)
        )

    def _packed_items(self, task: FeedTask, through_revision: int) -> bytes:
        """Return a kind's objects packed, which is done once for each revision."""
        known = self._packed.get(task.kind)
        if known is None or known[0] != through_revision:
            known = (through_revision, packing.pack(task.items))
            self._packed[task.kind] = known
        return known[1]

    def handle_update(self, update: RelayedUpdate) -> None:
        """Apply changes from the leader."""
        task = self._tasks.get(update.kind)
        if task is not None and not self._leading:
            task.apply_update(update)

    @property
    def covered(self) -> bool:
        """Whether the leader's relay may be relied on for all kinds now."""
        now_ms = elapsed_ms()
        return bool(self._tasks) and all(
            self.covered_until_ms(task.kind, task.cursor) > now_ms for task in self._tasks.values()
        )

    # ---- as the leader ------------------------------------------------------------------

    def publish_changes(
        self, kind: str, base: int, through_revision: int, changes: list[RelayedChange]
    ) -> None:
        """Send changes that this node read from the store, if it leads."""
        if self._term() is None:
            return
        sent_through = self._sent_through.get(kind, -1)
        if through_revision > sent_through or changes:
            self._send_changes(kind, base, through_revision, changes)

    def publish_map(self, keymap: KeyMap) -> None:
        """Send a map that this node stored."""
        change = self._keymaps.change_of(keymap)
        if change is not None:
            base = self._view(kinds.KEYMAPS).through_revision
            self._send_changes(kinds.KEYMAPS, base, keymap.revision, [change])

    def _send_changes(
        self, kind: str, base: int, through_revision: int, changes: list[RelayedChange]
    ) -> None:
        self._sent_through[kind] = max(through_revision, self._sent_through.get(kind, -1))
        sized = [(change, len(msgspec.msgpack.encode(change))) for change in changes]
        for update in publisher.split_changes(
            kind, base, through_revision, sized, MAX_CHANGES_BYTES
        ):
            self._send(update)

    def publish_promoted(self, service: str, revision: int, tokens: Collection[int]) -> None:
        """Send a beacon soon, with the standbys that were promoted by the stored map."""
        if self._directory.note_promoted(service, revision, tokens):
            self._beacon_soon()

    def publish_granted(self, service: str, token: int) -> None:
        """Send a beacon soon, with the grant that the new holder of a moving range acknowledged."""
        self._directory.note_granted(service, [token])
        self._beacon_soon()

    def publish_release(self, lease_revision: int) -> None:
        """Send a last beacon after this node has released its lease."""
        self._send(Beacon(lease_revision, 0.0, {}, released=True))

    def _beacon_soon(self) -> None:
        if not self._urgent:
            self._urgent = True
            gevent.spawn_later(URGENT_S, self._beacon)

    def beacon_forever(self) -> None:
        """Send beacons at a fixed interval while this node leads."""
        while True:
            self._beacon()
            gevent.sleep(BEACON_S)

    def _beacon(self) -> None:
        self._urgent = False
        term = self._term()
        if (term is not None) != self._leading:
            self._change_role(term is not None)
        if term is None:
            return
        views = {kind: self._claimed(kind) for kind in self._tasks}
        self._directory.note_keymaps(elapsed_ms())
        beacon = publisher.beacon(term, views, elapsed_ms(), self._elector.address)
        granted = {name: sorted(tokens) for name, tokens in self._directory.granted.items()}
        leaving = self._directory.leaving_ages_ms()
        limits = self._directory.next_rate_limits()
        promoted = {
            name: (keymap.revision, sorted(tokens))
            for name, tokens in self._directory.promoted.items()
            if (keymap := self._directory.keymaps.get(name)) is not None and tokens
        }
        self._send(
            msgspec.structs.replace(
                beacon,
                granted=granted,
                leaving=leaving,
                limits=limits,
                promoted=promoted,
                speeds=self._directory.server_speeds.next_told(),
            )
        )

    def _claimed(self, kind: str) -> FeedView:
        """Return the view of a kind that this node may claim while it leads.

        Only a leader writes key maps. Once it has read them it knows them for the rest of its
        term, even while the store does not answer. Another leader that takes over meanwhile
        waits until this one's authority has ended before it moves keys without a release.
        """
        view = self._view(kind)
        if kind != kinds.KEYMAPS:
            return view
        through_revision = max(view.through_revision, self._sent_through.get(kind, -1))
        self._sent_through[kind] = through_revision
        return FeedView(through_revision, elapsed_ms())

    def _view(self, kind: str) -> FeedView:
        view = self._tasks[kind].view
        if view.through_revision < 0:
            return view
        return replace(
            view, through_revision=max(view.through_revision, self._sent_through.get(kind, -1))
        )

    def _change_role(self, leading: bool) -> None:
        self._leading = leading
        self._sent_through.clear()
        self._packed.clear()
        self._keymaps.begin_term()
        _wake_all(list(self._tasks.values()))


def _wake_all(tasks: Sequence[FeedTask]) -> None:
    for task in tasks:
        task.wake()
