"""How busy keys and servers have been lately. Pure; times in milliseconds."""

from collections import Counter, deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

WINDOW_MS = 3000.0
MIN_SPAN_MS = 500.0
SMOOTHING = 0.2  # weight of a new reading of a server's answer time


def median(values: Iterable[float]) -> float:
    """Return the middle value; the ``statistics`` module costs 2 MB."""
    ordered = sorted(values)
    return ordered[len(ordered) // 2]


@dataclass
class KeyLoad:
    """Requests per key within a sliding window, from the samples of all nodes."""

    _samples: deque[tuple[float, Counter[int]]] = field(default_factory=deque)
    _since_ms: float = -1.0

    def add(self, now_ms: float, keys: Iterable[int]) -> None:
        """Add the keys of requests, one each."""
        if self._since_ms < 0:
            self._since_ms = now_ms
        counts = Counter(keys)
        self._samples.append((now_ms, counts))
        self._trim(now_ms)

    def rates(self, now_ms: float) -> dict[int, float]:
        """Return requests per second by key."""
        self._trim(now_ms)
        total: Counter[int] = Counter()
        for _, counts in self._samples:
            total.update(counts)
        span_ms = min(WINDOW_MS, max(now_ms - self._since_ms, MIN_SPAN_MS))
        return {key: count * 1000 / span_ms for key, count in total.items()}

    def _trim(self, now_ms: float) -> None:
        while self._samples and self._samples[0][0] < now_ms - WINDOW_MS:
            self._samples.popleft()


@dataclass
class AnswerTimes:
    """How long each server works on a request, from the reports of all nodes.

    A server's mean answer time includes its queue, its typical one is below
    the mean. The work is taken as the typical time, scaled by what the mean
    is of the typical time on the middle one of the servers.
    """

    default_ms: float = 100.0
    _readings: dict[str, tuple[float, float]] = field(default_factory=dict)

    def add(self, server_id: str, mean_ms: float, typical_ms: float) -> None:
        """Add one node's reading."""
        known = self._readings.get(server_id)
        if known is not None:
            mean_ms = known[0] + SMOOTHING * (mean_ms - known[0])
            typical_ms = known[1] + SMOOTHING * (typical_ms - known[1])
        self._readings[server_id] = (mean_ms, typical_ms)

    def work_ms(self, server_ids: Collection[str]) -> dict[str, float]:
        """Return the time per request of each of the servers of one service."""
        known = [self._readings[name] for name in server_ids if name in self._readings]
        if not known:
            return dict.fromkeys(server_ids, self.default_ms)
        ratio = median(mean / max(typical, 0.1) for mean, typical in known)
        usual_ms = median(typical for _, typical in known) * ratio
        return {
            name: self._readings[name][1] * ratio if name in self._readings else usual_ms
            for name in server_ids
        }

    def keep_only(self, server_ids: Collection[str]) -> None:
        """Forget servers that are gone."""
        for server_id in [known for known in self._readings if known not in server_ids]:
            del self._readings[server_id]
