"""Datagrams between nodes: load reports to the leader, changes and beacons from it.

Messages about slots and about requests under which servers crashed travel here too. Loss of
a datagram costs time or calls to the store, never correctness. Changes carry revisions of the
store, so that an old one never replaces a newer one.
"""

import itertools
import socket as stdlib_socket
import struct
import time
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
from ploverhatch.routing.link_messages import LinkQuery, LinkReply
from ploverhatch.transport.http_connection import HostPort

LOG = PartLogger("peer")

REPORT_S = 0.3
FIRST_REPORT_S = 0.1  # interval of checks for a first leader to report to
MAX_KEYS = 400  # in one report, for each service
MAX_DATAGRAM_BYTES = 8192
DATAGRAMS_PER_TURN = 16
LOG_INTERVAL_MS = 1000.0
MAX_WAITING_MS = 1000.0  # A longer wait to be read is taken for a change of the clock.
_SO_TIMESTAMPNS = 35  # The socket module lacks the name; Linux has this number.
_TIMESPEC = struct.Struct("ll")
_ANCILLARY_BYTES = stdlib_socket.CMSG_SPACE(_TIMESPEC.size)
PEER_EXPIRY_MS = 3000.0  # a node that reported within this time is sent changes
MEMBERS_EVERY = 4  # every fourth beacon also goes to nodes that do not report


class LoadReport(msgspec.Struct, array_like=True, tag=1):
    """A node's report to the leader on the requests since the last report.

    ``leaving`` holds the servers that announced that they are leaving, and how long ago, where
    their records don't say so; ``backing_off`` those that asked this node for a backoff, and the
    time that is left of it; both in milliseconds. ``limits`` holds the rate limits that servers
    announced in answers to this node. ``paces`` holds the paces of the servers' machines at the
    answers in ``answer_ms``, in percent, where a server was disturbed.
    """

    keys: dict[str, list[int]]  # hashes of the requests' keys, by service
    answer_ms: dict[str, list[int]]  # answer times, by server
    stamp_ms: float = 0.0  # when the report was sent, on its sender's clock
    strength: float = 0.0  # of the sender's machine if it is ready to lead, else 0
    leaving: dict[str, float] = {}
    backing_off: dict[str, float] = {}
    limits: ReportedLimits = {}
    paces: dict[str, list[int]] = {}


SlotMessage = SlotRequestMessage | SlotReply | SlotRelease | HeldSlotsRequest | HeldSlotsReply
CrashMessage = CrashReport | CrashQuery | TrialMessage
LinkMessage = LinkQuery | LinkReply
Message = LoadReport | RelayedUpdate | Beacon | Fragment | SlotMessage | CrashMessage | LinkMessage
Address = tuple[str, int]


def waiting_ms(ancillary: list[tuple[int, int, bytes]], now_s: float) -> float:
    """Return for how long a datagram has waited to be read; 0 if that is unknown.

    :param ancillary: ancillary data of the datagram, with the kernel's time of its arrival.
    :param now_s: time of day at which it is read. The clock may have been set meanwhile.
    """
    for level, kind, data in ancillary:
        if (level, kind) == (stdlib_socket.SOL_SOCKET, _SO_TIMESTAMPNS):
            seconds, nanoseconds = _TIMESPEC.unpack(data[: _TIMESPEC.size])
            waited_ms = (now_s - seconds) * 1000 - nanoseconds / 1e6
            return waited_ms if 0 <= waited_ms <= MAX_WAITING_MS else 0.0
    return 0.0


@dataclass(frozen=True, slots=True)
class _Peer:
    """A node's last report: when it was sent, on its clock, and received, on this node's."""

    stamp_ms: float
    received_ms: float


class PeerLink:
    """This node's datagram socket to the other nodes.

    :param address: where to bind the socket.
    :param collect: returns the next report; called at each interval.
    :param leader: returns the leader's address, empty when none is known.
    :param handle_report: receives reports, also this node's own while it leads.
    :param members: returns the addresses of all known nodes.
    """

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
        self._divided = 0  # number of messages so far that were longer than a datagram
        self._assembly = packing.Assembly()
        self._arrived_ms = 0.0  # when the message that is handled now arrived
        self._malformed = 0  # datagrams since the last logged one
        self._malformed_logged_ms = -1e12
        self._collect = collect
        self._leader = leader
        self._handle_report = handle_report
        self._handlers: dict[type, Callable[..., None]] = {LoadReport: handle_report}
        # These are called with the sender's address too.
        self._peer_handlers: dict[type, Callable[..., None]] = {}
        self._own = f"{address.host}:{address.port}"
        self._peers: dict[Address, _Peer] = {}  # nodes that report to this one
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(tuple(address))
        self._socket.setsockopt(stdlib_socket.SOL_SOCKET, _SO_TIMESTAMPNS, 1)

    @property
    def peers(self) -> frozenset[Address]:
        """Nodes that reported lately."""
        return frozenset(self._peers)

    def add_handler(self, message_type: type, handler: Callable[..., None]) -> None:
        """Pass messages of a type to ``handler``."""
        self._handlers[message_type] = handler

    def add_peer_handler(self, message_type: type, handler: Callable[..., None]) -> None:
        """Pass messages of a type to ``handler``, with their senders' addresses."""
        self._peer_handlers[message_type] = handler

    def add_slot_handler(self, handler: Callable[[SlotMessage, Address, float], None]) -> None:
        """Pass all messages about slots to ``handler``.

        It is called with the sender's address, and the elapsed milliseconds at which the message
        arrived; it may be read much later while this process is busy.
        """

        def handle(message: SlotMessage, peer: Address) -> None:
            handler(message, peer, self._arrived_ms)

        for message_type in (
            SlotRequestMessage,
            SlotReply,
            SlotRelease,
            HeldSlotsRequest,
            HeldSlotsReply,
        ):
            self.add_peer_handler(message_type, handle)

    def send(self, message: SlotMessage | CrashMessage | LinkMessage, to: Address) -> None:
        """Send a message to one node; a longer one than a datagram holds is dropped."""
        self._send(msgspec.msgpack.encode(message), to)

    def report_forever(self) -> None:
        """Report to the leader at a fixed interval, also when there is no load."""
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

        Some beacons go to all members: a node that cannot read the lease learns from them
        which node leads, and reports to it from then on.
        """
        if isinstance(message, Beacon):
            self._send_to_members(message)
        datagrams = self._datagrams(message)
        now_ms = elapsed_ms()
        for address, peer in list(self._peers.items()):
            since_ms = now_ms - peer.received_ms
            if since_ms >= PEER_EXPIRY_MS:
                del self._peers[address]
                continue
            if isinstance(message, Beacon):
                stamped = replace(message, sent_ms=peer.stamp_ms + since_ms)
                datagrams = [msgspec.msgpack.encode(stamped)]
            for data in datagrams:
                self._send(data, address)

    def _datagrams(self, message: RelayedUpdate | Beacon) -> list[bytes]:
        """Return the datagrams of a message; a long one is compressed and divided."""
        data = msgspec.msgpack.encode(message)
        if len(data) <= MAX_DATAGRAM_BYTES:
            return [data]
        self._divided += 1
        return [msgspec.msgpack.encode(part) for part in packing.divide(self._divided, data)]

    def _send_to_members(self, beacon: Beacon) -> None:
        now_ms = elapsed_ms()
        if now_ms - self._beacon_ms > PEER_EXPIRY_MS:
            self._beacons = 0  # the first beacon of a term goes to all members
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
        if len(data) <= MAX_DATAGRAM_BYTES:
            with suppress(OSError):
                self._socket.sendto(data, tuple(to))

    def receive_forever(self) -> None:
        """Receive messages of other nodes and pass them to their handlers."""
        for number in itertools.count(1):
            if number % DATAGRAMS_PER_TURN == 0:
                gevent.sleep(0)  # Further ones may be there at once; others need their turn.
            try:
                data, peer = self._receive()
                message = self._decode(data, peer)
            except (OSError, ValueError, RecursionError) as error:  # RecursionError: nested deeply
                self._note_malformed(error)
                continue
            peer_handler = self._peer_handlers.get(type(message))
            if peer_handler is not None:
                peer_handler(message, peer)
                continue
            if isinstance(message, LoadReport):
                self._peers[peer] = _Peer(message.stamp_ms, elapsed_ms())
            self._handle(message)

    def _receive(self) -> tuple[bytes, Address]:
        data, ancillary, _, peer = self._socket.recvmsg(MAX_DATAGRAM_BYTES, _ANCILLARY_BYTES)
        self._arrived_ms = elapsed_ms() - waiting_ms(ancillary, time.time())
        return data, peer

    def _note_malformed(self, error: Exception) -> None:
        """Log at most one malformed datagram in a second, with the number since the last one."""
        self._malformed += 1
        if elapsed_ms() - self._malformed_logged_ms >= LOG_INTERVAL_MS:
            self._malformed_logged_ms = elapsed_ms()
            LOG.warning("Datagram not received, or malformed.", cause=error, count=self._malformed)
            self._malformed = 0

    def _handle(self, message: Message | None) -> None:
        leader = self._leader()
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message)
        if self._leader() != leader:
            self._leader_changed.raise_()

    def _decode(
        self, data: bytes, peer: Address
    ) -> LoadReport | RelayedUpdate | Beacon | SlotMessage | CrashMessage | LinkMessage | None:
        """Return a message; ``None`` until the last fragment of a long one has arrived.

        :raises ValueError: when it is malformed.
        """
        message = msgspec.msgpack.decode(data, type=Message)
        if not isinstance(message, Fragment):
            return message
        whole = self._assembly.add(peer, message)
        return None if whole is None else msgspec.msgpack.decode(whole, type=RelayedUpdate)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
