"""Finds out whether this node's links to servers are cut, by probes and by asking other nodes.

What follows from the observations is decided in :mod:`ploverhatch.routing.connectivity`. A probe
is a connection that is opened and kept for the next request; it costs a server no request. Probes
are sent only after a connection failed, or while servers leave requests unanswered.
"""

import random
from collections.abc import Callable, Collection

import gevent
from gevent.event import Event

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.logs import PartLogger
from ploverhatch.gateway.peer_connections import Node
from ploverhatch.gateway.upstreams import Upstream, UpstreamPool
from ploverhatch.routing.connectivity import Connectivity
from ploverhatch.routing.link_messages import LinkQuery, LinkReply
from ploverhatch.transport.http_connection import NotConnectedError

LOG = PartLogger("links")

CHECK_S = 0.1
PROBE_INTERVAL_MS = 500.0  # The least time between two rounds of probes.
PROBE_TIMEOUT_S = 0.25
# A round that takes longer is repeated once: this process stood still, and not the servers.
LATE_ROUND_MS = 400.0
# Servers in a round of probes: those that were reached last, and others.
PROBED_LATEST = 3
PROBED_OTHERS = 2
PROBED_UNREACHED = 16  # Servers that couldn't be reached, in a round while others can.
# With requests in flight and no server reached for this long, links may be silent.
SILENCE_MS = 500.0
NODES_ASKED = 8  # By a node that reaches no server.
NODES_ASKED_OF_SERVER = 3  # By a node that doesn't reach one server.
ASK_INTERVAL_MS = 500.0  # The least time between two queries about one server.
RECENT_MS = 1000.0  # A server that was reached within this time is reached.


class LinkMonitor:
    """The state of this node's links to servers.

    :param members: returns the addresses of the other known nodes.
    :param send: sends a message to a node.
    """

    def __init__(
        self,
        pool: UpstreamPool,
        members: Callable[[], Collection[Node]],
        send: Callable[[LinkQuery | LinkReply, Node], None],
    ) -> None:
        self._pool = pool
        self._members = members
        self._send = send
        self._state = Connectivity()
        self._probed_ms = -1e12
        self._asked_ms: dict[str, float] = {}  # When nodes were asked of a server, by server.
        self._probing: dict[str, gevent.Greenlet] = {}  # By server.
        self._wake = Event()
        self._replied = Event()  # Set, and cleared, with each reply of another node.
        self._was_cut_off = False
        self._was_late = False  # Whether the last round of probes took too long.

    # ---- conclusions --------------------------------------------------------------------

    @property
    def is_cut_off(self) -> bool:
        """Whether this node reaches no servers, although another node does."""
        return self._state.is_cut_off(elapsed_ms())

    def link_is_cut(self, server_id: str) -> bool:
        """Whether the link to a server is cut, so that a failure there says nothing of it."""
        return self._state.link_is_cut(server_id, elapsed_ms())

    @property
    def any_unreached(self) -> bool:
        """Whether any server couldn't be connected to since it was last reached."""
        return bool(self._state.unreached)

    def in_doubt(self, server_id: str) -> bool:
        """Whether the link to a server may be cut, so that a failure there proves nothing."""
        state = self._state
        return state.is_suspect or state.probes_failed or self.link_is_cut(server_id)

    def is_down(self, server_id: str) -> bool:
        """Whether another node couldn't connect to a server either."""
        return self._state.is_down(server_id, elapsed_ms())

    def cut_servers(self) -> list[str]:
        """Return the servers whose links are cut."""
        return [name for name in sorted(self._state.unreached) if self.link_is_cut(name)]

    def reaching_nodes(self) -> frozenset[Node]:
        """Return the nodes that are known to reach servers."""
        return self._state.reaching_nodes(elapsed_ms())

    def cut_nodes(self) -> frozenset[Node]:
        """Return the nodes that are known to reach none."""
        return self._state.cut_nodes(elapsed_ms())

    # ---- observations -------------------------------------------------------------------

    def note_reached(self, upstream: Upstream) -> None:
        """Note that a server accepted a connection or answered."""
        self._state.note_reached(upstream.record.server_id, elapsed_ms())

    def note_unreached(self, upstream: Upstream, refused: bool) -> None:
        """Note that no connection to a server could be made.

        :param refused: whether it was refused. Otherwise open connections hang too.
        """
        if not refused:
            upstream.close()
        server_id, now_ms = upstream.record.server_id, elapsed_ms()
        self._state.note_unreached(server_id, now_ms)
        if now_ms - self._asked_ms.get(server_id, -1e12) >= ASK_INTERVAL_MS:
            self._ask_of_server(server_id)
        self._wake.set()

    def check(self, server_id: str) -> None:
        """Find out whether the link to a server is cut, since the server gave no answer."""
        if server_id in self._pool.server_ids:
            self._spawn_probe(server_id)

    def note_node(self, node: Node, reaches_servers: bool) -> None:
        """Note whether another node reaches servers."""
        self._state.note_node(node, reaches_servers, elapsed_ms())

    def has_ended(self, upstream: Upstream, timeout_s: float) -> bool:
        """Connect to find out whether a server has ended.

        A refused connection alone is no proof, since a link may refuse it while the server lives
        on. Another node has to be refused too. If none replies, this node has to reach others.
        """
        end_ms = elapsed_ms() + timeout_s * 1000
        if not upstream.refuses_connections(timeout_s):
            return False
        server_id = upstream.record.server_id
        self._state.note_unreached(server_id, elapsed_ms())
        self._ask_of_server(server_id)
        probes = self._probe_latest()
        while (left_ms := end_ms - elapsed_ms()) > 0:
            if self.link_is_cut(server_id):
                return False
            if self.is_down(server_id) or not self._members():
                return True
            self._replied.wait(left_ms / 1000)
        gevent.joinall(probes, timeout=0)
        return not self._state.is_suspect or len(self._pool.server_ids) == 1

    # ---- probes -------------------------------------------------------------------------

    def run(self) -> None:
        """Probe servers while links are in doubt, forever."""
        while True:
            self._wake.wait(CHECK_S)
            self._wake.clear()
            now_ms = elapsed_ms()
            if now_ms - self._probed_ms >= PROBE_INTERVAL_MS:
                self._probe_if_in_doubt(now_ms)
            self._log_change()

    def _probe_if_in_doubt(self, now_ms: float) -> None:
        if self._state.is_suspect or self._state.probes_failed or self._is_silent(now_ms):
            self._probed_ms = now_ms
            self._forget_removed()
            self._probe_round(now_ms)
        elif self._state.unreached:
            self._probed_ms = now_ms
            self._forget_removed()
            self._probe_unreached()

    def _forget_removed(self) -> None:
        known = self._pool.server_ids
        self._state.keep_only(known)
        self._asked_ms = {name: at_ms for name, at_ms in self._asked_ms.items() if name in known}

    def _is_silent(self, now_ms: float) -> bool:
        waited_ms = min(self._pool.oldest_in_flight_ms(), now_ms - self._state.last_reached_ms)
        return waited_ms >= SILENCE_MS

    def _probe_round(self, now_ms: float) -> None:
        others = sorted(self._pool.server_ids)
        chosen = random.sample(others, min(PROBED_OTHERS, len(others)))
        probes = {*self._probe_latest(), *map(self._spawn_probe, chosen)}
        gevent.joinall(probes)
        late = elapsed_ms() - now_ms > LATE_ROUND_MS
        if probes and (self._was_late or not late):
            self._state.note_probes(now_ms)
        self._was_late = late
        if self._state.probes_failed:
            unreached_ms = min(elapsed_ms() - self._state.last_reached_ms, RECENT_MS)
            self._ask_nodes(list(self._members()), NODES_ASKED, LinkQuery("", unreached_ms))

    def _probe_latest(self) -> list[gevent.Greenlet]:
        """Probe the servers that are the likeliest to be up: those that were reached last."""
        names = sorted(self._pool.server_ids, key=self._state.reached_ms, reverse=True)
        names.sort(key=self._state.unreached.__contains__)
        return [self._spawn_probe(name) for name in names[:PROBED_LATEST]]

    def _probe_unreached(self) -> None:
        unreached = sorted(self._state.unreached & self._pool.server_ids)
        for name in random.sample(unreached, min(PROBED_UNREACHED, len(unreached))):
            self._spawn_probe(name)

    def _spawn_probe(self, server_id: str) -> gevent.Greenlet:
        """Return a task that probes a server, which may have been begun for another reason."""
        known = self._probing.get(server_id)
        if known is None:
            known = gevent.spawn(self._probe, server_id)
            self._probing[server_id] = known
            known.link(lambda task: self._probing.pop(server_id, None))
        return known

    def _probe(self, server_id: str) -> None:
        upstream = self._pool.get(server_id)
        if upstream is None:
            return
        try:
            upstream.probe(PROBE_TIMEOUT_S)
        except NotConnectedError as error:
            self.note_unreached(upstream, error.refused)
        else:
            self.note_reached(upstream)

    def _log_change(self) -> None:
        cut_off = self.is_cut_off
        if cut_off == self._was_cut_off:
            return
        self._was_cut_off = cut_off
        if cut_off:
            LOG.warning(
                "Cut off from the servers.",
                unreached=len(self._state.unreached),
                reaching_nodes=len(self.reaching_nodes()),
            )
        else:
            LOG.info("No longer cut off from the servers.")

    # ---- between nodes ------------------------------------------------------------------

    def _ask_of_server(self, server_id: str) -> None:
        now_ms = elapsed_ms()
        self._asked_ms[server_id] = now_ms
        others = [node for node in self._members() if node not in self.cut_nodes()]
        query = LinkQuery(server_id, self._state.failed_ms(server_id, now_ms))
        self._ask_nodes(others, NODES_ASKED_OF_SERVER, query)

    def _ask_nodes(self, nodes: list[Node], count: int, query: LinkQuery) -> None:
        for node in random.sample(nodes, min(count, len(nodes))):
            self._send(query, node)

    def handle_query(self, query: LinkQuery, peer: Node) -> None:
        """Answer another node, after a probe where nothing recent is known."""
        state = self._state
        reached_ms = state.reached_ms(query.server_id) if query.server_id else state.last_reached_ms
        if elapsed_ms() - reached_ms < min(query.failed_ms, RECENT_MS) and not state.is_suspect:
            self._send(LinkReply(query.server_id, True), peer)
        else:
            gevent.spawn(self._probe_and_reply, query, peer)

    def _probe_and_reply(self, query: LinkQuery, peer: Node) -> None:
        asked_ms = elapsed_ms()
        probes = self._probe_latest()
        if query.server_id:
            self._spawn_probe(query.server_id).join()
            if self._state.reached_ms(query.server_id) >= asked_ms:
                self._send(LinkReply(query.server_id, True), peer)
                return
        gevent.joinall(probes)
        # What this node doesn't reach says nothing if it may be cut off itself.
        reaches_any = self._state.last_reached_ms >= asked_ms
        vouches = bool(query.server_id) and reaches_any
        self._send(LinkReply(query.server_id if vouches else "", reaches_any and not vouches), peer)

    def handle_reply(self, reply: LinkReply, peer: Node) -> None:
        """Note what another node said of its links."""
        now_ms = elapsed_ms()
        if reply.server_id and (reply.reached or not self.link_is_cut(reply.server_id)):
            self._state.note_elsewhere(reply.server_id, reply.reached, now_ms)
        if reply.reached or not reply.server_id:
            self._state.note_node(peer, reply.reached, now_ms)
        self._replied.set()
        self._replied.clear()
