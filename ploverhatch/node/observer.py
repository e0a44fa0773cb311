"""Observer task: keeps the view up to date from the stream of a parent node.

Parents and observers form a tree: a node that already feeds its maximum number of
observers redirects a new observer to these. So each node feeds a bounded number of
observers, and lower levels of the tree cause no work at the leader.
"""

import random
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.logs import PartLogger
from ploverhatch.node.view import StateView
from ploverhatch.transport import wire
from ploverhatch.transport.peers import PeerNetwork, PeerUnreachableError

LOG = PartLogger("observer")

PARENT_TIMEOUT_MS = 1500.0
REQUEST_TIMEOUT_S = 0.5
RETRY_PAUSE_S = 0.1
MAX_REDIRECTS = 8


class ObserverTask:
    """Subscribes to one parent at a time while the node is not a voter."""

    def __init__(
        self,
        member: wire.Member,
        view: StateView,
        network: PeerNetwork,
        is_voter: Callable[[], bool],
    ) -> None:
        """Set up the task.

        :param is_voter: returns whether the node is a voter; a voter needs no stream.
        """
        self._is_voter = is_voter
        self._member = member
        self._view = view
        self._network = network
        self._random = random.Random(member.node_id)
        self._parent = ""
        self._last_update_ms = 0.0
        self._broken = Event()
        self.known_members: dict[str, wire.Member] = {}
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the task."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop the task."""
        if self._task is not None:
            self._task.kill()

    def set_known_members(self, members: list[wire.Member]) -> None:
        """Replace the set of nodes that may serve as parents."""
        self.known_members = {item.node_id: item for item in members}

    def update(self, sender: str, update: wire.StreamUpdate) -> None:
        """Apply a message of the stream; messages of earlier parents are ignored."""
        if sender != self._parent:
            return
        self._last_update_ms = elapsed_ms()
        if update.has_snapshot:
            accepted = self._view.apply_snapshot(update.snapshot)
        else:
            accepted = self._view.apply_update(update)
        if not accepted:
            self._broken.set()

    def _run(self) -> None:
        while True:
            if self._is_voter():
                gevent.sleep(PARENT_TIMEOUT_MS / 1000)
                continue
            if not self._subscribe():
                gevent.sleep(RETRY_PAUSE_S)
                continue
            self._follow_parent()

    def _follow_parent(self) -> None:
        self._broken.clear()
        while elapsed_ms() - self._last_update_ms < PARENT_TIMEOUT_MS:
            if self._broken.wait(PARENT_TIMEOUT_MS / 3000):
                return
            if self._is_voter():
                return

    def _subscribe(self) -> bool:
        """Subscribe to a parent, trying nodes of the same zone first."""
        candidates = [
            item for item in self.known_members.values() if item.node_id != self._member.node_id
        ]
        self._random.shuffle(candidates)
        candidates.sort(key=lambda item: item.zone != self._member.zone)
        return any(self._subscribe_to(candidate) for candidate in candidates)

    def _subscribe_to(self, parent: wire.Member) -> bool:
        for _ in range(MAX_REDIRECTS):
            reply = self._request_subscription(parent)
            if isinstance(reply, wire.StreamAck):
                return True
            if not isinstance(reply, wire.Redirect) or not reply.nodes:
                return False
            parent = self._random.choice(reply.nodes)
            if parent.node_id == self._member.node_id:
                return False
        return False

    def _request_subscription(self, parent: wire.Member) -> Any:
        state = self._view.state
        request = wire.Subscribe(from_index=state.index, epoch=state.epoch, member=self._member)
        self._parent = parent.node_id
        self._last_update_ms = elapsed_ms()
        try:
            address = (parent.host, parent.port)
            _, reply = self._network.request(address, parent.node_id, request, REQUEST_TIMEOUT_S)
        except PeerUnreachableError:
            return None
        return reply
