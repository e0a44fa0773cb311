"""Assembles the parts of a gateway process, runs its tasks and stops it."""

import os
import random
import signal
from collections.abc import Callable

import gevent
from gevent.event import Event

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.code_id import code_id
from ploverhatch.common.logs import PartLogger
from ploverhatch.gateway import keymap_codec, peer_forwarding, peer_objects, peer_release
from ploverhatch.gateway.caller_server import CallerServer
from ploverhatch.gateway.dialect import Dialect
from ploverhatch.gateway.directory import Directory
from ploverhatch.gateway.elector import Elector
from ploverhatch.gateway.feeds import Feed, FeedTask, Pauses
from ploverhatch.gateway.forwarder import Forwarder
from ploverhatch.gateway.key_leader import KeyLeader
from ploverhatch.gateway.keymap_relay import KeymapRelay
from ploverhatch.gateway.links import LinkMonitor
from ploverhatch.gateway.messages import CallerReply, CallerRequest
from ploverhatch.gateway.peer_connections import PeerConnections
from ploverhatch.gateway.peer_forwarding import ForwardedRequests, PeerForwarder
from ploverhatch.gateway.peer_link import MAX_KEYS, Address, LoadReport, PeerLink
from ploverhatch.gateway.peer_objects import SnapshotClient, Snapshots
from ploverhatch.gateway.peer_release import PeerRelease, RelayedReleases
from ploverhatch.gateway.peer_server import PeerServer
from ploverhatch.gateway.quarantine import Quarantine
from ploverhatch.gateway.quarantine_persistence import QuarantinePersistence
from ploverhatch.gateway.relay import Relay
from ploverhatch.gateway.settings import GatewaySettings, SettingsError, SettingsSource
from ploverhatch.gateway.shared_slots import (
    SharedSlots,
)
from ploverhatch.gateway.stop_sequence import StopSequence
from ploverhatch.gateway.supervisor import run_forever
from ploverhatch.gateway.suspension import SuspensionWatch
from ploverhatch.gateway.translation import Translation
from ploverhatch.gateway.trial_permits import TrialPermits
from ploverhatch.gateway.upstreams import UpstreamPool
from ploverhatch.quarantine.messages import (
    CrashQuery,
    CrashReport,
    TrialFinished,
    TrialReply,
    TrialRequest,
)
from ploverhatch.relay.messages import Beacon, RelayedUpdate
from ploverhatch.relay.publisher import Term
from ploverhatch.routing.link_messages import LinkQuery, LinkReply
from ploverhatch.routing.planned_stop import PlannedStop, caller_idle_timeout_s
from ploverhatch.routing.shared_retry_budget import SharedRetryBudget
from ploverhatch.store import kinds
from ploverhatch.store.objects import (
    ObjectChange,
    ObjectStore,
    UnreadableObjectError,
    VersionedObject,
)
from ploverhatch.store.revisions import same_era
from ploverhatch.transport.buffers import PROCESS_BUFFERS
from ploverhatch.transport.http_connection import HostPort

LOG = PartLogger("gateway")

METRICS_PATH = b"/metrics"
HOUSEKEEPING_S = 0.25
LEADER_POLL_S = 0.1
INCARNATION_BYTES = 6  # random bytes in the name of one incarnation of the process
# Where a watch reports only known changes, the leader has relayed them before.
SERVERS_PAUSES = Pauses(after_new_s=0.25, after_known_s=0.25)
KEYMAPS_PAUSES = Pauses(after_new_s=0.1, after_known_s=1.0)
# For moves under way when their leader stops: a server answers a release once the requests
# that it runs for the keys are done.
MOVES_LIMIT_S = 1.0


class Gateway:
    """One gateway process.

    :param source: where the settings are read again on a reload.
    :param translation: reads the platform's forms of configuration and server records.
    """

    def __init__(
        self,
        source: SettingsSource,
        settings: GatewaySettings,
        store: ObjectStore,
        dialect: Dialect,
        translation: Translation,
    ) -> None:
        self._source = source
        self._settings = settings
        PROCESS_BUFFERS.limit_bytes = settings.buffer_bytes
        self._store = store
        self._dialect = dialect
        self._translation = translation
        self._draining = False
        self._servers_revision = -1  # latest revision of a server's record
        self._stopped = Event()
        self._leader: KeyLeader | None = None
        self._tasks: list[gevent.Greenlet] = []
        self._suspension = SuspensionWatch(self._resumed)
        self.directory = Directory(settings.zone_regions, settings.learn_speeds)
        self._pool = UpstreamPool(settings.zone, settings.max_connected, self.directory.pace_of)
        self._budget = SharedRetryBudget(
            settings.retry_ratio, settings.retry_slack, settings.retry_window_s
        )
        peer_address = HostPort(settings.ip, settings.peer_port)
        self._elector = self._make_elector()
        self._peers = PeerLink(
            peer_address,
            self._collect_load,
            lambda: self._elector.leader_address,
            self._handle_load,
            lambda: self._elector.members,
        )
        self._slots = SharedSlots(
            settings.zone,
            self.directory,
            lambda: self._elector.member_zones,
            self._peers.send,
            self._elector.address,
            settings.admission,
        )
        self._peers.add_slot_handler(self._slots.handle_message)
        self._links = LinkMonitor(self._pool, self._other_nodes, self._peers.send)
        self._peers.add_peer_handler(LinkQuery, self._links.handle_query)
        self._peers.add_peer_handler(LinkReply, self._links.handle_reply)
        self._peer_connections = PeerConnections()
        self._quarantine = self._make_quarantine()
        self._quarantine_persistence = QuarantinePersistence(
            store, self._quarantine, lambda: self.leads
        )
        self._forwarder = self._make_forwarder()
        keymap_relay = KeymapRelay(self.directory)
        self._relay = Relay(
            settings.relay_limit_ms,
            self.directory,
            keymap_relay,
            self._term,
            self._elector,
            SnapshotClient(lambda: self._elector.leader_address, self._elector.address),
            self._peers.publish,
        )
        self._peer_server = self._make_peer_server(peer_address)
        self._peers.add_handler(RelayedUpdate, self._relay.handle_update)
        self._peers.add_handler(Beacon, self._relay.handle_beacon)
        self._feeds = [
            FeedTask(store, feed, self._relay, self._feed_failed)
            for feed in self._make_feeds(keymap_relay)
        ]
        self._relay.attach(self._feeds)
        self._callers = CallerServer(
            settings.callers,
            self._forwarder.handle,
            self.directory.client_limits,
            self._note_rejected,
            settings.max_caller_connections,
            caller_idle_timeout_s(settings.grace_s * 1000),
        )
        self._readiness = CallerServer(
            settings.readiness, self._answer_readiness, self.directory.client_limits
        )

    # ---- parts ------------------------------------------------------------------------

    def _make_elector(self) -> Elector:
        settings = self._settings
        return Elector(
            self._store,
            settings.node,
            os.urandom(INCARNATION_BYTES).hex(),
            f"{settings.ip}:{settings.peer_port}",
            self._store_lost,
            self._store_regained,
            lambda: self._relay.covered,
            settings.strength,
            settings.zone,
            cut_off=lambda: self._links.is_cut_off,
            announce_release=self._announce_release,
        )

    def _make_quarantine(self) -> Quarantine:
        peers = self._peers
        permits = TrialPermits(self._other_leader, lambda: self._elector.node_count, peers.send)
        quarantine = Quarantine(
            self._settings.node,
            self._other_nodes,
            peers.send,
            self._elector.await_leader,
            lambda: self.leads,
            permits,
            lambda: self._suspension.ran_until_ms,
            self._links,
        )
        peers.add_peer_handler(TrialRequest, permits.handle_request)
        peers.add_peer_handler(TrialReply, permits.handle_reply)
        peers.add_peer_handler(TrialFinished, permits.handle_finished)
        peers.add_peer_handler(CrashReport, quarantine.handle_report)
        peers.add_peer_handler(CrashQuery, quarantine.handle_query)
        return quarantine

    def _make_forwarder(self) -> Forwarder:
        settings = self._settings
        peer_forwarder = PeerForwarder(
            self._links, self._other_zones, settings.zone, self._peer_connections
        )
        return Forwarder(
            self.directory,
            self._pool,
            self._dialect,
            self._budget,
            self._slots,
            settings.evacuate_ms,
            self._quarantine,
            settings.drain_ms,
            self._links,
            peer_forwarder,
        )

    def _make_peer_server(self, address: HostPort) -> PeerServer:
        forwarded = ForwardedRequests(
            self._forwarder.handle, lambda: self.version, self._takes_forwarded
        )
        releases = RelayedReleases(self._dialect, self.directory.apply_notice)
        return PeerServer(
            address,
            {
                peer_objects.PATH_PART: Snapshots(self._relay.snapshot).answer,
                peer_forwarding.PATH_PART: forwarded.answer,
                peer_release.PATH_PART: releases.answer,
            },
        )

    # ---- lifecycle --------------------------------------------------------------------

    def run(self) -> None:
        """Serve until stopped by SIGTERM."""
        gevent.signal_handler(signal.SIGTERM, lambda: gevent.spawn(self.drain))
        gevent.signal_handler(signal.SIGHUP, lambda: gevent.spawn(self.reload))
        self._readiness.start()
        self._callers.start()
        self._peer_server.start()
        self._tasks = [
            gevent.spawn(run_forever, name, job, failed) for name, job, failed in self._jobs()
        ]
        LOG.info("Started.", node=self._settings.node, zone=self._settings.zone, code=code_id())
        self._stopped.wait()

    def _jobs(self) -> list[tuple[str, Callable[[], None], Callable[[], None] | None]]:
        """Return each task's name, its function, and a function to call when it fails."""
        return [
            *((f"feed-{feed.kind}", feed.run, None) for feed in self._feeds),
            ("beacons", self._relay.beacon_forever, None),
            ("elector", self._elector.run, None),
            # After a failure another node should lead.
            ("leader", self._lead_when_elected, self._elector.resign),
            ("reports", self._peers.report_forever, None),
            ("datagrams", self._peers.receive_forever, None),
            ("slots", self._slots.expire_forever, None),
            ("quarantine", self._quarantine.query_forever, None),
            ("held-requests", self._quarantine_persistence.run, None),
            ("links", self._links.run, None),
            ("suspension", self._suspension.run, None),
            ("housekeeping", self._run_housekeeping, None),
            ("pool", self._sync_pool, None),
        ]

    def reload(self) -> None:
        """Read the settings again; invalid ones change nothing.

        Addresses and names stay as they are while the process runs.
        """
        try:
            settings = self._source.read()
        except SettingsError as error:
            LOG.error("Settings not applied.", cause=error)
            return
        if settings != self._settings:
            LOG.info("Settings applied.")
        self._settings = settings
        PROCESS_BUFFERS.limit_bytes = settings.buffer_bytes
        self._callers.keep_alive_s = caller_idle_timeout_s(settings.grace_s * 1000)
        self._slots.configure(settings.admission)
        self._budget.ratio = settings.retry_ratio
        self._budget.slack = settings.retry_slack
        self._budget.window_s = settings.retry_window_s
        self._pool.max_connected = settings.max_connected

    @property
    def leads(self) -> bool:
        """Whether this node leads now."""
        return self._elector.has_authority

    def abort(self) -> None:
        """Stop at once without a drain, as after a kill; for tests within one process."""
        gevent.killall(self._tasks)
        self._callers.stop()
        self._readiness.stop()
        self._peer_server.stop()
        self._peers.close()
        self._stopped.set()

    def drain(self) -> None:
        """Carry out a planned stop (graceful shutdown)."""
        if self._draining:
            return
        self._draining = True
        plan = PlannedStop.after_suspension(
            elapsed_ms(), self._suspension.ran_until_ms, self._settings.grace_s * 1000
        )
        stop = StopSequence(
            plan, self._callers, self._peer_server, self._forwarder, self._slots, self._leave
        )
        try:
            stop.run()
            # Only this node knows of the crashes under its last requests until it reports them.
            self._quarantine.send_reports_now()
        finally:  # the process must end also after an error
            self._stopped.set()

    def _leave(self) -> None:
        """Complete the moves of keys that were begun, then release the leader's lease."""
        if self._leader is not None:
            self._leader.finish(MOVES_LIMIT_S)
        self._elector.stop()

    # ---- feeds ------------------------------------------------------------------------

    def _make_feeds(self, keymap_relay: KeymapRelay) -> list[Feed]:
        evacuations = Feed(kinds.EVACUATIONS, self._apply_evacuations, self._change_evacuation)
        return [
            # A feed costs calls to the store, so this one runs only where it is in use.
            *([evacuations] if self._settings.evacuate_ms else []),
            Feed(kinds.CONFIGURATION, self._apply_configurations, self._change_configuration),
            Feed(kinds.SERVERS, self._apply_servers, self._change_server, SERVERS_PAUSES),
            Feed(
                kinds.KEYMAPS,
                self._apply_keymaps,
                self._change_keymap,
                KEYMAPS_PAUSES,
                keymap_relay.encode,
                keymap_relay.apply,
                repeatable=True,
                confirmed=self.directory.note_keymaps,
                items=keymap_relay.items,
            ),
        ]

    def _term(self) -> Term | None:
        """Return the term while this node leads."""
        state = self._elector.state
        if not self._elector.has_authority:
            return None
        return Term(state.seen.revision, state.renewed_ms)

    def _apply_configurations(self, items: tuple[VersionedObject, ...]) -> None:
        for item in items:
            table = self._translation.configuration(item)
            if table is not None:
                self.directory.apply_table(table)

    def _change_configuration(self, change: ObjectChange) -> bool:
        if not change.gone:
            self._apply_configurations((change.object,))
        return True

    def _apply_servers(self, items: tuple[VersionedObject, ...]) -> None:
        self._note_servers_revision(max((item.revision for item in items), default=-1))
        records = [self._translation.server(item) for item in items]
        self.directory.replace_servers([record for record in records if record is not None])

    def _note_servers_revision(self, revision: int) -> None:
        """Detect a restore of the store by the era of an object's revision."""
        known = self._servers_revision
        if known >= 0 and revision > known and not same_era(revision, known):
            self.directory.servers.note_store_restored(elapsed_ms())
        self._servers_revision = max(revision, known)

    def _change_server(self, change: ObjectChange) -> bool:
        self._note_servers_revision(change.object.revision)
        record = None if change.gone else self._translation.server(change.object)
        if record is not None:
            self.directory.put_server(record)
        else:
            # The record is gone, or replaced by a malformed entry of another writer.
            self.directory.remove_server(change.object.name)
        return True

    def _apply_evacuations(self, items: tuple[VersionedObject, ...]) -> None:
        self.directory.set_evacuated({item.name for item in items})

    def _change_evacuation(self, change: ObjectChange) -> bool:
        zones = self.directory.servers.evacuated
        zone = {change.object.name}
        self.directory.set_evacuated(zones - zone if change.gone else zones | zone)
        return True

    def _apply_keymaps(self, items: tuple[VersionedObject, ...]) -> None:
        for item in items:
            self._apply_keymap(item)
        self.directory.keymaps_known = True

    def _change_keymap(self, change: ObjectChange) -> bool:
        return change.gone or self._apply_keymap(change.object)

    def _apply_keymap(self, item: VersionedObject) -> bool:
        """Use a map; a malformed one leaves the last one in force."""
        try:
            return self.directory.put_keymap(keymap_codec.decode_keymap(item))
        except UnreadableObjectError as error:
            LOG.error("Key map is malformed.", service=item.name, cause=error)
            return True

    def _store_lost(self) -> None:
        self.directory.servers.note_store_failure(elapsed_ms())

    def _announce_release(self, lease_revision: int) -> None:
        self._relay.publish_release(lease_revision)

    def _feed_failed(self) -> None:
        self._store_lost()
        self._elector.check_store_now()

    def _store_regained(self) -> None:
        self._read_again()

    def _read_again(self) -> None:
        self._store.interrupt()
        for feed in self._feeds:
            feed.wake()

    def _resumed(self) -> None:
        """End waits whose time has passed during a suspension of the machine."""
        self._forwarder.end_overdue()
        self._elector.note_resumed()
        self._read_again()

    # ---- tasks ------------------------------------------------------------------------

    def _sync_pool(self) -> None:
        while True:
            self._pool.sync(self.directory.servers.records)
            self.directory.changed.wait(HOUSEKEEPING_S)

    def _run_housekeeping(self) -> None:
        while True:
            gevent.sleep(HOUSEKEEPING_S)
            self.directory.expire_servers()
            self._budget.nodes = self._elector.node_count
            self._peer_connections.close_idle()
            if self._source.changed():
                self.reload()

    def _lead_when_elected(self) -> None:
        while True:
            if self._elector.state.leading and not self._draining:
                self._leader = KeyLeader(
                    self._store,
                    self.directory,
                    self._elector,
                    self._dialect,
                    self._settings.lease_max_ms,
                    self._relay.publish_map,
                    self._relay.publish_granted,
                    self._relay.publish_promoted,
                    self._links,
                    PeerRelease(self._links.reaching_nodes, self._peer_connections),
                )
                try:
                    self._leader.run()
                finally:
                    self._leader = None
            gevent.sleep(LEADER_POLL_S)

    def _other_nodes(self) -> set[Address]:
        """Return the addresses of all known nodes: from the store, of reporters, the leader's."""
        known = {*self._elector.members, self._elector.leader_address} - {"", self._elector.address}
        parsed = {HostPort.parse(address) for address in known}
        return {(address.host, address.port) for address in parsed} | self._peers.peers

    def _other_zones(self) -> dict[Address, str]:
        """Return the zones of the other known nodes, by address."""
        zones = self._elector.member_zones
        return {node: zones.get(f"{node[0]}:{node[1]}", "") for node in self._other_nodes()}

    def _other_leader(self) -> Address | None:
        """Return the leader's address, unless there is none or this node leads."""
        address = self._elector.leader_address
        if address in {"", self._elector.address}:
            return None
        parsed = HostPort.parse(address)
        return parsed.host, parsed.port

    def _collect_load(self) -> LoadReport:
        sampled, self._forwarder.sampled_keys = self._forwarder.sampled_keys, {}
        keys = {
            service: found if len(found) <= MAX_KEYS else random.sample(found, MAX_KEYS)
            for service, found in sampled.items()
        }
        times = self._pool.collect_answer_times(self._partitioned)
        paces = self._pool.collect_paces(self._partitioned)
        return LoadReport(
            keys,
            times,
            strength=self._elector.offered_strength,
            leaving=self.directory.leaving_ages_ms(),
            backing_off=self.directory.servers.notices.backing_off(elapsed_ms()),
            limits=self.directory.own_rate_limits(),
            paces=paces,
        )

    @property
    def _partitioned(self) -> frozenset[str]:
        """Names of the services whose servers hold keys."""
        table = self.directory.table
        services = table.services.values() if table else ()
        return frozenset(service.name for service in services if service.partitioned)

    def _handle_load(self, report: LoadReport) -> None:
        self.directory.note_leaving(report.leaving, "another-node")
        self.directory.note_rate_limits(report.limits, "another-node")
        if self._leader is not None:
            self._leader.add_report(report)
        if self._elector.should_hand_over(report.strength):
            gevent.spawn(self._elector.hand_over)

    # ---- readiness ----------------------------------------------------------------------

    @property
    def ready(self) -> bool:
        """Whether this node can serve callers."""
        table = self.directory.table
        if self._draining or table is None or not self.directory.servers_known:
            return False
        if not self._quarantine.synced:
            return False
        return all(
            service.name in self.directory.keymaps
            for service in table.services.values()
            if service.partitioned
        )

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 before the first."""
        table = self.directory.table
        return table.version if table else 0

    def _takes_forwarded(self) -> bool:
        return self.ready and not self._links.is_cut_off

    def _answer_readiness(self, request: CallerRequest) -> CallerReply:
        if request.path == METRICS_PATH:
            return CallerReply(200, [(b"Content-Type", b"text/plain")], self._metrics_text())
        if request.path != self._translation.readiness_path:
            return CallerReply(404)
        return CallerReply(200 if self.ready else 503)

    def _metrics_text(self) -> bytes:
        metrics = self._forwarder.metrics
        metrics.gauge("leading", lambda: float(self.leads))
        metrics.gauge("servers", lambda: float(len(self.directory.servers.records)))
        metrics.gauge("evacuated_zones", lambda: float(len(self.directory.servers.evacuated)))
        metrics.gauge(
            "cold_servers", lambda: float(self.directory.servers.count_cold(elapsed_ms()))
        )
        notices = self.directory.servers.notices
        metrics.gauge("leaving_servers", lambda: float(len(notices.leaving_ms)))
        metrics.gauge("resting_servers", lambda: float(len(notices.backing_off(elapsed_ms()))))
        metrics.gauge("limited_servers", lambda: float(len(notices.limit_per_s)))
        metrics.gauge("uneven_servers", lambda: float(len(self.directory.server_speeds.sure)))
        metrics.gauge("configuration_version", lambda: float(self.version))
        metrics.gauge("cut_off", lambda: float(self._links.is_cut_off))
        metrics.gauge("nodes", lambda: float(self._elector.node_count))
        metrics.gauge("connections", lambda: float(self._callers.open_connections))
        metrics.gauge("shared_slots_in_use", lambda: float(self._slots.dispatch.in_use))
        metrics.gauge("shared_slots_waiting", lambda: float(self._slots.dispatch.waiting))
        metrics.gauge("shared_slots_granted", lambda: float(self._slots.dispatch.granted))
        metrics.gauge("shared_slots_rejected", lambda: float(self._slots.dispatch.rejected))
        metrics.gauge("shared_slots_promises", lambda: float(self._slots.dispatch.promises))
        metrics.gauge("servers_ended_under_requests", lambda: float(self._quarantine.crashes))
        metrics.gauge("requests_held", lambda: float(self._quarantine.quarantined_count))
        metrics.gauge("requests_suspected", lambda: float(self._quarantine.known_count))
        metrics.gauge("buffered_bytes", lambda: float(PROCESS_BUFFERS.used_bytes))
        metrics.gauge("busy", lambda: float(self._callers.busy))
        return metrics.text()

    def _note_rejected(self, status: int) -> None:
        LOG.info("Request rejected.", status=status)
