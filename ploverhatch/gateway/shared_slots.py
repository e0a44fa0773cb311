"""Slots of servers that all nodes share: this node's requests, and the queues it keeps.

A request asks its group's dispatcher, which may be this node, by a datagram, and
goes straight to the server whose slot it was given. Decisions are in
:mod:`ploverhatch.admission`. Where no dispatcher answers in time, the node goes
on with its own limits: nothing is promised that depends on an answer.
"""

import itertools
import random
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field, replace

import gevent
from gevent.event import Event

from ploverhatch.admission import groups
from ploverhatch.admission.dispatcher import (
    Answer,
    Asker,
    Given,
    Group,
    Queued,
    TurnedAway,
    Wish,
)
from ploverhatch.admission.dispatcher_choice import UNREACHABLE_MS, DispatcherChoice
from ploverhatch.admission.groups import GroupName
from ploverhatch.admission.messages import HeldAsk, HeldWord, SlotAsk, SlotReturn, SlotWord
from ploverhatch.admission.request_rate import RequestRate, ServerBounds
from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.logs import PartLogger
from ploverhatch.gateway.directory import Directory
from ploverhatch.gateway.peer_link import Address, SlotMessage
from ploverhatch.state.servers import ServerRecord
from ploverhatch.transport.http_connection import HostPort

LOG = PartLogger("slots")

REPLY_TIMEOUT_S = 0.025  # a dispatcher is asked again after it, and twice before it is passed over
MAX_TRIES = 2
MAX_NODES_ASKED = 4  # where the first ones are about to stop, as in a restart of all in turn
MAX_UNRESPONSIVE_NODES = 2  # of these, that give no answer: each one costs the time of two answers
LEARN_MS = 25.0  # a new dispatcher asks all nodes for the slots they hold, and waits so long
MAX_LEARN_MS = 500.0  # ... where the process stands still meanwhile
MAX_HELD_SLOTS = 200  # slots that one message tells
CEDED_MS = 250.0  # until all nodes ask the one that a group was left to
RELEARN_MS = 1000.0  # between these questions
OTHER_DISPATCHER_MS = 10_000.0  # slots are held for less: who gave some before then says nothing
REPLY_MARGIN_S = 0.02  # the way of an answer to one that waits
# Of the time that a request waits, spent in its own zone where other zones have servers.
OWN_ZONE_WAIT_FRACTION = 0.3
REFRESH_MS = 100.0  # how old the members of a group may be at its dispatcher
IDLE_QUEUE_MS = 20_000.0  # a queue that nobody asked for so long is forgotten
DISCOVERY_MS = 6000.0  # from the start of a node until all others know it
STANDBY_SHARE = 0.5  # of a limit: enforced by a node that is not surely the only one
LIMIT_SOURCE = "a-request"  # who told of a limit, in the log
TICK_S = 0.025  # between looks for slots whose time is over
NO_INFORMATION_MS = 0.0


class TurnedAwayError(Exception):
    """No slot can be expected in time.

    :param after_ms: when one can be expected.
    :param dispatcher: the node that said so.
    """

    def __init__(self, after_ms: float, dispatcher: str = "") -> None:
        super().__init__(f"after {after_ms:.0f} ms")
        self.after_ms = after_ms
        self.dispatcher = dispatcher


@dataclass(frozen=True, slots=True)
class SlotRequirements:
    """What a request needs; times are milliseconds from now.

    With a slot within ``useful_ms`` its answer is in time; within ``wait_ms`` it is
    of use at least. ``holder`` is the server that must run it, ``None`` where any of
    the service may; ``avoid`` one that failed the request before. ``regions`` are those
    whose servers may run it; empty for all. ``barred`` are servers that this node may not use.
    """

    service: str
    priority: int
    useful_ms: float
    wait_ms: float
    hold_ms: float
    holder: ServerRecord | None = None
    avoid: str = ""
    regions: frozenset[str] = frozenset()
    excluded: tuple[str, ...] = ()

    def remaining_after(self, spent_ms: float) -> "SlotRequirements":
        """Return what is left of the requirements after a time."""
        return replace(
            self,
            useful_ms=max(0.0, self.useful_ms - spent_ms),
            wait_ms=max(0.0, self.wait_ms - spent_ms),
            hold_ms=max(0.0, self.hold_ms - spent_ms),
        )


@dataclass(slots=True)
class SharedSlot:
    """A slot that was given; the fields that say how it went are set before it goes back."""

    server_id: str = ""
    dispatcher: str = ""
    took_ms: float = NO_INFORMATION_MS
    failed: bool = False
    unanswered: bool = False


@dataclass(slots=True)
class _HeldSlot:
    """A slot that a request of this node has."""

    name: GroupName
    server_id: str
    until_ms: float
    dispatchers: set[Address]  # dispatchers that count it


class _PendingRequest:
    """A request that waits for its dispatcher's word."""

    def __init__(self) -> None:
        self.asked: Address = ("", 0)  # the node whose reply is waited for
        self.reply: SlotWord | None = None
        self._changed = Event()

    def accept(self, reply: SlotWord) -> None:
        """Take a word; a repeated place in the queue tells nothing new."""
        if self.reply is None or not reply.queued:
            self.reply = reply
            self._changed.set()

    def wait(self, timeout_s: float) -> bool:
        """Wait for a word that was not waited for before; false when there is none."""
        changed = self._changed.wait(max(timeout_s, 0.0))
        if not changed:
            # Where the process stood still, the timer goes off before the word is read that
            # has long come: without a look at it a sound dispatcher is passed over for 1 s.
            gevent.sleep(0)
            changed = self._changed.is_set()
        self._changed.clear()
        return bool(changed)


@dataclass(slots=True)
class _Queue:
    """A queue that this node keeps."""

    group: Group
    refreshed_ms: float = -1e12  # when its members were last looked up
    used_ms: float = 0.0
    asked_ms: float = -1e12  # when the nodes were asked what they hold
    awaited: set[Address] = field(default_factory=set)  # nodes that have not said it yet


class SharedSlots:
    """One node's part.

    :param zone: of this node.
    :param members: zones of all nodes by address.
    :param send: sends a message to a node.
    :param own: address of this node; where it is not given, the node counts as the first.
    """

    def __init__(
        self,
        zone: str,
        directory: Directory,
        members: Callable[[], Mapping[str, str]],
        send: Callable[[SlotMessage, Address], None],
        own: str = "",
    ) -> None:
        self._zone = zone
        self._own_address = own
        self._started_ms = elapsed_ms()
        self._directory = directory
        self._members = members
        self._send = send
        self._numbers = itertools.count(random.getrandbits(32))
        self._pending: dict[int, _PendingRequest] = {}
        self._held: dict[int, _HeldSlot] = {}
        self._ceded_ms: dict[GroupName, float] = {}  # groups left to a node that is back
        self._served_by: dict[GroupName, tuple[str, float]] = {}  # dispatcher, and when
        self._choice = DispatcherChoice()
        self._queues: dict[GroupName, _Queue] = {}
        self._rates: dict[str, RequestRate] = {}  # by server, of all queues that are queue
        self._handlers: dict[type, Callable[..., None]] = {
            SlotAsk: self._handle_request,
            SlotWord: self._handle_reply,
            SlotReturn: self._handle_release,
            HeldAsk: self._handle_held_request,
            HeldWord: self._handle_held_reply,
        }
        self.leaving = False  # this node is about to stop: others keep the queues

    @property
    def in_use(self) -> int:
        """Slots given by this node's queues."""
        return sum(queue.group.in_use for queue in self._queues.values())

    @property
    def waiting(self) -> int:
        """Requests that wait in this node's queues."""
        return sum(queue.group.waiting for queue in self._queues.values())

    # ---- for requests of this node ------------------------------------------------------

    @contextmanager
    def hold(self, requirements: SlotRequirements) -> Iterator[SharedSlot | None]:
        """Hold a slot, or ``None`` where no dispatcher tells.

        :raises TurnedAwayError: when none can be expected in time.
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
                turned_away = error
        if turned_away is not None:
            raise turned_away
        yield None

    def _groups(self, requirements: SlotRequirements) -> list[tuple[GroupName, float]]:
        """Return the groups to ask, and the part of the time to wait there."""
        if requirements.holder is not None:
            name = GroupName(
                requirements.service, requirements.holder.zone, requirements.holder.server_id
            )
            return [(name, 1.0)]
        sizes = groups.groups_of(
            self._directory.servers.of_service(requirements.service), requirements.regions
        )
        own_zone = [name for name in sizes if name.zone in {"", self._zone}]
        others = [name for name in sizes if name not in own_zone]
        found = [(name, OWN_ZONE_WAIT_FRACTION if others else 1.0) for name in own_zone]
        if others:
            weights = [sizes[name] for name in others]
            found.append((random.choices(others, weights)[0], 1.0))
        return found

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
                self._note_granted(number, name, slot, requirements.hold_ms)
            elif reply is not None and reply.after_ms > 0:
                raise TurnedAwayError(reply.after_ms, asked[-1])
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
    ) -> SlotWord | None:
        """Return a dispatcher's last word, asking the next one where one stops or is unanswered.

        :param asked: takes the nodes that may have given a slot; the last one gave the reply.
        """
        pending, start_ms, unresponsive = self._pending[number], elapsed_ms(), 0
        for _ in range(MAX_NODES_ASKED):
            spent_ms = elapsed_ms() - start_ms
            node = self._choice.asked(name, self._members(), elapsed_ms())
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
                self._choice.stops(node, elapsed_ms())
                pending.reply = None
        return None

    def _limits_unenforced(self, name: GroupName, node: str) -> bool:
        """Whether a node enforces no limits of a group that has some."""
        return bool(self._limited_servers(name)) and not self._enforces_limits(name, node)

    def _note_granted(self, number: int, name: GroupName, slot: SharedSlot, hold_ms: float) -> None:
        now_ms = elapsed_ms()
        dispatchers: set[Address] = {HostPort.parse(slot.dispatcher)}
        self._held[number] = _HeldSlot(name, slot.server_id, now_ms + hold_ms, dispatchers)
        self._served_by[name] = slot.dispatcher, now_ms

    def _release(
        self, number: int, name: GroupName, slot: SharedSlot, asked: Sequence[str]
    ) -> None:
        """Return a slot, or a place in the queue, to all dispatchers that may count it."""
        held = self._held.pop(number, None)
        dispatchers: set[Address] = {HostPort.parse(node) for node in asked}
        message = SlotReturn(
            number,
            name.service,
            name.zone,
            name.holder,
            slot.took_ms,
            slot.failed,
            slot.unanswered,
            name.regions,
            self._directory.limits_of([slot.server_id]),
        )
        for address in dispatchers | (held.dispatchers if held else set()):
            self._send(message, address)

    def _request_message(
        self,
        number: int,
        name: GroupName,
        requirements: SlotRequirements,
        wait_ms: float,
        asked: str,
    ) -> SlotAsk:
        return SlotAsk(
            number,
            name.service,
            name.zone,
            name.holder,
            self._zone,
            requirements.priority,
            min(requirements.useful_ms, wait_ms),
            wait_ms,
            requirements.hold_ms,
            requirements.avoid,
            name.regions,
            requirements.excluded,
            self._directory.limits_of(self._limited_servers(name)),
            self._may_have_other_dispatcher(name, asked),
        )

    def _may_have_other_dispatcher(self, name: GroupName, asked: str) -> bool:
        """Whether another node than the one that is asked may have given slots lately."""
        node, at_ms = self._served_by.get(name, ("", 0.0))
        if node and elapsed_ms() - at_ms < OTHER_DISPATCHER_MS:
            return node != asked
        return asked != groups.dispatcher(name, self._members(), ())

    def _limited_servers(self, name: GroupName) -> list[str]:
        """Return the servers of a group that named a limit."""
        limits = self._directory.servers.standings.limits
        if not limits:
            return []
        records = self._directory.servers.of_service(name.service)
        members = groups.members_of(name, records)
        return [record.server_id for record in members if record.server_id in limits]

    def _excluding_limited(
        self, name: GroupName, requirements: SlotRequirements
    ) -> SlotRequirements:
        """Return a requirements that bars rate-limited servers, for a node that enforces no limits.

        :raises TurnedAwayError: when it is for a holder that names one.
        """
        limit_per_s = self._directory.servers.standings.limit_per_s
        limited = [
            server_id for server_id in self._limited_servers(name) if server_id in limit_per_s
        ]
        if limited and requirements.holder is not None:
            raise TurnedAwayError(UNREACHABLE_MS)
        return replace(requirements, excluded=tuple(sorted({*requirements.excluded, *limited})))

    def _send_request(
        self, message: SlotAsk, pending: _PendingRequest, node: str
    ) -> SlotWord | None:
        """Return a dispatcher's answer; ``None`` when there is none in time."""
        address = pending.asked = HostPort.parse(node)
        for _ in range(MAX_TRIES):
            self._send(message, address)
            if pending.wait(REPLY_TIMEOUT_S):
                return pending.reply
        if self._choice.not_answered(node, elapsed_ms()):
            LOG.info(
                "Dispatcher does not answer.",
                node=node,
                service=message.service,
                zone=message.group_zone,
            )
        return None

    def _await_slot(self, pending: _PendingRequest, reply: SlotWord, wait_ms: float) -> SlotWord:
        """Wait for the slot of a request that has a place in the queue."""
        if pending.reply is reply:
            pending.wait(wait_ms / 1000 + REPLY_MARGIN_S)
        if pending.reply is None or pending.reply is reply:
            return SlotWord(reply.number, after_ms=wait_ms)
        return pending.reply

    # ---- messages -----------------------------------------------------------------------

    def handle_message(self, message: SlotMessage, peer: Address) -> None:
        """Take a message of another node, or of this one."""
        self._handlers[type(message)](message, peer)

    def _handle_reply(self, reply: SlotWord, peer: Address) -> None:
        if not reply.leaving:
            self._choice.answered(f"{peer[0]}:{peer[1]}")
        pending = self._pending.get(reply.number)
        if pending is None:
            return  # the request is over, and gave everything back
        if reply.leaving and peer != pending.asked:
            return  # a repeated answer of a node that was passed over
        pending.accept(reply)

    def _handle_request(self, message: SlotAsk, peer: Address) -> None:
        name = GroupName(message.service, message.group_zone, message.holder, message.regions)
        ceded_ms = self._ceded_ms.get(name, -1e12)
        if self.leaving or elapsed_ms() - ceded_ms < CEDED_MS:
            self._send(SlotWord(message.number, leaving=True), peer)
            return
        self._directory.hear_limits(message.limits, LIMIT_SOURCE)
        now_ms = elapsed_ms()
        is_new = name not in self._queues
        queue = self._queues.setdefault(name, _Queue(Group(rates=self._rates)))
        queue.used_ms = now_ms
        if is_new or (message.elsewhere and now_ms - queue.asked_ms >= RELEARN_MS):
            self._query_held_slots(name, queue, now_ms)
        if now_ms - queue.refreshed_ms > REFRESH_MS:
            servers = self._directory.servers
            bounds = self._bounds(name)
            records = groups.members_of(name, servers.of_service(message.service))
            queue.group.set_members(records, now_ms, bounds)
            queue.refreshed_ms = now_ms
        request = Wish(
            Asker(peer, message.number),
            message.priority,
            now_ms + message.useful_ms,
            now_ms + message.wait_ms,
            message.hold_ms,
            message.avoid,
            message.zone,
            frozenset(message.barred),
        )
        self._send_results(queue.group.ask(request, now_ms))

    def _query_held_slots(self, name: GroupName, queue: _Queue, now_ms: float) -> None:
        """Ask all nodes which slots they hold: another dispatcher may have given them."""
        queue.asked_ms = now_ms
        queue.awaited = {HostPort.parse(member) for member in self._members()}
        if not queue.awaited:
            return
        queue.group.learn(now_ms + MAX_LEARN_MS)
        message = HeldAsk(name.service, name.zone, name.holder, name.regions)
        for address in queue.awaited:
            self._send(message, address)

    def _handle_held_request(self, message: HeldAsk, peer: Address) -> None:
        name = GroupName(message.service, message.group_zone, message.holder, message.regions)
        now_ms = elapsed_ms()
        self._cede(name, f"{peer[0]}:{peer[1]}", now_ms)
        entries = []
        for number, held in self._held.items():
            if held.name == name:
                held.dispatchers.add(peer)
                entries.append((number, held.server_id, held.until_ms - now_ms))
        reply = HeldWord(
            message.service,
            message.group_zone,
            message.holder,
            message.regions,
            entries[:MAX_HELD_SLOTS],
        )
        self._send(reply, peer)

    def _cede(self, name: GroupName, other: str, now_ms: float) -> None:
        """Leave a group to a node that keeps its queue again and ranks before this one.

        Else both would give the same slots, each to the nodes that have it for the dispatcher.
        """
        self._choice.returned(other)
        members = self._members()
        both = {node: members[node] for node in (other, self._own_address) if node in members}
        if len(both) < 2 or groups.dispatcher(name, both, ()) != other:
            return
        self._ceded_ms[name] = now_ms
        queue = self._queues.pop(name, None)
        if queue is not None:
            self._redirect(queue)

    def _handle_held_reply(self, reply: HeldWord, peer: Address) -> None:
        name = GroupName(reply.service, reply.group_zone, reply.holder, reply.regions)
        queue = self._queues.get(name)
        if queue is None or peer not in queue.awaited:
            return
        now_ms = elapsed_ms()
        for number, server_id, left_ms in reply.held:
            queue.group.adopt(Asker(peer, number), server_id, left_ms, now_ms)
        queue.awaited.discard(peer)
        if not queue.awaited:
            self._send_results(queue.group.learned(now_ms))

    def _bounds(self, name: GroupName) -> ServerBounds:
        """Return what bounds the servers of a group whose queue this node keeps.

        A node that others rank before, and that can reach these, is asked by nodes that
        can't; one that has just started is not known to all yet. Half of the rate, beside the
        whole of it at the first node, is within the excess that servers tolerate.
        """
        servers = self._directory.servers
        is_known = elapsed_ms() - self._started_ms >= DISCOVERY_MS
        is_first = not self._own_address or self._enforces_limits(name, self._own_address)
        share = 1.0 if is_known and is_first else STANDBY_SHARE
        return ServerBounds(
            servers.cold_until_ms,
            self._directory.cold_per_s(name.service),
            servers.standings.limit_per_s,
            0.0 if self.leaving else share,
        )

    def _enforces_limits(self, name: GroupName, node: str) -> bool:
        return self._choice.enforces(name, node, self._members(), elapsed_ms())

    def _handle_release(self, message: SlotReturn, peer: Address) -> None:
        self._directory.hear_limits(message.limits, LIMIT_SOURCE)
        name = GroupName(message.service, message.group_zone, message.holder, message.regions)
        queue = self._queues.get(name)
        if queue is not None:
            requester = Asker(peer, message.number)
            took_ms, failed, unanswered = message.took_ms, message.failed, message.unanswered
            self._send_results(
                queue.group.give_back(requester, took_ms, failed, elapsed_ms(), unanswered)
            )

    def _send_results(self, answers: list[Answer]) -> None:
        for answer in answers:
            self._send(_reply(answer), answer.asker.node)

    def redirect_waiting(self) -> None:
        """Send those who wait here to the nodes that keep the queues from now on.

        These learn from all nodes which slots are in use.
        """
        for queue in self._queues.values():
            self._redirect(queue)

    def _redirect(self, queue: _Queue) -> None:
        for requester in queue.group.dismiss():
            self._send(SlotWord(requester.number, leaving=True), requester.node)

    def _expire_records(self, now_ms: float) -> None:
        ceded, served_by = self._ceded_ms, self._served_by
        for name in [known for known, at_ms in ceded.items() if now_ms - at_ms >= CEDED_MS]:
            del ceded[name]
        for name in [
            known for known, row in served_by.items() if now_ms - row[1] >= OTHER_DISPATCHER_MS
        ]:
            del served_by[name]

    def _drop_unused_rates(self) -> None:
        known = self._directory.servers.records
        for server_id in [name for name in self._rates if name not in known]:
            del self._rates[server_id]

    def expire_forever(self) -> None:
        """Take back slots whose time is over."""
        while True:
            gevent.sleep(TICK_S)
            gevent.sleep(0)  # what came while the process stood still is read first
            now_ms = elapsed_ms()
            self._expire_records(now_ms)
            for name, queue in list(self._queues.items()):
                if self.leaving or (queue.group.waiting and queue.group.gives_nothing(now_ms)):
                    self._redirect(queue)
                if queue.group.is_learning and now_ms - queue.asked_ms >= LEARN_MS:
                    self._send_results(queue.group.learned(now_ms))
                if queue.group.waiting:
                    self._send_results(queue.group.expire(now_ms))
                elif now_ms - queue.used_ms > IDLE_QUEUE_MS:
                    del self._queues[name]
                    self._drop_unused_rates()


def _reply(answer: Answer) -> SlotWord:
    number = answer.asker.number
    if isinstance(answer, Given):
        return SlotWord(number, answer.server_id)
    if isinstance(answer, Queued):
        return SlotWord(number, queued=True)
    return SlotWord(number, after_ms=answer.after_ms if isinstance(answer, TurnedAway) else 0.0)
