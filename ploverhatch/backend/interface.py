"""Interface of a back end.

URLs and field names of the back ends' protocol are known only to
implementations of :class:`BackendClient`.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from ploverhatch.ownership.messages import SyncReply, SyncRequest


class BackendUnreachableError(ConnectionError):
    """No byte of the request was sent."""


class BackendAnswerLostError(ConnectionError):
    """The request may have run, but no complete answer was received.

    ``timed_out`` is true when the time limit passed, and false when the connection broke.
    """

    def __init__(self, cause: str, timed_out: bool) -> None:
        super().__init__(cause)
        self.timed_out = timed_out


class Refusal(Enum):
    """Reason for which a back end did not run a request."""

    NONE = ""
    NOT_OWNER = "not-owner"
    STALE_TOKEN = "stale-token"
    LAPSED = "lapsed"
    TOO_LATE = "too-late"
    BUSY = "busy"
    DRAINING = "draining"
    CANCELLED = "cancelled"


@dataclass(frozen=True)
class BackendRequest:
    """A caller's request with its fencing token and time limits.

    The back end refuses to start the request after ``not_after_ms`` on its own elapsed
    clock; zero sets no such limit. ``budget_ms`` limits the wait for the answer.
    """

    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    group: str
    key_hash: int
    token: int
    not_after_ms: float
    budget_ms: float


@dataclass(frozen=True)
class BackendReply:
    """The answer of a back end, or its refusal to run the request.

    ``clock_ms`` is the back end's elapsed clock when it answered.
    """

    refusal: Refusal
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    clock_ms: float
    received_ms: float  # this node's elapsed clock when the answer was complete


@dataclass(frozen=True)
class ProbeReply:
    """Health and load that a back end reports; they may be out of date or wrong.

    ``clock_ms`` is the back end's elapsed clock and ``received_ms`` this node's.
    """

    healthy: bool
    load: float
    clock_ms: float
    received_ms: float


class BackendClient(ABC):
    """Client of one back end."""

    @abstractmethod
    def sync(self, request: SyncRequest, timeout_s: float) -> SyncReply:
        """Renew the lease and change grants.

        :raises ConnectionError: when no answer, or an error answer, was received; the back
            end may have applied the request.
        """

    @abstractmethod
    def probe(self, timeout_s: float) -> ProbeReply:
        """Ask for health and load.

        :raises ConnectionError: when no answer, or an error answer, was received.
        """

    @abstractmethod
    def send(self, request: BackendRequest) -> BackendReply:
        """Send a request once.

        :raises BackendUnreachableError: when no byte of the request was sent.
        :raises BackendAnswerLostError: when the request may have run.
        """

    @abstractmethod
    def cancel(self, request_id: str, timeout_s: float) -> bool:
        """Cancel a request.

        :returns: true only if the request did not run and never will.
        :raises ConnectionError: when no answer, or an error answer, was received.
        """

    @abstractmethod
    def has_ended(self, timeout_s: float) -> bool:
        """Return whether the address refuses a new connection: no process listens there.

        A timeout or any other failure returns false, since the process may be alive then.
        """

    @abstractmethod
    def close(self) -> None:
        """Close idle connections."""
