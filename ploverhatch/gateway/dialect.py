"""The interface to the parts of requests and control calls that differ between platforms."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from ploverhatch.gateway.messages import CallerRequest, HeaderList, RequestFacts
from ploverhatch.routing.execution import ExecutionProof
from ploverhatch.routing.gateway_attempts import AttemptResult
from ploverhatch.state.server_notices import ServerNotice
from ploverhatch.transport.http_connection import WireAnswer


class MalformedRequestError(ValueError):
    """A header field of the request is malformed."""


@dataclass(frozen=True, slots=True)
class GrantCall:
    """Grants a server a lease on a key range; ``hold_ms`` counts from the call's arrival."""

    first: int
    last: int
    token: int
    hold_ms: float
    handover: str = ""


@dataclass(frozen=True, slots=True)
class ReleaseCall:
    """Revokes a key range; the server answers once the requests for these keys have ended."""

    first: int
    last: int
    token: int


class GrantRefusedError(Exception):
    """The server has seen a higher fencing token for one of the keys."""


class OtherInstanceError(Exception):
    """Another server, or another incarnation, answered: the intended one has ended."""


class Dialect(ABC):
    """Reads and writes header fields and control calls of one platform."""

    @abstractmethod
    def facts(self, request: CallerRequest) -> RequestFacts:
        """Read the header fields of a caller's request.

        :raises MalformedRequestError: when a header field is malformed.
        """

    @abstractmethod
    def encode_head(self, request: CallerRequest, server_id: str, remaining_ms: float) -> bytes:
        """Return the head of the request to a server; the request's body follows it.

        :param remaining_ms: time until the request's deadline.
        """

    @abstractmethod
    def answered_id(self, answer: WireAnswer) -> bytes:
        """Return the id of the request that an answer names; empty if it names none."""

    @abstractmethod
    def execution_proof(
        self, facts: RequestFacts, server_id: str, answer: WireAnswer
    ) -> ExecutionProof:
        """Return what a server's complete answer proves about the execution of a request."""

    @abstractmethod
    def classify_answer(
        self, facts: RequestFacts, server_id: str, answer: WireAnswer
    ) -> AttemptResult:
        """Return the outcome of an attempt from the server's complete answer."""

    @abstractmethod
    def notice(self, request_id: bytes, server_id: str, answer: WireAnswer) -> ServerNotice:
        """Return what a server's complete answer states about the server itself.

        :param request_id: id of the request; empty for a control call.
        """

    @abstractmethod
    def reply_headers(self, answer: WireAnswer) -> HeaderList:
        """Return the header fields of an answer that are forwarded to the caller."""

    @abstractmethod
    def refusal_headers(
        self, facts: RequestFacts | None, retry_after_s: float | None
    ) -> HeaderList:
        """Return the header fields of a refusal by the gateway.

        :param facts: the request's header fields; ``None`` if they are malformed.
        :param retry_after_s: delay before a retry; ``None`` if a retry is of no use.
        """

    @abstractmethod
    def encode_grant(self, call: GrantCall, server_id: str, host: str) -> bytes:
        """Return the bytes of a grant to a server."""

    @abstractmethod
    def encode_release(self, call: ReleaseCall, server_id: str, host: str) -> bytes:
        """Return the bytes of a release to a server."""

    @abstractmethod
    def read_grant(self, answer: WireAnswer) -> None:
        """Check the answer to a grant.

        :raises GrantRefusedError: when the server has seen a higher token.
        :raises OtherInstanceError: when another server has the address.
        :raises ValueError: on any other unsuccessful answer.
        """

    @abstractmethod
    def read_release(self, answer: WireAnswer) -> str:
        """Return the handover from the answer to a release.

        :raises OtherInstanceError: when another server has the address.
        :raises ValueError: on any other unsuccessful answer.
        """
