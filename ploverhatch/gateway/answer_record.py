"""Logs whether callers received their answers, as far as the kernel knows.

Ordinary requests write no log line, so the log of a stopped process wouldn't show which of its
last requests were answered and which were cut off. Their ids are logged, many to a line.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ploverhatch.common.logs import PartLogger

LOG = PartLogger("callers")

NAMES_PER_LINE = 40
# The number of ids logged at one stop: ten times what a small machine answers in a grace period.
MAX_NAMES = 4000


@dataclass(frozen=True, slots=True)
class SentAnswer:
    """A complete answer that was written to a caller's connection."""

    request_id: str
    status: int
    size: int  # In bytes.


class AnswerRecord:
    """The answers that one process has sent since it was told to stop."""

    def __init__(self) -> None:
        self.taken = 0
        self.untaken = 0
        self.unknown = 0  # Answers on connections whose state the system no longer reported.
        self._names: list[str] = []

    def note(self, answers: Iterable[SentAnswer], unacknowledged: int | None) -> None:
        """Note the answers of a connection that has ended.

        :param answers: the answers in the order in which they were sent.
        :param unacknowledged: the number of unacknowledged bytes, which belong to the last
            answers; ``None`` if it is unknown.
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
            return  # Only counted.
        self._names.append(f"{answer.request_id}:{answer.status}")
        if len(self._names) >= NAMES_PER_LINE:
            self.flush()

    def flush(self) -> None:
        """Write the ids that wait for a full line."""
        names, self._names = self._names, []
        if names:
            LOG.info("Answers taken.", requests="|".join(names))
