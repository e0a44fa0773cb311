"""Router state per back end: connections, slots and clock readings."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import gevent
from gevent.event import AsyncResult

from ploverhatch.backend.interface import BackendClient
from ploverhatch.common.clock import elapsed_ms
from ploverhatch.node.view import StateView
from ploverhatch.policy.syntax import matches
from ploverhatch.routing.server_queue import ServerQueue, Ticket
from ploverhatch.state.configuration import ServerSpec

LOWEST_PRIORITY = 9
MIN_SHARE = 0.01


@dataclass
class Upstream:
    """Client, slot queue and newest clock reading of one back end.

    ``clock_ms`` was read from the clock of the back end at ``clock_read_ms`` on the clock of
    this node.
    """

    spec: ServerSpec
    client: BackendClient
    queue: ServerQueue
    waiters: dict[int, AsyncResult]
    clock_ms: float = 0.0
    clock_read_ms: float = 0.0

    def note_clock(self, reply_clock_ms: float, received_ms: float) -> None:
        """Store a reading of the clock of the back end."""
        self.clock_ms = reply_clock_ms
        self.clock_read_ms = received_ms

    def not_after(self, budget_ms: float, now_ms: float) -> float:
        """Return the clock value of the back end ``budget_ms`` from now, or an earlier value."""
        return self.clock_ms + (now_ms - self.clock_read_ms) + budget_ms

    def retry_after_s(self) -> float:
        """Return the seconds after which a refused caller should retry."""
        return self.queue.expected_wait_ms() / 1000

    def grant_free_slots(self) -> None:
        """Grant free slots to the next waiting requests."""
        while (ticket := self.queue.start_next()) is not None:
            waiter = self.waiters.get(id(ticket))
            if waiter is not None:
                waiter.set(True)

    def release_slot(self, ticket: Ticket, took_ms: float, shed: bool) -> None:
        """Release a slot and grant it to a waiting request.

        :param took_ms: service time of the request.
        :param shed: whether the back end refused the request as overloaded.
        """
        self.queue.finish(ticket, took_ms, shed)
        self.grant_free_slots()


class UpstreamPool:
    """Clients and slot queues of all back ends, by name."""

    def __init__(
        self,
        view: StateView,
        queue_capacity: int,
        open_backend: Callable[[ServerSpec], BackendClient],
    ) -> None:
        self._view = view
        self._queue_capacity = queue_capacity
        self._open_backend = open_backend
        self._upstreams: dict[str, Upstream] = {}

    def get(self, server: str) -> Upstream | None:
        """Return the upstream of a back end, or ``None`` if it is unknown.

        A new upstream is created when the address or the number of connections or slots changes.
        """
        spec = self._view.servers.get(server)
        known = self._upstreams.get(server)
        if spec is None:
            return known
        if known is not None and _same_endpoint(known.spec, spec):
            known.spec = spec
            return known
        if known is not None:
            known.client.close()
        queue = ServerQueue(spec.slots, self._queue_capacity)
        upstream = Upstream(spec, self._open_backend(spec), queue, {})
        self._upstreams[server] = upstream
        return upstream

    def acquire_slot(self, upstream: Upstream, group: str, give_up_ms: float) -> Ticket | None:
        """Wait for a slot.

        :returns: the ticket that holds the slot, or ``None``: immediately if the queue is
            full, or at ``give_up_ms``.
        """
        now_ms = elapsed_ms()
        priority, share = self._priority_and_share(group, upstream.spec)
        ticket = Ticket(group, priority, share, now_ms)
        if not upstream.queue.offer(ticket):
            return None
        waiter = AsyncResult()
        upstream.waiters[id(ticket)] = waiter
        upstream.grant_free_slots()
        try:
            if not ticket.started:
                waiter.get(timeout=max(give_up_ms - now_ms, 1.0) / 1000)
        except gevent.Timeout:
            if not ticket.started:
                upstream.queue.withdraw(ticket)
                return None
        finally:
            upstream.waiters.pop(id(ticket), None)
        return ticket

    def _priority_and_share(self, group: str, spec: ServerSpec) -> tuple[int, float]:
        """Return the priority and the share of a group on a back end."""
        policy = self._view.policy
        if policy is None or group not in policy.groups:
            return LOWEST_PRIORITY, MIN_SHARE
        found = policy.groups[group]
        labels = spec.selector_labels
        shares = [draw.share for draw in found.draws if matches(draw.servers, labels)]
        return found.priority, max(shares, default=MIN_SHARE)

    def queues(self) -> dict[str, dict[str, Any]]:
        """Return the state of the slot queues by name of the back end."""
        return {
            name: {
                "running": upstream.queue.running_count,
                "waiting": upstream.queue.waiting_count,
                "limit": round(upstream.queue.limit, 2),
            }
            for name, upstream in self._upstreams.items()
        }


def _same_endpoint(old: ServerSpec, new: ServerSpec) -> bool:
    """Tell whether an upstream can keep its connections and slots."""
    return (old.host, old.port, old.connections, old.slots) == (
        new.host,
        new.port,
        new.connections,
        new.slots,
    )
