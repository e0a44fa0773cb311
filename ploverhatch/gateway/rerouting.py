"""Decides when a request is sent on through another node, since this node's links are cut."""

from ploverhatch.common import results
from ploverhatch.common.results import RefusedError
from ploverhatch.gateway.call import Call
from ploverhatch.gateway.links import LinkMonitor
from ploverhatch.gateway.messages import CallerReply
from ploverhatch.gateway.peer_forwarding import PeerForwarder
from ploverhatch.gateway.server_choice import ServerChoice
from ploverhatch.gateway.upstreams import Upstream
from ploverhatch.routing.gateway_attempts import AttemptHistory


class Rerouting:
    """Sends on the requests of one node whose servers only other nodes reach.

    :param links: the state of this node's links to servers.
    :param peers: sends requests to other nodes; ``None`` if there are none.
    """

    def __init__(
        self, links: LinkMonitor, choice: ServerChoice, peers: PeerForwarder | None
    ) -> None:
        self._links = links
        self._choice = choice
        self._peers = peers

    def is_due(self, call: Call) -> bool:
        """Return whether only other nodes reach the servers that may run a request."""
        if not self._links.any_unreached:
            return False
        upstreams = self._choice.usable_upstreams(call)
        return bool(upstreams) and all(
            self._links.link_is_cut(upstream.record.server_id) and not upstream.has_idle_connection
            for upstream in upstreams
        )

    def may_help(self, call: Call, upstream: Upstream) -> bool:
        """Return whether another node may reach a server to which no connection could be made.

        A request without a key tries another server first.
        """
        server_id = upstream.record.server_id
        if self._links.link_is_cut(server_id):
            return True
        last_way = call.partitioned or len(call.trace.attempts) > 1
        return last_way and not self._links.is_down(server_id)

    def forward(
        self, call: Call, history: AttemptHistory, counted: bool = True
    ) -> CallerReply | None:
        """Send a request on through another node; return ``None`` if no node took it.

        :param counted: whether this node's retry budget has counted the request.
        :raises RefusedError: when a node took it and gave no answer.
        """
        if self._peers is None or call.request.forwarded_by is not None:
            return None
        if history.may_have_run and not call.route.repeatable:
            return None
        outcome = self._peers.forward(call, history, counted)
        if outcome.lost:
            # The other node may have made all attempts that the route allows.
            late = call.remaining_ms <= 0
            result = results.DEADLINE_IN_FLIGHT if late else results.ANSWER_LOST
            raise RefusedError(result, "forwarded")
        return outcome.reply
