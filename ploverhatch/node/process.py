"""A node with all its roles.

A node routes requests, observes the replicated state, may become a voter of its cell,
and serves the administration API.
"""

import secrets
from collections.abc import Callable
from typing import Any

import gevent

from ploverhatch.admin.api import AdminApi
from ploverhatch.admin.tokens import load_tokens
from ploverhatch.backend.http_backend import HttpBackend
from ploverhatch.backend.interface import BackendClient
from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.logs import PartLogger
from ploverhatch.common.timing import ControlTiming
from ploverhatch.node.bootstrap import LEADERLESS_MS, RETRY_PAUSE_S, BootstrapTask
from ploverhatch.node.columns import to_columns
from ploverhatch.node.control import ControlTask, HandOverLeadership, PeerMessage, StatusReceived
from ploverhatch.node.metrics import NodeMetrics
from ploverhatch.node.observer import ObserverTask
from ploverhatch.node.platform_sync import PlatformSync
from ploverhatch.node.records_client import RecordsClient
from ploverhatch.node.report import cluster_report
from ploverhatch.node.router import Router
from ploverhatch.node.view import StateView
from ploverhatch.settings.model import Settings
from ploverhatch.state.commands import RecordCommand, decode_payload
from ploverhatch.state.configuration import ServerSpec
from ploverhatch.store.http_store import HttpPlatformStore
from ploverhatch.store.interface import PlatformStore
from ploverhatch.transport import wire
from ploverhatch.transport.http_server import HttpServer
from ploverhatch.transport.peers import Connection, PeerNetwork, PeerUnreachableError
from ploverhatch.transport.wsgi import as_application

LOG = PartLogger("node")

STATUS_TIMEOUT_S = 0.5
FEED_HEARTBEAT_S = 0.4
HAND_OVER_LIMIT_S = 3.0
BACKGROUND_COMMITS_LIMIT_S = 3.0
FINAL_ANSWERS_LIMIT_S = 0.3  # to send the answers of requests that outlast the drain
ADMIN_LIMIT_S = 3.0  # for requests of operators that are in flight at the end
CONSENSUS_MESSAGES = (
    wire.VoteRequest,
    wire.VoteReply,
    wire.AppendRequest,
    wire.AppendReply,
    wire.SnapshotRequest,
    wire.TimeoutNow,
)


def open_http_backend(spec: ServerSpec) -> BackendClient:
    """Return a client of a back end that uses the HTTP adapter."""
    return HttpBackend(spec.host, spec.port, spec.connections)


def control_timing(settings: Settings) -> ControlTiming:
    """Return the intervals of the control protocols from the settings."""
    timing = settings.timing
    return ControlTiming(
        heartbeat_ms=timing.heartbeat_ms,
        election_ms=timing.election_ms,
        lease_ms=timing.lease_ms,
        renew_ms=timing.renew_ms,
        record_retention_ms=timing.record_retention_ms,
        repeat_window_ms=timing.repeat_window_ms,
    )


class Node:
    """A node process. Its ports are open once ``start`` has returned."""

    def __init__(
        self,
        settings: Settings,
        store: PlatformStore | None = None,
        open_backend: Callable[[ServerSpec], BackendClient] = open_http_backend,
    ) -> None:
        self.settings = settings
        self.node_id = f"{settings.node.name}/{secrets.token_hex(4)}"
        self.store = store or HttpPlatformStore(
            settings.platform.url, settings.platform.timeout_ms / 1000
        )
        self.metrics = NodeMetrics()
        self.view = StateView(self.node_id)
        self.leaving = False
        self._leader_id = ""
        self._tasks: list[gevent.Greenlet] = []
        host = settings.node.host
        self.network = PeerNetwork(self.node_id, (host, settings.node.port), self._receive)
        self.http = HttpServer((host, settings.node.http_port), as_application(self._serve))
        self.http.start()
        self.member = wire.Member(
            node_id=self.node_id,
            zone=settings.node.zone,
            host=host,
            port=self.network.port,
            http_port=self.http.port,
        )
        self._create_roles(open_backend)

    def _create_roles(self, open_backend: Callable[[ServerSpec], BackendClient]) -> None:
        settings = self.settings
        self.control = ControlTask(
            self.member,
            control_timing(settings),
            settings.cell.voters,
            self.view,
            self.network,
            open_backend,
        )
        self.records = RecordsClient(self.control, self.network, self._leader)
        self.router = Router(
            self.view, self.records, settings.limits, open_backend, self.metrics.router
        )
        self.observer = ObserverTask(
            self.member, self.view, self.network, lambda: self.control.replica.is_voter
        )
        self.platform_sync = PlatformSync(
            self.store,
            self.control,
            self.view,
            settings.cell.name,
            settings.platform.watch_ms / 1000,
            settings.platform.machines_ms / 1000,
        )
        self.bootstrap = BootstrapTask(
            self.member,
            settings.cell.name,
            settings.cell.seeds,
            self.store,
            self.network,
            self.control,
            self.view,
        )
        self.admin = AdminApi(self, load_tokens(settings.admin.tokens_file))
        admin_address = (settings.node.host, settings.node.admin_port)
        self.admin_http = HttpServer(admin_address, as_application(self.admin.handle))

    # ---- start and stop --------------------------------------------------------

    def start(self) -> None:
        """Open the administration port and start all tasks."""
        self.admin_http.start()
        self.control.start()
        self.observer.start()
        self.platform_sync.start()
        loops = (self._status_loop, self._feed_loop)
        self._tasks = [gevent.spawn(loop) for loop in loops]
        LOG.info("Started.", node=self.node_id, zone=self.member.zone)

    def stop(self) -> None:
        """Stop immediately, without finishing requests."""
        gevent.killall(self._tasks, block=False)
        self.platform_sync.stop()
        self.observer.stop()
        self.control.stop()
        self.router.meter.close()
        self.network.close()
        self.http.abort()
        self.admin_http.abort()

    def drain(self) -> bool:
        """Shut down gracefully: give up leadership and vote, finish requests, then stop.

        :returns: whether all requests in flight finished within their time limits.
        """
        LOG.info("Node is draining.", node=self.node_id)
        self.leaving = True
        self._hand_over()
        timing = self.settings.timing
        clean = self.http.drain(timing.drain_limit_ms / 1000, timing.drain_linger_ms / 1000)
        # Requests that outlast the drain are answered with an unknown outcome: if only their
        # connections were closed, the callers would not learn even that.
        given_up = self.router.end_in_flight()
        answered = self.http.await_answers(FINAL_ANSWERS_LIMIT_S)
        settled = self.router.await_background_commits(BACKGROUND_COMMITS_LIMIT_S)
        # This server stops last, so that operators can follow the shutdown until then.
        clean = self.admin_http.drain(ADMIN_LIMIT_S, 0.0) and clean
        self.stop()
        LOG.info("Stopped.", clean=clean, settled=settled, given_up=given_up, answered=answered)
        return clean

    def _hand_over(self) -> None:
        """Try to give up the leadership and the vote, for at most ``HAND_OVER_LIMIT_S``."""
        end_ms = elapsed_ms() + HAND_OVER_LIMIT_S * 1000
        while elapsed_ms() < end_ms:
            voters = self.view.state.membership.voters
            others = [item for item in voters if item.node_id != self.node_id]
            if self.node_id not in self.control.replica.voters or not others:
                return
            self._report_status()
            if self.control.leads:
                self.control.post(HandOverLeadership())
            gevent.sleep(0.05)

    # ---- messages ----------------------------------------------------------------

    def _receive(self, connection: Connection, envelope: wire.Envelope, message: Any) -> Any:
        """Handle a message of another node; the return value is the reply."""
        if isinstance(message, CONSENSUS_MESSAGES):
            self.control.post(PeerMessage(envelope.sender, message))
            return None
        match message:
            case wire.StreamUpdate():
                self.observer.update(envelope.sender, message)
                return None
            case wire.WhoRequest():
                return self._status_reply(accepted=False)
            case wire.NodeStatus():
                leads = self.control.leads
                if leads:
                    self.control.post(StatusReceived(message))
                return self._status_reply(accepted=leads)
            case wire.Subscribe():
                return self._subscribe(connection, message)
            case wire.RecordRequest():
                return self._serve_record(envelope, message)
        return None

    def _status_reply(self, accepted: bool) -> wire.StatusReply:
        log = self.control.replica.log
        return wire.StatusReply(
            leader_id=self._known_leader(),
            voters=self._known_voters(),
            epoch=self.view.state.epoch,
            accepted=accepted,
            children=len(self.view.feeds),
            last_term=log.last_term,
            last_index=log.last_index,
        )

    def _known_voters(self) -> list[wire.Member]:
        """Return the voters named by the log of this node if it is a voter, else by its view."""
        replica = self.control.replica
        if replica.is_voter:
            return list(replica.voters.values())
        return list(self.view.state.membership.voters)

    def _subscribe(self, connection: Connection, request: wire.Subscribe) -> Any:
        if len(self.view.feeds) >= self.settings.cell.children:
            return wire.Redirect(nodes=list(self.view.feeds.values()))
        if not self.view.state.membership.voters:
            return wire.Redirect()
        gevent.spawn(self.view.subscribe, connection, request)
        return wire.StreamAck(
            applied_index=self.view.state.index, generation=self.view.state.configuration.generation
        )

    def _serve_record(self, envelope: wire.Envelope, request: wire.RecordRequest) -> Any:
        command = decode_payload(request.kind, request.payload)
        if not isinstance(command, RecordCommand):
            return wire.RecordReply()
        return self.records.serve(command, envelope.deadline_ms / 1000)

    # ---- leader --------------------------------------------------------------------

    def _known_leader(self) -> str:
        replica = self.control.replica
        return replica.leader_id if replica.leader_id else self._leader_id

    def _leader(self) -> wire.Member | None:
        leader_id = self._known_leader()
        voters = {item.node_id: item for item in self.view.state.membership.voters}
        voters.update(self.observer.known_members)
        return voters.get(leader_id)

    # ---- loops ------------------------------------------------------------------------

    def _status_loop(self) -> None:
        leader_seen_ms = elapsed_ms()
        while True:
            if self._report_status():
                leader_seen_ms = elapsed_ms()
                gevent.sleep(self.settings.timing.status_ms / 1000)
                continue
            self._find_cell()
            if elapsed_ms() - leader_seen_ms > LEADERLESS_MS and self.control.replica.is_voter:
                self.bootstrap.recover_leaderless()
            gevent.sleep(RETRY_PAUSE_S)

    def _find_cell(self) -> None:
        voters = self.bootstrap.find_cell() if not self.control.replica.is_voter else []
        if voters:
            self.observer.set_known_members(voters)

    def _report_status(self) -> bool:
        """Send a status report to the leader; return false if no leader accepted it."""
        status = self._status()
        if self.control.leads:
            self.control.post(StatusReceived(status))
            self.observer.set_known_members(list(self.view.state.membership.voters))
            return True
        candidates = [self._leader(), *self.observer.known_members.values()]
        for candidate in candidates:
            if candidate is not None and self._report_to(candidate, status):
                return True
        return False

    def _report_to(self, member: wire.Member, status: wire.NodeStatus) -> bool:
        if member.node_id == self.node_id:
            return False
        try:
            _, reply = self.network.request(
                (member.host, member.port), member.node_id, status, STATUS_TIMEOUT_S
            )
        except PeerUnreachableError:
            return False
        if not isinstance(reply, wire.StatusReply):
            return False
        if reply.voters and reply.epoch >= self.view.state.epoch:
            self.observer.set_known_members(list(reply.voters))
            self._leader_id = reply.leader_id
        return bool(reply.accepted)

    def _status(self) -> wire.NodeStatus:
        slices, keys = self.router.meter.roll(elapsed_ms())
        return wire.NodeStatus(
            member=self.member,
            applied_index=self.view.state.index,
            generation=self.view.state.configuration.generation,
            leaving=self.leaving,
            slices=to_columns(slices),
            keys=to_columns(keys),
        )

    def _feed_loop(self) -> None:
        while True:
            self.view.heartbeat()
            gevent.sleep(FEED_HEARTBEAT_S)

    # ---- callers and operators ----------------------------------------------------------

    def _serve(self, environ: dict[str, Any]) -> Any:
        return self.router.handle(environ)

    def report(self) -> wire.ClusterReport:
        """Return the report of this node on its cell."""
        return cluster_report(self.control, self.view, self._known_leader(), self.node_id)

    def update_gauges(self) -> None:
        """Update the gauges; called before they are rendered."""
        self.metrics.generation.set(self.view.state.configuration.generation)
        self.metrics.index.set(self.view.state.index)
        self.metrics.leading.set(1 if self.control.leads else 0)
        for name, value in self.network.counters.items():
            self.metrics.peers.labels(name).set(value)
