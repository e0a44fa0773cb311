"""What the answers of servers prove about the execution of a request.

This module does no I/O and reads no clock.
"""

from enum import Enum


class ExecutionProof(Enum):
    """What a server's complete answer proves."""

    RAN = "ran"  # the answer names the request and bears the mark of a run
    NOT_RUN = "not-run"  # the server states that it did not run the request, and never will
    OTHER_SERVER = "other-server"  # not run: the address belongs to another server
    NONE = "none"  # the request may have run
