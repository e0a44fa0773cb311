"""Roles, actions and errors of a replica, and what a leader knows of others."""

from dataclasses import dataclass
from enum import Enum
from typing import Any

from ploverhatch.state.records import ClaimResult
from ploverhatch.transport import wire


class Role(Enum):
    """Part that a replica plays in the current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True)
class Send:
    """Action: send a message to a node; it may be lost."""

    recipient: str
    message: Any


@dataclass(frozen=True)
class Applied:
    """Action: an entry was committed and applied to the state."""

    entry: wire.LogEntry
    result: ClaimResult | None


@dataclass(frozen=True)
class Restored:
    """Action: the state was replaced by a snapshot."""

    snapshot: wire.Snapshot


@dataclass(frozen=True)
class RoleChanged:
    """Action: the replica became or stopped being leader."""

    leading: bool
    term: int


Action = Send | Applied | Restored | RoleChanged


class NotLeaderError(Exception):
    """Only the leader takes proposals; ``leader_id`` may name it."""

    def __init__(self, leader_id: str) -> None:
        super().__init__(leader_id)
        self.leader_id = leader_id


class MembershipPendingError(Exception):
    """An earlier change of the voters is not committed yet."""


@dataclass
class Progress:
    """What a leader knows of one follower or learner."""

    next_index: int
    match_index: int = 0
    acknowledged_ms: float = float("-inf")  # newest heartbeat sent and answered
    last_reply_ms: float = float("-inf")
    in_flight_index: int = 0  # last index of the batch on its way, zero when none
    sent_ms: float = float("-inf")
