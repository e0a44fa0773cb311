"""The decisions of the key leader: which server holds which keys, and which calls to make.

Events are passed to methods together with the time; the methods return the actions to carry out.
The same code runs in the gateway and in the simulation.

Order of a move: the map in the store is changed first, so that every later leader knows the new
token and all servers that may hold the keys. Then the previous holders release the keys or their
leases expire. Then the new holder is granted the keys. Then the map marks them as settled, and
requests are sent to the new holder.

This module does no I/O and reads no clock. Times are milliseconds of the elapsed clock.
"""

from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from functools import partial

from ploverhatch.sharding import planner
from ploverhatch.sharding.holders import HolderLease, LeaseTiming
from ploverhatch.sharding.keymap import (
    Holder,
    KeyMap,
    KeyRange,
    Move,
    Standby,
    begin_moves,
    first_assignment,
    merge_neighbours,
    settle,
)
from ploverhatch.sharding.messages import (
    Action,
    CallOutcome,
    ForgetServer,
    HoldEnd,
    RangeId,
    Resign,
    SendGrant,
    SendRelease,
    ServiceView,
    StepDown,
    StoreMap,
    range_id,
)
from ploverhatch.sharding.restored import possible_holders, revoked_everywhere, token_above_lost
from ploverhatch.sharding.standbys import (
    assign_standbys,
    inherited,
    promotable,
    promote,
    with_known_holders,
)
from ploverhatch.sharding.transfer import Transfer
from ploverhatch.state.incarnations import is_later_incarnation, registered_name
from ploverhatch.state.server_notices import MIN_LIMIT_PER_S
from ploverhatch.state.servers import ServerRecord

PLAN_INTERVAL_MS = 400.0
# After a round that made all the moves it may while a server is asked for more than it can run.
OVERLOADED_PLAN_INTERVAL_MS = 200.0
# A grant is relayed to all nodes at once. It is stored with the next move, or after this time.
SETTLE_MS = 500.0
STABLE_SERVERS_MS = 1000.0  # time without a change of the servers before the first assignment
DOMINANT_COOLDOWN_MS = 3000.0  # time for which a dominant key stays where it was moved to
# For this long after a grant, the rates of the new keys are mostly of requests to their previous
# holder.
NEW_KEYS_GRACE_MS = 2000.0
MIN_SERVICE_MS = 0.1  # answers within less count as none
STORE_UNAVAILABLE_MS = 1250.0  # time since the last renewed lease after which standbys are promoted
CUT_OFF_MS = 1000.0  # time with most servers unreachable after which this node is cut off


@dataclass(frozen=True, slots=True)
class _GrantedRanges:
    """A map in which acknowledged ranges count as settled, with an index of settled ranges."""

    keymap: KeyMap
    holders: dict[RangeId, Holder]
    by_server: dict[str, list[RangeId]]

    @classmethod
    def of(cls, keymap: KeyMap) -> "_GrantedRanges":
        holders = {
            range_id(keymap.service, item): item.holder for item in keymap.ranges if item.settled
        }
        by_server: dict[str, list[RangeId]] = {}
        for name, holder in holders.items():
            by_server.setdefault(holder.server_id, []).append(name)
        return cls(keymap, holders, by_server)


@dataclass(slots=True)
class _ServiceState:
    """The state of one service with key ranges."""

    keymap: KeyMap
    storing: KeyMap | None = None  # the map that is being written to the store
    outdated: bool = False  # the store has an older map than ``keymap``
    # Set if the map is invalid: until then other leaders may renew grants of lost later maps.
    untrusted_until_ms: float | None = None
    granted: _GrantedRanges | None = None  # a cache, reset when the map or a transfer changes
    transfers: dict[RangeId, Transfer] = field(default_factory=dict)
    server_ids: frozenset[str] = frozenset()
    servers_since_ms: float = 0.0
    planned_ms: float = -1e12
    plan_interval_ms: float = PLAN_INTERVAL_MS
    dominant_moved_ms: dict[int, float] = field(default_factory=dict)  # time of the move, by key
    # The map that this leader wrote and that is known to be in the store. Only the leader that
    # wrote a map may promote its standbys.
    stored: KeyMap | None = None
    promoted: set[int] = field(default_factory=set)  # tokens of standbys
    has_unstored_promotions: bool = False  # the stored map doesn't show all promotions


class LeaderCore:
    """The leader's state and decisions during one term of leadership.

    :param timing: times that follow from the duration of a lease.
    :param limits: thresholds for moves that balance servers.
    :param writer: names the term in the maps that it writes, and no other term; if empty, each
        map that is read counts as another leader's.
    """

    def __init__(
        self,
        timing: LeaseTiming | None = None,
        limits: planner.PlanLimits | None = None,
        writer: str = "",
    ) -> None:
        self._writer = writer
        self._renewable_until_ms = -1e12  # time until which earlier leaders may make grants
        self._timing = timing or LeaseTiming()
        self._limits = limits or planner.PlanLimits()
        self._services: dict[str, _ServiceState] = {}
        self._leases: dict[str, HolderLease] = {}
        self._cut_off_since_ms: float | None = None
        self._restores = 0  # restores of the store so far
        # Services without a map may have lost it; other leaders may renew its grants until then.
        self._missing_until_ms: float | None = None

    # ---- state --------------------------------------------------------------------------

    def keymap(self, service: str) -> KeyMap:
        """Return the latest known map of a service, with the promoted standbys as holders."""
        state = self._services.get(service)
        return state.keymap if state else KeyMap(service)

    def granted(self, service: str) -> frozenset[int]:
        """Return the tokens of moving ranges whose new holders have acknowledged them."""
        state = self._services.get(service)
        transfers = state.transfers.items() if state else ()
        return frozenset(name.token for name, transfer in transfers if transfer.done)

    def promoted(self, service: str) -> frozenset[int]:
        """Return the tokens of promoted standbys of the map in the store."""
        state = self._services.get(service)
        return frozenset(state.promoted) if state else frozenset()

    def rates_by_holder(
        self, service: str, rates: Mapping[int, float], now_ms: float
    ) -> dict[str, float]:
        """Return requests per second by server, for servers without recently granted keys.

        Rates are means over some seconds, so those of keys that have just moved are mostly of
        requests that were sent to another server.

        :param rates: requests per second by key.
        """
        keymap = self.keymap(service)
        found: dict[str, float] = {}
        for key, rate in rates.items():
            item = keymap.find(key)
            if item is not None and item.settled:
                server_id = item.holder.server_id
                found[server_id] = found.get(server_id, 0.0) + rate
        return {
            server_id: rate
            for server_id, rate in found.items()
            if now_ms - self._leases[server_id].last_new_range_ms >= NEW_KEYS_GRACE_MS
        }

    def inherit(
        self,
        keymap: KeyMap,
        renewable_until_ms: float,
        now_ms: float = 0.0,
        same_incarnations: bool = True,
    ) -> None:
        """Take over the map of an earlier leader.

        :param renewable_until_ms: time until which earlier leaders may renew its leases.
        :param same_incarnations: whether the incarnations that were granted the keys are known
            to be running still.
        """
        self.note_renewable(renewable_until_ms)
        state = self._state(keymap.service)
        self._inherit(state, keymap, now_ms)
        if not same_incarnations:
            self._distrust_grants(state.keymap)

    def note_renewable(self, until_ms: float) -> None:
        """Record a time until which earlier leaders may make and renew grants."""
        self._renewable_until_ms = max(self._renewable_until_ms, until_ms)

    def _inherit(self, state: _ServiceState, keymap: KeyMap, now_ms: float) -> None:
        """Adopt a map of another leader, which may have granted keys by it.

        That leader didn't know all that is known here: who may hold keys by the map that is
        replaced may hold them still.
        """
        keymap = with_known_holders(keymap, state.keymap, partial(self._has_ended, state))
        keymap = inherited(keymap)
        for item in keymap.ranges:
            for holder in item.possible_holders:
                self._lease(holder).note_renewable(self._renewable_until_ms)
        state.transfers.clear()  # they don't wait for the holders that the other leader knew
        self._adopt(state, keymap, now_ms)

    def _has_ended(self, state: _ServiceState, item: KeyRange, holder: Holder) -> bool:
        """Whether a possible holder of a range certainly holds it no more.

        A release is no proof: an earlier leader may grant the range again at a reserved token,
        which is higher than the one that the release named.
        """
        transfer = state.transfers.get(range_id(state.keymap.service, item))
        return transfer is not None and transfer.ended.get(holder.server_id) is HoldEnd.EXPIRED

    def _distrust_grants(self, keymap: KeyMap) -> None:
        """Make no call at a map's tokens: other incarnations may have been granted the keys."""
        for item in keymap.ranges:
            self._lease(item.holder).unproven_tokens.add(item.token)

    def _state(self, service: str) -> _ServiceState:
        return self._services.setdefault(service, _ServiceState(KeyMap(service)))

    def _lease(self, holder: Holder) -> HolderLease:
        lease = self._leases.get(holder.server_id)
        if lease is None:
            lease = HolderLease(holder, self._timing)
            self._leases[holder.server_id] = lease
        return lease

    @property
    def has_unfinished_moves(self) -> bool:
        """Whether moves have begun that the map in the store doesn't show as done yet."""
        return any(state.transfers or state.storing for state in self._services.values())

    # ---- rounds -------------------------------------------------------------------------

    def tick(
        self,
        now_ms: float,
        views: Mapping[str, ServiceView],
        may_change: bool,
        finishing: bool = False,
        store_unavailable: bool = False,
        cut_off: bool = False,
    ) -> list[Action]:
        """Return the actions that are due.

        :param views: the states of all services with key ranges.
        :param may_change: whether maps may be stored.
        :param finishing: whether this node is about to release the leader's lease. It then begins
            no moves, and stores finished moves at once.
        :param store_unavailable: whether the store accepts no map at present.
        :param cut_off: whether this node reaches no server, although another node does.
        """
        if cut_off:
            return self._tick_while_cut_off(now_ms, store_unavailable)
        actions: list[Action] = []
        for view in views.values():
            self._note_unresponsive(view, now_ms)
        if may_change and finishing:
            for state in self._services.values():
                actions += self._settle(state, now_ms, wait_ms=0.0)
        elif may_change:
            actions += self._plan_all(views, now_ms)
            actions += self._check_connectivity(views, now_ms)
        if store_unavailable and not finishing:
            for service, view in views.items():
                self._promote_standbys(service, view, now_ms)
        for state in self._services.values():
            for transfer in state.transfers.values():
                actions += transfer.calls(now_ms, partial(self._may_release, now_ms))
        actions += self._due_renewals(now_ms)
        return actions

    def _tick_while_cut_off(self, now_ms: float, store_unavailable: bool) -> list[Action]:
        """Resign, or renew grants until the store can pass the lease to another node.

        No keys are moved: their holders are unreachable from this node only. Connections that
        are open may still carry renewals.
        """
        if store_unavailable:
            return self._due_renewals(now_ms)
        return [Resign(confirmed=True)]

    def _note_unresponsive(self, view: ServiceView, now_ms: float) -> None:
        for record in view.records:
            lease = self._leases.get(record.server_id)
            if lease is not None:
                lease.note_unresponsive(record.server_id in view.unresponsive, now_ms)

    def _may_release(self, now_ms: float, server_id: str) -> bool:
        lease = self._leases.get(server_id)
        return lease is None or lease.may_release(now_ms)

    def _plan_all(self, views: Mapping[str, ServiceView], now_ms: float) -> list[Action]:
        actions: list[Action] = []
        for service, view in views.items():
            actions += self._plan(self._state(service), view, now_ms)
        return actions

    def _plan(self, state: _ServiceState, view: ServiceView, now_ms: float) -> list[Action]:
        if state.storing is not None:
            return []
        if state.untrusted_until_ms is not None and state.keymap.ranges and view.records:
            return self._store(
                state, self._revoked_everywhere(state.keymap, view, state.untrusted_until_ms)
            )
        if state.outdated and state.keymap.ranges:
            keymap = self._granted_map(state)
            return self._store(
                state, replace(keymap, token=token_above_lost(keymap.token, self._restores))
            )
        candidates = self._candidates(state, view, now_ms)
        if state.has_unstored_promotions:
            return self._store(state, merge_neighbours(self._granted_map(state)), candidates)
        if not candidates:
            return self._settle(state, now_ms)
        if not state.keymap.ranges:
            if now_ms - state.servers_since_ms < STABLE_SERVERS_MS:
                return []
            keymap = first_assignment(state.keymap, planner.initial_pieces(candidates))
            if self._missing_until_ms is not None:
                keymap = self._revoked_everywhere(keymap, view, self._missing_until_ms)
            return self._store(state, keymap, candidates)
        return self._plan_moves(state, candidates, view.rates, now_ms) or self._settle(
            state, now_ms
        )

    def _promote_standbys(self, service: str, view: ServiceView, now_ms: float) -> None:
        """Promote the standbys of ranges whose holders are gone, without a write to the store."""
        state = self._services.get(service)
        if state is None or state.untrusted_until_ms is not None or state.outdated:
            return
        candidates = self._candidates(state, view, now_ms)
        usable = {candidate.holder for candidate in candidates}
        reserved = promotable(state.stored.ranges) if state.stored else set()
        tokens = {
            standby.token
            for item in state.keymap.ranges
            if (standby := self._standby_for(item, usable)) is not None and standby in reserved
        }
        if tokens:
            state.promoted |= tokens
            self._adopt(state, state.keymap, now_ms)

    def _standby_for(self, item: KeyRange, usable: Collection[Holder]) -> Standby | None:
        """Return the standby that replaces a range's present grant, if it has to be replaced."""
        if item.holder not in usable:
            standby = item.standby
        elif item.token in self._lease(item.holder).unproven_tokens:
            standby = item.renewal or item.standby
        else:
            return None
        return standby if standby is not None and standby.holder in usable else None

    def _settle(
        self, state: _ServiceState, now_ms: float, wait_ms: float = SETTLE_MS
    ) -> list[Action]:
        """Store acknowledged ranges as settled, ``wait_ms`` after the first acknowledgement."""
        if state.storing is not None:
            return []
        times = [transfer.done_ms for transfer in state.transfers.values()]
        done = [done_ms for done_ms in times if done_ms is not None]
        if not done or now_ms - min(done) < wait_ms:
            return []
        return self._store(state, merge_neighbours(self._granted_map(state)))

    def _granted_map(self, state: _ServiceState) -> KeyMap:
        """Return the map in which acknowledged ranges count as settled."""
        return self._granted_ranges(state).keymap

    def _granted_ranges(self, state: _ServiceState) -> _GrantedRanges:
        """Return the map of ``_granted_map`` with an index; cached, as each renewal needs it."""
        if state.granted is None:
            service = state.keymap.service
            done = {name for name, transfer in state.transfers.items() if transfer.done}
            settled = settle(state.keymap, lambda item: range_id(service, item) in done)
            state.granted = _GrantedRanges.of(settled if done else state.keymap)
        return state.granted

    def _plan_moves(
        self,
        state: _ServiceState,
        candidates: list[planner.Candidate],
        rates: Mapping[int, float],
        now_ms: float,
    ) -> list[Action]:
        usable = {candidate.holder.server_id for candidate in candidates}
        regrants = self._regrants(state, usable)
        if regrants:
            return self._store(state, begin_moves(self._granted_map(state), regrants), candidates)
        urgent = any(item.holder.server_id not in usable for item in state.keymap.ranges)
        if not urgent and now_ms - state.planned_ms < state.plan_interval_ms:
            return []
        state.planned_ms = now_ms
        cooling_down = {
            key
            for key, moved_ms in state.dominant_moved_ms.items()
            if now_ms - moved_ms < DOMINANT_COOLDOWN_MS
        }
        keymap = self._granted_map(state)
        moves = planner.plan_moves(keymap, candidates, rates, cooling_down, self._limits)
        round_is_full = len(moves) >= self._limits.max_moves
        if round_is_full and planner.has_overloaded(keymap, candidates, rates):
            state.plan_interval_ms = OVERLOADED_PLAN_INTERVAL_MS
        else:
            state.plan_interval_ms = PLAN_INTERVAL_MS
        for move in moves:
            if move.first == move.last:
                state.dominant_moved_ms[move.first] = now_ms
        if not moves:
            return []
        return self._store(state, begin_moves(merge_neighbours(keymap), moves), candidates)

    def _regrants(self, state: _ServiceState, usable: Collection[str]) -> list[Move]:
        """Return moves to the same holder where a later incarnation of it may answer.

        A later incarnation would accept a renewal, and hold keys at a token that did not rise. A
        new token is right for either incarnation. It makes requests for the keys wait for one
        write to the store and one call.
        """
        return [
            Move(item.first, item.last, item.holder)
            for item in self._granted_map(state).ranges
            if item.holder.server_id in usable
            and item.token in self._lease(item.holder).unproven_tokens
        ]

    def _store(
        self,
        state: _ServiceState,
        keymap: KeyMap,
        candidates: Sequence[planner.Candidate] = (),
    ) -> list[Action]:
        """Return the action that stores a map.

        :param candidates: servers to choose standbys from; if empty, the standbys are kept.
        """
        if candidates:
            holders = [candidate.holder for candidate in candidates]
            keymap = assign_standbys(keymap, state.stored or KeyMap(keymap.service), holders)
        state.storing = replace(keymap, writer=self._writer)
        return [StoreMap(state.storing)]

    def _candidates(
        self, state: _ServiceState, view: ServiceView, now_ms: float
    ) -> list[planner.Candidate]:
        records = [record for record in view.records if not record.leaving]
        ids = frozenset(record.server_id for record in records)
        if ids != state.server_ids:
            state.server_ids = ids
            state.servers_since_ms = now_ms
            self._note_incarnations(view.records)
        reachable = [record for record in records if not self._is_avoided(record.server_id, now_ms)]
        if len(reachable) * 2 < len(records):
            return []  # this node is more likely to be cut off
        shedding = [record for record in reachable if record.server_id in view.shedding]
        # If most servers are shedding load, the others could not bear their keys.
        if len(shedding) * 2 <= len(reachable):
            reachable = [record for record in reachable if record not in shedding]
        return [
            planner.Candidate(
                Holder(record.server_id, record.host, record.port),
                record.slots,
                _service_ms(view, record),
                record.server_id in view.limit_per_s,
                view.speeds.get(record.server_id, 1.0),
            )
            for record in reachable
        ]

    def _note_incarnations(self, records: Sequence[ServerRecord]) -> None:
        """Stop waiting for incarnations whose servers run at another address by now.

        A server that is back at its old address is asked to release the ranges of its earlier
        incarnation, like any holder, since a late grant to that one could still reach it.
        """
        latest = {registered_name(record.server_id): record for record in records}
        for lease in self._leases.values():
            holder = lease.holder
            record = latest.get(registered_name(holder.server_id))
            if record is None or lease.superseded:
                continue
            elsewhere = (record.host, record.port) != (holder.host, holder.port)
            if elsewhere and is_later_incarnation(record.server_id, holder.server_id):
                lease.note_superseded()
                self._end_transfers_from(holder)

    def _is_avoided(self, server_id: str, now_ms: float) -> bool:
        lease = self._leases.get(server_id)
        return lease is not None and lease.is_avoided(now_ms)

    def _check_connectivity(self, views: Mapping[str, ServiceView], now_ms: float) -> list[Action]:
        """Resign if most servers can't be reached from this node for ``CUT_OFF_MS``."""
        server_ids = [record.server_id for view in views.values() for record in view.records]
        avoided = sum(self._is_avoided(server_id, now_ms) for server_id in server_ids)
        if avoided * 2 <= len(server_ids):
            self._cut_off_since_ms = None
            return []
        if self._cut_off_since_ms is None:
            self._cut_off_since_ms = now_ms
        return [Resign()] if now_ms - self._cut_off_since_ms >= CUT_OFF_MS else []

    def forget_gone(self, server_ids: Collection[str], now_ms: float) -> frozenset[str]:
        """Drop the leases of servers that are gone and can hold no keys any more.

        :param server_ids: servers that have a record.
        :returns: the servers that have a record or a lease.
        """
        named = set(server_ids)
        for state in self._services.values():
            for keymap in filter(None, (state.keymap, state.storing)):
                for item in keymap.ranges:
                    named.update(holder.server_id for holder in item.possible_holders)
            for transfer in state.transfers.values():
                named.update(transfer.expiries_ms)
        for server_id, lease in list(self._leases.items()):
            if (
                server_id not in named
                and lease.held_until_ms < now_ms
                and not lease.renewals_in_flight
            ):
                del self._leases[server_id]
            else:
                lease.keep_only(self._settled_ranges(server_id))
        return frozenset(self._leases) | frozenset(server_ids)

    # ---- renewals -----------------------------------------------------------------------

    def _due_renewals(self, now_ms: float) -> list[Action]:
        return [
            action for lease in self._leases.values() for action in self._renewals(lease, now_ms)
        ]

    def _renewals(self, lease: HolderLease, now_ms: float) -> list[Action]:
        if lease.superseded:
            return []
        names = [
            name
            for name in self._settled_ranges(lease.holder.server_id)
            if self.may_send(lease.holder, name, renewal=True)
        ]
        due = lease.due_renewals(names, now_ms)
        return [SendGrant(lease.holder, name, "", renewal=True) for name in due]

    def _settled_ranges(self, server_id: str) -> list[RangeId]:
        return [
            name
            for state in self._services.values()
            for name in self._granted_ranges(state).by_server.get(server_id, ())
        ]

    def note_connection_closed(self, holder: Holder) -> None:
        """Record that a holder's connection closed; its grants may belong to a past incarnation."""
        lease = self._lease(holder)
        lease.unproven_tokens.update(name.token for name in self._settled_ranges(holder.server_id))

    # ---- calls to servers -----------------------------------------------------------------

    def may_send(self, holder: Holder, name: RangeId, renewal: bool) -> bool:
        """Whether a grant is still valid; to be checked again right before it is sent."""
        state = self._services.get(name.service)
        if state is None or name.token in self._lease(holder).unproven_tokens:
            return False
        if not renewal:
            transfer = state.transfers.get(name)
            return transfer is not None and transfer.target == holder
        planned = state.storing or state.keymap
        granted = self._granted_ranges(state).holders.get(name)
        return granted == holder and self._stays_with(planned, holder, name)

    def _stays_with(self, planned: KeyMap, holder: Holder, name: RangeId) -> bool:
        """Whether a range stays with its holder in the map that is being stored."""
        item = planned.find(name.first)
        return item is not None and item.holder == holder

    def grant_sent(self, holder: Holder, now_ms: float) -> None:
        """Record that a grant is sent now."""
        self._lease(holder).note_grant_sent(now_ms)

    def grant_ended(self, call: SendGrant, outcome: CallOutcome, now_ms: float) -> list[Action]:
        """Record the outcome of a grant, and return the actions that follow."""
        lease = self._lease(call.holder)
        actions = self._note_outcome(lease, outcome, now_ms)
        if not call.renewal:
            state = self._services.get(call.range_id.service)
            transfer = state.transfers.get(call.range_id) if state else None
            if state is not None and transfer is not None:
                transfer.grant_ended(outcome is CallOutcome.DONE, now_ms)
                if outcome is CallOutcome.DONE:
                    lease.note_granted(call.range_id, now_ms)
                state.granted = None
            return actions
        lease.note_renewal_ended(call.range_id, now_ms, outcome is CallOutcome.DONE)
        if outcome is CallOutcome.DONE:
            return actions + self._renewals(lease, now_ms)
        if outcome is CallOutcome.REFUSED and self.may_send(call.holder, call.range_id, True):
            # This leader does not move the range, so a newer leader has raised its token.
            actions.append(StepDown())
        return actions

    def release_ended(
        self, call: SendRelease, outcome: CallOutcome, handover: str, now_ms: float
    ) -> list[Action]:
        """Record the outcome of a release, and return the actions that follow."""
        actions = self._note_outcome(self._lease(call.holder), outcome, now_ms)
        state = self._services.get(call.range_id.service)
        transfer = state.transfers.get(call.range_id) if state else None
        if transfer is None:
            return actions
        if outcome is CallOutcome.DONE:
            transfer.released(call.holder.server_id, handover)
        else:
            transfer.release_failed(call.holder.server_id, now_ms)
        return actions + list(transfer.calls(now_ms, partial(self._may_release, now_ms)))

    def _note_outcome(
        self, lease: HolderLease, outcome: CallOutcome, now_ms: float
    ) -> list[Action]:
        if outcome is CallOutcome.OTHER_INSTANCE:
            return self._note_stopped(lease)
        if outcome in {CallOutcome.DONE, CallOutcome.REFUSED}:
            lease.note_answer(now_ms)
        elif outcome in {CallOutcome.NO_ANSWER, CallOutcome.NOT_LISTENING}:
            lease.note_no_answer(now_ms)
        return []

    def _note_stopped(self, lease: HolderLease) -> list[Action]:
        lease.note_stopped()
        self._end_transfers_from(lease.holder)
        return [ForgetServer(lease.holder.server_id)]

    def _end_transfers_from(self, holder: Holder) -> None:
        for state in self._services.values():
            for transfer in state.transfers.values():
                transfer.holder_ended(holder.server_id)

    # ---- the map in the store -------------------------------------------------------------

    def map_stored(self, keymap: KeyMap, revision: int, now_ms: float) -> None:
        """Record that the store accepted a map; its answer was read at ``now_ms``."""
        state = self._services[keymap.service]
        state.storing = None
        state.outdated = False
        self._note_stored(state, replace(keymap, revision=revision), now_ms)

    def map_not_stored(self, service: str) -> None:
        """Record that the store did not accept a map, or that it is not known whether it did."""
        self._services[service].storing = None

    def invalidate(self, service: str, renewable_until_ms: float) -> None:
        """Invalidate a map: later maps were lost in a restore of the store.

        Any server may then hold any key, at any token.

        :param renewable_until_ms: time until which another leader may renew grants of the lost
            maps.
        """
        state = self._services.get(service)
        if state is not None:
            state.untrusted_until_ms = renewable_until_ms

    def note_restores(self, count: int) -> None:
        """Record how often the store has been restored from snapshots so far."""
        self._restores = max(self._restores, count)

    def invalidate_missing(self, renewable_until_ms: float) -> None:
        """Invalidate missing maps: a service without a map may have lost it in a restore.

        Any server may then hold its keys.

        :param renewable_until_ms: time until which another leader may renew grants of the lost
            maps.
        """
        self._missing_until_ms = renewable_until_ms

    def _revoked_everywhere(
        self, keymap: KeyMap, view: ServiceView, renewable_until_ms: float
    ) -> KeyMap:
        """Return the map with each range moving from every possible holder to its holder."""
        servers = [Holder(item.server_id, item.host, item.port) for item in view.records]
        holders = possible_holders(keymap, servers)
        for holder in holders:
            self._lease(holder).note_renewable(renewable_until_ms)
        return revoked_everywhere(keymap, holders, self._restores)

    def map_outdated(self, service: str) -> None:
        """Record that the restored store has an older map of a service than this leader."""
        state = self._services.get(service)
        if state is not None:
            state.outdated = True

    def map_seen(self, keymap: KeyMap, now_ms: float) -> bool:
        """Record that a map was read from the store; it is adopted if its revision is later.

        :returns: whether it was adopted as the map of another leader. Such a map is found in
            mid-term where the store carries out the write of an earlier leader late.
        """
        state = self._state(keymap.service)
        if state.storing is not None or keymap.revision <= state.keymap.revision:
            return False
        if keymap.token < state.keymap.token:
            # The store was restored from a snapshot, so its map has to be overwritten.
            state.outdated = True
            state.stored = None
            known = replace(state.keymap, revision=keymap.revision)
            self._adopt_stored(state, known, now_ms)
            return False
        if self._writer and keymap.writer == self._writer:
            self._note_stored(state, keymap, now_ms)
            return False
        state.stored = None
        if self._missing_until_ms is not None and not state.keymap.ranges:
            state.untrusted_until_ms = self._missing_until_ms
        self._keep_listed_promotions(state, keymap)
        self._inherit(state, promote(keymap, state.promoted), now_ms)
        self._distrust_grants(state.keymap)
        return True

    def _note_stored(self, state: _ServiceState, keymap: KeyMap, now_ms: float) -> None:
        """Adopt a map that this leader wrote and that the store has."""
        state.untrusted_until_ms = None
        state.stored = keymap
        self._adopt_stored(state, keymap, now_ms)

    def _adopt_stored(self, state: _ServiceState, keymap: KeyMap, now_ms: float) -> None:
        """Adopt a map that the store has; its write may have begun before a promotion."""
        self._keep_listed_promotions(state, keymap)
        self._adopt(state, keymap, now_ms)

    def _keep_listed_promotions(self, state: _ServiceState, keymap: KeyMap) -> None:
        """Drop the promotions that a map in the store shows or has replaced."""
        listed = {standby.token for item in keymap.ranges for standby in item.standbys}
        state.promoted &= listed
        state.has_unstored_promotions = promote(keymap, state.promoted) != keymap

    def _adopt(self, state: _ServiceState, keymap: KeyMap, now_ms: float) -> None:
        promoted = promote(keymap, state.promoted)
        state.has_unstored_promotions = state.has_unstored_promotions or promoted != keymap
        keymap = promoted
        state.keymap = keymap
        state.granted = None
        moving = {range_id(keymap.service, item): item for item in keymap.moving}
        for name in [known for known in state.transfers if known not in moving]:
            del state.transfers[name]
        for name, item in moving.items():
            if name not in state.transfers:
                state.transfers[name] = Transfer.start(name, item, self._leases, now_ms)
        self._prepare_leases(keymap.ranges)

    def _prepare_leases(self, ranges: Iterable[KeyRange]) -> None:
        for item in ranges:
            self._lease(item.holder)


def _service_ms(view: ServiceView, record: ServerRecord) -> float:
    """Return the service time of a server; a bound on its rate counts as a longer one."""
    known_ms = view.service_ms.get(record.server_id, planner.DEFAULT_SERVICE_MS)
    service_ms = max(known_ms, MIN_SERVICE_MS)
    limit_per_s = view.limit_per_s.get(record.server_id)
    if limit_per_s is not None:
        service_ms = max(service_ms, record.slots * 1000 / max(limit_per_s, MIN_LIMIT_PER_S))
    if record.server_id in view.cold and view.cold_per_s:
        return max(service_ms, record.slots * 1000 / view.cold_per_s)
    return service_ms
