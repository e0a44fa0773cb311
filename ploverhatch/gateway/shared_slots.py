"""Slots of servers that all nodes share, requested on behalf of this node's requests.

Servers form groups, and one node at a time, the dispatcher, grants the slots of a group. A
request asks its group's dispatcher, which may be this node, by a datagram, and then goes
straight to the server whose slot was granted. The decisions are made in
:mod:`ploverhatch.admission`. If no dispatcher answers in time, the node goes on with its own
limits, because no guarantee depends on an answer.
"""

import itertools
import random
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, replace

import gevent
from gevent.event import Event

from ploverhatch.admission import groups
from ploverhatch.admission.dispatcher_choice import UNREACHABLE_MS, DispatcherChoice
from ploverhatch.admission.groups import GroupName
from ploverhatch.admission.lateness import RecentLateness
from ploverhatch.admission.messages import (
    HeldSlotsReply,
    HeldSlotsRequest,
    SlotRelease,
    SlotReply,
    SlotRequestMessage,
)
from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.logs import PartLogger
from ploverhatch.gateway.directory import Directory
from ploverhatch.gateway.peer_link import Address, SlotMessage
from ploverhatch.gateway.settings import DEFAULT_ADMISSION, AdmissionSettings
from ploverhatch.gateway.slot_dispatch import SlotDispatch
from ploverhatch.state.servers import ServerRecord
from ploverhatch.transport.http_connection import HostPort

LOG = PartLogger("slots")

# A dispatcher is sent a request MAX_TRIES times, with this timeout, before it is skipped. The
# timeout is prolonged by the recent lateness of this process.
REPLY_TIMEOUT_S = 0.025
MAX_TRIES = 2
# In a rolling restart, the first dispatchers that are asked may all be about to stop.
MAX_NODES_ASKED = 4
# Each node that doesn't answer costs the request MAX_TRIES timeouts.
MAX_UNRESPONSIVE_NODES = 2
MAX_HELD_SLOTS = 200  # The number of slots in one reply.
# A node that asked for the slots in use grants slots beside the group's other dispatchers for as
# long: nodes skip an unresponsive dispatcher for less.
BESIDE_OTHERS_MS = 3000.0
# Slots are held for less than this, so a dispatcher that granted none for so long has none in use.
OTHER_DISPATCHER_MS = 10_000.0
REPLY_MARGIN_S = 0.02  # The time that a reply takes to reach a node that waits for a slot.
# The share of a request's wait that is spent on its own zone if other zones have servers.
OWN_ZONE_WAIT_FRACTION = 0.3
TICK_S = 0.025  # The interval of checks for expired slots.
NO_INFORMATION_MS = 0.0
MAX_RELEASED = 512  # How many requests without a slot are remembered after their release.


class TurnedAwayError(Exception):
    """No slot can be expected in time.

    :param retry_after_ms: milliseconds until a slot can be expected.
    :param dispatcher: address of the node that rejected the request.
    """

    def __init__(self, retry_after_ms: float, dispatcher: str = "") -> None:
        super().__init__(f"after {retry_after_ms:.0f} ms")
        self.retry_after_ms = retry_after_ms
        self.dispatcher = dispatcher


@dataclass(frozen=True, slots=True)
class SlotRequirements:
    """The slot that a request needs; times are milliseconds from now.

    :param useful_ms: time within which a granted slot still meets the objective.
    :param wait_ms: time within which a granted slot is still of use.
    :param lease_ms: the longest time for which the request needs the slot.
    :param holder: the server that must run the request, or ``None`` if any of the service may.
    :param avoid: id of a server that failed the request before; empty for none.
    :param regions: the regions whose servers may run the request; empty for all.
    :param excluded: ids of servers that this node may not use now.
    :param objective_ms: the objective of the request's route; 0 if unknown.
    :param in_time_ms: what is left of the objective; negative once it has passed.
    :param connected: ids of servers to which this node has an idle connection.
    :param content: a digest of what the caller asks for and of its address.
    :param stated_ms: the deadline that the caller stated; 0 if it stated none.
    :param stated_left_ms: what is left of it.
    :param kind: the name of the request's route.
    """

    service: str
    priority: int
    useful_ms: float
    wait_ms: float
    lease_ms: float
    holder: ServerRecord | None = None
    avoid: str = ""
    regions: frozenset[str] = frozenset()
    excluded: tuple[str, ...] = ()
    objective_ms: float = 0.0
    in_time_ms: float = 0.0
    connected: tuple[str, ...] = ()
    content: int = 0
    stated_ms: float = 0.0
    stated_left_ms: float = 0.0
    kind: str = ""

    def remaining_after(self, spent_ms: float) -> "SlotRequirements":
        """Return the requirements with all times reduced by the time spent."""
        return replace(
            self,
            useful_ms=max(0.0, self.useful_ms - spent_ms),
            wait_ms=max(0.0, self.wait_ms - spent_ms),
            lease_ms=max(0.0, self.lease_ms - spent_ms),
            in_time_ms=self.in_time_ms - spent_ms,
            stated_left_ms=self.stated_left_ms - spent_ms,
        )


@dataclass(slots=True)
class SharedSlot:
    """A granted slot.

    The holder sets ``service_ms``, ``failed`` and ``unanswered`` before the slot is released.
    """

    server_id: str = ""
    dispatcher: str = ""
    service_ms: float = NO_INFORMATION_MS
    failed: bool = False
    unanswered: bool = False


@dataclass(slots=True)
class _HeldSlot:
    """A slot that a request of this node holds."""

    name: GroupName
    server_id: str
    until_ms: float
    dispatchers: set[Address]  # The nodes that count the slot as in use.


class _PendingRequest:
    """A slot request that waits for its dispatcher's reply."""

    def __init__(self) -> None:
        self.asked: Address = ("", 0)  # The node that was asked last.
        self.reply: SlotReply | None = None
        self._changed = Event()

    def accept(self, reply: SlotReply) -> None:
        """Accept a reply, unless it only repeats that the request is queued."""
        if self.reply is None or not reply.queued:
            self.reply = reply
            self._changed.set()

    def wait(self, timeout_s: float) -> bool:
        """Wait for a new reply; return whether one came in time."""
        changed = self._changed.wait(max(timeout_s, 0.0))
        if not changed:
            # After a suspension of the process the timer fires before a reply that has already
            # arrived is read. Without this check a working dispatcher is skipped for 1 s.
            gevent.sleep(0)
            changed = self._changed.is_set()
        self._changed.clear()
        return bool(changed)


class SharedSlots:
    """Requests shared slots on behalf of one node; ``dispatch`` grants those of its own queues.

    :param zone: the zone of this node.
    :param members: returns the zones of all nodes by address.
    :param send: sends a message to a node.
    :param own: address of this node. Without it, the node counts as the first in rank for each
        group.
    """

    def __init__(
        self,
        zone: str,
        directory: Directory,
        members: Callable[[], Mapping[str, str]],
        send: Callable[[SlotMessage, Address], None],
        own: str = "",
        settings: AdmissionSettings = DEFAULT_ADMISSION,
    ) -> None:
        self._zone = zone
        self._settings = settings
        self._directory = directory
        self._members = members
        self._send = send
        self._numbers = itertools.count(random.getrandbits(32))
        self._pending: dict[int, _PendingRequest] = {}
        self._held: dict[int, _HeldSlot] = {}
        self._released: dict[int, GroupName] = {}  # Requests that ended without a slot.
        self._served_by: dict[GroupName, tuple[str, float]] = {}  # Dispatcher, and when.
        # When a node last asked for the slots in use of a group.
        self._queried_ms: dict[GroupName, dict[Address, float]] = {}
        self._choice = DispatcherChoice()
        self._lateness = RecentLateness()
        self.dispatch = SlotDispatch(directory, self._choice, members, send, own, settings)
        self._handlers: dict[type, Callable[..., None]] = {
            SlotReply: self._handle_reply,
            SlotRelease: self.dispatch.handle_release,
            HeldSlotsRequest: self._handle_held_request,
            HeldSlotsReply: self.dispatch.handle_held_reply,
        }

    def configure(self, settings: AdmissionSettings) -> None:
        """Apply changed settings to further requests, and to the queues of this node."""
        self._settings = settings
        self.dispatch.configure(settings)

    # ---- for requests of this node ------------------------------------------------------

    @contextmanager
    def hold(self, requirements: SlotRequirements) -> Iterator[SharedSlot | None]:
        """Hold a slot; yields ``None`` if no dispatcher answers.

        :raises TurnedAwayError: when no slot can be expected in time.
        """
        start_ms = elapsed_ms()
        turned_away: TurnedAwayError | None = None
        for name, fraction in self._groups(requirements):
            left = requirements.remaining_after(elapsed_ms() - start_ms)
            try:
                with self._hold_in(
                    name, left, min(requirements.wait_ms * fraction, left.wait_ms)
                ) as slot:
                    yield slot
                    return
            except TurnedAwayError as error:
                # At each dispatcher that rejected it the caller must not come back too early.
                if turned_away is None or error.retry_after_ms > turned_away.retry_after_ms:
                    turned_away = error
        if turned_away is not None:
            raise turned_away
        yield None

    def _groups(self, requirements: SlotRequirements) -> list[tuple[GroupName, float]]:
        """Return the groups to ask, each with the share of the wait to spend there."""
        sizes = self._group_sizes(requirements)
        if requirements.holder is not None:
            return [(name, 1.0) for name in sizes]
        own_zone = [name for name in sizes if name.zone in {"", self._zone}]
        others = [name for name in sizes if name not in own_zone]
        found = [(name, OWN_ZONE_WAIT_FRACTION if others else 1.0) for name in own_zone]
        if others:
            weights = [sizes[name] for name in others]
            found.append((random.choices(others, weights)[0], 1.0))
        return found

    def _group_sizes(self, requirements: SlotRequirements) -> dict[GroupName, int]:
        holder = requirements.holder
        if holder is not None:
            return {GroupName(requirements.service, holder.zone, holder.server_id): 1}
        return groups.groups_of(
            self._directory.servers.of_service(requirements.service), requirements.regions
        )

    def _group_of(self, requirements: SlotRequirements, record: ServerRecord) -> GroupName | None:
        """Return the group of a server that may run a request, or ``None`` if it has none."""
        names = self._group_sizes(requirements)
        return next((name for name in names if name.zone in {"", record.zone}), None)

    @contextmanager
    def _hold_in(
        self, name: GroupName, requirements: SlotRequirements, wait_ms: float
    ) -> Iterator[SharedSlot | None]:
        number = next(self._numbers)
        slot = SharedSlot()
        asked: list[str] = []
        self._pending[number] = _PendingRequest()
        try:
            reply = self._await_reply(number, name, requirements, wait_ms, asked)
            if reply is not None and reply.server:
                slot.server_id, slot.dispatcher = reply.server, asked[-1]
                self._note_granted(number, name, slot, requirements.lease_ms)
            elif reply is not None and reply.retry_after_ms > 0:
                raise TurnedAwayError(reply.retry_after_ms, asked[-1])
            yield slot if slot.server_id else None
        finally:
            del self._pending[number]
            self._release(number, name, slot, asked)

    def _await_reply(
        self,
        number: int,
        name: GroupName,
        requirements: SlotRequirements,
        wait_ms: float,
        asked: list[str],
    ) -> SlotReply | None:
        """Return a dispatcher's final reply; ask the next node if one stops or doesn't answer.

        :param asked: receives the nodes that may have granted a slot; the reply is the last one's.
        """
        pending, start_ms, unresponsive = self._pending[number], elapsed_ms(), 0
        for _ in range(MAX_NODES_ASKED):
            spent_ms = elapsed_ms() - start_ms
            node = self._choice.choose(name, self._members(), elapsed_ms())
            if not node or (
                unresponsive and (spent_ms >= wait_ms or self._limits_unenforced(name, node))
            ):
                return None
            left = requirements.remaining_after(spent_ms)
            if not self._enforces_limits(name, node):
                left = self._excluding_limited(name, left)
            asked.append(node)
            message = self._request_message(number, name, left, max(0.0, wait_ms - spent_ms), node)
            reply = self._send_request(message, pending, node)
            if reply is not None and reply.queued:
                reply = self._await_slot(pending, reply, message.wait_ms)
            if reply is not None and not reply.leaving:
                return reply
            unresponsive += reply is None
            if unresponsive >= MAX_UNRESPONSIVE_NODES:
                return None
            if reply is not None:
                self._choice.note_stopping(node, elapsed_ms())
                pending.reply = None
        return None

    def _limits_unenforced(self, name: GroupName, node: str) -> bool:
        """Whether a group has rate limits that a node doesn't enforce."""
        return bool(self._limited_servers(name)) and not self._enforces_limits(name, node)

    def _enforces_limits(self, name: GroupName, node: str) -> bool:
        return self._choice.enforces_limits(name, node, self._members(), elapsed_ms())

    def _note_granted(
        self, number: int, name: GroupName, slot: SharedSlot, lease_ms: float
    ) -> None:
        now_ms = elapsed_ms()
        granted_by: Address = HostPort.parse(slot.dispatcher)
        self._served_by[name] = slot.dispatcher, now_ms
        others = self._other_dispatchers(name, now_ms) - {granted_by}
        self._report_held(number, name, slot.server_id, lease_ms, others)
        self._held[number].dispatchers.add(granted_by)

    @contextmanager
    def report_use(self, requirements: SlotRequirements, record: ServerRecord) -> Iterator[None]:
        """Have the group's dispatchers count a request that is sent without a shared slot."""
        name = self._group_of(requirements, record)
        if name is None:
            yield
            return
        number, now_ms = next(self._numbers), elapsed_ms()
        asked = self._choice.choose(name, self._members(), now_ms)
        dispatchers = self._other_dispatchers(name, now_ms)
        if asked:
            dispatchers.add(HostPort.parse(asked))
        self._report_held(number, name, record.server_id, requirements.lease_ms, dispatchers)
        try:
            yield
        finally:
            self._release(number, name, SharedSlot(record.server_id), ())

    def _report_held(
        self,
        number: int,
        name: GroupName,
        server_id: str,
        lease_ms: float,
        dispatchers: set[Address],
    ) -> None:
        """Record a slot as in use, and tell dispatchers that haven't granted it."""
        self._held[number] = _HeldSlot(name, server_id, elapsed_ms() + lease_ms, dispatchers)
        report = HeldSlotsReply(
            name.service,
            name.zone,
            name.holder,
            name.regions,
            [(number, server_id, lease_ms)],
            unasked=True,
        )
        for address in dispatchers:
            self._send(report, address)

    def _other_dispatchers(self, name: GroupName, now_ms: float) -> set[Address]:
        """Return the nodes that may grant slots of a group beside the one that was asked.

        These are nodes that began to keep its queue lately, and one that this node skips though
        others may not. Without a report each would grant the same slots again.
        """
        queried_ms = self._queried_ms.get(name, {})
        found = {
            address for address, at_ms in queried_ms.items() if now_ms - at_ms < BESIDE_OTHERS_MS
        }
        first = (
            groups.dispatcher_of(name, self._members(), ()) if self._choice.skipped(now_ms) else ""
        )
        return found | {HostPort.parse(first)} if first else found

    def _release(
        self, number: int, name: GroupName, slot: SharedSlot, asked: Sequence[str]
    ) -> None:
        """Release a slot, or a place in the queue, at all dispatchers that may count it."""
        held = self._held.pop(number, None)
        if held is None:
            self._note_released(number, name)
        dispatchers: set[Address] = {HostPort.parse(node) for node in asked}
        message = self._release_message(number, name, slot)
        for address in dispatchers | (held.dispatchers if held else set()):
            self._send(message, address)

    def _note_released(self, number: int, name: GroupName) -> None:
        self._released[number] = name
        if len(self._released) > MAX_RELEASED:
            del self._released[next(iter(self._released))]

    def _release_message(self, number: int, name: GroupName, slot: SharedSlot) -> SlotRelease:
        return SlotRelease(
            number,
            name.service,
            name.zone,
            name.holder,
            slot.service_ms,
            slot.failed,
            slot.unanswered,
            name.regions,
            self._directory.rate_limits_of([slot.server_id]),
        )

    def _request_message(
        self,
        number: int,
        name: GroupName,
        requirements: SlotRequirements,
        wait_ms: float,
        asked: str,
    ) -> SlotRequestMessage:
        return SlotRequestMessage(
            number,
            name.service,
            name.zone,
            name.holder,
            self._zone,
            requirements.priority,
            min(requirements.useful_ms, wait_ms),
            wait_ms,
            requirements.lease_ms,
            requirements.avoid,
            name.regions,
            requirements.excluded,
            self._directory.rate_limits_of(self._limited_servers(name)),
            self._may_have_other_dispatcher(name, asked),
            requirements.objective_ms if self._settings.by_objective else 0.0,
            requirements.in_time_ms,
            requirements.connected,
            requirements.content,
            requirements.stated_ms,
            requirements.stated_left_ms,
            requirements.kind if self._settings.by_objective else "",
        )

    def _may_have_other_dispatcher(self, name: GroupName, asked: str) -> bool:
        """Whether a node other than the one asked may have granted slots of a group recently."""
        node, at_ms = self._served_by.get(name, ("", 0.0))
        if node and elapsed_ms() - at_ms < OTHER_DISPATCHER_MS:
            return node != asked
        return asked != groups.dispatcher_of(name, self._members(), ())

    def _limited_servers(self, name: GroupName) -> list[str]:
        """Return the servers of a group that announced a rate limit."""
        limits = self._directory.servers.notices.limits
        if not limits:
            return []
        records = self._directory.servers.of_service(name.service)
        members = groups.members_of(name, records)
        return [record.server_id for record in members if record.server_id in limits]

    def _excluding_limited(
        self, name: GroupName, requirements: SlotRequirements
    ) -> SlotRequirements:
        """Return requirements that exclude rate-limited servers.

        They are for a dispatcher that enforces no limits.

        :raises TurnedAwayError: when the request is for a holder that has a rate limit.
        """
        limit_per_s = self._directory.servers.notices.limit_per_s
        limited = [
            server_id for server_id in self._limited_servers(name) if server_id in limit_per_s
        ]
        if limited and requirements.holder is not None:
            raise TurnedAwayError(UNREACHABLE_MS)
        return replace(requirements, excluded=tuple(sorted({*requirements.excluded, *limited})))

    def _send_request(
        self, message: SlotRequestMessage, pending: _PendingRequest, node: str
    ) -> SlotReply | None:
        """Send a slot request; return the reply, or ``None`` if none comes in time."""
        address = pending.asked = HostPort.parse(node)
        for _ in range(MAX_TRIES):
            self._send(message, address)
            if pending.wait(REPLY_TIMEOUT_S + self._lateness.ms / 1000):
                return pending.reply
        if self._choice.note_no_answer(node, elapsed_ms()):
            LOG.info(
                "Dispatcher does not answer.",
                node=node,
                service=message.service,
                zone=message.group_zone,
            )
        return None

    def _await_slot(self, pending: _PendingRequest, reply: SlotReply, wait_ms: float) -> SlotReply:
        """Wait for the final reply to a request that is queued."""
        if pending.reply is reply:
            pending.wait(wait_ms / 1000 + REPLY_MARGIN_S)
        if pending.reply is None or pending.reply is reply:
            return SlotReply(reply.number, retry_after_ms=wait_ms)
        return pending.reply

    # ---- messages -----------------------------------------------------------------------

    def handle_message(
        self, message: SlotMessage, peer: Address, arrived_ms: float | None = None
    ) -> None:
        """Handle a message of another node, or of this one.

        :param arrived_ms: when it arrived, in elapsed milliseconds; ``None`` for now.
        """
        if isinstance(message, SlotRequestMessage):
            self.dispatch.handle_request(message, peer, arrived_ms)
        else:
            self._handlers[type(message)](message, peer)

    def _handle_reply(self, reply: SlotReply, peer: Address) -> None:
        if not reply.leaving:
            self._choice.note_answer(f"{peer[0]}:{peer[1]}")
        pending = self._pending.get(reply.number)
        if pending is None:
            self._release_again(reply, peer)
            return
        if reply.leaving and peer != pending.asked:
            return  # A repeated reply of a node that was skipped.
        pending.accept(reply)

    def _release_again(self, reply: SlotReply, peer: Address) -> None:
        """Release a slot that was granted to a request which has ended without one.

        Its release was lost, or is under way.
        """
        name = self._released.pop(reply.number, None) if reply.server else None
        if name is not None:
            self._send(self._release_message(reply.number, name, SharedSlot()), peer)

    def _handle_held_request(self, message: HeldSlotsRequest, peer: Address) -> None:
        name = GroupName(message.service, message.group_zone, message.holder, message.regions)
        now_ms = elapsed_ms()
        self.dispatch.cede(name, f"{peer[0]}:{peer[1]}", now_ms)
        self._queried_ms.setdefault(name, {})[peer] = now_ms
        entries = []
        for number, held in self._held.items():
            if held.name == name:
                held.dispatchers.add(peer)
                entries.append((number, held.server_id, held.until_ms - now_ms))
        reply = HeldSlotsReply(
            message.service,
            message.group_zone,
            message.holder,
            message.regions,
            entries[:MAX_HELD_SLOTS],
        )
        self._send(reply, peer)

    def _expire_records(self, now_ms: float) -> None:
        served_by = self._served_by
        for name in [
            known for known, row in served_by.items() if now_ms - row[1] >= OTHER_DISPATCHER_MS
        ]:
            del served_by[name]
        for name in [
            known
            for known, asked in self._queried_ms.items()
            if now_ms - max(asked.values()) >= BESIDE_OTHERS_MS
        ]:
            del self._queried_ms[name]

    def expire_forever(self) -> None:
        """Drop old records, and have the queues of this node expire, forever."""
        while True:
            slept_ms = elapsed_ms()
            gevent.sleep(TICK_S)
            self._lateness.note_tick(elapsed_ms() - slept_ms - TICK_S * 1000)
            gevent.sleep(0)  # Messages that arrived during a suspension are read first.
            self._expire_records(elapsed_ms())
            self.dispatch.expire(self._lateness.ms)
