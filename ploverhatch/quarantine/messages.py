"""What nodes tell each other of requests that end servers. All of it may be lost or late.

Times travel as ages in milliseconds, since the clocks of nodes have nothing in common.
"""

import math

import msgspec

from ploverhatch.quarantine.record import CrashEvent, CrashRecord

NEVER_MS = -1.0  # an age


class CrashEventEntry(msgspec.Struct, array_like=True, frozen=True):
    """One server's end under a request."""

    server: str
    caller: bytes
    witness: str
    sent_age_ms: float
    crashed_age_ms: float
    frozen: bool = False


class CrashRecordEntry(msgspec.Struct, array_like=True, frozen=True):
    """All that the sender knows of a content."""

    request_digest: bytes
    crashes: list[CrashEventEntry]
    answered_age_ms: dict[bytes, float] = {}
    last_answer_age_ms: float = NEVER_MS


class CrashReport(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """Records of some contents; ``whole`` where, with those before, they are all."""

    records: list[CrashRecordEntry]
    is_complete: bool = False


class CrashQuery(msgspec.Struct, array_like=True, frozen=True, tag=9):
    """Asks a node for its records, unless they come to the same ``summary``.

    One that has just started is answered in any case, so that it knows that it knows all.
    """

    checksum: int
    just_started: bool = False


class TrialRequest(msgspec.Struct, array_like=True, frozen=True, tag=10):
    """Asks whether a copy of a content under suspicion may be sent now.

    ``number`` names the copy at its sender.
    """

    request_digest: bytes
    number: int


class TrialReply(msgspec.Struct, array_like=True, frozen=True, tag=11):
    """The answer: in how many milliseconds to ask again; 0: it may be sent."""

    number: int
    retry_after_ms: float


class TrialFinished(msgspec.Struct, array_like=True, frozen=True, tag=12):
    """Says that the copy has ended, so that another one may be sent."""

    request_digest: bytes
    number: int


TrialMessage = TrialRequest | TrialReply | TrialFinished


def encode(content: bytes, record: CrashRecord, now_ms: float) -> CrashRecordEntry:
    """Return a record as it is told now."""
    ends = [
        CrashEventEntry(
            end.server_id,
            end.caller,
            end.witness,
            now_ms - end.sent_ms,
            now_ms - end.crashed_ms,
            end.frozen,
        )
        for end in record.crashes
    ]
    answered = {caller: now_ms - at_ms for caller, at_ms in record.answered_ms.items()}
    never = math.isinf(record.last_answer_ms)
    last = NEVER_MS if never else now_ms - record.last_answer_ms
    return CrashRecordEntry(content, ends, answered, last)


def decode(told: CrashRecordEntry, now_ms: float, came_ms: float | None = None) -> CrashRecord:
    """Return a record that was told just now.

    :param came_ms: when it came at the earliest, where this node may have stood still since.
        An answer clears the ends before it, so that its earliest time counts; an end that looks
        later than it was clears nothing, and its other tellings put it right.
    """
    ends = tuple(
        CrashEvent(
            end.server,
            end.caller,
            end.witness,
            now_ms - end.sent_age_ms,
            now_ms - end.crashed_age_ms,
            end.frozen,
        )
        for end in told.crashes
    )
    came_ms = now_ms if came_ms is None else came_ms
    answered = {caller: came_ms - age_ms for caller, age_ms in told.answered_age_ms.items()}
    never = told.last_answer_age_ms < 0
    last_ms = -math.inf if never else came_ms - told.last_answer_age_ms
    return CrashRecord(ends, answered, last_ms)
