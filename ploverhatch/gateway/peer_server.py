"""Serves the other nodes over TCP, for what is too long for a datagram."""

from collections.abc import Callable, Mapping

from ploverhatch.gateway.caller_server import CallerServer
from ploverhatch.gateway.messages import CallerReply, CallerRequest
from ploverhatch.gateway.peer_connections import CALL_FIELD
from ploverhatch.routing.route_table import ClientLimits
from ploverhatch.transport.http_connection import HostPort

MAX_CONNECTIONS = 512

PeerHandler = Callable[[CallerRequest], CallerReply]


class PeerServer:
    """Listens for other nodes, and passes each call to the handler of its path.

    :param handlers: handlers by the first part of the path, such as ``b"objects"``.
    """

    def __init__(self, address: HostPort, handlers: Mapping[bytes, PeerHandler]) -> None:
        self._handlers = handlers
        self._server = CallerServer(
            address, self._answer, ClientLimits, max_connections=MAX_CONNECTIONS
        )

    def start(self) -> None:
        """Start listening."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop()

    @property
    def busy(self) -> int:
        """Number of calls being served."""
        return self._server.busy

    def _answer(self, request: CallerRequest) -> CallerReply:
        handler = self._handlers.get(request.path.lstrip(b"/").partition(b"/")[0])
        reply = CallerReply(404) if handler is None else handler(request)
        reply.headers += [item for item in request.headers if item[0].lower() == CALL_FIELD]
        return reply
