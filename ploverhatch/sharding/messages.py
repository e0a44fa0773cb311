"""Inputs and actions of the leader's core. This module does no I/O and reads no clock."""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from ploverhatch.sharding.keymap import Holder, KeyMap, KeyRange
from ploverhatch.state.servers import ServerRecord


class RangeId(NamedTuple):
    """The identity of a grant: a span of keys at one token. Tokens rise within a service."""

    service: str
    first: int
    last: int
    token: int


def range_id(service: str, item: KeyRange) -> RangeId:
    """Return the identity of the present grant of a service's range."""
    return RangeId(service, item.first, item.last, item.token)


class CallOutcome(Enum):
    """The outcome of a control call to a server."""

    DONE = "done"
    REFUSED = "refused"  # the server has seen a higher token
    OTHER_INSTANCE = "other-instance"  # another incarnation answered, so the addressee has stopped
    NO_ANSWER = "no-answer"  # the server may carry out the call, now or later
    NOT_SENT = "not-sent"  # no byte was sent
    NOT_LISTENING = "not-listening"  # no byte was sent, since the connection was refused
    UNPROVEN = "unproven"  # no byte was sent, since a later incarnation may answer


@dataclass(frozen=True, slots=True)
class ServiceView:
    """The state of one service at the start of a round."""

    records: Sequence[ServerRecord]
    rates: Mapping[int, float] = field(default_factory=dict)  # requests per second by key
    service_ms: Mapping[str, float] = field(default_factory=dict)  # per request, by server
    cold: Collection[str] = ()  # servers that sustain only ``cold_per_s`` requests per second
    cold_per_s: float = 0.0  # 0 means no bound
    unresponsive: Collection[str] = ()  # servers with busy keys that answer no node
    shedding: Collection[str] = ()  # servers that ask for a backoff and answer no node
    limit_per_s: Mapping[str, float] = field(default_factory=dict)  # announced, by server
    speeds: Mapping[str, float] = field(default_factory=dict)  # of servers that surely differ


@dataclass(frozen=True, slots=True)
class StoreMap:
    """Write a key map if the store still has the revision that the map is based on."""

    keymap: KeyMap


class HoldEnd(Enum):
    """Why a server that might hold a range is no longer waited for."""

    RELEASED = "released"
    EXPIRED = "expired"  # its lease has certainly expired
    STOPPED = "stopped"  # another incarnation runs in its place


@dataclass(frozen=True, slots=True)
class SendGrant:
    """Send a grant of a range, or a renewal of one.

    ``handover`` is the text that the previous holder answered its release with. ``ended`` names
    the servers that were waited for before the grant, and why each is no longer.
    """

    holder: Holder
    range_id: RangeId
    handover: str
    renewal: bool
    ended: Mapping[str, HoldEnd] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class SendRelease:
    """Ask a server that may hold a range to release it."""

    holder: Holder
    range_id: RangeId


@dataclass(frozen=True, slots=True)
class ForgetServer:
    """Drop a server that has certainly stopped, even if the store still has its record."""

    server_id: str


@dataclass(frozen=True, slots=True)
class Resign:
    """Release the leader's lease, since this node seems to be cut off from the servers.

    ``confirmed`` means that another node does reach servers.
    """

    confirmed: bool = False


@dataclass(frozen=True, slots=True)
class StepDown:
    """Stop leading at once, since a newer leader has made grants."""


Action = StoreMap | SendGrant | SendRelease | ForgetServer | Resign | StepDown
