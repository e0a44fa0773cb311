"""Load generator: open-loop traffic of a deployment for its routers.

Requests are sent at the configured rate, independent of the answers. Where a router can't be
reached, the caller uses the next one. Repeats of requests that run at most once carry the same
Idempotency-Key.
"""

from collections import Counter
from dataclasses import dataclass, field

import gevent
import numpy
from hdrh.histogram import HdrHistogram

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.settings.deployment import TrafficSection
from ploverhatch.transport.http_client import AnswerLostError, HttpAnswer, HttpClient, NotSentError

CONNECTIONS_PER_ROUTER = 256
MAX_IN_FLIGHT = 2000
MAX_LATENCY_US = 60_000_000
TIMEOUT_S = 35.0


@dataclass
class LoadResult:
    """Results that callers received. Latencies are in microseconds."""

    results: Counter[str] = field(default_factory=Counter)
    latency: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3))
    failures: list[str] = field(default_factory=list)
    dropped: int = 0

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile of the latency, in ms."""
        return float(self.latency.get_value_at_percentile(percentile)) / 1000

    @property
    def answered(self) -> int:
        """Number of requests that the owner answered."""
        return self.results["1000"] + self.results["1001"]

    @property
    def total(self) -> int:
        """Number of all requests."""
        return sum(self.results.values())


class KeyChooser:
    """Draws key numbers with a Zipf distribution."""

    def __init__(self, keys: int, skew: float, seed: int) -> None:
        weights = 1.0 / numpy.arange(1, keys + 1) ** skew
        self._cumulative = numpy.cumsum(weights / weights.sum())
        self._random = numpy.random.default_rng(seed)

    def next(self) -> int:
        """Return a key number; zero is the most frequent."""
        return int(numpy.searchsorted(self._cumulative, self._random.random()))


class LoadGenerator:
    """Sends the traffic of the sections of a deployment."""

    def __init__(
        self, routers: list[tuple[str, int]], traffic: tuple[TrafficSection, ...], seed: int = 1
    ) -> None:
        self._clients = [HttpClient(host, port, CONNECTIONS_PER_ROUTER) for host, port in routers]
        self._traffic = traffic
        self._seed = seed
        self._in_flight = 0
        self._sent = 0
        self.result = LoadResult()

    def run(self, duration_s: float, scale: float = 1.0) -> LoadResult:
        """Send for ``duration_s``, then wait for the answers and return the result.

        :param scale: factor on the rates of all sections.
        """
        senders = [
            gevent.spawn(self._send_section, section, number, duration_s, scale)
            for number, section in enumerate(self._traffic)
        ]
        gevent.joinall(senders)
        end_ms = elapsed_ms() + TIMEOUT_S * 1000
        while self._in_flight and elapsed_ms() < end_ms:
            gevent.sleep(0.01)
        return self.result

    def _send_section(
        self, section: TrafficSection, number: int, duration_s: float, scale: float
    ) -> None:
        chooser = KeyChooser(section.keys, section.skew, self._seed + number)
        interval_ms = 1000 / (section.rate * scale)
        start_ms = elapsed_ms()
        count = int(duration_s * 1000 / interval_ms)
        for position in range(count):
            wait_ms = start_ms + position * interval_ms - elapsed_ms()
            gevent.sleep(max(0.0, wait_ms) / 1000)
            if self._in_flight >= MAX_IN_FLIGHT:
                self.result.dropped += 1
                continue
            key = f"k{chooser.next()}"
            identity = f"{self._seed}-{number}-{position}"
            self._in_flight += 1
            gevent.spawn(self._send_one, section, key, identity)

    def _send_one(self, section: TrafficSection, key: str, identity: str) -> None:
        started_ms = elapsed_ms()
        headers = {"Echo": identity}
        if section.once:
            headers["Idempotency-Key"] = identity
        try:
            outcome = self._exchange(section, key, headers, identity)
        finally:
            self._in_flight -= 1
        self.result.results[outcome] += 1
        latency_us = min(max(1, int((elapsed_ms() - started_ms) * 1000)), MAX_LATENCY_US)
        self.result.latency.record_value(latency_us)
        if outcome not in {"1000", "1001"} and len(self.result.failures) < 20:
            self.result.failures.append(f"{section.method} {section.path} {key}: {outcome}")

    def _exchange(
        self, section: TrafficSection, key: str, headers: dict[str, str], identity: str
    ) -> str:
        target = section.path.replace("{key}", key)
        body = b"{}" if section.method != "GET" else b""
        self._sent += 1
        for offset in range(len(self._clients)):
            client = self._clients[(self._sent + offset) % len(self._clients)]
            try:
                answer = client.exchange(section.method, target, headers, body, TIMEOUT_S)
            except NotSentError:
                continue
            except AnswerLostError:
                return "connection-lost"
            return self._check(answer, identity)
        return "no-router"

    def _check(self, answer: HttpAnswer, identity: str) -> str:
        """Return the result code, or ``crossed-answer`` for the answer of another request."""
        code = answer.headers.get("ploverhatch-result", f"status-{answer.status}")
        if code in {"1000", "1001"} and answer.json().get("echo") != identity:
            return "crossed-answer"
        return code
