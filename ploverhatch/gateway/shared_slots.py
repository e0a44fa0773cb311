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
    Group,
    Requester,
    SlotGranted,
    SlotQueued,
    SlotRejected,
    SlotRequest,
    SlotResult,
)
from ploverhatch.admission.dispatcher_choice import UNREACHABLE_MS, DispatcherChoice
from ploverhatch.admission.groups import GroupName
from ploverhatch.admission.messages import (
    HeldSlotsReply,
    HeldSlotsRequest,
    SlotRelease,
    SlotReply,
    SlotRequestMessage,
)
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
ASKED_NODES = 4  # where the first ones are about to stop, as in a restart of all in turn
SILENT_NODES = 2  # of these, that give no answer: each one costs the time of two answers
LEARN_MS = 25.0  # a new dispatcher asks all nodes for the slots they hold, and waits so long
LONGEST_LEARN_MS = 500.0  # ... where the process stands still meanwhile
MOST_HELD = 200  # slots that one message tells
CEDED_MS = 250.0  # until all nodes ask the one that a group was left to
RELEARN_MS = 1000.0  # between these questions
ELSEWHERE_MS = 10_000.0  # slots are held for less: who gave some before then says nothing
LATE_S = 0.02  # the way of an answer to one that waits
# Of the time that a request waits, spent in its own zone where other zones have servers.
OWN_ZONE_WAIT_FRACTION = 0.3
REFRESH_MS = 100.0  # how old the members of a group may be at its dispatcher
FORGET_MS = 20_000.0  # a queue that nobody asked for so long is forgotten
DISCOVERY_MS = 6000.0  # from the start of a node until all others know it
STANDBY_SHARE = 0.5  # of a limit: enforced by a node that is not surely the only one
BY_ASKER = "a-request"  # who told of a limit, in the log
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
    barred: tuple[str, ...] = ()

    def after(self, spent_ms: float) -> "SlotRequirements":
        """Return what is left of the wish after a time."""
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
class _Held:
    """A slot that a request of this node has."""

    name: GroupName
    server_id: str
    until_ms: float
    keepers: set[Address]  # dispatchers that count it


class _Pending:
    """A request that waits for its dispatcher's word."""

    def __init__(self) -> None:
        self.asked: Address = ("", 0)  # the node whose word is waited for
        self.word: SlotReply | None = None
        self._changed = Event()

    def take(self, word: SlotReply) -> None:
        """Take a word; a repeated place in the queue tells nothing new."""
        if self.word is None or not word.queued:
            self.word = word
            self._changed.set()

    def wait(self, timeout_s: float) -> bool:
        """Wait for a word that was not waited for before; false when there is none."""
        came = self._changed.wait(max(timeout_s, 0.0))
        if not came:
            # Where the process stood still, the timer goes off before the word is read that
            # has long come: without a look at it a sound dispatcher is passed over for 1 s.
            gevent.sleep(0)
            came = self._changed.is_set()
        self._changed.clear()
        return bool(came)


@dataclass(slots=True)
class _Kept:
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
        self._own = own
        self._started_ms = elapsed_ms()
        self._directory = directory
        self._members = members
        self._send = send
        self._numbers = itertools.count(random.getrandbits(32))
        self._pending: dict[int, _Pending] = {}
        self._held: dict[int, _Held] = {}
        self._ceded_ms: dict[GroupName, float] = {}  # groups left to a node that is back
        self._served_by: dict[GroupName, tuple[str, float]] = {}  # dispatcher, and when
        self._choice = DispatcherChoice()
        self._kept: dict[GroupName, _Kept] = {}
        self._rates: dict[str, RequestRate] = {}  # by server, of all queues that are kept
        self._handlers: dict[type, Callable[..., None]] = {
            SlotRequestMessage: self._take_ask,
            SlotReply: self._take_word,
            SlotRelease: self._take_return,
            HeldSlotsRequest: self._take_held_ask,
            HeldSlotsReply: self._take_held_word,
        }
        self.leaving = False  # this node is about to stop: others keep the queues

    @property
    def in_use(self) -> int:
        """Slots given by this node's queues."""
        return sum(kept.group.in_use for kept in self._kept.values())

    @property
    def waiting(self) -> int:
        """Requests that wait in this node's queues."""
        return sum(kept.group.waiting for kept in self._kept.values())

    # ---- for requests of this node ------------------------------------------------------

    @contextmanager
    def hold(self, wish: SlotRequirements) -> Iterator[SharedSlot | None]:
        """Hold a slot, or ``None`` where no dispatcher tells.

        :raises TurnedAwayError: when none can be expected in time.
        """
        start_ms = elapsed_ms()
        turned_away: TurnedAwayError | None = None
        for name, part in self._groups(wish):
            left = wish.after(elapsed_ms() - start_ms)
            try:
                with self._hold_in(name, left, min(wish.wait_ms * part, left.wait_ms)) as slot:
                    yield slot
                    return
            except TurnedAwayError as error:
                turned_away = error
        if turned_away is not None:
            raise turned_away
        yield None

    def _groups(self, wish: SlotRequirements) -> list[tuple[GroupName, float]]:
        """Return the groups to ask, and the part of the time to wait there."""
        if wish.holder is not None:
            name = GroupName(wish.service, wish.holder.zone, wish.holder.server_id)
            return [(name, 1.0)]
        sizes = groups.groups_of(self._directory.servers.of_service(wish.service), wish.regions)
        near = [name for name in sizes if name.zone in {"", self._zone}]
        others = [name for name in sizes if name not in near]
        found = [(name, OWN_ZONE_WAIT_FRACTION if others else 1.0) for name in near]
        if others:
            weights = [sizes[name] for name in others]
            found.append((random.choices(others, weights)[0], 1.0))
        return found

    @contextmanager
    def _hold_in(
        self, name: GroupName, wish: SlotRequirements, wait_ms: float
    ) -> Iterator[SharedSlot | None]:
        number = next(self._numbers)
        slot = SharedSlot()
        asked: list[str] = []
        self._pending[number] = _Pending()
        try:
            word = self._await_word(number, name, wish, wait_ms, asked)
            if word is not None and word.server:
                slot.server_id, slot.dispatcher = word.server, asked[-1]
                self._note_given(number, name, slot, wish.hold_ms)
            elif word is not None and word.retry_after_ms > 0:
                raise TurnedAwayError(word.retry_after_ms, asked[-1])
            yield slot if slot.server_id else None
        finally:
            del self._pending[number]
            self._give_back(number, name, slot, asked)

    def _await_word(
        self, number: int, name: GroupName, wish: SlotRequirements, wait_ms: float, asked: list[str]
    ) -> SlotReply | None:
        """Return a dispatcher's last word, asking the next one where one stops or is silent.

        :param asked: takes the nodes that may have given a slot; the last one gave the word.
        """
        pending, start_ms, silent = self._pending[number], elapsed_ms(), 0
        for _ in range(ASKED_NODES):
            spent_ms = elapsed_ms() - start_ms
            node = self._choice.choose(name, self._members(), elapsed_ms())
            if not node or (silent and (spent_ms >= wait_ms or self._is_in_doubt(name, node))):
                return None
            left = wish.after(spent_ms)
            if not self._enforces_limits(name, node):
                left = self._without_limited(name, left)
            asked.append(node)
            ask = self._ask_for(number, name, left, max(0.0, wait_ms - spent_ms), node)
            word = self._ask(ask, pending, node)
            if word is not None and word.queued:
                word = self._await_turn(pending, word, ask.wait_ms)
            if word is not None and not word.leaving:
                return word
            silent += word is None
            if silent >= SILENT_NODES:
                return None
            if word is not None:
                self._choice.note_stopping(node, elapsed_ms())
                pending.word = None
        return None

    def _is_in_doubt(self, name: GroupName, node: str) -> bool:
        """Whether a node enforces no limits of a group that has some."""
        return bool(self._limited(name)) and not self._enforces_limits(name, node)

    def _note_given(self, number: int, name: GroupName, slot: SharedSlot, hold_ms: float) -> None:
        now_ms = elapsed_ms()
        keepers: set[Address] = {HostPort.parse(slot.dispatcher)}
        self._held[number] = _Held(name, slot.server_id, now_ms + hold_ms, keepers)
        self._served_by[name] = slot.dispatcher, now_ms

    def _give_back(
        self, number: int, name: GroupName, slot: SharedSlot, asked: Sequence[str]
    ) -> None:
        """Return a slot, or a place in the queue, to all dispatchers that may count it."""
        held = self._held.pop(number, None)
        keepers: set[Address] = {HostPort.parse(node) for node in asked}
        back = SlotRelease(
            number,
            name.service,
            name.zone,
            name.holder,
            slot.took_ms,
            slot.failed,
            slot.unanswered,
            name.regions,
            self._directory.rate_limits_of([slot.server_id]),
        )
        for keeper in keepers | (held.keepers if held else set()):
            self._send(back, keeper)

    def _ask_for(
        self, number: int, name: GroupName, wish: SlotRequirements, wait_ms: float, asked: str
    ) -> SlotRequestMessage:
        return SlotRequestMessage(
            number,
            name.service,
            name.zone,
            name.holder,
            self._zone,
            wish.priority,
            min(wish.useful_ms, wait_ms),
            wait_ms,
            wish.hold_ms,
            wish.avoid,
            name.regions,
            wish.barred,
            self._directory.rate_limits_of(self._limited(name)),
            self._had_others(name, asked),
        )

    def _had_others(self, name: GroupName, asked: str) -> bool:
        """Whether another node than the one that is asked may have given slots lately."""
        node, at_ms = self._served_by.get(name, ("", 0.0))
        if node and elapsed_ms() - at_ms < ELSEWHERE_MS:
            return node != asked
        return asked != groups.dispatcher_of(name, self._members(), ())

    def _limited(self, name: GroupName) -> list[str]:
        """Return the servers of a group that named a limit."""
        limits = self._directory.servers.notices.limits
        if not limits:
            return []
        records = self._directory.servers.of_service(name.service)
        members = groups.members_of(name, records)
        return [record.server_id for record in members if record.server_id in limits]

    def _without_limited(self, name: GroupName, wish: SlotRequirements) -> SlotRequirements:
        """Return a wish that bars rate-limited servers, for a node that enforces no limits.

        :raises TurnedAwayError: when it is for a holder that names one.
        """
        named = self._directory.servers.notices.limit_per_s
        limited = [server_id for server_id in self._limited(name) if server_id in named]
        if limited and wish.holder is not None:
            raise TurnedAwayError(UNREACHABLE_MS)
        return replace(wish, barred=tuple(sorted({*wish.barred, *limited})))

    def _ask(self, ask: SlotRequestMessage, pending: _Pending, node: str) -> SlotReply | None:
        """Return a dispatcher's answer; ``None`` when there is none in time."""
        address = pending.asked = HostPort.parse(node)
        for _ in range(MAX_TRIES):
            self._send(ask, address)
            if pending.wait(REPLY_TIMEOUT_S):
                return pending.word
        if self._choice.note_no_answer(node, elapsed_ms()):
            LOG.info(
                "Dispatcher does not answer.", node=node, service=ask.service, zone=ask.group_zone
            )
        return None

    def _await_turn(self, pending: _Pending, word: SlotReply, wait_ms: float) -> SlotReply:
        """Wait for the slot of a request that has a place in the queue."""
        if pending.word is word:
            pending.wait(wait_ms / 1000 + LATE_S)
        if pending.word is None or pending.word is word:
            return SlotReply(word.number, retry_after_ms=wait_ms)
        return pending.word

    # ---- messages -----------------------------------------------------------------------

    def handle_message(self, message: SlotMessage, peer: Address) -> None:
        """Take a message of another node, or of this one."""
        self._handlers[type(message)](message, peer)

    def _take_word(self, word: SlotReply, peer: Address) -> None:
        if not word.leaving:
            self._choice.note_answer(f"{peer[0]}:{peer[1]}")
        pending = self._pending.get(word.number)
        if pending is None:
            return  # the request is over, and gave everything back
        if word.leaving and peer != pending.asked:
            return  # a repeated answer of a node that was passed over
        pending.take(word)

    def _take_ask(self, ask: SlotRequestMessage, peer: Address) -> None:
        name = GroupName(ask.service, ask.group_zone, ask.holder, ask.regions)
        ceded_ms = self._ceded_ms.get(name, -1e12)
        if self.leaving or elapsed_ms() - ceded_ms < CEDED_MS:
            self._send(SlotReply(ask.number, leaving=True), peer)
            return
        self._directory.note_rate_limits(ask.limits, BY_ASKER)
        now_ms = elapsed_ms()
        is_new = name not in self._kept
        kept = self._kept.setdefault(name, _Kept(Group(rates=self._rates)))
        kept.used_ms = now_ms
        if is_new or (ask.served_elsewhere and now_ms - kept.asked_ms >= RELEARN_MS):
            self._learn_held(name, kept, now_ms)
        if now_ms - kept.refreshed_ms > REFRESH_MS:
            servers = self._directory.servers
            bounds = self._bounds(name)
            records = groups.members_of(name, servers.of_service(ask.service))
            kept.group.set_members(records, now_ms, bounds)
            kept.refreshed_ms = now_ms
        wish = SlotRequest(
            Requester(peer, ask.number),
            ask.priority,
            now_ms + ask.useful_ms,
            now_ms + ask.wait_ms,
            ask.lease_ms,
            ask.avoid,
            ask.zone,
            frozenset(ask.excluded),
        )
        self._answer(kept.group.request_slot(wish, now_ms))

    def _learn_held(self, name: GroupName, kept: _Kept, now_ms: float) -> None:
        """Ask all nodes which slots they hold: another dispatcher may have given them."""
        kept.asked_ms = now_ms
        kept.awaited = {HostPort.parse(member) for member in self._members()}
        if not kept.awaited:
            return
        kept.group.start_learning(now_ms + LONGEST_LEARN_MS)
        ask = HeldSlotsRequest(name.service, name.zone, name.holder, name.regions)
        for address in kept.awaited:
            self._send(ask, address)

    def _take_held_ask(self, ask: HeldSlotsRequest, peer: Address) -> None:
        name = GroupName(ask.service, ask.group_zone, ask.holder, ask.regions)
        now_ms = elapsed_ms()
        self._make_way(name, f"{peer[0]}:{peer[1]}", now_ms)
        told = []
        for number, held in self._held.items():
            if held.name == name:
                held.keepers.add(peer)
                told.append((number, held.server_id, held.until_ms - now_ms))
        word = HeldSlotsReply(
            ask.service, ask.group_zone, ask.holder, ask.regions, told[:MOST_HELD]
        )
        self._send(word, peer)

    def _make_way(self, name: GroupName, keeper: str, now_ms: float) -> None:
        """Leave a group to a node that keeps its queue again and ranks before this one.

        Else both would give the same slots, each to the nodes that have it for the dispatcher.
        """
        self._choice.note_return(keeper)
        members = self._members()
        both = {node: members[node] for node in (keeper, self._own) if node in members}
        if len(both) < 2 or groups.dispatcher_of(name, both, ()) != keeper:
            return
        self._ceded_ms[name] = now_ms
        kept = self._kept.pop(name, None)
        if kept is not None:
            self._dismiss(kept)

    def _take_held_word(self, word: HeldSlotsReply, peer: Address) -> None:
        name = GroupName(word.service, word.group_zone, word.holder, word.regions)
        kept = self._kept.get(name)
        if kept is None or peer not in kept.awaited:
            return
        now_ms = elapsed_ms()
        for number, server_id, left_ms in word.held:
            kept.group.adopt(Requester(peer, number), server_id, left_ms, now_ms)
        kept.awaited.discard(peer)
        if not kept.awaited:
            self._answer(kept.group.finish_learning(now_ms))

    def _bounds(self, name: GroupName) -> ServerBounds:
        """Return what bounds the servers of a group whose queue this node keeps.

        A node that others rank before, and that can reach these, is asked by nodes that
        can't; one that has just started is not known to all yet. Half of the rate, beside the
        whole of it at the first node, is within the excess that servers tolerate.
        """
        servers = self._directory.servers
        is_known = elapsed_ms() - self._started_ms >= DISCOVERY_MS
        is_first = not self._own or self._enforces_limits(name, self._own)
        share = 1.0 if is_known and is_first else STANDBY_SHARE
        return ServerBounds(
            servers.cold_until_ms,
            self._directory.cold_per_s(name.service),
            servers.notices.limit_per_s,
            0.0 if self.leaving else share,
        )

    def _enforces_limits(self, name: GroupName, node: str) -> bool:
        return self._choice.enforces_limits(name, node, self._members(), elapsed_ms())

    def _take_return(self, message: SlotRelease, peer: Address) -> None:
        self._directory.note_rate_limits(message.limits, BY_ASKER)
        name = GroupName(message.service, message.group_zone, message.holder, message.regions)
        kept = self._kept.get(name)
        if kept is not None:
            asker = Requester(peer, message.number)
            took_ms, failed, silent = message.service_ms, message.failed, message.unanswered
            self._answer(kept.group.release(asker, took_ms, failed, elapsed_ms(), silent))

    def _answer(self, answers: list[SlotResult]) -> None:
        for answer in answers:
            self._send(_word(answer), answer.requester.node)

    def redirect_waiting(self) -> None:
        """Send those who wait here to the nodes that keep the queues from now on.

        These learn from all nodes which slots are in use.
        """
        for kept in self._kept.values():
            self._dismiss(kept)

    def _dismiss(self, kept: _Kept) -> None:
        for asker in kept.group.clear_queue():
            self._send(SlotReply(asker.number, leaving=True), asker.node)

    def _forget_old(self, now_ms: float) -> None:
        ceded, served_by = self._ceded_ms, self._served_by
        for name in [known for known, at_ms in ceded.items() if now_ms - at_ms >= CEDED_MS]:
            del ceded[name]
        for name in [known for known, row in served_by.items() if now_ms - row[1] >= ELSEWHERE_MS]:
            del served_by[name]

    def _forget_rates(self) -> None:
        known = self._directory.servers.records
        for server_id in [name for name in self._rates if name not in known]:
            del self._rates[server_id]

    def expire_forever(self) -> None:
        """Take back slots whose time is over."""
        while True:
            gevent.sleep(TICK_S)
            gevent.sleep(0)  # what came while the process stood still is read first
            now_ms = elapsed_ms()
            self._forget_old(now_ms)
            for name, kept in list(self._kept.items()):
                if self.leaving or (kept.group.waiting and kept.group.grants_nothing(now_ms)):
                    self._dismiss(kept)
                if kept.group.is_learning and now_ms - kept.asked_ms >= LEARN_MS:
                    self._answer(kept.group.finish_learning(now_ms))
                if kept.group.waiting:
                    self._answer(kept.group.expire(now_ms))
                elif now_ms - kept.used_ms > FORGET_MS:
                    del self._kept[name]
                    self._forget_rates()


def _word(answer: SlotResult) -> SlotReply:
    number = answer.requester.number
    if isinstance(answer, SlotGranted):
        return SlotReply(number, answer.server_id)
    if isinstance(answer, SlotQueued):
        return SlotReply(number, queued=True)
    return SlotReply(
        number, retry_after_ms=answer.retry_after_ms if isinstance(answer, SlotRejected) else 0.0
    )
