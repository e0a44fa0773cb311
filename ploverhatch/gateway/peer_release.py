"""Has another node ask a server to release keys, while the leader's own link to it is cut.

Without it, keys whose holder only other nodes reach would wait until the holder's lease expires.
A release is safe over any path: it names the new, higher token, and only ends holds. Grants and
renewals are not sent this way, since only a connection of the leader's own shows that the same
incarnation of the server still answers.
"""

import random
from collections.abc import Callable, Collection

import gevent
import msgspec

from ploverhatch.common.logs import PartLogger
from ploverhatch.gateway.dialect import Dialect, ReleaseCall
from ploverhatch.gateway.messages import CallerReply, CallerRequest
from ploverhatch.gateway.peer_connections import Node, PeerConnections
from ploverhatch.gateway.server_control import CONNECT_TIMEOUT_S, RELEASE_TIMEOUT_S, ServerControl
from ploverhatch.sharding.keymap import Holder
from ploverhatch.sharding.messages import CallOutcome
from ploverhatch.state.server_notices import ServerNotice
from ploverhatch.transport.http_connection import AnswerCutError, NotConnectedError

LOG = PartLogger("peer")

PATH_PART = b"releases"
TIMEOUT_S = CONNECT_TIMEOUT_S + RELEASE_TIMEOUT_S


class RelayedRelease(msgspec.Struct, array_like=True, frozen=True):
    """A release of the keys ``first`` to ``last`` at a token, and the server to send it to."""

    server_id: str
    host: str
    port: int
    first: int
    last: int
    token: int


class ReleaseOutcome(msgspec.Struct, array_like=True, frozen=True):
    """The outcome of a relayed release, and the server's handover value; empty for none."""

    outcome: str
    handover: str = ""


class PeerRelease:
    """Sends releases through other nodes.

    :param nodes: returns the nodes that are known to reach servers.
    """

    def __init__(self, nodes: Callable[[], Collection[Node]], connections: PeerConnections) -> None:
        self._nodes = nodes
        self._connections = connections

    def release(self, holder: Holder, call: ReleaseCall) -> tuple[CallOutcome, str]:
        """Have another node release keys; return the outcome and the handover value."""
        nodes = sorted(self._nodes())
        if not nodes:
            return CallOutcome.NO_ANSWER, ""
        node = random.choice(nodes)
        item = RelayedRelease(
            holder.server_id, holder.host, holder.port, call.first, call.last, call.token
        )
        body = msgspec.msgpack.encode(item)
        try:
            connection = self._connections.take(node)
            with gevent.Timeout(TIMEOUT_S):
                answer = self._connections.exchange(connection, PATH_PART, body)
            self._connections.keep(node, connection)
            outcome = msgspec.msgpack.decode(answer.body, type=ReleaseOutcome)
            return CallOutcome(outcome.outcome), outcome.handover
        except (NotConnectedError, AnswerCutError, gevent.Timeout, ValueError) as error:
            LOG.info("No outcome of a relayed release.", server=holder.server_id, cause=error)
            return CallOutcome.NO_ANSWER, ""


class RelayedReleases:
    """Carries out releases for the leader.

    :param on_notice: called with the server's id and the statements about itself that it makes
        in an answer.
    """

    def __init__(self, dialect: Dialect, on_notice: Callable[[str, ServerNotice], None]) -> None:
        self._dialect = dialect
        self._on_notice = on_notice

    def answer(self, request: CallerRequest) -> CallerReply:
        """Carry out one release."""
        try:
            item = msgspec.msgpack.decode(request.body, type=RelayedRelease)
        except (ValueError, RecursionError) as error:
            LOG.warning("Relayed release is malformed.", cause=error)
            return CallerReply(400)
        control = ServerControl(
            Holder(item.server_id, item.host, item.port), self._dialect, self._on_notice
        )
        try:
            call = ReleaseCall(item.first, item.last, item.token)
            outcome, handover = control.release(call, lambda: True)
        finally:
            control.close()
        body = msgspec.msgpack.encode(ReleaseOutcome(outcome.value, handover))
        return CallerReply(200, body=body)
