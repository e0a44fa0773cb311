"""A node's view of the replicated state, and the feeds to its observers.

On a voter or learner, the view shares the state of the replica; on other nodes, a stream
from another node fills it. The epoch and the generation of the view never decrease.
"""

from collections import deque
from typing import Any

from gevent.event import Event

from ploverhatch.common.logs import PartLogger
from ploverhatch.control.compiled import CompiledConfiguration
from ploverhatch.policy.table import PolicyTable
from ploverhatch.state.commands import (
    ASSIGNMENT_KIND,
    CONFIGURATION_KIND,
    RECORD_KINDS,
    decode_command,
)
from ploverhatch.state.configuration import ServerSpec
from ploverhatch.state.replicated import ReplicatedState, restore
from ploverhatch.transport import wire
from ploverhatch.transport.peers import Connection
from ploverhatch.transport.registry import pack

LOG = PartLogger("view")

HISTORY_ENTRIES = 2048


class StateView:
    """Applied state, compiled policy, and the observers that this node feeds."""

    def __init__(self, node_id: str) -> None:
        self._node_id = node_id
        self.state = ReplicatedState()
        self._compiled = CompiledConfiguration()
        self.feeds: dict[Connection, wire.Member] = {}
        self.slices_reassigned = 0  # number of slices assigned anew, as seen by this view
        self._history: deque[wire.LogEntry] = deque(maxlen=HISTORY_ENTRIES)
        self._changed = Event()

    @property
    def policy(self) -> PolicyTable | None:
        """The compiled policy in force, or ``None`` before there is one."""
        return self._compiled.policy

    @property
    def servers(self) -> dict[str, ServerSpec]:
        """The configured back ends by name."""
        return self._compiled.servers

    @property
    def ready(self) -> bool:
        """Whether requests can be routed."""
        return self.policy is not None

    def wait_change(self, timeout_s: float) -> bool:
        """Wait until the assignments or the configuration change; tell whether they did."""
        return bool(self._changed.wait(timeout_s))

    # ---- applying state ------------------------------------------------------

    def adopt(self, state: ReplicatedState) -> None:
        """Replace the state by that of a replica or a snapshot, and send it to observers."""
        self.state = state
        self._history.clear()
        self._refresh()
        for connection in list(self.feeds):
            self._send_snapshot(connection)

    def apply_snapshot(self, snapshot: wire.Snapshot) -> bool:
        """Apply a snapshot from the stream; return false if it is older than the state."""
        mine = (self.state.epoch, self.state.index)
        theirs = (snapshot.membership.epoch, snapshot.index)
        if theirs < mine or snapshot.generation < self.state.configuration.generation:
            return False
        self.adopt(restore(snapshot))
        return True

    def apply_update(self, update: wire.StreamUpdate) -> bool:
        """Apply a batch of entries from the stream.

        :returns: false if entries are missing or the epoch differs, so that a new subscription
            is needed.
        """
        if update.epoch != self.state.epoch or update.previous_index > self.state.index:
            return False
        for entry in update.entries:
            if entry.index > self.state.index:
                self.state.apply(entry)
                self.note_applied(entry)
        self.state.index = max(self.state.index, update.through_index)
        return True

    def note_applied(self, entry: wire.LogEntry) -> None:
        """Note that an entry was applied to the state, and send it to observers."""
        if entry.kind in RECORD_KINDS:
            return
        self._history.append(entry)
        if entry.kind == ASSIGNMENT_KIND:
            command = decode_command(entry)
            assert isinstance(command, wire.AssignmentChange)
            self.slices_reassigned += len(command.slices)
        if entry.kind in {CONFIGURATION_KIND, ASSIGNMENT_KIND}:
            self._refresh()
        if self.feeds:
            self._broadcast([entry], entry.index)

    def _refresh(self) -> None:
        if self._compiled.refresh(self.state.configuration) and self._compiled.faults:
            LOG.error(
                "Stored policy does not compile; the last valid one stays in force.",
                generation=self.state.configuration.generation,
            )
        self._changed.set()
        self._changed.clear()

    # ---- feeding observers ----------------------------------------------------

    def subscribe(self, connection: Connection, request: wire.Subscribe) -> None:
        """Start feeding an observer from its index, or with a snapshot."""
        self.feeds[connection] = request.member
        oldest = self._history[0].index if self._history else self.state.index + 1
        continues = request.epoch == self.state.epoch and request.from_index + 1 >= oldest
        if not continues or request.from_index > self.state.index:
            self._send_snapshot(connection)
            return
        entries = [entry for entry in self._history if entry.index > request.from_index]
        self._send(connection, self._update(entries, request.from_index))

    def heartbeat(self) -> None:
        """Send the applied index to all observers, as a sign that this node is alive."""
        self._drop_closed()
        if self.feeds:
            self._broadcast([], self.state.index)

    def _drop_closed(self) -> None:
        for connection in [item for item in self.feeds if item.closed]:
            del self.feeds[connection]

    def _update(self, entries: list[wire.LogEntry], previous: int) -> wire.StreamUpdate:
        return wire.StreamUpdate(
            epoch=self.state.epoch,
            previous_index=previous,
            through_index=self.state.index,
            entries=entries,
        )

    def _broadcast(self, entries: list[wire.LogEntry], through: int) -> None:
        """Encode an update once and queue it for every observer."""
        update = wire.StreamUpdate(
            epoch=self.state.epoch,
            previous_index=self._previous_streamed_index(before=len(entries)),
            through_index=through,
            entries=entries,
        )
        payload = pack(update, sender=self._node_id)
        for connection in list(self.feeds):
            if not connection.send(payload):
                self.feeds.pop(connection, None)

    def _previous_streamed_index(self, before: int) -> int:
        """Return the index of the streamed entry before the newest ``before`` streamed entries.

        Record entries are not sent to observers, so for an observer each entry follows the
        previous streamed entry.
        """
        position = len(self._history) - before - 1
        return int(self._history[position].index) if position >= 0 else 0

    def _send_snapshot(self, connection: Connection) -> None:
        snapshot = self.state.snapshot(with_records=False)
        update = wire.StreamUpdate(
            epoch=self.state.epoch,
            through_index=self.state.index,
            snapshot=snapshot,
            has_snapshot=True,
        )
        self._send(connection, update)

    def _send(self, connection: Connection, message: Any) -> None:
        if not connection.send(pack(message, sender=self._node_id)):
            self.feeds.pop(connection, None)
