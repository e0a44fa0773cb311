"""The queues of the groups whose dispatcher this node is, and the messages about them.

One node at a time, the dispatcher, grants the slots of a group of servers. The decisions are made
in :mod:`ploverhatch.admission`; this module receives and sends messages and looks up servers.
"""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from ploverhatch.admission import groups
from ploverhatch.admission.dispatcher import Group
from ploverhatch.admission.dispatcher_choice import DispatcherChoice
from ploverhatch.admission.groups import GroupName
from ploverhatch.admission.kind_shares import KindShares
from ploverhatch.admission.messages import (
    HeldSlotsReply,
    HeldSlotsRequest,
    SlotRelease,
    SlotReply,
    SlotRequestMessage,
)
from ploverhatch.admission.request_rate import RequestRate, ServerBounds
from ploverhatch.admission.slot_requests import (
    CallerAttempt,
    Requester,
    SlotGranted,
    SlotQueued,
    SlotRejected,
    SlotRequest,
    SlotResult,
)
from ploverhatch.common.clock import elapsed_ms
from ploverhatch.gateway.directory import Directory
from ploverhatch.gateway.peer_link import Address, SlotMessage
from ploverhatch.gateway.settings import DEFAULT_ADMISSION, AdmissionSettings
from ploverhatch.transport.http_connection import HostPort

# A new dispatcher asks all nodes for the slots in use, and waits this long for replies, prolonged
# by its recent lateness for each of two messages that are read late.
LEARN_MS = 25.0
LATE_MESSAGES = 2
MAX_LEARN_MS = 500.0  # The bound on that wait if the process is suspended meanwhile.
# After this time, all nodes ask the dispatcher to which a group was ceded.
CEDED_MS = 250.0
RELEARN_MS = 1000.0  # The least time between two queries for the slots in use of one group.
REFRESH_MS = 100.0  # The greatest age of a dispatcher's list of a group's servers.
IDLE_QUEUE_MS = 20_000.0  # A queue without requests for this long is dropped.
DISCOVERY_MS = 6000.0  # All other nodes know a node this long after its start.
# The share of a rate limit that a node grants while another node may grant slots beside it.
STANDBY_SHARE = 0.5
LIMIT_SOURCE = "a-request"  # The source of a rate limit in the log.
LEASE_MARGIN_MS = 100.0  # A slot's lease must outlast the request that uses it.


@dataclass(slots=True)
class _Queue:
    """The queue of a group whose dispatcher this node is."""

    group: Group
    refreshed_ms: float = -1e12  # When the group's servers were last looked up.
    used_ms: float = 0.0
    asked_ms: float = -1e12  # When the nodes were asked for slots in use.
    awaited: set[Address] = field(default_factory=set)  # Nodes that haven't replied yet.


class SlotDispatch:
    """Keeps the queues of this node and grants their slots.

    :param choice: this node's view of which dispatchers answer.
    :param members: returns the zones of all nodes by address.
    :param send: sends a message to a node.
    :param own: address of this node. Without it, the node counts as the first in rank for each
        group.
    """

    def __init__(
        self,
        directory: Directory,
        choice: DispatcherChoice,
        members: Callable[[], Mapping[str, str]],
        send: Callable[[SlotMessage, Address], None],
        own: str = "",
        settings: AdmissionSettings = DEFAULT_ADMISSION,
    ) -> None:
        self._own_address = own
        self._settings = settings
        self._started_ms = elapsed_ms()
        self._directory = directory
        self._choice = choice
        self._members = members
        self._send = send
        self._ceded_ms: dict[GroupName, float] = {}  # When a group was ceded.
        self._queues: dict[GroupName, _Queue] = {}
        self._rates: dict[str, RequestRate] = {}  # By server, over all queues.
        self.granted = 0  # Slots that this node granted since it started.
        self.rejected = 0  # Requests that it rejected.
        self.leaving = False  # Set once this node is about to stop and grants nothing more.

    @property
    def in_use(self) -> int:
        """The number of slots that this node granted and that are in use."""
        return sum(queue.group.in_use for queue in self._queues.values())

    @property
    def waiting(self) -> int:
        """The number of requests that wait in this node's queues."""
        return sum(queue.group.waiting for queue in self._queues.values())

    @property
    def promises(self) -> int:
        """The number of rejected callers that were told when to come back and haven't yet."""
        return sum(queue.group.promises for queue in self._queues.values())

    def configure(self, settings: AdmissionSettings) -> None:
        """Apply changed settings."""
        self._settings = settings
        for queue in self._queues.values():
            queue.group.shares.least_share = settings.least_share

    def handle_request(
        self, message: SlotRequestMessage, peer: Address, arrived_ms: float | None = None
    ) -> None:
        """Grant a slot to a node's request, queue the request or reject it.

        :param arrived_ms: when the request arrived, in elapsed milliseconds; ``None`` for now.
        """
        name = GroupName(message.service, message.group_zone, message.holder, message.regions)
        ceded_ms = self._ceded_ms.get(name, -1e12)
        # A node that has just started knows no servers, and would have all nodes that ask it
        # decide by themselves.
        starting = not self._directory.servers.records
        if self.leaving or starting or elapsed_ms() - ceded_ms < CEDED_MS:
            self._send(SlotReply(message.number, leaving=True), peer)
            return
        self._directory.note_rate_limits(message.limits, LIMIT_SOURCE)
        now_ms = elapsed_ms()
        is_new = name not in self._queues
        queue = self._queues.setdefault(name, _Queue(self._new_group()))
        queue.used_ms = now_ms
        if is_new or (message.served_elsewhere and now_ms - queue.asked_ms >= RELEARN_MS):
            self._query_held_slots(name, queue, now_ms)
        if now_ms - queue.refreshed_ms > REFRESH_MS or not queue.group.has_servers:
            servers = self._directory.servers
            bounds = self._bounds(name)
            records = groups.members_of(name, servers.of_service(message.service))
            queue.group.set_members(records, now_ms, bounds)
            queue.refreshed_ms = now_ms
        request = SlotRequest(
            Requester(peer, message.number),
            message.priority,
            now_ms + message.useful_ms,
            now_ms + message.wait_ms,
            message.lease_ms,
            message.avoid,
            message.zone,
            frozenset(message.excluded),
            now_ms + message.lease_ms - LEASE_MARGIN_MS,
            message.objective_ms,
            now_ms + message.in_time_ms if message.objective_ms else math.inf,
            frozenset(message.connected),
            _attempt(message, now_ms if arrived_ms is None else arrived_ms),
            kind=message.kind,
        )
        self._send_results(queue.group.request_slot(request, now_ms))

    def _new_group(self) -> Group:
        return Group(rates=self._rates, shares=KindShares(self._settings.least_share))

    def _query_held_slots(self, name: GroupName, queue: _Queue, now_ms: float) -> None:
        """Ask all nodes which slots they hold, since another dispatcher may have granted some."""
        queue.asked_ms = now_ms
        queue.awaited = {HostPort.parse(member) for member in self._members()}
        if not queue.awaited:
            return
        queue.group.start_learning(now_ms + MAX_LEARN_MS)
        message = HeldSlotsRequest(name.service, name.zone, name.holder, name.regions)
        for address in queue.awaited:
            self._send(message, address)

    def cede(self, name: GroupName, other: str, now_ms: float) -> None:
        """Cede a group to a node that keeps its queue again and ranks before this one.

        Otherwise both nodes would grant the same slots, each to the nodes that regard it as the
        dispatcher.
        """
        self._choice.note_return(other)
        members = self._members()
        both = {node: members[node] for node in (other, self._own_address) if node in members}
        if len(both) < 2 or groups.dispatcher_of(name, both, ()) != other:
            return
        self._ceded_ms[name] = now_ms
        queue = self._queues.pop(name, None)
        if queue is not None:
            self._redirect(queue)

    def handle_held_reply(self, reply: HeldSlotsReply, peer: Address) -> None:
        """Count the slots that a node holds and that another dispatcher granted."""
        name = GroupName(reply.service, reply.group_zone, reply.holder, reply.regions)
        queue = self._queues.get(name)
        if queue is None or not (reply.unasked or peer in queue.awaited):
            return
        now_ms = elapsed_ms()
        for number, server_id, left_ms in reply.held:
            queue.group.adopt(Requester(peer, number), server_id, left_ms, now_ms)
        if reply.unasked:
            return
        queue.awaited.discard(peer)
        if not queue.awaited:
            self._send_results(queue.group.finish_learning(now_ms))

    def _bounds(self, name: GroupName) -> ServerBounds:
        """Return the request rates that bound the servers of a group whose queue this node keeps.

        A node that isn't first in rank is asked by nodes that can't reach the first one, and a
        node that has just started isn't known to all others yet. So another node may grant the
        full rate at the same time; half of the rate in addition is within the excess that servers
        tolerate.
        """
        servers = self._directory.servers
        is_known = elapsed_ms() - self._started_ms >= DISCOVERY_MS
        is_first = not self._own_address or self._enforces_limits(name, self._own_address)
        share = 1.0 if is_known and is_first else STANDBY_SHARE
        return ServerBounds(
            servers.cold_until_ms,
            self._directory.cold_per_s(name.service),
            servers.notices.limit_per_s,
            0.0 if self.leaving else share,
        )

    def _enforces_limits(self, name: GroupName, node: str) -> bool:
        return self._choice.enforces_limits(name, node, self._members(), elapsed_ms())

    def handle_release(self, message: SlotRelease, peer: Address) -> None:
        """Release a slot, or a place in the queue."""
        self._directory.note_rate_limits(message.limits, LIMIT_SOURCE)
        name = GroupName(message.service, message.group_zone, message.holder, message.regions)
        queue = self._queues.get(name)
        if queue is not None:
            requester = Requester(peer, message.number)
            service_ms, failed, unanswered = message.service_ms, message.failed, message.unanswered
            self._send_results(
                queue.group.release(requester, service_ms, failed, elapsed_ms(), unanswered)
            )

    def _send_results(self, results: list[SlotResult]) -> None:
        for result in results:
            self.granted += isinstance(result, SlotGranted)
            self.rejected += isinstance(result, SlotRejected)
            self._send(_reply(result), result.requester.node)

    def redirect_waiting(self) -> None:
        """Redirect waiting requests to the nodes that keep the queues from now on.

        Those nodes learn from all nodes which slots are in use.
        """
        for queue in self._queues.values():
            self._redirect(queue)

    def _redirect(self, queue: _Queue) -> None:
        for requester in queue.group.clear_queue():
            self._send(SlotReply(requester.number, leaving=True), requester.node)

    def expire(self, lateness_ms: float) -> None:
        """Reclaim expired slots, reject overdue requests and drop idle queues.

        :param lateness_ms: by how much this process reads messages late.
        """
        now_ms = elapsed_ms()
        learn_ms = LEARN_MS + LATE_MESSAGES * lateness_ms
        ceded = self._ceded_ms
        for name in [known for known, at_ms in ceded.items() if now_ms - at_ms >= CEDED_MS]:
            del ceded[name]
        for name, queue in list(self._queues.items()):
            if self.leaving or (queue.group.waiting and queue.group.grants_nothing(now_ms)):
                self._redirect(queue)
            if queue.group.is_learning and now_ms - queue.asked_ms >= learn_ms:
                self._send_results(queue.group.finish_learning(now_ms))
            if queue.group.waiting:
                self._send_results(queue.group.expire(now_ms))
            elif now_ms - queue.used_ms > IDLE_QUEUE_MS:
                del self._queues[name]
                self._drop_unused_rates()

    def _drop_unused_rates(self) -> None:
        known = self._directory.servers.records
        for server_id in [name for name in self._rates if name not in known]:
            del self._rates[server_id]


def _attempt(message: SlotRequestMessage, arrived_ms: float) -> CallerAttempt | None:
    """Return what identifies the caller's attempt, or ``None`` if it stated no deadline.

    What is left of the deadline counts from the arrival, as the message may be read late.
    """
    if message.stated_ms <= 0:
        return None
    return CallerAttempt(message.content, message.stated_ms, arrived_ms + message.stated_left_ms)


def _reply(result: SlotResult) -> SlotReply:
    number = result.requester.number
    if isinstance(result, SlotGranted):
        return SlotReply(number, result.server_id)
    if isinstance(result, SlotQueued):
        return SlotReply(number, queued=True)
    return SlotReply(
        number, retry_after_ms=result.retry_after_ms if isinstance(result, SlotRejected) else 0.0
    )
