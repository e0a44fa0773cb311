"""Replica of the log: elections, replication, membership and snapshots.

The algorithm is Raft's (Ongaro 2014) with pre-vote, check-quorum, leadership
transfer and membership changes of one voter at a time. It is adapted to processes
without disks:

* Term, vote and log are kept in memory only. A restarted process has a new
  ``node_id`` and joins as a learner, so a node never votes twice in one term.
* A leader may act on its leadership only while :meth:`Replica.has_lease` is true,
  that is, while a majority has acknowledged messages sent less than a leader lease
  ago. The leader lease is shorter than the election timeout, and each voter refuses
  to elect another leader for an election timeout after it heard from its leader.

This module does no I/O and reads no clock: events carry ``now_ms`` (elapsed
milliseconds), and actions are returned.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import xxhash

from ploverhatch.common.timing import ControlTiming
from ploverhatch.consensus.actions import (
    Action,
    Applied,
    MembershipPendingError,
    NotLeaderError,
    Progress,
    Restored,
    Role,
    RoleChanged,
    Send,
)
from ploverhatch.consensus.log import MemoryLog
from ploverhatch.state.commands import RECORD_KINDS, Command, make_entry
from ploverhatch.state.replicated import ReplicatedState, restore
from ploverhatch.transport import wire

MAX_ENTRIES_PER_APPEND = 256
COMPACT_AFTER_ENTRIES = 4096
KEPT_ENTRIES = 1024
LEARNER_SLACK_ENTRIES = 32


@dataclass
class Replica:
    """A replica; ``state`` is the applied state, and ``log`` holds the uncompacted entries."""

    node_id: str
    timing: ControlTiming
    state: ReplicatedState = field(default_factory=ReplicatedState)

    def __post_init__(self) -> None:
        self._reset(self.state)

    def _reset(self, state: ReplicatedState) -> None:
        """Reset to the state of a new process whose applied state is ``state``."""
        self.state = state
        self.epoch = state.epoch
        self.log = MemoryLog(state.index, state.term)
        self.term: int = state.term
        self.role = Role.FOLLOWER
        self.leader_id = ""
        self.commit_index: int = state.index
        self._voted_for = ""
        self._votes: set[str] = set()
        self._progress: dict[str, Progress] = {}
        self._learners: dict[str, wire.Member] = {}
        self._membership: wire.MembershipChange = state.membership
        self._membership_index: int = state.index
        self._leader_contact_ms = float("-inf")
        self._election_due_ms = float("inf")
        self._heartbeat_due_ms = float("-inf")
        self._clock_base_ms = 0.0
        self._first_index_of_term: int = 0
        self._actions: list[Action] = []

    # ---- views --------------------------------------------------------------

    @property
    def voters(self) -> dict[str, wire.Member]:
        """Voters by node id, as of the newest membership entry."""
        return {member.node_id: member for member in self._membership.voters}

    @property
    def is_voter(self) -> bool:
        """Whether this replica is a voter."""
        return self.node_id in self.voters

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads its term (see also ``has_lease``)."""
        return self.role is Role.LEADER

    def has_lease(self, now_ms: float) -> bool:
        """Tell whether this replica leads and no other leader can exist at ``now_ms``."""
        if self.role is not Role.LEADER:
            return False
        acknowledged = sorted(
            (self._acknowledged(node_id, now_ms) for node_id in self.voters), reverse=True
        )
        quorum_ms = acknowledged[self._majority() - 1]
        return now_ms < quorum_ms + self.timing.leader_lease_ms

    def ready(self) -> bool:
        """Tell whether this replica leads and has applied an entry of its own term.

        Before that, its state may lack commands that earlier leaders committed.
        """
        return self.is_leader and self.state.index >= self._first_index_of_term

    def since_reply_ms(self, node_id: str, now_ms: float) -> float:
        """Return the milliseconds since a voter or learner last replied to this leader."""
        progress = self._progress.get(node_id)
        return now_ms - progress.last_reply_ms if progress else float("inf")

    @property
    def learner_ids(self) -> list[str]:
        """Ids of the nodes that receive the log and do not vote."""
        return list(self._learners)

    def caught_up_learners(self) -> list[wire.Member]:
        """Return the learners that lack at most ``LEARNER_SLACK_ENTRIES`` entries."""
        return [
            member
            for node_id, member in self._learners.items()
            if self._progress[node_id].match_index + LEARNER_SLACK_ENTRIES >= self.log.last_index
            and self._progress[node_id].match_index > 0
        ]

    def membership_settled(self) -> bool:
        """Tell whether the newest membership entry is committed."""
        return self._membership_index <= self.commit_index

    # ---- events -------------------------------------------------------------

    def start(self, now_ms: float) -> list[Action]:
        """Start the election timer, which has an effect only on voters."""
        self._reset_election(now_ms)
        return self._pop_actions()

    def bootstrap(self, membership: wire.MembershipChange, now_ms: float) -> list[Action]:
        """Found a cell whose only voter is this replica.

        The caller must have won the epoch by compare-and-set on the platform.
        """
        self.epoch = membership.epoch
        self._membership = membership
        self.state.membership = membership
        self._become_candidate(now_ms, transfer=False)
        self._append(membership, now_ms)
        self._advance_commit(now_ms)
        return self._pop_actions()

    def found_next_epoch(self, membership: wire.MembershipChange, now_ms: float) -> list[Action]:
        """Found the next epoch as a surviving voter of the last one.

        Entries that are not known to be committed are kept, since the dead leader may
        have committed and acknowledged them after this replica stored them. They count as entries
        of the new epoch, and joining nodes receive them by snapshot, so that every
        replica computes the same tokens.
        """
        self.state.membership = membership
        self.commit_index = self.log.last_index
        self._apply_committed()
        self.log.compact(self.commit_index)
        return self.bootstrap(membership, now_ms)

    def tick(self, now_ms: float) -> list[Action]:
        """Start an election, send heartbeats or step down, if that is due at ``now_ms``."""
        if self.role is Role.LEADER:
            self._tick_leader(now_ms)
        elif self.is_voter and now_ms >= self._election_due_ms:
            self._become_pre_candidate(now_ms)
        return self._pop_actions()

    def receive(self, sender: str, message: Any, now_ms: float) -> list[Action]:
        """Handle a message of another replica; messages of older epochs are dropped."""
        if message.epoch < self.epoch:
            return []
        if message.epoch > self.epoch:
            self._enter_epoch(message.epoch)
        match message:
            case wire.VoteRequest():
                self._on_vote_request(sender, message, now_ms)
            case wire.VoteReply():
                self._on_vote_reply(sender, message, now_ms)
            case wire.AppendRequest():
                self._on_append_request(sender, message, now_ms)
            case wire.AppendReply():
                self._on_append_reply(sender, message, now_ms)
            case wire.SnapshotRequest():
                self._on_snapshot_request(sender, message, now_ms)
            case wire.TimeoutNow():
                self._on_timeout_now(message, now_ms)
        return self._pop_actions()

    def _enter_epoch(self, epoch: int) -> None:
        """Move to a newer epoch and discard the log and vote of the old one.

        The new epoch was founded because the old one lost its quorum, so nothing that
        only this replica stores is needed any more.
        """
        was_leader = self.role is Role.LEADER
        if self.epoch:
            self._reset(ReplicatedState())
        self.epoch = epoch
        if was_leader:
            self._actions.append(RoleChanged(False, self.term))

    def propose(self, commands: Iterable[Command], now_ms: float) -> tuple[list[int], list[Action]]:
        """Append commands to the log.

        :returns: the indices of the entries, and actions.
        :raises NotLeaderError: this replica does not lead.
        """
        if not self.is_leader:
            raise NotLeaderError(self.leader_id)
        indices = [self._append(command, now_ms) for command in commands]
        self._replicate_all(now_ms)
        self._advance_commit(now_ms)
        return indices, self._pop_actions()

    def propose_membership(
        self, voters: list[wire.Member], now_ms: float
    ) -> tuple[list[int], list[Action]]:
        """Propose a set of voters, which must differ from the current set by at most one member.

        :returns: the indices of the entries, and actions.
        :raises MembershipPendingError: an earlier change is not committed, or no entry of
            this term is committed yet.
        :raises NotLeaderError: this replica does not lead.
        """
        if not self.membership_settled() or self.commit_index < self._first_index_of_term:
            raise MembershipPendingError
        change = wire.MembershipChange(epoch=self._membership.epoch, voters=voters)
        return self.propose([change], now_ms)

    def add_learner(self, member: wire.Member, now_ms: float) -> list[Action]:
        """Start replicating to a node that may become a voter."""
        if self.is_leader and member.node_id not in self._progress:
            self._learners[member.node_id] = member
            self._progress[member.node_id] = Progress(self.log.last_index + 1, last_reply_ms=now_ms)
            self._replicate(member.node_id, now_ms)
        return self._pop_actions()

    def drop_learner(self, node_id: str) -> None:
        """Stop replicating to a learner."""
        if self._learners.pop(node_id, None):
            self._progress.pop(node_id, None)

    def transfer_leadership(self, now_ms: float) -> list[Action]:
        """Transfer leadership to the voter with the longest log, and step down.

        This replica steps down before the message is sent, so that it no longer acts
        as leader when the other voter is elected.
        """
        others = [node_id for node_id in self.voters if node_id != self.node_id]
        if not self.is_leader or not others:
            return []
        best = max(others, key=lambda node_id: self._progress[node_id].match_index)
        term = self.term
        self._step_down(self.term, now_ms)
        self._post(best, wire.TimeoutNow(term=term))
        return self._pop_actions()

    # ---- elections ----------------------------------------------------------

    def _jitter(self) -> float:
        """Return a number in [0, 1) that depends on the node, the term and the votes."""
        digest = xxhash.xxh3_64_intdigest(f"{self.node_id}/{self.term}/{len(self._votes)}".encode())
        return float((digest % 1000) / 1000)

    def _reset_election(self, now_ms: float) -> None:
        self._election_due_ms = now_ms + self.timing.election_ms * (1 + self._jitter())

    def _become_pre_candidate(self, now_ms: float) -> None:
        self.role = Role.PRE_CANDIDATE
        self.leader_id = ""
        self._votes = {self.node_id}
        self._reset_election(now_ms)
        self._request_votes(self.term + 1, pre_vote=True, transfer=False)
        if len(self._votes) >= self._majority():
            self._become_candidate(now_ms, transfer=False)

    def _become_candidate(self, now_ms: float, transfer: bool) -> None:
        self.role = Role.CANDIDATE
        self.term += 1
        self._voted_for = self.node_id
        self.leader_id = ""
        self._votes = {self.node_id}
        self._reset_election(now_ms)
        self._request_votes(self.term, pre_vote=False, transfer=transfer)
        if len(self._votes) >= self._majority():
            self._become_leader(now_ms)

    def _request_votes(self, term: int, pre_vote: bool, transfer: bool) -> None:
        for node_id in self.voters:
            if node_id == self.node_id:
                continue
            request = wire.VoteRequest(
                term=term,
                pre_vote=pre_vote,
                last_index=self.log.last_index,
                last_term=self.log.last_term,
                transfer=transfer,
            )
            self._post(node_id, request)

    def _on_vote_request(self, sender: str, request: wire.VoteRequest, now_ms: float) -> None:
        # A voter that recently heard from its leader ignores the request and its term:
        # the lease of the leader depends on this.
        follows_leader = now_ms - self._leader_contact_ms < self.timing.election_ms
        if not request.transfer and (follows_leader or self.has_lease(now_ms)):
            return
        if request.pre_vote:
            granted = request.term > self.term and self._is_up_to_date(request)
            reply = wire.VoteReply(term=request.term, pre_vote=True, granted=granted)
            self._post(sender, reply)
            return
        if request.term > self.term:
            self._step_down(request.term, now_ms)
        granted = (
            request.term == self.term
            and self._voted_for in {"", sender}
            and self._is_up_to_date(request)
        )
        if granted:
            self._voted_for = sender
            self._reset_election(now_ms)
        self._post(sender, wire.VoteReply(term=self.term, granted=granted))

    def _is_up_to_date(self, request: wire.VoteRequest) -> bool:
        theirs = (request.last_term, request.last_index)
        return theirs >= (self.log.last_term, self.log.last_index)

    def _on_vote_reply(self, sender: str, reply: wire.VoteReply, now_ms: float) -> None:
        if not reply.pre_vote and reply.term > self.term:
            self._step_down(reply.term, now_ms)
            return
        expected = self.term + 1 if reply.pre_vote else self.term
        role = Role.PRE_CANDIDATE if reply.pre_vote else Role.CANDIDATE
        if not reply.granted or self.role is not role or reply.term != expected:
            return
        self._votes.add(sender)
        if len(self._votes & set(self.voters)) < self._majority():
            return
        if reply.pre_vote:
            self._become_candidate(now_ms, transfer=False)
        else:
            self._become_leader(now_ms)

    def _on_timeout_now(self, message: wire.TimeoutNow, now_ms: float) -> None:
        if message.term == self.term and self.is_voter and not self.is_leader:
            self._become_candidate(now_ms, transfer=True)

    def _become_leader(self, now_ms: float) -> None:
        self.role = Role.LEADER
        self.leader_id = self.node_id
        self._learners = {}
        self._progress = {
            node_id: Progress(self.log.last_index + 1, last_reply_ms=now_ms)
            for node_id in self.voters
            if node_id != self.node_id
        }
        self._clock_base_ms = self._newest_clock() - now_ms
        self._first_index_of_term = self._append(None, now_ms)
        self._actions.append(RoleChanged(True, self.term))
        self._heartbeat_due_ms = now_ms
        self._tick_leader(now_ms)
        self._advance_commit(now_ms)

    def _newest_clock(self) -> float:
        """Return the newest replicated clock value, in the log or the state."""
        newest = self.log.slice(self.log.last_index, 1)
        return float(max(self.state.clock_ms, newest[0].clock_ms if newest else 0))

    def _step_down(self, term: int, now_ms: float) -> None:
        was_leader = self.role is Role.LEADER
        if term > self.term:
            self.term = term
            self._voted_for = ""
        self.role = Role.FOLLOWER
        self.leader_id = ""
        self._reset_election(now_ms)
        if was_leader:
            self._learners = {}
            self._progress = {}
            self._actions.append(RoleChanged(False, self.term))

    # ---- replication, as leader ---------------------------------------------

    def _majority(self) -> int:
        return len(self.voters) // 2 + 1

    def _acknowledged(self, node_id: str, now_ms: float) -> float:
        if node_id == self.node_id:
            return now_ms
        progress = self._progress.get(node_id)
        return progress.acknowledged_ms if progress else float("-inf")

    def _append(self, command: Command, now_ms: float) -> int:
        index = self.log.last_index + 1
        clock_ms = max(0, int(self._clock_base_ms + now_ms))
        self.log.append(make_entry(index, self.term, clock_ms, command))
        if isinstance(command, wire.MembershipChange):
            self._adopt_membership(index, command)
        return index

    def _adopt_membership(self, index: int, change: wire.MembershipChange) -> None:
        self._membership = change
        self._membership_index = index
        if not self.is_leader:
            return
        for node_id in self.voters:
            self._learners.pop(node_id, None)
            if node_id != self.node_id:
                self._progress.setdefault(node_id, Progress(self.log.last_index + 1))
        keep = set(self.voters) | set(self._learners)
        self._progress = {key: value for key, value in self._progress.items() if key in keep}

    def _tick_leader(self, now_ms: float) -> None:
        if now_ms < self._heartbeat_due_ms:
            return
        self._heartbeat_due_ms = now_ms + self.timing.heartbeat_ms
        for node_id in list(self._progress):
            self._replicate(node_id, now_ms, heartbeat=True)
        if self._lost_quorum(now_ms):
            self._step_down(self.term, now_ms)

    def _lost_quorum(self, now_ms: float) -> bool:
        """Tell whether fewer than a majority of the voters replied recently (check-quorum)."""
        limit_ms = 2 * self.timing.election_ms
        replied = sum(
            node_id == self.node_id or self.since_reply_ms(node_id, now_ms) < limit_ms
            for node_id in self.voters
        )
        return replied < self._majority()

    def _replicate_all(self, now_ms: float) -> None:
        for node_id in list(self._progress):
            self._replicate(node_id, now_ms)

    def _replicate(self, node_id: str, now_ms: float, heartbeat: bool = False) -> None:
        """Send missing entries to a follower.

        Only one batch is in flight at a time; if no reply comes within a heartbeat
        interval, its entries are sent again. Heartbeats are sent meanwhile without entries.
        A follower that needs compacted entries gets a snapshot instead, and no heartbeats
        while the snapshot is in flight.
        """
        progress = self._progress[node_id]
        stalled = now_ms - progress.sent_ms > self.timing.heartbeat_ms
        if progress.in_flight_index and not stalled and not heartbeat:
            return
        previous = progress.next_index - 1
        previous_term = self.log.term_at(previous)
        if previous_term is None:
            self._send_snapshot(node_id, progress, now_ms)
            return
        send_entries = not progress.in_flight_index or stalled
        count = MAX_ENTRIES_PER_APPEND if send_entries else 0
        entries = self.log.slice(progress.next_index, count)
        request = wire.AppendRequest(
            term=self.term,
            previous_index=previous,
            previous_term=previous_term,
            commit_index=self.commit_index,
            sent_ms=int(now_ms),
            entries=entries,
        )
        if entries:
            progress.in_flight_index = entries[-1].index
            progress.sent_ms = now_ms
        self._post(node_id, request)

    def _send_snapshot(self, node_id: str, progress: Progress, now_ms: float) -> None:
        if progress.in_flight_index and now_ms - progress.sent_ms < self.timing.election_ms:
            return
        progress.in_flight_index = self.state.index
        progress.sent_ms = now_ms
        request = wire.SnapshotRequest(
            term=self.term, sent_ms=int(now_ms), snapshot=self.state.snapshot()
        )
        self._post(node_id, request)

    def _on_append_reply(self, sender: str, reply: wire.AppendReply, now_ms: float) -> None:
        if reply.term > self.term:
            self._step_down(reply.term, now_ms)
            return
        progress = self._progress.get(sender)
        if not self.is_leader or reply.term != self.term or progress is None:
            return
        progress.last_reply_ms = now_ms
        progress.acknowledged_ms = max(progress.acknowledged_ms, float(reply.echo_ms))
        if reply.success:
            progress.match_index = max(progress.match_index, reply.match_index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            if progress.match_index >= progress.in_flight_index:
                progress.in_flight_index = 0
            self._advance_commit(now_ms)
        else:
            progress.in_flight_index = 0
            progress.next_index = max(1, min(progress.next_index - 1, reply.match_index + 1))
        if self.is_leader and progress.next_index <= self.log.last_index:
            self._replicate(sender, now_ms)

    def _advance_commit(self, now_ms: float) -> None:
        matches = sorted(
            (
                self.log.last_index
                if node_id == self.node_id
                else self._progress[node_id].match_index
                for node_id in self.voters
            ),
            reverse=True,
        )
        quorum_index = matches[self._majority() - 1]
        # Counting replicas commits only entries of the current term (Raft, section 5.4.2).
        if quorum_index <= self.commit_index or self.log.term_at(quorum_index) != self.term:
            return
        self.commit_index = quorum_index
        if self._apply_committed():
            self._announce_commit(now_ms)
        if not self.is_voter and self.membership_settled():
            self.role = Role.FOLLOWER
            self.leader_id = ""
            self._actions.append(RoleChanged(False, self.term))

    def _announce_commit(self, now_ms: float) -> None:
        """Send the new commit index at once, since followers feed entries to observers."""
        for node_id in list(self._progress):
            self._replicate(node_id, now_ms, heartbeat=True)

    # ---- replication, as follower -------------------------------------------

    def _follow(self, sender: str, term: int, now_ms: float) -> None:
        if term > self.term or self.role is not Role.FOLLOWER:
            self._step_down(term, now_ms)
        self.leader_id = sender
        self._leader_contact_ms = now_ms
        self._reset_election(now_ms)

    def _on_append_request(self, sender: str, request: wire.AppendRequest, now_ms: float) -> None:
        if request.term < self.term:
            self._post(sender, wire.AppendReply(term=self.term))
            return
        self._follow(sender, request.term, now_ms)
        known = self.log.term_at(request.previous_index)
        compacted = request.previous_index < self.log.base_index
        if not compacted and known != request.previous_term:
            hint = min(self.log.last_index, request.previous_index - 1)
            self._reply_append(sender, request.sent_ms, False, max(hint, self.log.base_index))
            return
        self._store(request.entries)
        match_index = request.previous_index + len(request.entries)
        self._commit_through(min(request.commit_index, match_index))
        self._reply_append(sender, request.sent_ms, True, match_index)

    def _store(self, entries: list[wire.LogEntry]) -> None:
        last_before = self.log.last_index
        dropped = self.log.merge(entries)
        if not dropped and self.log.last_index == last_before:
            return
        newest = self.log.newest_membership()
        if newest is not None:
            self._adopt_membership(*newest)
        elif dropped:
            self._adopt_membership(self.state.index, self.state.membership)

    def _reply_append(self, sender: str, echo_ms: int, success: bool, match_index: int) -> None:
        reply = wire.AppendReply(
            term=self.term, success=success, match_index=match_index, echo_ms=echo_ms
        )
        self._post(sender, reply)

    def _on_snapshot_request(
        self, sender: str, request: wire.SnapshotRequest, now_ms: float
    ) -> None:
        if request.term < self.term:
            self._post(sender, wire.AppendReply(term=self.term))
            return
        self._follow(sender, request.term, now_ms)
        snapshot = request.snapshot
        if snapshot.index > self.commit_index:
            self.state = restore(snapshot)
            self.log = MemoryLog(snapshot.index, snapshot.term)
            self.commit_index = snapshot.index
            self._adopt_membership(snapshot.index, snapshot.membership)
            self._actions.append(Restored(snapshot))
        self._reply_append(sender, request.sent_ms, True, snapshot.index)

    def _commit_through(self, index: int) -> None:
        if index > self.commit_index:
            self.commit_index = min(index, self.log.last_index)
            self._apply_committed()

    def _apply_committed(self) -> bool:
        """Apply entries up to the commit index.

        :returns: whether an applied entry must be sent to observers.
        """
        any_streamed = False
        pending = self.commit_index - self.state.index
        for entry in self.log.slice(self.state.index + 1, pending):
            result = self.state.apply(entry)
            any_streamed = any_streamed or entry.kind not in RECORD_KINDS
            self._actions.append(Applied(entry, result))
        if self.log.last_index - self.log.base_index > COMPACT_AFTER_ENTRIES:
            self.log.compact(max(self.log.base_index, self.state.index - KEPT_ENTRIES))
        return any_streamed

    def _post(self, recipient: str, message: Any) -> None:
        """Queue a message, stamped with the epoch of this replica."""
        message.epoch = self.epoch
        self._actions.append(Send(recipient, message))

    def _pop_actions(self) -> list[Action]:
        actions, self._actions = self._actions, []
        return actions
