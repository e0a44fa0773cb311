"""What the leader of the keys is told, and what it asks for. Pure."""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from ploverhatch.sharding.keymap import Holder, KeyMap, KeyRange
from ploverhatch.state.servers import ServerRecord


class RangeId(NamedTuple):
    """Names one grant: a span of keys at one token. Tokens rise within a service."""

    service: str
    first: int
    last: int
    token: int


def range_id(service: str, item: KeyRange) -> RangeId:
    """Return the name of a range of a service."""
    return RangeId(service, item.first, item.last, item.token)


class CallOutcome(Enum):
    """How a control call to a server ended."""

    DONE = "done"
    REFUSED = "refused"  # a higher token was seen
    OTHER_INSTANCE = "other-instance"  # the server meant has ended
    NO_ANSWER = "no-answer"  # it may be carried out, now or later
    NOT_SENT = "not-sent"  # nothing left this node
    NOT_LISTENING = "not-listening"  # nothing left: no process has the server's port
    UNPROVEN = "unproven"  # nothing left: another life of the server may answer


@dataclass(frozen=True, slots=True)
class ServiceView:
    """What is known of one service when a round begins."""

    records: Sequence[ServerRecord]
    rates: Mapping[int, float] = field(default_factory=dict)  # requests a second by key
    service_ms: Mapping[str, float] = field(default_factory=dict)  # per request, by server
    cold: Collection[str] = ()  # servers that sustain ``cold_per_s`` requests a second
    cold_per_s: float = 0.0  # 0: no bound
    unresponsive: Collection[str] = ()  # servers whose keys are busy, and that answer nobody
    shedding: Collection[str] = ()  # servers that ask for rest, and answer nobody
    limit_per_s: Mapping[str, float] = field(default_factory=dict)  # by server that names one


@dataclass(frozen=True, slots=True)
class StoreMap:
    """Write a key map, if the store has the revision it is based on."""

    keymap: KeyMap


@dataclass(frozen=True, slots=True)
class SendGrant:
    """Grant or renew a range."""

    holder: Holder
    range_id: RangeId
    handover: str
    renewal: bool


@dataclass(frozen=True, slots=True)
class SendRelease:
    """Take a range back from a server that may hold it."""

    holder: Holder
    range_id: RangeId


@dataclass(frozen=True, slots=True)
class ForgetServer:
    """The server has surely ended, whatever its record says."""

    server_id: str


@dataclass(frozen=True, slots=True)
class Resign:
    """Let another node lead: this one seems to be cut off from the servers."""


@dataclass(frozen=True, slots=True)
class StepDown:
    """A newer leader has been at work: this one must stop at once."""


Action = StoreMap | SendGrant | SendRelease | ForgetServer | Resign | StepDown
