"""Commands of the replicated log and their numbers on the wire.

``None`` is the no-op entry that a new leader commits first.
"""

from ploverhatch.transport import wire

Command = (
    wire.ConfigurationChange
    | wire.AssignmentChange
    | wire.MembershipChange
    | wire.RecordClaim
    | wire.RecordComplete
    | wire.RecordRelease
    | wire.RecordExpire
    | None
)
RecordCommand = wire.RecordClaim | wire.RecordComplete | wire.RecordRelease | wire.RecordExpire

NO_OPERATION_KIND = 0
CONFIGURATION_KIND = 1
ASSIGNMENT_KIND = 2
MEMBERSHIP_KIND = 3
CLAIM_KIND = 4
COMPLETE_KIND = 5
RELEASE_KIND = 6
EXPIRE_KIND = 7

_TYPES: dict[int, type] = {
    CONFIGURATION_KIND: wire.ConfigurationChange,
    ASSIGNMENT_KIND: wire.AssignmentChange,
    MEMBERSHIP_KIND: wire.MembershipChange,
    CLAIM_KIND: wire.RecordClaim,
    COMPLETE_KIND: wire.RecordComplete,
    RELEASE_KIND: wire.RecordRelease,
    EXPIRE_KIND: wire.RecordExpire,
}
_KINDS = {message_type: kind for kind, message_type in _TYPES.items()}

RECORD_KINDS = frozenset({CLAIM_KIND, COMPLETE_KIND, RELEASE_KIND, EXPIRE_KIND})


class UnknownCommandError(ValueError):
    """A log entry has a command number that this version does not know."""


def encode_command(command: Command) -> tuple[int, bytes]:
    """Return the number and the payload of a command."""
    if command is None:
        return NO_OPERATION_KIND, b""
    return _KINDS[type(command)], bytes(command)


def decode_payload(kind: int, payload: bytes) -> Command:
    """Parse a command.

    :raises UnknownCommandError: for a number that only a newer version knows.
    """
    if kind == NO_OPERATION_KIND:
        return None
    message_type = _TYPES.get(kind)
    if message_type is None:
        raise UnknownCommandError(f"command number {kind}")
    command: Command = message_type().parse(payload)
    return command


def decode_command(entry: wire.LogEntry) -> Command:
    """Parse the command of a log entry.

    :raises UnknownCommandError: for a number that only a newer version knows.
    """
    return decode_payload(entry.kind, entry.payload)


def make_entry(index: int, term: int, clock_ms: int, command: Command) -> wire.LogEntry:
    """Build the log entry of a command."""
    kind, payload = encode_command(command)
    return wire.LogEntry(index=index, term=term, clock_ms=clock_ms, kind=kind, payload=payload)
