"""What the answers of servers prove about the execution of a request.

This module does no I/O and reads no clock.
"""

from dataclasses import dataclass
from enum import Enum


class ExecutionProof(Enum):
    """What a server's complete answer proves."""

    RAN = "ran"  # the answer names the request and bears the mark of a run
    NOT_RUN = "not-run"  # the server states that it did not run the request, and never will
    OTHER_SERVER = "other-server"  # not run: the address belongs to another server
    NONE = "none"  # the request may have run


@dataclass(slots=True)
class ExecutionRecord:
    """Which sends of one request are not proven to have left it unexecuted."""

    _unproven: int = 0

    @property
    def may_have_run(self) -> bool:
        """Whether the request may have run, or may run yet."""
        return self._unproven > 0

    def note_send(self) -> None:
        """Note that a send begins; called before its first byte is written."""
        self._unproven += 1

    def note_not_run(self) -> None:
        """Note a proof that the latest send did not run the request, and never will."""
        self._unproven -= 1
