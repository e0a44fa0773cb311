"""How busy keys and servers have been lately. Pure; times in milliseconds."""

from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

WINDOW_MS = 3000.0
MIN_SPAN_MS = 500.0
SMOOTHING = 0.2  # weight of a new reading of a server's answer time


@dataclass
class KeyLoad:
    """Requests per key within a sliding window, from the samples of all nodes."""

    _samples: deque[tuple[float, Counter[int]]] = field(default_factory=deque)
    _since_ms: float = -1.0

    def add(self, now_ms: float, keys: Iterable[int], weight: float = 1.0) -> None:
        """Add sampled keys, each standing for ``weight`` requests."""
        if self._since_ms < 0:
            self._since_ms = now_ms
        counts: Counter[int] = Counter()
        for key in keys:
            counts[key] += weight  # type: ignore[assignment]
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
    """Smoothed answer time of each server, in milliseconds, from all nodes."""

    default_ms: float = 100.0
    _means: dict[str, float] = field(default_factory=dict)

    def add(self, server_id: str, mean_ms: float) -> None:
        """Add one reading."""
        known = self._means.get(server_id)
        if known is None:
            self._means[server_id] = mean_ms
        else:
            self._means[server_id] = known + SMOOTHING * (mean_ms - known)

    def get(self, server_id: str) -> float:
        """Return a server's answer time; unknown ones get the mean of the others."""
        known = self._means.get(server_id)
        if known is not None:
            return known
        if not self._means:
            return self.default_ms
        return sum(self._means.values()) / len(self._means)

    def keep_only(self, server_ids: set[str]) -> None:
        """Forget servers that are gone."""
        for server_id in [known for known in self._means if known not in server_ids]:
            del self._means[server_id]
