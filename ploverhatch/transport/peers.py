"""Connections between nodes: one-way messages and requests with replies.

Only the reader and writer tasks of a connection use its socket; other tasks pass
messages through bounded queues. A frame that is malformed, oversized, or a reply to
no open request is counted; a malformed or oversized frame closes its connection.
"""

import itertools
import socket as stdlib_socket
from collections import Counter
from collections.abc import Callable
from typing import Any

import gevent
from gevent import queue, socket
from gevent.event import AsyncResult
from gevent.server import StreamServer

from ploverhatch.common.logs import PartLogger
from ploverhatch.transport import wire
from ploverhatch.transport.framing import FrameTooLargeError, encode_frame, read_frame
from ploverhatch.transport.registry import MalformedFrameError, pack, unpack

LOG = PartLogger("peers")

SEND_QUEUE_FRAMES = 1024
CONNECT_TIMEOUT_S = 0.5
RECONNECT_DELAY_S = 0.2

Address = tuple[str, int]


class PeerUnreachableError(ConnectionError):
    """A request could not be sent or was not answered in time."""


class PeerRefusedError(PeerUnreachableError):
    """The connection was refused: no process listens at the address."""


def set_no_delay(sock: Any) -> None:
    """Disable Nagle's algorithm, which delays small segments."""
    sock.setsockopt(stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_NODELAY, 1)


class Connection:
    """A connection to a peer, with a writer task, a reader task and open requests."""

    def __init__(self, sock: Any, owner: "PeerNetwork") -> None:
        set_no_delay(sock)
        self._sock = sock
        self._owner = owner
        self._queue: queue.Queue = queue.Queue(SEND_QUEUE_FRAMES)
        self._open_requests: dict[int, AsyncResult] = {}
        self.closed = False
        self._tasks = [gevent.spawn(self._write), gevent.spawn(self._read)]

    def send(self, payload: bytes) -> bool:
        """Queue a frame.

        :returns: whether it was queued: false when the queue is full or the connection closed.
        """
        if self.closed:
            return False
        try:
            self._queue.put_nowait(encode_frame(payload))
        except queue.Full:
            self._owner.counters["queue_full"] += 1
            return False
        return True

    def expect(self, correlation: int) -> AsyncResult:
        """Register an open request; the result holds its reply."""
        result = AsyncResult()
        self._open_requests[correlation] = result
        return result

    def forget(self, correlation: int) -> None:
        """Remove an open request; a later reply to it is counted as late."""
        self._open_requests.pop(correlation, None)

    def close(self) -> None:
        """Close the connection and fail open requests."""
        if self.closed:
            return
        self.closed = True
        self._sock.close()
        open_requests, self._open_requests = self._open_requests, {}
        for result in open_requests.values():
            result.set_exception(PeerUnreachableError("connection closed"))
        self._owner.forget(self)
        gevent.killall(
            [task for task in self._tasks if task is not gevent.getcurrent()], block=False
        )

    def _write(self) -> None:
        try:
            while True:
                frames = [self._queue.get()]
                while not self._queue.empty():
                    frames.append(self._queue.get_nowait())
                self._owner.counters["sent_frames"] += len(frames)
                data = b"".join(frames)
                self._owner.counters["sent_bytes"] += len(data)
                self._sock.sendall(data)
        except OSError:
            self.close()

    def _read(self) -> None:
        try:
            while True:
                data = read_frame(self._sock)
                self._owner.counters["received_frames"] += 1
                self._owner.counters["received_bytes"] += len(data)
                self._dispatch(*unpack(data))
        except (MalformedFrameError, FrameTooLargeError) as error:
            self._owner.counters["malformed_frames"] += 1
            LOG.warning(
                "Connection to a peer closed after a malformed frame.", cause=type(error).__name__
            )
            self.close()
        except OSError:
            self.close()

    def _dispatch(self, envelope: wire.Envelope, message: Any) -> None:
        if envelope.reply:
            result = self._open_requests.pop(envelope.correlation, None)
            if result is None:
                self._owner.counters["late_replies"] += 1
            else:
                result.set((envelope, message))
            return
        self._owner.receive(self, envelope, message)


Handler = Callable[[Connection, wire.Envelope, Any], Any]


class PeerNetwork:
    """The listening socket and the outgoing connections of a node.

    ``handler(connection, envelope, message)`` runs in the reader task for one-way
    messages and in a separate task for requests; for a request, a return value other
    than ``None`` is the reply. Messages for another incarnation of the node are not
    passed to the handler; a request among them is answered with an empty ``StatusReply``.
    """

    def __init__(self, node_id: str, address: Address, handler: Handler) -> None:
        self.node_id = node_id
        self.counters: Counter[str] = Counter()
        self._handler = handler
        self._correlations = itertools.count(1)
        self._outgoing: dict[Address, Connection] = {}
        self._connecting: dict[Address, list[bytes]] = {}
        self._retry_at: dict[Address, float] = {}
        self._connections: set[Connection] = set()
        self._server = StreamServer(address, self._accept)
        self._server.start()

    @property
    def port(self) -> int:
        """Port that the node listens on."""
        return int(self._server.server_port)

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop()
        for connection in list(self._connections):
            connection.close()

    def forget(self, connection: Connection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)
        for address, known in list(self._outgoing.items()):
            if known is connection:
                del self._outgoing[address]

    def _accept(self, sock: Any, _address: Address) -> None:
        connection = Connection(sock, self)
        self._connections.add(connection)
        gevent.joinall(connection._tasks)

    def receive(self, connection: Connection, envelope: wire.Envelope, message: Any) -> None:
        """Pass a received message to the handler."""
        if envelope.recipient and envelope.recipient != self.node_id:
            self.counters["wrong_recipient"] += 1
            if envelope.correlation:
                self._reply(connection, envelope, wire.StatusReply())
            return
        if envelope.correlation:
            gevent.spawn(self._serve, connection, envelope, message)
        else:
            self._handler(connection, envelope, message)

    def _serve(self, connection: Connection, envelope: wire.Envelope, message: Any) -> None:
        answer = self._handler(connection, envelope, message)
        if answer is not None:
            self._reply(connection, envelope, answer)

    def _reply(self, connection: Connection, envelope: wire.Envelope, answer: Any) -> None:
        payload = pack(answer, sender=self.node_id, correlation=envelope.correlation, reply=True)
        connection.send(payload)

    def send(self, address: Address, recipient: str, message: Any) -> None:
        """Send a one-way message without waiting; the message may be lost."""
        payload = pack(message, sender=self.node_id, recipient=recipient)
        connection = self._outgoing.get(address)
        if connection is not None:
            connection.send(payload)
            return
        backlog = self._connecting.get(address)
        if backlog is not None:
            if len(backlog) < SEND_QUEUE_FRAMES:
                backlog.append(payload)
            return
        if self._retry_at.get(address, 0.0) > gevent.get_hub().loop.now():
            return
        self._connecting[address] = [payload]
        gevent.spawn(self._connect_and_flush, address)

    def _connect_and_flush(self, address: Address) -> None:
        connection = None
        try:
            connection = self._connect(address)
        except PeerUnreachableError:
            self._retry_at[address] = gevent.get_hub().loop.now() + RECONNECT_DELAY_S
        finally:
            backlog = self._connecting.pop(address, [])
        if connection is not None:
            for payload in backlog:
                connection.send(payload)

    def _connect(self, address: Address) -> Connection:
        known = self._outgoing.get(address)
        if known is not None and not known.closed:
            return known
        try:
            sock = socket.create_connection(address, timeout=CONNECT_TIMEOUT_S)
        except ConnectionRefusedError as error:
            raise PeerRefusedError(str(error)) from error
        except OSError as error:
            raise PeerUnreachableError(str(error)) from error
        sock.settimeout(None)
        connection = Connection(sock, self)
        self._outgoing[address] = connection
        self._connections.add(connection)
        return connection

    def request(
        self, address: Address, recipient: str, message: Any, timeout_s: float
    ) -> tuple[wire.Envelope, Any]:
        """Send a request and wait for its reply.

        :raises PeerUnreachableError: when the request can't be sent, the connection
            closes, or no reply arrives within ``timeout_s`` seconds. The peer may
            have handled a request that was sent.
        """
        connection = self._connect(address)
        correlation = next(self._correlations)
        result = connection.expect(correlation)
        payload = pack(
            message,
            sender=self.node_id,
            recipient=recipient,
            correlation=correlation,
            deadline_ms=int(timeout_s * 1000),
        )
        if not connection.send(payload):
            connection.forget(correlation)
            raise PeerUnreachableError("send queue full")
        try:
            envelope, reply = result.get(timeout=timeout_s)
        except gevent.Timeout as error:
            connection.forget(correlation)
            raise PeerUnreachableError("no reply in time") from error
        return envelope, reply
