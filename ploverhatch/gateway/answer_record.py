"""Tells whether callers took their answers, as far as the kernel knows.

Ordinary requests write no line, so a process that stops would leave no word on which of its
last requests were answered and which were cut. Their names are told many to a line.
"""

import fcntl
import struct
import termios
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from ploverhatch.common.logs import PartLogger

LOG = PartLogger("callers")

NAMES_PER_LINE = 40
MAX_NAMES = 4000  # of one stop: ten times what a small machine answers in a grace time
_INT = struct.Struct("i")


@dataclass(frozen=True, slots=True)
class SentAnswer:
    """A whole answer that was written to a caller's connection."""

    request_id: str
    status: int
    size: int  # bytes


def unacknowledged_bytes(sock: Any) -> int | None:
    """Return how many written bytes the other end hasn't acknowledged; ``None``: not known."""
    try:
        (count,) = _INT.unpack(fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INT.size)))
    except (OSError, ValueError):  # closed already
        return None
    return int(count)


class AnswerRecord:
    """The answers of one process since it was told to stop."""

    def __init__(self) -> None:
        self.taken = 0
        self.untaken = 0
        self.unknown = 0  # the system told nothing of their connections any more
        self._names: list[str] = []

    def note(self, answers: Iterable[SentAnswer], unacknowledged: int | None) -> None:
        """Note the answers of a connection that ends, in the order in which they were sent.

        :param unacknowledged: bytes at its end; the last answers are those that miss some.
            ``None`` where that isn't known.
        """
        if unacknowledged is None:
            self.unknown += len(list(answers))
            return
        left = unacknowledged
        for answer in reversed(list(answers)):
            if left > 0:
                self.untaken += 1
                LOG.warning(
                    "Answer not taken.",
                    request=answer.request_id,
                    status=answer.status,
                    unacknowledged=min(left, answer.size),
                    size=answer.size,
                )
            else:
                self._note_taken(answer)
            left -= answer.size

    def _note_taken(self, answer: SentAnswer) -> None:
        self.taken += 1
        if self.taken > MAX_NAMES:
            return  # counted only
        self._names.append(f"{answer.request_id}:{answer.status}")
        if len(self._names) >= NAMES_PER_LINE:
            self.flush()

    def flush(self) -> None:
        """Write the names that wait for a full line."""
        names, self._names = self._names, []
        if names:
            LOG.info("Answers taken.", requests="|".join(names))
