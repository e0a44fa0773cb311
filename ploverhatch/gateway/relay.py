"""Between nodes: the leader tells changes and beacons, the others take them.

Each node runs one; whether it tells or takes follows from who leads. What may
be relied on is decided in :mod:`ploverhatch.relay`.
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
URGENT_S = 0.03  # grants that end together are told together: each telling goes to all nodes
FIRST_WAIT_S = 0.8
OWN_MAPS_MS = 500.0  # until the leader asks itself again whether it still leads
LEADER_WAIT_S = 0.5  # until it is known at the start who leads
LONG_WAIT_S = 2.0  # shorter than key maps are trusted, and finds dead connections
PROOF_WAIT_FRACTION = 0.65  # of how old the leader's view may be
OVERTAKEN_S = 0.05  # a beacon may overtake the changes that it speaks of
MAX_CHANGES = 200_000  # bytes of changes in one message; what is longer is asked for


class Relay:
    """One node's part.

    :param limit_ms: how old the leader's view may be to be relied on.
    :param term: the term while this node leads; ``None`` while it does not.
    :param elector: told of the leader's beacons; knows who leads.
    :param leader: asks the leader for whole kinds.
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
        self._told_reached: dict[str, int] = {}  # by kind, in this term
        self._urgent = False  # a beacon is about to be sent out of turn
        self._packed: dict[str, tuple[int, bytes]] = {}  # by kind: revision, objects
        self._leading = False

    def attach(self, tasks: Sequence[FeedTask]) -> None:
        """Take the tasks that follow the kinds."""
        self._tasks = {task.kind: task for task in tasks}

    def watch_wait_s(self, kind: str) -> float:
        """Return how long a watch waits: each answer of the leader's is a proof.

        Not for key maps, which the leader writes itself.
        """
        if not self._leading or kind == kinds.KEYMAPS:
            return LONG_WAIT_S
        return self._coverage.limit_ms * PROOF_WAIT_FRACTION / 1000

    # ---- as any node --------------------------------------------------------------------

    def covered_until_ms(self, kind: str, cursor: int) -> float:
        """Return until when the store need not be asked for a kind."""
        if not self._leading:
            return coverage.covered_until_ms(self._coverage, kind, cursor)
        if kind == kinds.KEYMAPS and self._told_reached.get(kind, -1) >= 0:
            return elapsed_ms() + OWN_MAPS_MS  # nobody else writes them
        return float("-inf")

    def handle_beacon(self, beacon: Beacon) -> None:
        """Take the leader's claims."""
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
        self._note_keymaps()
        behind = [
            task
            for task in self._tasks.values()
            if self.covered_until_ms(task.kind, task.cursor) < now_ms
        ]
        if behind:
            gevent.spawn_later(OVERTAKEN_S, _nudge, behind)

    def _note_keymaps(self) -> None:
        """Trust the key maps for as long as if the store itself had answered.

        So a node that the store turns away goes on by the leader's word.
        """
        task = self._tasks[kinds.KEYMAPS]
        current_ms = coverage.current_ms(self._coverage, kinds.KEYMAPS, task.cursor)
        self._directory.note_keymaps(current_ms)

    # ---- whole kinds --------------------------------------------------------------------

    def await_leader(self) -> None:
        """Wait a little until it is known who leads."""
        self._elector.await_leader(LEADER_WAIT_S)

    def should_ask_leader(self, kind: str, cursor: int) -> bool:
        """Whether the leader is to be asked for a kind."""
        if self._term() is not None or not self._leader.may_ask(kind):
            return False
        return cursor < 0 or coverage.is_behind(self._coverage, kind, cursor, elapsed_ms())

    def fetch(self, kind: str) -> Snapshot | None:
        """Return all objects of a kind from the leader, or ``None``."""
        return self._leader.fetch(kind)

    @property
    def leads(self) -> bool:
        """Whether this node tells the others."""
        return self._leading

    @property
    def store_unavailable(self) -> bool:
        """Whether the elector found that the store does not answer, and goes on asking."""
        return self._elector.store_unavailable

    def valid_until_ms(self, current_ms: float) -> float:
        """Return until when a view may be relied on that was surely current at a time."""
        return current_ms + self._coverage.limit_ms

    def snapshot(self, kind: str) -> Snapshot | None:
        """Return a kind for another node, while this one leads and its view is current."""
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

    def _packed_items(self, task: FeedTask, reached: int) -> bytes:
        """Return a kind's objects packed; once for all nodes that ask at a revision."""
        known = self._packed.get(task.kind)
        if known is None or known[0] != reached:
            known = (reached, packing.pack(task.items))
            self._packed[task.kind] = known
        return known[1]

    def handle_update(self, told: RelayedUpdate) -> None:
        """Take changes from the leader."""
        task = self._tasks.get(told.kind)
        if task is not None and not self._leading:
            task.apply_update(told)

    @property
    def covered(self) -> bool:
        """Whether the leader's word may be relied on for all kinds right now."""
        now_ms = elapsed_ms()
        return bool(self._tasks) and all(
            self.covered_until_ms(task.kind, task.cursor) > now_ms for task in self._tasks.values()
        )

    # ---- as the leader ------------------------------------------------------------------

    def publish_changes(
        self, kind: str, base: int, reached: int, changes: list[RelayedChange]
    ) -> None:
        """Tell what this node read from the store, if it leads."""
        if self._term() is None:
            return
        told = self._told_reached.get(kind, -1)
        if reached > told or changes:
            self._tell(kind, base, reached, changes)

    def publish_map(self, keymap: KeyMap) -> None:
        """Tell a map that this node stored."""
        change = self._keymaps.change_of(keymap)
        if change is not None:
            base = self._view(kinds.KEYMAPS).through_revision
            self._tell(kinds.KEYMAPS, base, keymap.revision, [change])

    def _tell(self, kind: str, base: int, reached: int, changes: list[RelayedChange]) -> None:
        self._told_reached[kind] = max(reached, self._told_reached.get(kind, -1))
        sized = [(change, len(msgspec.msgpack.encode(change))) for change in changes]
        for told in publisher.split_changes(kind, base, reached, sized, MAX_CHANGES):
            self._send(told)

    def publish_promoted(self, service: str, revision: int, tokens: Collection[int]) -> None:
        """Tell soon which standbys were promoted by the map in the store."""
        if self._directory.note_promoted(service, revision, tokens):
            self._beacon_soon()

    def publish_granted(self, service: str, token: int) -> None:
        """Tell soon that a moving range's new holder has it."""
        self._directory.note_granted(service, [token])
        self._beacon_soon()

    def _beacon_soon(self) -> None:
        if not self._urgent:
            self._urgent = True
            gevent.spawn_later(URGENT_S, self._beacon)

    def beacon_forever(self) -> None:
        """Tell the claims at a steady pace while this node leads."""
        while True:
            self._beacon()
            gevent.sleep(BEACON_S)

    def _beacon(self) -> None:
        self._urgent = False
        term = self._term()
        if (term is not None) != self._leading:
            self._change_part(term is not None)
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
                beacon, granted=granted, leaving=leaving, limits=limits, promoted=promoted
            )
        )

    def _claimed(self, kind: str) -> FeedView:
        """Return what this node may claim of a kind while it leads.

        Only a leader writes key maps, so it knows them all for the rest of its term
        once it has, though the store answers nobody. Another one that takes over
        meanwhile waits until this one's authority has ended before keys move without
        a release.
        """
        view = self._view(kind)
        if kind != kinds.KEYMAPS:
            return view
        reached = max(view.through_revision, self._told_reached.get(kind, -1))
        self._told_reached[kind] = reached
        return FeedView(reached, elapsed_ms())

    def _view(self, kind: str) -> FeedView:
        view = self._tasks[kind].view
        if view.through_revision < 0:
            return view
        return replace(
            view, through_revision=max(view.through_revision, self._told_reached.get(kind, -1))
        )

    def _change_part(self, leading: bool) -> None:
        self._leading = leading
        self._told_reached.clear()
        self._packed.clear()
        self._keymaps.begin_term()
        _nudge(list(self._tasks.values()))


def _nudge(tasks: Sequence[FeedTask]) -> None:
    for task in tasks:
        task.wake()
