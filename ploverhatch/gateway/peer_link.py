"""Datagrams between nodes: load reports to the leader, changes and beacons from it.

All of them only save time or calls to the store: what is lost is made up for by
asking the store. Changes carry the store's revisions, so that an old one never
replaces a newer one.
"""

from collections.abc import Callable, Collection
from contextlib import suppress
from dataclasses import dataclass

import gevent
import msgspec
from gevent import socket
from msgspec.structs import replace

from ploverhatch.admission.messages import (
    HeldSlotsReply,
    HeldSlotsRequest,
    ReportedLimits,
    SlotRelease,
    SlotReply,
    SlotRequestMessage,
)
from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.logs import PartLogger
from ploverhatch.common.signal import Signal
from ploverhatch.quarantine.messages import (
    CrashQuery,
    CrashReport,
    TrialMessage,
)
from ploverhatch.relay import packing
from ploverhatch.relay.messages import Beacon, Fragment, RelayedUpdate
from ploverhatch.transport.http_connection import HostPort

LOG = PartLogger("peer")

REPORT_S = 0.3
FIRST_REPORT_S = 0.1  # between looks for a leader to report to for the first time
MAX_KEYS = 400  # of one report and service
MAX_DATAGRAM = 8192
PEER_EXPIRY_MS = 3000.0  # a node that reported within that time is told of changes
MEMBERS_EVERY = 4  # every fourth beacon also goes to nodes that do not report


class LoadReport(msgspec.Struct, array_like=True, tag=1):
    """Keys of the requests since the last report, and the answer times they saw.

    ``leaving`` holds the servers that said that they leave, and how long ago, where their
    records don't say so; ``backing_off`` those that asked this node for a rest, and what is left
    of it; both in milliseconds. ``limits`` are what servers' answers to this node said of the
    rate that they take.
    """

    keys: dict[str, list[int]]
    answer_ms: dict[str, list[int]]  # by server
    stamp_ms: float = 0.0  # when it was sent, on its sender's clock
    strength: float = 0.0  # of the sender's machine if it is ready to lead, else 0
    leaving: dict[str, float] = {}
    backing_off: dict[str, float] = {}
    limits: ReportedLimits = {}


SlotMessage = SlotRequestMessage | SlotReply | SlotRelease | HeldSlotsRequest | HeldSlotsReply
CrashMessage = CrashReport | CrashQuery | TrialMessage
Message = LoadReport | RelayedUpdate | Beacon | Fragment | SlotMessage | CrashMessage
Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class _Peer:
    """A node's last report: when it was sent, on its clock, and read, on ours."""

    stamp_ms: float
    heard_ms: float


class PeerLink:
    """This node's socket towards the other nodes."""

    def __init__(
        self,
        address: HostPort,
        collect: Callable[[], LoadReport],
        leader: Callable[[], str],
        handle_report: Callable[[LoadReport], None],
        members: Callable[[], Collection[str]] = frozenset,
    ) -> None:
        self._members = members
        self._beacons = 0
        self._beacon_ms = -1e12
        self._leader_changed = Signal()
        self._divided = 0  # messages that were longer than a datagram
        self._assembly = packing.Assembly()
        self._collect = collect
        self._leader = leader
        self._handle_report = handle_report
        self._handlers: dict[type, Callable[..., None]] = {LoadReport: handle_report}
        self._peer_handlers: dict[type, Callable[..., None]] = {}  # ... with the sender's address
        self._own = f"{address.host}:{address.port}"
        self._peers: dict[Address, _Peer] = {}  # reporters
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(tuple(address))

    @property
    def peers(self) -> frozenset[Address]:
        """Nodes that reported lately."""
        return frozenset(self._peers)

    def add_handler(self, form: type, handler: Callable[..., None]) -> None:
        """Have messages of a form taken by ``handler``."""
        self._handlers[form] = handler

    def add_peer_handler(self, form: type, handler: Callable[..., None]) -> None:
        """Have messages of a form taken by ``handler``, with their senders' addresses."""
        self._peer_handlers[form] = handler

    def add_slot_handler(self, handler: Callable[[SlotMessage, Address], None]) -> None:
        """Have messages about slots taken by ``handler``, with their senders' addresses."""
        for form in (SlotRequestMessage, SlotReply, SlotRelease, HeldSlotsRequest, HeldSlotsReply):
            self.add_peer_handler(form, handler)

    def send(self, message: SlotMessage | CrashMessage, to: Address) -> None:
        """Send a message to one node."""
        self._send(msgspec.msgpack.encode(message), to)

    def report_forever(self) -> None:
        """Report to the leader at a steady pace, also when there is no load."""
        while not self._leader():
            gevent.sleep(FIRST_REPORT_S)
        while True:
            report = self._collect()
            leader = self._leader()
            if leader == self._own:
                self._handle_report(report)
            elif leader:
                report.stamp_ms = elapsed_ms()
                self._send(msgspec.msgpack.encode(report), HostPort.parse(leader))
            self._leader_changed.wait(REPORT_S)

    def publish(self, message: RelayedUpdate | Beacon) -> None:
        """Send a message to all nodes that reported lately.

        Some beacons go to all members: a node that cannot read the lease learns
        from them who leads, and reports there from then on.
        """
        if isinstance(message, Beacon):
            self._call_members(message)
        datagrams = self._datagrams(message)
        now_ms = elapsed_ms()
        for address, peer in list(self._peers.items()):
            since_ms = now_ms - peer.heard_ms
            if since_ms >= PEER_EXPIRY_MS:
                del self._peers[address]
                continue
            if isinstance(message, Beacon):
                stamped = replace(message, sent_ms=peer.stamp_ms + since_ms)
                datagrams = [msgspec.msgpack.encode(stamped)]
            for data in datagrams:
                self._send(data, address)

    def _datagrams(self, message: RelayedUpdate | Beacon) -> list[bytes]:
        """Encode a message; a long one is compressed and divided."""
        data = msgspec.msgpack.encode(message)
        if len(data) <= MAX_DATAGRAM:
            return [data]
        self._divided += 1
        return [msgspec.msgpack.encode(part) for part in packing.divide(self._divided, data)]

    def _call_members(self, beacon: Beacon) -> None:
        now_ms = elapsed_ms()
        if now_ms - self._beacon_ms > PEER_EXPIRY_MS:
            self._beacons = 0  # the first one of a term goes to all
        self._beacon_ms = now_ms
        self._beacons += 1
        if self._beacons % MEMBERS_EVERY != 1:
            return
        data = msgspec.msgpack.encode(beacon)
        for member in self._members():
            address = HostPort.parse(member)
            if member != self._own and tuple(address) not in self._peers:
                self._send(data, address)

    def _send(self, data: bytes, to: Address) -> None:
        if len(data) <= MAX_DATAGRAM:
            with suppress(OSError):
                self._socket.sendto(data, tuple(to))

    def receive_forever(self) -> None:
        """Take what other nodes send."""
        while True:
            try:
                data, peer = self._socket.recvfrom(MAX_DATAGRAM)
                message = self._decode(data, peer)
            except (OSError, ValueError, RecursionError) as error:  # the last: nested deeply
                LOG.warning("Datagram not read.", cause=error)
                continue
            peer_handler = self._peer_handlers.get(type(message))
            if peer_handler is not None:
                peer_handler(message, peer)
                continue
            if isinstance(message, LoadReport):
                self._peers[peer] = _Peer(message.stamp_ms, elapsed_ms())
            self._handle(message)

    def _handle(self, message: Message | None) -> None:
        leader = self._leader()
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message)
        if self._leader() != leader:
            self._leader_changed.raise_()

    def _decode(
        self, data: bytes, peer: Address
    ) -> LoadReport | RelayedUpdate | Beacon | SlotMessage | CrashMessage | None:
        """Return a message; ``None`` until the last fragment of a long one came.

        :raises ValueError: when it has another form.
        """
        message = msgspec.msgpack.decode(data, type=Message)
        if not isinstance(message, Fragment):
            return message
        whole = self._assembly.add(peer, message)
        return None if whole is None else msgspec.msgpack.decode(whole, type=RelayedUpdate)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
