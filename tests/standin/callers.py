"""Callers of a stand-in site, each with its own address; some send requests that crash servers."""

from dataclasses import dataclass, field
from itertools import count

import gevent
from gevent import socket

from ploverhatch.common.clock import elapsed_ms
from tests.standin.site import Incarnation
from tests.standin.upstream import CRASHES_SERVER

PAUSE_S = 0.02
QUARANTINED = b"ploverhatch-result: 2111"


@dataclass
class RequestRecord:
    """One request and the answer that its caller got; times in elapsed seconds."""

    name: str
    incarnation: Incarnation  # the process that it was sent to
    sent_s: float
    status: int = 0
    took_s: float = 0.0
    head: bytes = b""
    safe: bool = True  # whether it may run more than once


@dataclass
class Caller:
    """Sends the same request on each call, from an address of its own."""

    name: str
    path: str = "/read/a"
    address: str = "127.0.0.1"
    body: bytes = b""
    crashes_server: bool = False
    key: int | None = None
    method: str = "GET"
    asked: list = field(default_factory=list)
    numbers: count = field(default_factory=count)

    def ask(self, gateway):
        sent = RequestRecord(
            f"{self.name}-{next(self.numbers)}", gateway.incarnation, elapsed_ms() / 1000
        )
        sent.safe = "read/" in self.path
        self.asked.append(sent)
        try:
            with gevent.Timeout(4.0):
                sent.head = self._exchange(gateway.front, sent.name)
                sent.status = int(sent.head.split()[1]) if sent.head else 0
        except (OSError, gevent.Timeout):
            sent.status = 0
        sent.took_s = elapsed_ms() / 1000 - sent.sent_s
        return sent

    def _exchange(self, port, name):
        rows = [
            f"{self.method} {self.path} HTTP/1.1", "Host: h.example", f"Request-Id: {name}",
            "Request-Deadline-Ms: 2000", f"Content-Length: {len(self.body)}", "Connection: close",
            f"Cookie: {name}",
        ]  # fmt: skip
        rows += [f"{CRASHES_SERVER.decode()}: 1"] if self.crashes_server else []
        rows += [] if self.key is None else [f"Shard-Key: {self.key}"]
        payload = "".join(f"{row}\r\n" for row in [*rows, ""]).encode() + self.body
        address = ("127.0.0.1", port)
        with socket.create_connection(address, 2.0, (self.address, 0)) as sock:
            sock.sendall(payload)
            answer = b""
            while part := sock.recv(65536):
                answer += part
        return answer.partition(b"\r\n\r\n")[0].lower()

    @property
    def counts_each_copy(self):
        """Whether each copy that ran counts as a crash; repeats by a single caller don't."""
        return False

    def ask_forever(self, gateways):
        for number in count():
            self.ask(gateways[number % len(gateways)])
            gevent.sleep(PAUSE_S)


@dataclass
class ConcurrentCallers:
    """Many callers that send the same request at the same time."""

    name: str
    path: str
    callers: list

    @property
    def asked(self):
        return [sent for caller in self.callers for sent in caller.asked]

    @property
    def counts_each_copy(self):
        """Whether each copy that ran counts as a crash, as in the platform's own count."""
        return True
