"""Client that commits record commands at the leader of the cell, from any node."""

from collections.abc import Callable

import gevent

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.consensus.actions import NotLeaderError
from ploverhatch.node.control import ControlTask
from ploverhatch.state.commands import RecordCommand, encode_command
from ploverhatch.state.records import ClaimResult
from ploverhatch.transport import wire
from ploverhatch.transport.peers import PeerNetwork, PeerUnreachableError

ATTEMPT_TIMEOUT_S = 1.0
RETRY_PAUSE_S = 0.02


class RecordsUnavailableError(ConnectionError):
    """No leader replied in time; the command may have been committed."""


class RecordsClient:
    """Finds the leader and repeats a command until it gets a result.

    Repeating is safe: each command names its claim, and claiming a record again with the
    same claim succeeds.
    """

    def __init__(
        self,
        control: ControlTask,
        network: PeerNetwork,
        find_leader: Callable[[], wire.Member | None],
    ) -> None:
        self._control = control
        self._network = network
        self._find_leader = find_leader

    def submit(
        self, command: RecordCommand, deadline_ms: float
    ) -> tuple[ClaimResult, wire.RecordState]:
        """Commit a command and return the result and the record.

        :param deadline_ms: elapsed time at which the attempts end.
        :raises RecordsUnavailableError: no leader replied by the deadline.
        """
        while True:
            left_s = (deadline_ms - elapsed_ms()) / 1000
            if left_s <= 0:
                raise RecordsUnavailableError("no leader answered")
            answer = self._attempt(command, min(left_s, ATTEMPT_TIMEOUT_S))
            if answer is not None:
                return answer
            gevent.sleep(min(RETRY_PAUSE_S, max(left_s, 0.001)))

    def _attempt(
        self, command: RecordCommand, timeout_s: float
    ) -> tuple[ClaimResult, wire.RecordState] | None:
        if self._control.leads:
            reply = self.serve(command, timeout_s)
        else:
            reply = self._ask_leader(command, timeout_s)
        if reply is None or reply.result in {0, ClaimResult.NOT_LEADER}:
            return None
        return ClaimResult(reply.result), reply.record

    def _ask_leader(self, command: RecordCommand, timeout_s: float) -> wire.RecordReply | None:
        leader = self._find_leader()
        if leader is None:
            return None
        kind, payload = encode_command(command)
        request = wire.RecordRequest(kind=kind, payload=payload)
        address = (leader.host, leader.port)
        try:
            _, reply = self._network.request(address, leader.node_id, request, timeout_s)
        except PeerUnreachableError:
            return None
        return reply if isinstance(reply, wire.RecordReply) else None

    def serve(self, command: RecordCommand, timeout_s: float) -> wire.RecordReply | None:
        """Commit a command at this node; return ``None`` if the result is unknown."""
        try:
            result = self._control.commit(command, timeout_s)
        except NotLeaderError as error:
            return wire.RecordReply(result=ClaimResult.NOT_LEADER, leader_id=error.leader_id)
        except TimeoutError:
            return None
        reply = wire.RecordReply(result=int(result or 0))
        if isinstance(command, wire.RecordClaim):
            record = self._control.replica.state.records.records.get(command.record_id)
            if record is not None:
                reply.record = record
        return reply
