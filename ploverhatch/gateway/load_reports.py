"""Load reports: each node tells the leader which keys are busy, by datagram.

A lost report costs a little precision and nothing else.
"""

from collections.abc import Callable
from contextlib import suppress

import gevent
import msgspec
from gevent import socket

from ploverhatch.common.logs import PartLogger
from ploverhatch.transport.http_connection import HostPort

LOG = PartLogger("load")

REPORT_S = 0.5
MAX_KEYS = 400  # of one report and service
MAX_DATAGRAM = 8192
TIMES_EVERY = 4  # answer times go with every fourth report


class LoadReport(msgspec.Struct, array_like=True):
    """Keys of the requests since the last report, and servers' answer times."""

    keys: dict[str, list[int]]
    answer_ms: dict[str, tuple[float, float]]  # server -> mean and typical time


class LoadReporter:
    """Sends this node's reports, and takes those of others while it leads."""

    def __init__(
        self,
        address: HostPort,
        collect: Callable[[], LoadReport],
        leader: Callable[[], str],
        take: Callable[[LoadReport], None],
    ) -> None:
        self._collect = collect
        self._leader = leader
        self._take = take
        self._own = f"{address.host}:{address.port}"
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(tuple(address))

    def send_forever(self) -> None:
        """Report at a steady pace."""
        round_number = 0
        while True:
            gevent.sleep(REPORT_S)
            round_number += 1
            report = self._collect()
            if round_number % TIMES_EVERY:
                report.answer_ms = {}
            self._send(report)

    def _send(self, report: LoadReport) -> None:
        leader = self._leader()
        if leader == self._own:
            self._take(report)
        elif leader and (report.keys or report.answer_ms):
            with suppress(OSError, ValueError):
                self._socket.sendto(msgspec.msgpack.encode(report), tuple(HostPort.parse(leader)))

    def receive_forever(self) -> None:
        """Take the reports of other nodes."""
        while True:
            try:
                data, _ = self._socket.recvfrom(MAX_DATAGRAM)
                report = msgspec.msgpack.decode(data, type=LoadReport)
            except (OSError, msgspec.DecodeError) as error:
                LOG.warning("Report not read.", cause=error)
                continue
            self._take(report)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
