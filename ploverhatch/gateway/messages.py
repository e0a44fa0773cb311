"""Typed messages between the parts of a gateway process."""

from dataclasses import dataclass, field

HeaderList = list[tuple[bytes, bytes]]


@dataclass(slots=True, eq=False)
class CallerRequest:
    """A caller's whole request; times are elapsed milliseconds."""

    method: bytes
    target: bytes  # path and query as they were sent
    headers: HeaderList
    body: bytes
    received_ms: float  # when its first byte was read
    caller: bytes = b""  # address of the other end of its connection, without the port
    request_id: str = "-"  # by which logs know it, once its header fields are understood

    @property
    def path(self) -> bytes:
        """The target without its query."""
        return self.target.partition(b"?")[0]


@dataclass(slots=True)
class CallerReply:
    """What the caller gets."""

    status: int
    headers: HeaderList = field(default_factory=list)
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """What a request's header fields say."""

    host: bytes
    request_id: bytes
    deadline_ms: float | None
    shard_key: int | None
    credentials: bytes = b""


class CallerGoneError(BaseException):
    """The caller closed its connection; raised into the task that serves it."""


class DeadlineOverError(BaseException):
    """The request's time passed while the machine was suspended; raised into its task."""
