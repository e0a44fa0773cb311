"""Messages between the parts of a gateway process."""

from dataclasses import dataclass, field

from ploverhatch.transport.buffers import Buffer

HeaderList = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class ForwardingNode:
    """What the node that sent a request on has done for it.

    :param arrivals: attempts that may have reached a server.
    :param counted: whether its retry budget has counted the request.
    :param may_have_run: whether one of its attempts may have run the request.
    """

    arrivals: int
    counted: bool
    may_have_run: bool


@dataclass(slots=True, eq=False)
class CallerRequest:
    """A caller's complete request; times are elapsed milliseconds."""

    method: bytes
    target: bytes  # The path and query as they were sent.
    headers: HeaderList
    body: bytes
    received_ms: float  # When its first byte was read.
    caller: bytes = b""  # The caller's address without the port.
    request_id: str = "-"  # The id for logs; set once the header fields are parsed.
    forwarded_by: ForwardingNode | None = None  # Set if another node sent the request on.

    @property
    def path(self) -> bytes:
        """The target without its query."""
        return self.target.partition(b"?")[0]


@dataclass(slots=True)
class CallerReply:
    """The response to a caller."""

    status: int
    headers: HeaderList = field(default_factory=list)
    body: bytes = b""
    unreached: bool = False  # Whether it refuses a request since no server could be reached.
    # Accounts for the memory of the body while the reply exists.
    buffer: Buffer | None = field(default=None, compare=False, repr=False)


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """The values of a request's header fields that the gateway uses."""

    host: bytes
    request_id: bytes
    deadline_ms: float | None
    shard_key: int | None
    credentials: bytes = b""


class CallerGoneError(BaseException):
    """The caller closed its connection; raised in the task that serves it."""


class DeadlineOverError(BaseException):
    """The request's deadline passed during a suspension of the machine; raised in its task."""
