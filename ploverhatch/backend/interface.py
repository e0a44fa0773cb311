"""What ploverhatch needs of a back end.

Nothing outside an implementation of :class:`BackendClient` knows a URL or a
field name of the back ends' protocol.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from ploverhatch.ownership.messages import SyncReply, SyncRequest


class BackendUnreachableError(ConnectionError):
    """No byte of the request was sent."""


class BackendAnswerLostError(ConnectionError):
    """The request may have run; no whole answer came.

    ``timed_out`` tells a deadline from a broken connection.
    """

    def __init__(self, cause: str, timed_out: bool) -> None:
        super().__init__(cause)
        self.timed_out = timed_out


class Refusal(Enum):
    """Why a back end did not run a request."""

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

    ``not_after_ms`` is on the server's own elapsed clock; zero: no limit.
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
    """A back end's answer, or its refusal before running."""

    refusal: Refusal
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    clock_ms: float
    received_ms: float  # our clock, when the answer was whole


@dataclass(frozen=True)
class ProbeReply:
    """Health and load as a back end reports them; they may lag or mislead."""

    healthy: bool
    load: float
    clock_ms: float
    received_ms: float


class BackendClient(ABC):
    """One back end."""

    @abstractmethod
    def sync(self, request: SyncRequest, timeout_s: float) -> SyncReply:
        """Renew the lease and change grants.

        :raises ConnectionError: without an answer; it may have been applied.
        """

    @abstractmethod
    def probe(self, timeout_s: float) -> ProbeReply:
        """Ask for health and load."""

    @abstractmethod
    def send(self, request: BackendRequest) -> BackendReply:
        """Send a request once.

        :raises BackendUnreachableError: nothing was sent.
        :raises BackendAnswerLostError: it may have run.
        """

    @abstractmethod
    def cancel(self, request_id: str, timeout_s: float) -> bool:
        """Cancel a request; true only if it surely never ran nor will."""

    @abstractmethod
    def has_ended(self, timeout_s: float) -> bool:
        """Tell whether the process at the address is gone, as far as a look shows."""

    @abstractmethod
    def close(self) -> None:
        """Close idle connections."""
