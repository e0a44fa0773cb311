"""Sends a request on through another node while this node's links to servers are cut.

The other node serves the request like one of its own callers: it chooses the server, holds the
slot and enforces the deadline, which both nodes compute from the same header fields and the
request's age. It doesn't send the request on again. The retry budget counts the request once, at
the node that sends it to servers first. A caller that disconnects ends the request there too,
since the connection between the nodes is reset.
"""

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import gevent
import msgspec

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.logs import PartLogger
from ploverhatch.common.results import NOT_RUN_STATUSES
from ploverhatch.gateway.call import Call
from ploverhatch.gateway.links import LinkMonitor
from ploverhatch.gateway.messages import CallerReply, CallerRequest, ForwardingNode
from ploverhatch.gateway.peer_connections import Node, PeerConnections
from ploverhatch.routing.gateway_attempts import AttemptHistory, AttemptResult
from ploverhatch.transport.buffers import Buffer
from ploverhatch.transport.http_connection import (
    MAX_BODY_BYTES,
    AnswerCutError,
    NotConnectedError,
)

LOG = PartLogger("peer")

PATH_PART = b"requests"
MAX_NODES_ASKED = 3  # For one request; nodes that are cut off themselves decline at once.
SKIPPED_MS = 1000.0  # How long a node is skipped that accepted no connection, or declined.
# With these a node answers a call that none of its handlers has begun to serve.
UNHANDLED_STATUSES = frozenset({400, 404, 408, 413, 431, 503})
# The other node's own answer at the deadline is awaited for this much longer.
REPLY_MARGIN_S = 0.05


class ForwardedRequest(msgspec.Struct, array_like=True, frozen=True):
    """A caller's request as it is sent on.

    ``age_ms`` is the time since its first byte was read; ``version`` that of the sender's
    configuration. ``arrivals`` is the number of attempts that may have reached a server, and
    ``counted`` says whether the sender's retry budget has counted the request.
    ``may_have_run`` says whether one of the attempts may have run it; earlier versions don't say.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    caller: bytes
    age_ms: float
    version: int
    arrivals: int = 0
    counted: bool = False
    may_have_run: bool | None = None

    @property
    def sender(self) -> ForwardingNode:
        """What the node that sent the request on has done for it."""
        unknown = self.may_have_run is None
        may_have_run = self.arrivals > 0 if unknown else bool(self.may_have_run)
        return ForwardingNode(self.arrivals, self.counted, may_have_run)


class ForwardedReply(msgspec.Struct, array_like=True, frozen=True):
    """The answer for the caller.

    ``declined`` says that nothing was done; ``unreached`` that the request was refused since no
    server could be reached.
    """

    status: int = 0
    headers: list[tuple[bytes, bytes]] = []
    body: bytes = b""
    declined: bool = False
    unreached: bool = False


_DECLINED = ForwardedReply(declined=True)


@dataclass(frozen=True, slots=True)
class Forwarding:
    """The outcome of sending a request on.

    ``reply`` is the answer for the caller, or ``None`` without one. ``lost`` says whether a node
    that gave no answer may have run the request.
    """

    reply: CallerReply | None = None
    lost: bool = False


class PeerForwarder:
    """Sends requests on to other nodes.

    :param nodes: returns the zones of the other known nodes, by address.
    :param zone: zone of this node. Nodes there are preferred, since traffic between zones costs.
    """

    def __init__(
        self,
        links: LinkMonitor,
        nodes: Callable[[], Mapping[Node, str]],
        zone: str,
        connections: PeerConnections,
    ) -> None:
        self._links = links
        self._nodes = nodes
        self._zone = zone
        self._connections = connections
        self._skipped_until_ms: dict[Node, float] = {}

    def forward(self, call: Call, history: AttemptHistory, counted: bool) -> Forwarding:
        """Send a request on, to one node after another until one takes it.

        :param counted: whether this node's retry budget has counted the request.
        """
        refused: CallerReply | None = None
        for node in self._candidates():
            if call.remaining_ms <= 0:
                break
            start_ms = elapsed_ms()
            reply, result, buffer = self._ask(node, call, history, counted)
            call.trace.note_forwarding(f"{node[0]}:{node[1]}", result, start_ms, elapsed_ms())
            if reply is None or reply.declined:
                self._skipped_until_ms[node] = elapsed_ms() + SKIPPED_MS
            if result in {AttemptResult.LOST, AttemptResult.TIMED_OUT}:
                return Forwarding(lost=True)
            if reply is None or reply.declined:
                continue
            answer = CallerReply(reply.status, list(reply.headers), reply.body, buffer=buffer)
            if not reply.unreached:
                self._links.note_node(node, reaches_servers=True)
                return Forwarding(answer)
            refused = answer
        return Forwarding(refused)

    def _candidates(self) -> list[Node]:
        """Return the nodes to ask: those that reach servers first, and near ones before others."""
        now_ms = elapsed_ms()
        self._skipped_until_ms = {
            node: end_ms for node, end_ms in self._skipped_until_ms.items() if end_ms > now_ms
        }
        zones, reaching = self._nodes(), self._links.reaching_nodes()
        avoided = self._links.cut_nodes() | self._skipped_until_ms.keys()
        usable = [node for node in zones if node not in avoided]
        random.shuffle(usable)
        usable.sort(key=lambda node: (node not in reaching, zones[node] != self._zone))
        return usable[:MAX_NODES_ASKED]

    def _ask(
        self, node: Node, call: Call, history: AttemptHistory, counted: bool
    ) -> tuple[ForwardedReply | None, AttemptResult, Buffer | None]:
        """Send a request to one node.

        :returns: its reply, if any, the outcome, and what accounts for the reply's memory.
        """
        try:
            connection = self._connections.take(node)
        except NotConnectedError:
            return None, AttemptResult.NOT_CONNECTED, None
        body = _encode(call, history, counted)
        call.trace.execution.note_send()
        try:
            with gevent.Timeout(max(0.0, call.remaining_ms) / 1000 + REPLY_MARGIN_S):
                answer = self._connections.exchange(connection, PATH_PART, body, MAX_BODY_BYTES)
        except gevent.Timeout:
            return None, AttemptResult.TIMED_OUT, None
        except AnswerCutError:
            return None, AttemptResult.LOST, None
        self._connections.keep(node, connection)
        if answer.status in UNHANDLED_STATUSES:
            call.trace.execution.note_not_run()
            return _DECLINED, AttemptResult.DECLINED, None
        try:
            reply = msgspec.msgpack.decode(answer.body, type=ForwardedReply)
        except (ValueError, RecursionError) as error:
            LOG.warning("Forwarded answer is malformed.", cause=error)
            return None, AttemptResult.LOST, None
        if reply.declined or reply.status in NOT_RUN_STATUSES:
            call.trace.execution.note_not_run()
        if reply.declined:
            return reply, AttemptResult.DECLINED, None
        result = AttemptResult.NOT_CONNECTED if reply.unreached else AttemptResult.ANSWERED
        return reply, result, answer.buffer


def _encode(call: Call, history: AttemptHistory, counted: bool) -> bytes:
    """Return the body of the call that sends a request on."""
    request = call.request
    return msgspec.msgpack.encode(
        ForwardedRequest(
            request.method,
            request.target,
            request.headers,
            request.body,
            request.caller,
            elapsed_ms() - request.received_ms,
            call.trace.version,
            history.arrivals,
            counted,
            history.may_have_run,
        )
    )


class ForwardedRequests:
    """Serves requests that other nodes send on to this one.

    :param handle: serves a caller's request.
    :param version: returns the version of this node's configuration.
    :param accepts: whether this node takes requests of other nodes now.
    """

    def __init__(
        self,
        handle: Callable[[CallerRequest], CallerReply],
        version: Callable[[], int],
        accepts: Callable[[], bool],
    ) -> None:
        self._handle = handle
        self._version = version
        self._accepts = accepts

    def answer(self, call: CallerRequest) -> CallerReply:
        """Serve one request of another node."""
        try:
            item = msgspec.msgpack.decode(call.body, type=ForwardedRequest)
        except (ValueError, RecursionError) as error:
            LOG.warning("Forwarded request is malformed.", cause=error)
            return CallerReply(400)
        # An older configuration here would make the caller's node seem to return to it.
        if not self._accepts() or self._version() < item.version:
            return CallerReply(200, body=msgspec.msgpack.encode(_DECLINED))
        request = CallerRequest(
            item.method,
            item.target,
            item.headers,
            item.body,
            elapsed_ms() - item.age_ms,
            item.caller,
            forwarded_by=item.sender,
        )
        reply = self._handle(request)
        body = ForwardedReply(reply.status, reply.headers, reply.body, unreached=reply.unreached)
        return CallerReply(200, body=msgspec.msgpack.encode(body))
