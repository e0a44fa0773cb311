"""TCP links of a gateway process, which a test cuts and heals while the process runs."""

import errno
import json
import os
from enum import StrEnum
from socket import SHUT_RDWR, SO_LINGER, SOL_SOCKET, socketpair
from struct import pack
from weakref import WeakSet

import gevent
from gevent import socket
from gevent.event import Event

LINKS_VARIABLE = "PLOVERHATCH_TEST_LINKS"  # names the file with the states of cut links
POLL_S = 0.02
_RESET_ON_CLOSE = pack("ii", 1, 0)


class LinkState(StrEnum):
    """What a link does with new connections and with those that it carries."""

    UP = "up"
    SILENT = "silent"  # packets are lost in both directions
    REFUSED = "refused"  # new connections are refused, others are reset
    HALF_OPEN = "half_open"  # new connections are refused, others stay up


REFUSING = {LinkState.REFUSED, LinkState.HALF_OPEN}


def encode_states(states):
    """Return the content of a states file; the states are given by destination port."""
    return json.dumps(states)


class Links:
    """The state of each link, by the port that it leads to; other links are up."""

    def __init__(self):
        self._states = {}
        self._changed = Event()
        self._sockets = WeakSet()
        self._orphans = []  # (port, file descriptor) of connections closed while silent
        self._event_free = socketpair()
        self._text = ""

    @property
    def event_free_fd(self):
        """A file descriptor on which ``poll`` never reports an event."""
        return self._event_free[0].fileno()

    def state(self, port):
        return self._states.get(port, LinkState.UP)

    def is_silent(self, port):
        return self.state(port) is LinkState.SILENT

    def add(self, sock):
        self._sockets.add(sock)

    def add_orphan(self, port, fd):
        """Keep a connection open for its peer, which can't learn that it was closed."""
        self._orphans.append((port, fd))

    def set_states(self, states):
        """Replace the states of all links."""
        self._states = dict(states)
        for sock in list(self._sockets):
            if self.state(sock.peer_port) is LinkState.REFUSED:
                sock.reset()
        for port, fd in self._orphans:
            if not self.is_silent(port):
                os.close(fd)
        self._orphans = [orphan for orphan in self._orphans if self.is_silent(orphan[0])]
        changed, self._changed = self._changed, Event()
        changed.set()

    def await_delivery(self, port):
        """Wait while a link is silent."""
        while self.is_silent(port):
            self._changed.wait()

    def read(self, path):
        """Take the states from a file if it has changed."""
        text = path.read_text()
        if text == self._text:
            return
        self._text = text
        print(f"Links that are cut: {text}", flush=True)
        self.set_states({int(port): LinkState(name) for port, name in json.loads(text).items()})

    def follow(self, path):
        while True:
            self.read(path)
            gevent.sleep(POLL_S)


class LinkSocket(socket.socket):
    """A TCP socket whose outgoing connection depends on the state of its link.

    Bytes sent over a silent link are lost, and a connection that lost bytes carries none later.
    Bytes of the peer arrive once the link is up again, like retransmitted ones. The methods that
    the gateway doesn't use for HTTP connections, such as ``recv_into``, ignore the state.
    """

    links = Links()

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.peer_port = None  # set once connected
        self._was_reset = False
        self._lost_bytes = False

    def connect(self, address):
        port = address[1]
        with gevent.Timeout(self.timeout, TimeoutError("timed out")):
            self.links.await_delivery(port)
        if self.links.state(port) in REFUSING:
            raise ConnectionRefusedError(errno.ECONNREFUSED, os.strerror(errno.ECONNREFUSED))
        super().connect(address)
        self.peer_port = port
        self.links.add(self)

    def send(self, data, *args, **kwargs):
        """Send bytes; ``sendall`` calls this too."""
        self._raise_if_reset()
        self._lost_bytes = self._lost_bytes or self.links.is_silent(self.peer_port)
        if self._lost_bytes:
            return len(data)
        return super().send(data, *args, **kwargs)

    def recv(self, *args):
        # ``finally`` would also wait after a timeout of the reading task.
        try:
            data = super().recv(*args)
        except OSError:
            self._await_delivery()
            raise
        self._await_delivery()
        return data

    def fileno(self):
        """Return the descriptor to poll, which shows no events while the link is silent."""
        fd = super().fileno()
        return self.links.event_free_fd if fd >= 0 and self._is_silent else fd

    def close(self):
        fd = super().fileno()
        if fd >= 0 and self._is_silent:
            self.links.add_orphan(self.peer_port, os.dup(fd))
        super().close()

    def reset(self):
        """Break the connection, for both ends."""
        if super().fileno() < 0 or self._was_reset:
            return
        self._was_reset = True
        self._sock.setsockopt(SOL_SOCKET, SO_LINGER, _RESET_ON_CLOSE)
        try:
            self._sock.shutdown(SHUT_RDWR)
        except OSError as error:
            if error.errno != errno.ENOTCONN:  # the peer has closed it already
                raise

    @property
    def _is_silent(self):
        return self.links.is_silent(self.peer_port)

    def _await_delivery(self):
        self.links.await_delivery(self.peer_port)
        self._raise_if_reset()

    def _raise_if_reset(self):
        if self._was_reset:
            raise ConnectionResetError(errno.ECONNRESET, os.strerror(errno.ECONNRESET))
