"""The leader's work: grants keys to servers, renews them, and moves them.

One task renews each server's leases, one task carries each moving range from
its old holders to the new one. Every call checks right before it is sent that
this node may still act; the key map in the store is changed first, so that a
later leader knows of every token and every possible holder.
"""

from dataclasses import dataclass, field, replace

import gevent

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.logs import PartLogger
from ploverhatch.gateway import keymap_codec
from ploverhatch.gateway.dialect import (
    Dialect,
    GrantCall,
    GrantRefusedError,
    OtherInstanceError,
    ReleaseCall,
)
from ploverhatch.gateway.directory import Directory
from ploverhatch.gateway.elector import Elector
from ploverhatch.gateway.load_reports import LoadReport
from ploverhatch.gateway.server_control import ControlCallError, ServerControl
from ploverhatch.routing.servers import ServerRecord
from ploverhatch.sharding import planner
from ploverhatch.sharding.keymap import (
    Holder,
    KeyMap,
    KeyRange,
    Move,
    begin_moves,
    first_assignment,
    merge_neighbours,
    settle,
)
from ploverhatch.sharding.load import AnswerTimes, KeyLoad
from ploverhatch.store import kinds
from ploverhatch.store.objects import (
    ObjectStore,
    OutcomeUnknownError,
    RevisionConflictError,
    StoreCallError,
)

LOG = PartLogger("leader")

HOLD_MS = 4000.0
RENEW_S = 1.2
RETRY_S = 0.25
CLOCK_DRIFT = 1.02
LAPSE_MARGIN_MS = 250.0
TICK_S = 0.1
PLAN_EVERY_MS = 400.0
FIRST_SERVERS_MS = 1000.0  # the set of servers is stable for so long before the first deal
RELEASE_TIMEOUT_S = 3.0
UNREACHABLE_MS = 1000.0
AVOID_MS = 4000.0  # how long a server that could not be reached gets no keys


@dataclass(slots=True)
class _HolderState:
    """What the leader knows of one server as a holder of keys."""

    control: ServerControl
    held_until_ms: float = 0.0  # by then every lease it was sent has surely lapsed
    failing_since_ms: float = 0.0
    avoid_until_ms: float = 0.0


@dataclass(slots=True)
class _ServiceState:
    """One partitioned service."""

    keymap: KeyMap
    load: KeyLoad = field(default_factory=KeyLoad)
    granted: set[tuple[int, int, int]] = field(default_factory=set)  # moves that are done
    transfers: dict[tuple[int, int, int], gevent.Greenlet] = field(default_factory=dict)
    candidates_since_ms: float = 0.0
    candidate_ids: frozenset[str] = frozenset()
    planned_ms: float = 0.0


class KeyLeader:
    """Acts while this node leads; a new one is made for each term."""

    def __init__(
        self, store: ObjectStore, directory: Directory, elector: Elector, dialect: Dialect
    ) -> None:
        self._store = store
        self._directory = directory
        self._elector = elector
        self._dialect = dialect
        self._services: dict[str, _ServiceState] = {}
        self._holders: dict[str, _HolderState] = {}
        self._renewals: dict[str, gevent.Greenlet] = {}
        self._inherited_until_ms = elector.authority_inherited_until_ms
        self.answer_times = AnswerTimes()

    # ---- life -------------------------------------------------------------------------

    def run(self) -> None:
        """Lead until the lease is lost."""
        try:
            self._load_maps()
            while self._elector.has_authority:
                self._tick()
                gevent.sleep(TICK_S)
        finally:
            self._stop()

    def _load_maps(self) -> None:
        while self._elector.state.leading:
            try:
                listing = self._store.list_all(kinds.KEYMAPS)
                break
            except StoreCallError as error:
                LOG.warning("Key maps not read.", cause=error)
                gevent.sleep(RETRY_S)
        else:
            return
        for item in listing.items:
            keymap = keymap_codec.decode_keymap(item)
            self._services[keymap.service] = _ServiceState(keymap)
            self._directory.put_keymap(keymap)
            self._inherit_leases(keymap)

    def _inherit_leases(self, keymap: KeyMap) -> None:
        """Leases of the predecessor may be renewed for as long as it may act."""
        last_ms = max(self._inherited_until_ms, elapsed_ms())
        for item in keymap.ranges:
            for holder in (item.holder, *item.previous):
                state = self._holder(holder)
                state.held_until_ms = last_ms + HOLD_MS * CLOCK_DRIFT + LAPSE_MARGIN_MS

    def _stop(self) -> None:
        gevent.killall(list(self._renewals.values()), block=False)
        for service in self._services.values():
            gevent.killall(list(service.transfers.values()), block=False)
        for holder in self._holders.values():
            holder.control.close()

    def take_report(self, report: LoadReport) -> None:
        """Take a node's report."""
        now_ms = elapsed_ms()
        for service, keys in report.keys.items():
            state = self._services.get(service)
            if state is not None:
                state.load.add(now_ms, keys)
        for server_id, (mean_ms, typical_ms) in report.answer_ms.items():
            self.answer_times.add(server_id, mean_ms, typical_ms)

    def _holder(self, holder: Holder) -> _HolderState:
        state = self._holders.get(holder.server_id)
        if state is None:
            state = _HolderState(ServerControl(holder, self._dialect))
            self._holders[holder.server_id] = state
        return state

    # ---- one round --------------------------------------------------------------------

    def _tick(self) -> None:
        table = self._directory.table
        if table is None or not self._directory.servers_known:
            return
        for service in table.services.values():
            if service.partitioned:
                state = self._services.setdefault(service.name, _ServiceState(KeyMap(service.name)))
                self._tend(state)
        for service_state in self._services.values():
            self._tend_tasks(service_state)

    def _tend(self, state: _ServiceState) -> None:
        if not self._elector.may_change:
            return
        now_ms = elapsed_ms()
        if self._settle_done(state):
            return
        candidates = self._candidates(state, now_ms)
        if not candidates:
            return
        if not state.keymap.ranges:
            if now_ms - state.candidates_since_ms >= FIRST_SERVERS_MS:
                pieces = planner.initial_pieces(candidates)
                self._store_map(state, first_assignment(state.keymap, pieces))
            return
        urgent = self._has_lost_holder(state, candidates)
        if not urgent and now_ms - state.planned_ms < PLAN_EVERY_MS:
            return
        state.planned_ms = now_ms
        moves = planner.plan_moves(state.keymap, candidates, state.load.rates(now_ms))
        if moves:
            self._begin(state, moves)

    def _has_lost_holder(self, state: _ServiceState, candidates: list[planner.Candidate]) -> bool:
        usable = {candidate.holder.server_id for candidate in candidates}
        return any(item.holder.server_id not in usable for item in state.keymap.ranges)

    def _candidates(self, state: _ServiceState, now_ms: float) -> list[planner.Candidate]:
        records = [
            record
            for record in self._directory.servers.of_service(state.keymap.service)
            if not record.draining
        ]
        ids = frozenset(record.server_id for record in records)
        if ids != state.candidate_ids:
            state.candidate_ids = ids
            state.candidates_since_ms = now_ms
        reachable = [record for record in records if not self._avoided(record, now_ms)]
        if len(reachable) * 2 < len(records):
            return []  # it is rather this node that is cut off
        work_ms = self.answer_times.work_ms([record.server_id for record in reachable])
        return [
            planner.Candidate(
                Holder(record.server_id, record.host, record.port),
                record.slots,
                work_ms[record.server_id],
            )
            for record in reachable
        ]

    def _avoided(self, record: ServerRecord, now_ms: float) -> bool:
        state = self._holders.get(record.server_id)
        return state is not None and now_ms < state.avoid_until_ms

    def _begin(self, state: _ServiceState, moves: list[Move]) -> None:
        keymap = begin_moves(state.keymap, moves)
        if self._store_map(state, keymap):
            for move in moves:
                LOG.info(
                    "Keys move.",
                    service=keymap.service,
                    first=move.first,
                    last=move.last,
                    to=move.target.server_id,
                )

    def _settle_done(self, state: _ServiceState) -> bool:
        """Publish the moves that have ended; true when there were any."""
        if not state.granted:
            return False
        done = set(state.granted)
        keymap = settle(state.keymap, lambda item: _identity(item) in done)
        if self._store_map(state, merge_neighbours(keymap)):
            state.granted -= done
        return True

    def _store_map(self, state: _ServiceState, keymap: KeyMap) -> bool:
        """Write a map by compare-and-set; on doubt, read back what is there."""
        content = keymap_codec.encode_keymap(keymap)
        try:
            if keymap.revision:
                written = self._store.replace(
                    kinds.KEYMAPS, keymap.service, content, keymap.revision
                )
            else:
                written = self._store.create(kinds.KEYMAPS, keymap.service, content)
        except (RevisionConflictError, OutcomeUnknownError):
            self._read_back(state)
            return False
        except StoreCallError as error:
            LOG.warning("Key map not stored.", service=keymap.service, cause=error)
            return False
        state.keymap = replace(keymap, revision=written.revision)
        self._directory.put_keymap(state.keymap)
        return True

    def _read_back(self, state: _ServiceState) -> None:
        try:
            item = self._store.get(kinds.KEYMAPS, state.keymap.service)
        except StoreCallError:
            return
        if item is not None and item.revision > state.keymap.revision:
            state.keymap = keymap_codec.decode_keymap(item)
            self._directory.put_keymap(state.keymap)

    # ---- tasks ------------------------------------------------------------------------

    def _tend_tasks(self, state: _ServiceState) -> None:
        """Start a task for each holder and each moving range that has none."""
        for item in state.keymap.ranges:
            server_id = item.holder.server_id
            if server_id not in self._renewals and item.settled:
                self._renewals[server_id] = gevent.spawn(self._renew_all, item.holder)
        wanted = {_identity(item): item for item in state.keymap.moving}
        for identity in [known for known in state.transfers if known not in wanted]:
            state.transfers.pop(identity).kill(block=False)
        for identity, item in wanted.items():
            if identity not in state.transfers and identity not in state.granted:
                state.transfers[identity] = gevent.spawn(self._transfer, state, item)

    def _settled_ranges(self, server_id: str) -> list[KeyRange]:
        return [
            item
            for state in self._services.values()
            for item in state.keymap.held_by(server_id)
            if item.settled
        ]

    def _renew_all(self, holder: Holder) -> None:
        """Renew the leases of one server for as long as it holds keys."""
        state = self._holder(holder)
        while True:
            failed = False
            ranges = self._settled_ranges(holder.server_id)
            if not ranges:
                break
            for item in ranges:
                failed |= not self._renew(state, holder, item)
            gevent.sleep(RETRY_S if failed else RENEW_S)
        self._renewals.pop(holder.server_id, None)

    def _renew(self, state: _HolderState, holder: Holder, item: KeyRange) -> bool:
        # The map may have changed while earlier ranges were renewed.
        if item not in self._settled_ranges(holder.server_id):
            return True
        if not self._elector.has_authority:
            return False
        try:
            self._send_grant(state, item, "")
        except GrantRefusedError:
            LOG.warning("Renewal refused: a higher token was seen.", server=holder.server_id)
            return False
        except OtherInstanceError:
            self._note_ended(state, holder)
            return False
        except ControlCallError as error:
            self._note_unreachable(state, holder, error)
            return False
        state.failing_since_ms = 0.0
        return True

    def _send_grant(self, state: _HolderState, item: KeyRange, handover: str) -> None:
        lapse_ms = elapsed_ms() + HOLD_MS * CLOCK_DRIFT + LAPSE_MARGIN_MS
        state.held_until_ms = max(state.held_until_ms, lapse_ms)
        state.control.grant(GrantCall(item.first, item.last, item.token, HOLD_MS, handover))

    def _note_ended(self, state: _HolderState, holder: Holder) -> None:
        """Another life answered at the address: the holder holds nothing any more."""
        state.held_until_ms = 0.0
        self._directory.server_ended(holder.server_id)

    def _note_unreachable(
        self, state: _HolderState, holder: Holder, error: ControlCallError
    ) -> None:
        now_ms = elapsed_ms()
        if not state.failing_since_ms:
            state.failing_since_ms = now_ms
        if now_ms - state.failing_since_ms >= UNREACHABLE_MS:
            if now_ms >= state.avoid_until_ms:
                LOG.warning("Server cannot be reached.", server=holder.server_id, cause=error)
            state.avoid_until_ms = now_ms + AVOID_MS

    def _transfer(self, state: _ServiceState, item: KeyRange) -> None:
        """Carry one range from its previous holders to its new one."""
        handover = ""
        for previous in item.previous:
            handover = self._take_back(previous, item) or handover
        holder_state = self._holder(item.holder)
        while self._elector.has_authority:
            try:
                self._send_grant(holder_state, item, handover)
                state.granted.add(_identity(item))
                return
            except GrantRefusedError:
                LOG.warning("Grant refused.", server=item.holder.server_id, token=item.token)
                gevent.sleep(RETRY_S)
            except OtherInstanceError:
                self._note_ended(holder_state, item.holder)
                return
            except ControlCallError as error:
                self._note_unreachable(holder_state, item.holder, error)
                gevent.sleep(RETRY_S)

    def _take_back(self, previous: Holder, item: KeyRange) -> str:
        """Release a range, or wait until its leases have surely lapsed."""
        state = self._holder(previous)
        call = ReleaseCall(item.first, item.last, item.token)
        while elapsed_ms() < state.held_until_ms:
            if not self._elector.has_authority:
                raise gevent.GreenletExit
            left_s = (state.held_until_ms - elapsed_ms()) / 1000
            try:
                return state.control.release(call, min(RELEASE_TIMEOUT_S, left_s))
            except OtherInstanceError:
                self._note_ended(state, previous)
            except ControlCallError:
                gevent.sleep(min(RETRY_S, max(left_s, 0.01)))
        return ""


def _identity(item: KeyRange) -> tuple[int, int, int]:
    return item.first, item.last, item.token
