"""What differs between platforms in the requests that pass a gateway."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from ploverhatch.gateway.messages import CallerRequest, HeaderList, RequestFacts
from ploverhatch.routing.attempt_outcome import AttemptResult
from ploverhatch.state.server_notices import ServerNotice
from ploverhatch.transport.http_connection import WireAnswer


class MalformedRequestError(ValueError):
    """The request's header fields are not in the expected form."""


@dataclass(frozen=True, slots=True)
class GrantCall:
    """A lease on keys for one server; ``hold_ms`` counts from its arrival."""

    first: int
    last: int
    token: int
    hold_ms: float
    handover: str = ""


@dataclass(frozen=True, slots=True)
class ReleaseCall:
    """Takes keys back; answered when what ran on them has ended."""

    first: int
    last: int
    token: int


class GrantRefusedError(Exception):
    """The server has seen a higher token on one of the keys."""


class OtherInstanceError(Exception):
    """Another life or another server answered: the one meant has ended."""


class Dialect(ABC):
    """Reads and writes header fields and control calls of one platform."""

    @abstractmethod
    def facts(self, request: CallerRequest) -> RequestFacts:
        """Read a caller's header fields.

        :raises MalformedRequestError: when one has another form.
        """

    @abstractmethod
    def encode_request(self, request: CallerRequest, server_id: str, remaining_ms: float) -> bytes:
        """Return the request as it goes to a server."""

    @abstractmethod
    def classify_answer(
        self, facts: RequestFacts, server_id: str, answer: WireAnswer
    ) -> AttemptResult:
        """Tell what a server's whole answer proves."""

    @abstractmethod
    def notice(self, request_id: bytes, server_id: str, answer: WireAnswer) -> ServerNotice:
        """Read what a server's whole answer says of the server itself.

        :param request_id: of the request; empty for a control call.
        """

    @abstractmethod
    def reply_headers(self, answer: WireAnswer) -> HeaderList:
        """Return the header fields of an answer that go to the caller."""

    @abstractmethod
    def refusal_headers(
        self, facts: RequestFacts | None, retry_after_s: float | None
    ) -> HeaderList:
        """Return header fields of an answer of our own."""

    @abstractmethod
    def encode_grant(self, call: GrantCall, server_id: str, host: str) -> bytes:
        """Return a grant as it goes to a server."""

    @abstractmethod
    def encode_release(self, call: ReleaseCall, server_id: str, host: str) -> bytes:
        """Return a release as it goes to a server."""

    @abstractmethod
    def read_grant(self, answer: WireAnswer) -> None:
        """Check the answer to a grant.

        :raises GrantRefusedError: when a higher token was seen.
        :raises OtherInstanceError: when another server has the address.
        :raises ValueError: on any other answer but success.
        """

    @abstractmethod
    def read_release(self, answer: WireAnswer) -> str:
        """Return the handover from the answer to a release.

        :raises OtherInstanceError: when another server has the address.
        :raises ValueError: on any answer but success.
        """
