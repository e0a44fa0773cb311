"""Nodes in one process, each with links of its own to the upstreams, which a test cuts.

Each node reaches an upstream at a port that no other node uses. The states of
:class:`tests.standin.links.Links` then apply to one node's links only.
"""

from contextlib import suppress
from socket import SHUT_RDWR

import gevent

from ploverhatch.gateway.caller_server import CallerServer
from ploverhatch.gateway.links import LinkMonitor
from ploverhatch.gateway.upstreams import UpstreamPool
from ploverhatch.routing.link_messages import LinkQuery
from ploverhatch.routing.route_table import ClientLimits
from ploverhatch.state.servers import ServerRecord
from ploverhatch.transport import http_connection
from ploverhatch.transport.http_connection import HostPort
from tests.standin.links import Links, LinkSocket, LinkState

MESSAGE_S = 0.001  # between nodes
PLAIN = "plain"


def until(condition, limit_s=5.0):
    with gevent.Timeout(limit_s):
        while not condition():
            gevent.sleep(0.01)


class Network:
    """The nodes, and the states of their links to upstreams.

    :param monkeypatch: has the connections of this process obey the states.
    """

    def __init__(self, monkeypatch):
        self.nodes = []
        self.loses_messages = False
        self._links = Links()
        self._states = {}
        monkeypatch.setattr(LinkSocket, "links", self._links)
        monkeypatch.setattr(http_connection.socket, "socket", LinkSocket)

    def deliver(self, sender, message, address):
        """Pass a message to a node, unless messages are lost."""
        if self.loses_messages:
            return
        for node in self.nodes:
            if node.address == address:
                handle = (
                    node.monitor.handle_query
                    if isinstance(message, LinkQuery)
                    else node.monitor.handle_reply
                )
                gevent.spawn_later(MESSAGE_S, handle, message, sender)

    def set_state(self, port, state):
        self._states[port] = state
        self._links.set_states(self._states)

    def end_upstream(self, upstream):
        """End an upstream, so that all nodes are refused at its ports."""
        upstream.crash()
        for node in self.nodes:
            node.close_port(upstream)

    def close(self):
        for node in self.nodes:
            node.close()


class LinkedNode:
    """A node's links, their monitor, and the messages that it sends."""

    def __init__(self, network, address, pool=None):
        self.network = network
        self.address = address
        self.pool = pool or UpstreamPool("z1")
        self.records = {}
        self.sent = []
        self.ports = {}  # servers of this node's ports, by server id
        self.monitor = LinkMonitor(self.pool, self.other_nodes, self._send)
        self._task = None
        network.nodes.append(self)

    def other_nodes(self):
        return [node.address for node in self.network.nodes if node is not self]

    def _send(self, message, address):
        self.sent.append(message)
        self.network.deliver(self.address, message, address)

    def run(self):
        """Run the monitor from now on."""
        self._task = gevent.spawn(self.monitor.run)

    def link(self, upstream, service=PLAIN):
        """Open a port of an upstream for this node; return the upstream's record."""
        server = CallerServer(HostPort("127.0.0.1", 0), upstream.handle, ClientLimits)
        server.start()
        name = upstream.server_id
        self.ports[name] = server
        record = ServerRecord(name, service, "127.0.0.1", server.port, "z1", 4, False)
        self.records[name] = record
        self.pool.sync(self.records)
        return record

    def cut(self, state, *upstreams):
        """Set the state of the links to some upstreams, or to all."""
        names = [upstream.server_id for upstream in upstreams] or list(self.ports)
        for name in names:
            self.network.set_state(self.ports[name].port, state)

    def heal(self):
        self.cut(LinkState.UP)

    def connect(self, upstream, timeout_s=0.1):
        """Connect to an upstream as for a request; tell the monitor of the outcome."""
        known = self.pool.get(upstream.server_id)
        try:
            known.release(known.connection(timeout_s))
        except http_connection.NotConnectedError as error:
            self.monitor.note_unreached(known, error.refused)
            return False
        self.monitor.note_reached(known)
        return True

    def has_ended(self, upstream, timeout_s=0.5):
        return self.monitor.has_ended(self.pool.get(upstream.server_id), timeout_s)

    def open_connections(self, upstream):
        return self.ports[upstream.server_id].open_connections

    def close_port(self, upstream):
        server = self.ports.get(upstream.server_id)
        if server is not None:
            server.stop()
            for connection in list(server._connections):
                with suppress(OSError):
                    connection._socket.shutdown(SHUT_RDWR)

    def close(self):
        if self._task is not None:
            self._task.kill()
        for server in self.ports.values():
            server.stop()
