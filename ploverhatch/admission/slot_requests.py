"""Requests for servers' slots, and their results at a group's dispatcher.

Times are elapsed milliseconds of the dispatcher.
"""

import math
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from ploverhatch.admission.silence import Node


class Requester(NamedTuple):
    """Identifies a request by the address of its node and its number there."""

    node: Node
    number: int


class Standing(IntEnum):
    """How a request that can't be in time ranks among such requests; the lowest goes first."""

    KEPT = 0  # Its caller was rejected, and came back when it was told to.
    NEW = 1
    EARLY = 2  # Its caller was rejected, and came back before that.


@dataclass(frozen=True, slots=True)
class CallerAttempt:
    """What identifies a caller's attempt, so that a later one of the same caller is recognized.

    :param content: a digest of what is asked for and of the caller's address.
    :param stated_ms: the deadline that the caller stated, a duration.
    :param deadline_ms: when that deadline passes; the same for all attempts of a caller.
    """

    content: int
    stated_ms: float
    deadline_ms: float


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """A node's request for a slot; times are elapsed milliseconds of the dispatcher."""

    requester: Requester
    priority: int
    useful_until_ms: float  # a slot granted later can't meet the objective
    expires_ms: float  # a slot granted later is of no use
    lease_ms: float
    avoid: str = ""  # the server that failed the request before
    zone: str = ""  # of the node that sent the request
    excluded: frozenset[str] = frozenset()  # servers that the node may not use
    deadline_ms: float = math.inf  # a later answer is of no use
    objective_ms: float = 0.0  # duration of its route's objective; 0 if unknown
    in_time_until_ms: float = math.inf  # a later answer misses the objective
    connected: frozenset[str] = frozenset()  # servers to which the node has an idle connection
    attempt: CallerAttempt | None = None  # None if its caller stated no deadline
    standing: Standing = Standing.NEW
    kind: str = ""  # the name of its route
    guaranteed: bool = False  # a slot is guaranteed to it, whatever others ask for


@dataclass(frozen=True, slots=True)
class SlotGranted:
    """A slot of a server is granted."""

    requester: Requester
    server_id: str


@dataclass(frozen=True, slots=True)
class SlotQueued:
    """The request has a place in the queue."""

    requester: Requester


@dataclass(frozen=True, slots=True)
class SlotRejected:
    """No slot is expected in time; a retry may succeed after ``retry_after_ms``."""

    requester: Requester
    retry_after_ms: float


@dataclass(frozen=True, slots=True)
class NoKnownServer:
    """The dispatcher knows no server of the group: the requester's node decides by itself."""

    requester: Requester


SlotResult = SlotGranted | SlotQueued | SlotRejected | NoKnownServer
