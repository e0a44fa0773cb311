"""Carries out the decisions of :class:`LeaderCore` on key ranges while this node leads.

A key range has one holder, the server that was granted it with a lease and a fencing token.
Each action runs in a task of its own. Whether a grant may still be sent is checked again
right before it is sent, after every wait.
"""

import secrets
from collections.abc import Callable, Collection, Sequence

import gevent

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.logs import PartLogger
from ploverhatch.gateway import keymap_codec
from ploverhatch.gateway.dialect import Dialect, GrantCall, ReleaseCall
from ploverhatch.gateway.directory import Directory
from ploverhatch.gateway.elector import Elector
from ploverhatch.gateway.links import LinkMonitor
from ploverhatch.gateway.peer_link import LoadReport
from ploverhatch.gateway.peer_release import PeerRelease
from ploverhatch.gateway.server_control import ServerControl
from ploverhatch.leadership import election
from ploverhatch.sharding import load_estimate
from ploverhatch.sharding.backoff_reports import BackoffReports
from ploverhatch.sharding.holders import LEASE_MS, LeaseTiming
from ploverhatch.sharding.keymap import Holder, KeyMap
from ploverhatch.sharding.leader_core import STORE_UNAVAILABLE_MS, LeaderCore
from ploverhatch.sharding.load import AnswerTimes, KeyLoad
from ploverhatch.sharding.load_estimate import LoadEstimate
from ploverhatch.sharding.messages import (
    Action,
    CallOutcome,
    ForgetServer,
    Resign,
    SendGrant,
    SendRelease,
    ServiceView,
    StepDown,
    StoreMap,
)
from ploverhatch.sharding.server_speeds import undisturbed_ms
from ploverhatch.state.server_notices import NO_LIMIT
from ploverhatch.store import kinds
from ploverhatch.store.objects import (
    ObjectStore,
    OutcomeUnknownError,
    RevisionConflictError,
    StoreCallError,
    UnreadableObjectError,
    VersionedObject,
)
from ploverhatch.store.revisions import era_of

LOG = PartLogger("leader")

TICK_S = 0.05
WRITER_BYTES = 6  # random bytes in the name of a term, by which its key maps are told apart
READ_RETRY_S = 0.25
# Nodes report every 0.3 s, and evaluating the reports of hundreds of them takes milliseconds.
READ_EVERY_MS = 150.0
LEARN_EVERY_MS = 1000.0  # interval at which the speeds of servers are compared
# An older rate limit is left out of the plan: its server may accept more again, and only
# requests for its keys would show that.
PLANNED_LIMIT_MS = 5000.0
FORGET_EVERY_MS = 10_000.0  # interval at which the state of removed servers is dropped
UNANSWERED = frozenset({CallOutcome.NO_ANSWER, CallOutcome.NOT_LISTENING})


class KeyLeader:
    """Assigns key ranges to servers while this node leads; one instance for each term.

    :param lease_max_ms: longest lease of keys that the platform allows.
    :param publish: sends a stored map to the other nodes.
    :param publish_granted: sends a service and the token of a grant that was acknowledged.
    :param publish_promoted: sends a service, the revision of its map and the tokens of the
        standbys that were promoted by it.
    :param links: the state of this node's links to servers.
    :param peer_release: sends releases to servers that only other nodes reach.
    """

    def __init__(
        self,
        store: ObjectStore,
        directory: Directory,
        elector: Elector,
        dialect: Dialect,
        lease_max_ms: float,
        publish: Callable[[KeyMap], None],
        publish_granted: Callable[[str, int], None],
        publish_promoted: Callable[[str, int, Collection[int]], object],
        links: LinkMonitor,
        peer_release: PeerRelease,
    ) -> None:
        self._links = links
        self._peer_release = peer_release
        self._store = store
        self._directory = directory
        self._elector = elector
        self._dialect = dialect
        self._publish = publish
        self._publish_granted = publish_granted
        self._publish_promoted = publish_promoted
        self._lease_ms = min(LEASE_MS, lease_max_ms)
        self._timing = LeaseTiming(self._lease_ms)
        self._core = LeaderCore(self._timing, writer=secrets.token_hex(WRITER_BYTES))
        self._controls: dict[str, ServerControl] = {}
        self._loads: dict[str, KeyLoad] = {}
        self._answer_times = AnswerTimes()
        self._backoffs = BackoffReports()
        self._load_estimates: dict[str, LoadEstimate] = {}
        self._next_learn_ms = 0.0
        self._malformed: dict[str, int] = {}  # revisions of malformed maps, by service
        self._tasks: set[gevent.Greenlet] = set()
        self._finishing = False
        self._handlers: dict[type, Callable[..., None]] = {
            StoreMap: self._store_map,
            SendGrant: self._send_grant,
            SendRelease: self._send_release,
            ForgetServer: self._forget_server,
            Resign: self._resign,
            StepDown: self._step_down,
        }

    # ---- lifecycle ----------------------------------------------------------------------

    def run(self) -> None:
        """Lead until the lease is lost."""
        try:
            term = self._elector.state.seen.term
            self._load_maps()
            next_forget_ms = elapsed_ms() + FORGET_EVERY_MS
            # Authority may expire while the store is unreachable. The term goes on once the
            # lease is renewed, since no other node has led meanwhile.
            while self._elector.state.leading and self._elector.state.seen.term == term:
                if self._elector.has_authority:
                    self._tick()
                self._discard_overdue()
                if elapsed_ms() >= next_forget_ms:
                    self._forget_gone()
                    next_forget_ms = elapsed_ms() + FORGET_EVERY_MS
                gevent.sleep(TICK_S)
        finally:
            gevent.killall(list(self._tasks), block=False)
            for control in self._controls.values():
                control.close()

    def finish(self, limit_s: float) -> None:
        """Begin no more moves, and wait until those under way are complete.

        The next leader repeats a move that is left incomplete. Its keys are unavailable until
        that leader has the lease and has read the map.

        :param limit_s: longest time to wait.
        """
        self._finishing = True
        end_ms = elapsed_ms() + limit_s * 1000
        while (
            self._core.has_unfinished_moves
            and self._elector.has_authority
            and elapsed_ms() < end_ms
        ):
            gevent.sleep(TICK_S)

    def _load_maps(self) -> None:
        while self._elector.state.leading:
            try:
                listing = self._store.list_all(kinds.KEYMAPS)
                items = listing.items
                keymaps = self._read_maps(items)
            except StoreCallError as error:
                LOG.warning("Key maps not read.", cause=error)
                gevent.sleep(READ_RETRY_S)
                continue
            renewable_ms = max(self._elector.state.inherited_until_ms, elapsed_ms())
            self._core.note_renewable(renewable_ms)
            others_until_ms = elapsed_ms() + election.AUTHORITY_MS
            self._core.note_restores(era_of(listing.revision))
            if era_of(listing.revision):
                self._core.invalidate_missing(others_until_ms)
            for keymap in keymaps:
                self._directory.put_keymap(keymap)
                known = self._directory.settled_keymap(keymap.service)
                self._core.inherit(known, renewable_ms, elapsed_ms(), same_incarnations=False)
            for item in items:
                if item.name not in self._malformed and keymap_codec.predates_restore(item):
                    LOG.warning("Later key maps may be lost.", service=item.name)
                    self._core.invalidate(item.name, others_until_ms)
            return

    def _read_maps(self, items: Sequence[VersionedObject]) -> list[KeyMap]:
        """Return the maps without the malformed ones.

        Nobody knows who holds the keys of a service whose map is malformed, so none of them
        may be granted until the map can be read.
        """
        keymaps = []
        for item in items:
            try:
                keymaps.append(keymap_codec.decode_keymap(item))
            except UnreadableObjectError as error:
                LOG.error("Key map is malformed.", service=item.name, cause=error)
                self._malformed[item.name] = item.revision
        return keymaps

    def _has_readable_map(self, service: str) -> bool:
        """Whether the service's map could be read, at the start of the term or since."""
        malformed_revision = self._malformed.get(service)
        if malformed_revision is None:
            return True
        keymap = self._directory.keymaps.get(service)
        return keymap is not None and keymap.revision > malformed_revision

    def add_report(self, report: LoadReport) -> None:
        """Add a node's load report to what the next plan is based on."""
        now_ms = elapsed_ms()
        for service, keys in report.keys.items():
            self._loads.setdefault(service, KeyLoad()).add(now_ms, keys)
        for server_id, times_ms in report.answer_ms.items():
            self._answer_times.add(server_id, times_ms, now_ms)
            paces = report.paces.get(server_id, ())
            self._directory.server_speeds.add(server_id, undisturbed_ms(times_ms, paces))
        self._backoffs.add(report.backing_off, now_ms)

    # ---- rounds -------------------------------------------------------------------------

    def _tick(self) -> None:
        table = self._directory.table
        if table is None or not self._directory.servers_known:
            return
        now_ms = elapsed_ms()
        if now_ms >= self._next_learn_ms:
            self._next_learn_ms = now_ms + LEARN_EVERY_MS
            for name in table.services:
                self._learn_speeds(name)
        views = {
            service.name: self._view(service.name, now_ms)
            for service in table.services.values()
            if service.partitioned and self._has_readable_map(service.name)
        }
        for service in views:
            seen = self._directory.keymaps.get(service)
            if seen is not None:
                self._core.note_restores(era_of(seen.revision))
                self._note_map(seen)
            if service in self._directory.outdated_keymaps:
                self._core.map_outdated(service)
        may_change = self._elector.may_change
        store_unavailable = now_ms - self._elector.state.renewed_ms >= STORE_UNAVAILABLE_MS
        actions = self._core.tick(
            now_ms, views, may_change, self._finishing, store_unavailable, self._links.is_cut_off
        )
        for service in views:
            tokens = self._core.promoted(service)
            if tokens:
                self._publish_promoted(service, self._core.keymap(service).revision, tokens)
        self._execute(actions)

    def _learn_speeds(self, service: str) -> None:
        server_ids = [item.server_id for item in self._directory.servers.of_service(service)]
        speeds = self._directory.server_speeds
        for server_id in speeds.learn(server_ids):
            LOG.info(
                "Server differs in speed.",
                server=server_id,
                service=service,
                speed=f"{speeds.sure[server_id]:.2f}",
            )

    def _forget_gone(self) -> None:
        known = self._core.forget_gone(self._directory.servers.records, elapsed_ms())
        self._answer_times.keep_only(known)
        self._backoffs.expire(elapsed_ms())
        for server_id in self._controls.keys() - known:
            self._controls.pop(server_id).close()

    def _view(self, service: str, now_ms: float) -> ServiceView:
        servers = self._directory.servers
        records = servers.of_service(service)
        announced = servers.notices.limits
        limits = {
            item.server_id: limit.per_s
            for item in records
            if (limit := announced.get(item.server_id))
            and limit.per_s < NO_LIMIT
            and now_ms - limit.announced_ms < PLANNED_LIMIT_MS
        }
        speeds = self._directory.server_speeds.sure
        known = self._load_estimates.get(service)
        if known is None or now_ms - known.taken_ms >= READ_EVERY_MS:
            load = self._loads.setdefault(service, KeyLoad())
            known = load_estimate.estimate(
                service,
                records,
                self._core,
                load,
                self._answer_times,
                now_ms,
                limits.keys(),
                speeds,
            )
            self._load_estimates[service] = known
        return ServiceView(
            records,
            known.rates,
            known.service_ms,
            {item.server_id for item in records if servers.is_cold(item.server_id, now_ms)},
            self._directory.cold_per_s(service),
            known.unresponsive,
            self._backoffs.shedding(self._answer_times.answered_ms, now_ms),
            limits,
            speeds,
        )

    def _discard_overdue(self) -> None:
        now_ms = elapsed_ms()
        for control in self._controls.values():
            control.discard_overdue(now_ms)

    def _execute(self, actions: list[Action]) -> None:
        # No keys may be granted while an earlier holder may still take an old grant of them.
        if any(isinstance(action, SendGrant) and not action.renewal for action in actions):
            self._discard_overdue()
        for action in actions:
            task = gevent.spawn(self._handlers[type(action)], action)
            self._tasks.add(task)
            task.link(self._tasks.discard)
            task.link_exception(self._action_failed)

    def _action_failed(self, task: gevent.Greenlet) -> None:
        """Let another node lead, since the move of a failed action stays incomplete."""
        LOG.error("Action failed.", error=type(task.exception).__name__, cause=task.exception)
        gevent.spawn(self._elector.resign)

    # ---- the store ----------------------------------------------------------------------

    def _store_map(self, action: StoreMap) -> None:
        keymap = action.keymap
        try:
            written = self._write(keymap)
        except RevisionConflictError:
            self._read_back(keymap.service)
        except OutcomeUnknownError as error:
            LOG.warning("Key map may be stored or not.", service=keymap.service, cause=error)
            self._read_back(keymap.service)
        except StoreCallError as error:
            LOG.warning("Key map not stored.", service=keymap.service, cause=error)
            self._core.map_not_stored(keymap.service)
        else:
            before = self._core.keymap(keymap.service)
            self._core.map_stored(keymap, written.revision, elapsed_ms())
            stored = self._core.keymap(keymap.service)
            self._directory.put_keymap(stored)
            self._publish(stored)
            self._log_moves(stored, before.token)

    def _write(self, keymap: KeyMap) -> VersionedObject:
        content = keymap_codec.encode_keymap(keymap)
        if keymap.revision:
            return self._store.replace(kinds.KEYMAPS, keymap.service, content, keymap.revision)
        return self._store.create(kinds.KEYMAPS, keymap.service, content)

    def _read_back(self, service: str) -> None:
        keymap = None
        try:
            item = self._store.get(kinds.KEYMAPS, service)
            keymap = keymap_codec.decode_keymap(item) if item else None
        except StoreCallError as error:
            LOG.warning("Key map not read back.", service=service, cause=error)
        self._core.map_not_stored(service)
        if keymap is not None:
            self._note_map(keymap)
            self._directory.put_keymap(keymap)

    def _note_map(self, keymap: KeyMap) -> None:
        if self._core.map_seen(keymap, elapsed_ms()):
            LOG.warning(
                "Key map of another leader adopted.",
                service=keymap.service,
                revision=keymap.revision,
                token=keymap.token,
            )

    def _log_moves(self, keymap: KeyMap, logged_token: int) -> None:
        for item in keymap.moving:
            if item.token <= logged_token:
                continue
            LOG.info(
                "Keys move.",
                service=keymap.service,
                first=item.first,
                last=item.last,
                to=item.holder.server_id,
                token=item.token,
            )

    # ---- servers ------------------------------------------------------------------------

    def _control(self, holder: Holder) -> ServerControl:
        control = self._controls.get(holder.server_id)
        if control is None:
            control = ServerControl(
                holder, self._dialect, self._directory.apply_notice, self._timing
            )
            self._controls[holder.server_id] = control
        return control

    def _send_grant(self, action: SendGrant) -> None:
        range_id = action.range_id
        control = self._control(action.holder)

        def may_send() -> bool:
            allowed = self._elector.has_authority and self._core.may_send(
                action.holder, range_id, action.renewal
            )
            if allowed:
                self._core.grant_sent(action.holder, elapsed_ms())
            return allowed

        call = GrantCall(
            range_id.first, range_id.last, range_id.token, self._lease_ms, action.handover
        )
        outcome = control.grant(call, may_send, action.renewal)
        self._note_break(action.holder)
        if outcome is CallOutcome.DONE and not action.renewal:
            self._publish_granted(range_id.service, range_id.token)
            LOG.info(
                "Keys granted.",
                service=range_id.service,
                first=range_id.first,
                last=range_id.last,
                to=action.holder.server_id,
                token=range_id.token,
                after=",".join(f"{name}:{end.value}" for name, end in action.ended.items()) or "-",
            )
        if outcome in UNANSWERED:
            self._links.check(action.holder.server_id)
        if outcome not in {CallOutcome.DONE, CallOutcome.NOT_SENT, CallOutcome.UNPROVEN}:
            LOG.warning(
                "Grant failed.",
                server=action.holder.server_id,
                outcome=outcome.value,
                token=range_id.token,
                renewal=action.renewal,
            )
        self._execute(self._core.grant_ended(action, outcome, elapsed_ms()))

    def _note_break(self, holder: Holder) -> None:
        if self._control(holder).pop_connection_break():
            LOG.info("Control connection to a server broke.", server=holder.server_id)
            self._core.note_connection_closed(holder)

    def _send_release(self, action: SendRelease) -> None:
        range_id = action.range_id
        call = ReleaseCall(range_id.first, range_id.last, range_id.token)
        outcome, handover = self._release(action.holder, call)
        self._note_break(action.holder)
        if outcome in UNANSWERED:
            self._links.check(action.holder.server_id)
            LOG.warning(
                "Release failed.",
                server=action.holder.server_id,
                outcome=outcome.value,
                first=range_id.first,
                last=range_id.last,
                token=range_id.token,
            )
        self._execute(self._core.release_ended(action, outcome, handover, elapsed_ms()))

    def _release(self, holder: Holder, call: ReleaseCall) -> tuple[CallOutcome, str]:
        """Have a server release keys, through another node if only others reach it."""
        if not self._links.link_is_cut(holder.server_id):
            outcome, handover = self._control(holder).release(
                call, lambda: self._elector.has_authority
            )
            if outcome not in UNANSWERED or not self._links.link_is_cut(holder.server_id):
                return outcome, handover
        if not self._elector.has_authority:
            return CallOutcome.NOT_SENT, ""
        return self._peer_release.release(holder, call)

    def _forget_server(self, action: ForgetServer) -> None:
        self._directory.note_server_replaced(action.server_id)

    def _resign(self, action: Resign) -> None:
        if action.confirmed:
            LOG.warning("Only other nodes reach servers; giving leadership back.")
        else:
            LOG.warning("Most servers are unreachable from this node.")
        # Not in this task, which ends with the term.
        gevent.spawn(self._elector.resign)

    def _step_down(self, _action: StepDown) -> None:
        LOG.warning("Token of a newer leader seen; stepping down.")
        self._elector.step_down()
