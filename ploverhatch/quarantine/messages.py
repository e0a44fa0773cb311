"""Messages by which nodes share crash records and trial permits.

Any message may be lost, late or repeated. Times are sent as ages in milliseconds, since the
clocks of nodes have no common origin. Encoding and decoding do no I/O and read no clock.
"""

import math

import msgspec

from ploverhatch.quarantine.record import CrashEvent, CrashRecord

NEVER_MS = -1.0  # an age


class CrashEventEntry(msgspec.Struct, array_like=True, frozen=True):
    """A :class:`CrashEvent` with ages in place of times."""

    server: str
    caller: bytes
    witness: str
    sent_age_ms: float
    crashed_age_ms: float
    frozen: bool = False


class CrashRecordEntry(msgspec.Struct, array_like=True, frozen=True):
    """The sender's whole record of one request."""

    request_digest: bytes
    crashes: list[CrashEventEntry]
    answered_age_ms: dict[bytes, float] = {}
    last_answer_age_ms: float = NEVER_MS


class CrashReport(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """Records of some requests.

    ``is_complete`` marks the last report of a reply that holds all of the sender's records.
    """

    records: list[CrashRecordEntry]
    is_complete: bool = False


class CrashQuery(msgspec.Struct, array_like=True, frozen=True, tag=9):
    """Asks a node for its records, unless they have the same ``checksum``.

    A node that has just started gets a reply in any case, so that it knows its records to be
    complete.
    """

    checksum: int
    just_started: bool = False


class TrialRequest(msgspec.Struct, array_like=True, frozen=True, tag=10):
    """Asks the leader whether a copy of a suspect request may be sent now.

    ``number`` identifies the copy at its sender.
    """

    request_digest: bytes
    number: int


class TrialReply(msgspec.Struct, array_like=True, frozen=True, tag=11):
    """Says after how many milliseconds to ask again; 0 if the copy may be sent."""

    number: int
    retry_after_ms: float


class TrialFinished(msgspec.Struct, array_like=True, frozen=True, tag=12):
    """Says that the copy has ended, so that another one may be sent."""

    request_digest: bytes
    number: int


TrialMessage = TrialRequest | TrialReply | TrialFinished


def encode(request_digest: bytes, record: CrashRecord, now_ms: float) -> CrashRecordEntry:
    """Return a record with ages relative to now."""
    crashes = [
        CrashEventEntry(
            crash.server_id,
            crash.caller,
            crash.witness,
            now_ms - crash.sent_ms,
            now_ms - crash.crashed_ms,
            crash.frozen,
        )
        for crash in record.crashes
    ]
    answered = {caller: now_ms - at_ms for caller, at_ms in record.answered_ms.items()}
    never = math.isinf(record.last_answer_ms)
    last = NEVER_MS if never else now_ms - record.last_answer_ms
    return CrashRecordEntry(request_digest, crashes, answered, last)


def decode(entry: CrashRecordEntry, now_ms: float, came_ms: float | None = None) -> CrashRecord:
    """Return the record of an entry that was received just now.

    :param came_ms: the earliest time at which the entry may have arrived, if this node was
        suspended since. Answers get that time, since an answer that looks later than it was
        would clear crashes after it. Crashes get the time of now: a crash that looks later than
        it was clears nothing, and the same crash in other reports corrects its time.
    """
    crashes = tuple(
        CrashEvent(
            crash.server,
            crash.caller,
            crash.witness,
            now_ms - crash.sent_age_ms,
            now_ms - crash.crashed_age_ms,
            crash.frozen,
        )
        for crash in entry.crashes
    )
    came_ms = now_ms if came_ms is None else came_ms
    answered = {caller: came_ms - age_ms for caller, age_ms in entry.answered_age_ms.items()}
    never = entry.last_answer_age_ms < 0
    last_ms = -math.inf if never else came_ms - entry.last_answer_age_ms
    return CrashRecord(crashes, answered, last_ms)
