"""Roles, actions and errors of a replica, and the state that a leader keeps per follower."""

from dataclasses import dataclass
from enum import Enum
from typing import Any

from ploverhatch.state.records import ClaimResult
from ploverhatch.transport import wire


class Role(Enum):
    """Role of a replica in the current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True)
class Send:
    """Action: send a message to a node; delivery is not guaranteed."""

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
    """A replica that does not lead cannot accept a proposal.

    ``leader_id`` names the leader, or is empty when it is unknown.
    """

    def __init__(self, leader_id: str) -> None:
        super().__init__(leader_id)
        self.leader_id = leader_id


class MembershipPendingError(Exception):
    """A change of the voters is refused, since an earlier entry is not committed yet.

    That entry is either an earlier change of the voters or the first entry of this term.
    """


@dataclass
class Progress:
    """Replication state of one follower or learner, kept by the leader."""

    next_index: int
    match_index: int = 0
    acknowledged_ms: float = float("-inf")  # send time of the newest acknowledged message
    last_reply_ms: float = float("-inf")
    in_flight_index: int = 0  # last index of the batch in flight; zero when there is none
    sent_ms: float = float("-inf")
