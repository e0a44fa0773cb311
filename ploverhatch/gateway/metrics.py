"""Counters of a gateway, written in Prometheus' text exposition format.

This module doesn't use ``prometheus_client``, which takes 12 MB of memory per process, while
memory is priced by the megabyte and a gateway has only a few counters.
"""

from collections import Counter
from collections.abc import Callable, Mapping

from ploverhatch.routing.execution import ExecutionProof

COUNTED_STATUSES = frozenset({400, 404, 408, 409, 421, 429, 500, 502, 503, 504})
BUCKETS_MS = (10, 25, 50, 100, 200, 400, 800, 1600)
PREFIX = "ploverhatch_"


class GatewayMetrics:
    """Counts results and attempts; labels come from bounded sets.

    :param connections: the connections to servers that were reused and opened, by reason.
    """

    def __init__(self, connections: Mapping[str, int] | None = None) -> None:
        self.results: Counter[int] = Counter()
        self.returns: Counter[int] = Counter()  # Results of requests of returning callers.
        self.attempts: Counter[str] = Counter()
        # Sends to servers that leave, back off or have a rate limit.
        self.sends: Counter[str] = Counter()
        # Answers of servers with error statuses, by status and by what they prove.
        self.answers: Counter[tuple[int, str]] = Counter()
        self._connections = {} if connections is None else connections
        self._durations: Counter[float] = Counter()
        self._gauges: dict[str, Callable[[], float]] = {}

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Add a value that is read for each call of :meth:`text`."""
        self._gauges[name] = read

    def count_request(self, result_code: int, took_ms: float, is_return: bool = False) -> None:
        """Count a finished request.

        :param is_return: whether its caller came back after an earlier attempt.
        """
        self.results[result_code] += 1
        self.returns[result_code] += is_return
        bucket = next((limit for limit in BUCKETS_MS if took_ms <= limit), float("inf"))
        self._durations[bucket] += 1

    def count_answer(self, status: int, proof: ExecutionProof) -> None:
        """Count a server's complete answer unless it is a success."""
        if status >= 400:
            known = status if status in COUNTED_STATUSES else 0
            self.answers[known, proof.value] += 1

    def text(self) -> bytes:
        """Return all values in the exposition format."""
        rows = [
            f'{PREFIX}requests_total{{result="{code}"}} {count}'
            for code, count in sorted(self.results.items())
        ]
        rows += [
            f'{PREFIX}returns_total{{result="{code}"}} {count}'
            for code, count in sorted((+self.returns).items())
        ]
        rows += [
            f'{PREFIX}attempts_total{{outcome="{name}"}} {count}'
            for name, count in sorted(self.attempts.items())
        ]
        rows += [
            f'{PREFIX}server_errors_total{{status="{status or "other"}",proof="{proof}"}} {count}'
            for (status, proof), count in sorted(self.answers.items())
        ]
        rows += [
            f'{PREFIX}sends_total{{server="{name}"}} {count}'
            for name, count in sorted(self.sends.items())
        ]
        rows += [
            f'{PREFIX}server_connections_total{{use="{name}"}} {count}'
            for name, count in sorted(self._connections.items())
        ]
        rows += self._histogram()
        rows += [f"{PREFIX}{name} {read():g}" for name, read in sorted(self._gauges.items())]
        return ("\n".join(rows) + "\n").encode()

    def _histogram(self) -> list[str]:
        rows = []
        seen = 0
        for limit in (*BUCKETS_MS, float("inf")):
            seen += self._durations[limit]
            label = "+Inf" if limit == float("inf") else f"{limit:g}"
            rows.append(f'{PREFIX}request_ms_bucket{{le="{label}"}} {seen}')
        rows.append(f"{PREFIX}request_ms_count {seen}")
        return rows
