"""State machine that the log replicates.

It is deterministic: this module does no I/O and reads no clock.
"""

from dataclasses import dataclass, field

from ploverhatch.common.keyspace import SliceRange
from ploverhatch.state.assignment import AssignmentTable, Slice, make_token
from ploverhatch.state.columns import from_columns, to_columns
from ploverhatch.state.commands import Command, decode_command
from ploverhatch.state.configuration import ConfigurationState
from ploverhatch.state.records import ClaimResult, RecordTable
from ploverhatch.transport import wire


@dataclass
class ReplicatedState:
    """Configuration, assignments, membership and records at one log index."""

    index: int = 0
    term: int = 0
    clock_ms: int = 0
    membership: wire.MembershipChange = field(default_factory=wire.MembershipChange)
    configuration: ConfigurationState = field(default_factory=ConfigurationState)
    assignments: AssignmentTable = field(default_factory=AssignmentTable)
    records: RecordTable = field(default_factory=RecordTable)

    @property
    def epoch(self) -> int:
        """Epoch of the cell; it increases when a new one is founded after the quorum was lost."""
        return int(self.membership.epoch)

    def apply(self, entry: wire.LogEntry) -> ClaimResult | None:
        """Apply the next committed entry.

        :returns: the result of a command on records, ``None`` for other commands.
        """
        self.index = entry.index
        self.term = entry.term
        self.clock_ms = max(self.clock_ms, entry.clock_ms)
        return self._apply_command(decode_command(entry))

    def _apply_command(self, command: Command) -> ClaimResult | None:
        match command:
            case wire.ConfigurationChange():
                self.configuration.apply(command)
            case wire.AssignmentChange():
                self._apply_assignment(command, make_token(self.epoch, self.index))
            case wire.MembershipChange():
                self._apply_membership(command)
            case wire.RecordClaim():
                return self.records.claim(command, self.clock_ms)
            case wire.RecordComplete():
                return self.records.complete(command)
            case wire.RecordRelease():
                return self.records.release(command)
            case wire.RecordExpire():
                self.records.expire(command.before_ms)
        return None

    def _apply_membership(self, change: wire.MembershipChange) -> None:
        self.membership = change
        if change.refuse_claims_ms:
            self.records.refuse_until_ms = self.clock_ms + change.refuse_claims_ms

    def _apply_assignment(self, change: wire.AssignmentChange, token: int) -> None:
        for item in change.slices:
            span = SliceRange(item.group, item.first, item.last)
            self.assignments.put(Slice(span, item.server, token))

    def snapshot(self, with_records: bool = True) -> wire.Snapshot:
        """Return the whole state as a message.

        :param with_records: whether to include the completion records; observers get none.
        """
        records = list(self.records.records.values()) if with_records else []
        return wire.Snapshot(
            index=self.index,
            term=self.term,
            clock_ms=self.clock_ms,
            generation=self.configuration.generation,
            membership=self.membership,
            objects=list(self.configuration.objects.values()),
            slices=to_columns(self.assignments),
            records=records,
            refuse_until_ms=self.records.refuse_until_ms,
        )


def restore(snapshot: wire.Snapshot) -> ReplicatedState:
    """Build the state from a snapshot."""
    state = ReplicatedState(
        index=snapshot.index,
        term=snapshot.term,
        clock_ms=snapshot.clock_ms,
        membership=snapshot.membership,
    )
    state.configuration.generation = snapshot.generation
    for item in snapshot.objects:
        state.configuration.put(item)
    for assigned in from_columns(snapshot.slices):
        state.assignments.put(assigned)
    state.records.refuse_until_ms = snapshot.refuse_until_ms
    for record in snapshot.records:
        state.records.records[record.record_id] = record
    return state
