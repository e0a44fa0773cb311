"""Chooses the voters: one per zone; a voter that fails or leaves is replaced.

This module does no I/O and reads no clock.
"""

from collections.abc import Collection
from dataclasses import dataclass

from ploverhatch.transport import wire


@dataclass(frozen=True)
class Candidate:
    """A node that reports its status to the leader."""

    member: wire.Member
    leaving: bool


@dataclass(frozen=True)
class VoterView:
    """Input of the choice of voters, as known to the leader.

    ``wanted`` is the number of voters to have, ``nodes`` the nodes that reported recently,
    ``lost`` the voters that did not reply for too long, ``caught_up`` the learners whose
    log is nearly complete, and ``recorded`` the voters that the cell object of the
    platform names.
    """

    leader_id: str
    wanted: int
    voters: dict[str, wire.Member]
    nodes: dict[str, Candidate]
    lost: frozenset[str]
    learners: frozenset[str]
    caught_up: frozenset[str]
    recorded: frozenset[str]


@dataclass(frozen=True)
class AddLearner:
    """Action: start replicating to a node."""

    member: wire.Member


@dataclass(frozen=True)
class ChangeVoters:
    """Action: commit a set of voters that differs from the current set by one member."""

    voters: tuple[wire.Member, ...]


VoterAction = AddLearner | ChangeVoters | None


def recovery_stays_safe(voters: Collection[str], recorded: Collection[str]) -> bool:
    """Tell whether the quorum is certain to be lost once all recorded voters are dead.

    A new epoch may be founded when every voter that the platform records is proven dead,
    so voters that the platform does not know must be a minority.
    """
    unknown = set(voters) - set(recorded)
    return len(unknown) < len(voters) // 2 + 1


def choose_voters(view: VoterView) -> VoterAction:
    """Return the next action towards the wanted number of healthy voters, or ``None``."""
    failing = [
        node_id
        for node_id in view.voters
        if node_id in view.lost or (node_id in view.nodes and view.nodes[node_id].leaving)
    ]
    healthy = [node_id for node_id in view.voters if node_id not in failing]
    if len(view.voters) > view.wanted:
        return _remove(view, failing or _redundant_voters(view, healthy))
    if len(healthy) < view.wanted:
        action = _add_voter(view, healthy)
        if action is not None:
            return action
    leaving = [node_id for node_id in failing if node_id not in view.lost]
    if leaving and len(healthy) >= 1:
        return _remove(view, leaving)
    return None


def _redundant_voters(view: VoterView, healthy: list[str]) -> list[str]:
    """Return the voters, except the leader, whose zone has another healthy voter."""
    zones = [view.voters[node_id].zone for node_id in healthy]
    return [
        node_id
        for node_id in healthy
        if node_id != view.leader_id and zones.count(view.voters[node_id].zone) > 1
    ]


def _add_voter(view: VoterView, healthy: list[str]) -> VoterAction:
    covered = {view.voters[node_id].zone for node_id in healthy}
    candidates = [
        candidate.member
        for node_id, candidate in sorted(view.nodes.items())
        if node_id not in view.voters
        and not candidate.leaving
        and candidate.member.zone not in covered
    ]
    if not candidates:
        return None
    ready = [member for member in candidates if member.node_id in view.caught_up]
    if ready:
        return _change(view, [*view.voters.values(), ready[0]])
    if any(member.node_id in view.learners for member in candidates):
        return None
    return AddLearner(candidates[0])


def _remove(view: VoterView, removable: list[str]) -> VoterAction:
    leader_last = sorted(removable, key=lambda node_id: node_id == view.leader_id)
    if not leader_last:
        return None
    removed = leader_last[0]
    return _change(view, [member for member in view.voters.values() if member.node_id != removed])


def _change(view: VoterView, voters: list[wire.Member]) -> VoterAction:
    voter_ids = [member.node_id for member in voters]
    if not recovery_stays_safe(voter_ids, view.recorded):
        return None
    return ChangeVoters(tuple(voters))
