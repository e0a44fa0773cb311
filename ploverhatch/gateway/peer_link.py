"""Datagrams between nodes: load reports to the leader, key maps from it.

Both only save time. A lost report costs a little precision; a lost map is told
by the watch on the store a second later. A map carries its revision in the
store, so an old one never replaces a newer one.
"""

from collections.abc import Callable
from contextlib import suppress
from typing import Any

import gevent
import msgspec
from gevent import socket

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.logs import PartLogger
from ploverhatch.gateway.keymap_codec import decode_keymap, encode_keymap
from ploverhatch.sharding.keymap import KeyMap
from ploverhatch.store.objects import VersionedObject
from ploverhatch.transport.http_connection import HostPort

LOG = PartLogger("peer")

REPORT_S = 0.5
MAX_KEYS = 400  # of one report and service
MAX_DATAGRAM = 8192
TIMES_EVERY = 4  # answer times go with every fourth report
PEER_MEMORY_MS = 3000.0  # a node that reported within that time gets key maps


class LoadReport(msgspec.Struct, array_like=True, tag=1):
    """Keys of the requests since the last report, and servers' answer times."""

    keys: dict[str, list[int]]
    answer_ms: dict[str, tuple[float, float]]  # server -> mean and typical time


class MapUpdate(msgspec.Struct, array_like=True, tag=2):
    """A key map as the store acknowledged it."""

    service: str
    revision: int
    content: Any


Message = LoadReport | MapUpdate


class PeerLink:
    """This node's socket towards the other nodes."""

    def __init__(
        self,
        address: HostPort,
        collect: Callable[[], LoadReport],
        leader: Callable[[], str],
        take_report: Callable[[LoadReport], None],
        take_map: Callable[[KeyMap], object],
    ) -> None:
        self._collect = collect
        self._leader = leader
        self._take_report = take_report
        self._take_map = take_map
        self._own = f"{address.host}:{address.port}"
        self._peers: dict[tuple[str, int], float] = {}  # reporters, and when last heard
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(tuple(address))

    def report_forever(self) -> None:
        """Report to the leader at a steady pace, also when there is no load."""
        round_number = 0
        while True:
            gevent.sleep(REPORT_S)
            round_number += 1
            report = self._collect()
            if round_number % TIMES_EVERY:
                report.answer_ms = {}
            leader = self._leader()
            if leader == self._own:
                self._take_report(report)
            elif leader:
                self._send(msgspec.msgpack.encode(report), HostPort.parse(leader))

    def publish(self, keymap: KeyMap) -> None:
        """Send a map to all nodes that reported lately."""
        update = MapUpdate(keymap.service, keymap.revision, encode_keymap(keymap))
        data = msgspec.msgpack.encode(update)
        now_ms = elapsed_ms()
        for peer, heard_ms in list(self._peers.items()):
            if now_ms - heard_ms < PEER_MEMORY_MS:
                self._send(data, peer)
            else:
                del self._peers[peer]

    def _send(self, data: bytes, to: tuple[str, int]) -> None:
        if len(data) <= MAX_DATAGRAM:
            with suppress(OSError):
                self._socket.sendto(data, tuple(to))

    def receive_forever(self) -> None:
        """Take what other nodes send."""
        while True:
            try:
                data, peer = self._socket.recvfrom(MAX_DATAGRAM)
                self._take(msgspec.msgpack.decode(data, type=Message), peer)
            except (OSError, ValueError) as error:
                LOG.warning("Datagram not read.", cause=error)

    def _take(self, message: Message, peer: tuple[str, int]) -> None:
        if isinstance(message, LoadReport):
            self._peers[peer] = elapsed_ms()
            self._take_report(message)
            return
        item = VersionedObject(message.service, message.revision, message.content)
        self._take_map(decode_keymap(item))

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
