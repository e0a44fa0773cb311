"""How busy keys and servers have been lately. Pure; times in milliseconds."""

import math
from collections import Counter, deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

# Of some ten requests a second for a server's keys, a window of 3 s counts 30, give or
# take 5; one of 8 s, 80 give or take 9: so much less is moved by chance alone.
WINDOW_MS = 8000.0
RECENT_MS = 1000.0
MIN_SPAN_MS = 500.0
COMPLETED_MS = 1500.0  # over which answers are counted
SURE_CHANGE = 3.0  # standard deviations that a key's recent count is off the expected one
MAX_SAMPLES = 64  # of one server
LEAST_TIMES = 6  # fewer say nothing of a server
TYPICAL_PART = 0.25  # of the answers are faster than the typical time
BEHIND_MEMORY_MS = 10_000.0  # until a server that fell behind and lost its keys is tried again
BEHIND_PART = 0.5  # a server that completes less than this of what it is asked falls behind,
SURELY_BEHIND = 2.5  # ... if the gap is so many standard deviations of both counts
UNRESPONSIVE_MS = 500.0  # longer than reports take to come, and than most answers take
UNRESPONSIVE_REQUESTS = 6.0  # without one answer; by chance that happens in 1 of 400 such spans


def median(values: Iterable[float]) -> float:
    """Return the middle value; the ``statistics`` module costs 2 MB."""
    ordered = sorted(values)
    return ordered[len(ordered) // 2]


@dataclass
class KeyLoad:
    """Requests per key within a sliding window, from the samples of all nodes."""

    window_ms: float = WINDOW_MS
    _samples: deque[tuple[float, Counter[int]]] = field(default_factory=deque)
    _total: Counter[int] = field(default_factory=Counter)  # of all samples
    _since_ms: float = -1.0

    def add(self, now_ms: float, keys: Iterable[int]) -> None:
        """Add the keys of requests, one each."""
        if self._since_ms < 0:
            self._since_ms = now_ms
        counts = Counter(keys)
        self._samples.append((now_ms, counts))
        self._total.update(counts)
        self._trim(now_ms)

    def rates(self, now_ms: float) -> dict[int, float]:
        """Return requests per second by key.

        The mean of the whole window, which chance moves little, but for keys that
        surely became busier or less busy: theirs is the rate of the last second, so
        that they are acted on at once.
        """
        self._trim(now_ms)
        recent: Counter[int] = Counter()
        for taken_ms, counts in reversed(self._samples):
            if taken_ms <= now_ms - RECENT_MS:
                break
            recent.update(counts)
        known_ms = max(now_ms - self._since_ms, MIN_SPAN_MS)
        span_ms = min(self.window_ms, known_ms)
        recent_ms = min(RECENT_MS, known_ms)
        rates = {}
        for key, count in self._total.items():
            expected = count * recent_ms / span_ms
            changed = abs(recent[key] - expected) > SURE_CHANGE * math.sqrt(expected)
            rates[key] = recent[key] * 1000 / recent_ms if changed else count * 1000 / span_ms
        return rates

    def _trim(self, now_ms: float) -> None:
        while self._samples and self._samples[0][0] < now_ms - self.window_ms:
            _, counts = self._samples.popleft()
            self._total.subtract(counts)
            for key in counts:
                if not self._total[key]:
                    del self._total[key]


@dataclass
class AnswerTimes:
    """How long each server works on a request, from the answers of all nodes.

    A server's mean answer time includes its queue. Its *typical* time, that of the
    fastest quarter, hardly does. The work is taken as the typical time, scaled by
    what the mean is of the typical time on the middle one of the servers. The
    latest answers of all nodes together tell it within a second or two, while
    each node alone sees a few answers of a server a second.

    On an overloaded server each answer has queued. But what it completes tells
    how fast it works at least, whatever its queue.
    """

    default_ms: float = 100.0
    _answered_ms: dict[str, float] = field(default_factory=dict)  # when it was told last
    _known_ms: dict[str, float] = field(default_factory=dict)  # when it was told first
    _times: dict[str, deque[float]] = field(default_factory=dict)
    _completed: dict[str, deque[tuple[float, int]]] = field(default_factory=dict)
    _behind: dict[str, tuple[float, float]] = field(default_factory=dict)  # when, and its work

    def add(self, server_id: str, times_ms: Collection[float], now_ms: float) -> None:
        """Add answer times of a server, as one node saw them since its last report."""
        self._answered_ms[server_id] = now_ms
        self._known_ms.setdefault(server_id, now_ms)
        self._times.setdefault(server_id, deque(maxlen=MAX_SAMPLES)).extend(times_ms)
        completed = self._completed.setdefault(server_id, deque())
        completed.append((now_ms, len(times_ms)))
        while completed[0][0] < now_ms - COMPLETED_MS:
            completed.popleft()

    def max_service_ms(self, server_id: str, slots: int, now_ms: float) -> float:
        """Return what a request can take at most, from what the server completed lately."""
        done = self._done(server_id, now_ms)
        return slots * COMPLETED_MS / done if done else math.inf

    def saturated_service_ms(
        self, server_id: str, slots: int, rate: float, now_ms: float
    ) -> float | None:
        """Return how long a request takes on a server that surely falls behind, else ``None``.

        Its slots are all in use, so what it completes tells its work. Answer times do
        not: they come late and, where requests run out of time, not at all. Once its keys
        have moved nothing tells how it works, so the last verdict holds for a while.

        :param rate: requests a second for its keys, which it has held for a while.
        """
        if not rate:
            judged_ms, service_ms = self._behind.get(server_id, (-math.inf, 0.0))
            return service_ms if now_ms - judged_ms < BEHIND_MEMORY_MS else None
        if now_ms - self._known_ms.get(server_id, now_ms) < COMPLETED_MS:
            return None
        done = self._done(server_id, now_ms)
        asked = rate * COMPLETED_MS / 1000
        behind = asked - done
        if done > asked * BEHIND_PART or behind < SURELY_BEHIND * math.sqrt(asked + done):
            return None
        service_ms = slots * COMPLETED_MS / max(done, 1)
        self._behind[server_id] = now_ms, service_ms
        return service_ms

    def _done(self, server_id: str, now_ms: float) -> int:
        """Return how many requests a server completed lately."""
        counts = self._completed.get(server_id, ())
        return sum(count for taken_ms, count in counts if taken_ms >= now_ms - COMPLETED_MS)

    def service_ms(self, server_ids: Collection[str]) -> dict[str, float]:
        """Return the time per request of each of the servers of one service."""
        readings = {
            name: _reading(times)
            for name in server_ids
            if len(times := self._times.get(name, ())) >= LEAST_TIMES
        }
        if not readings:
            return dict.fromkeys(server_ids, self.default_ms)
        ratio = median(mean / max(typical, 0.1) for mean, typical in readings.values())
        usual_ms = median(typical for _, typical in readings.values()) * ratio
        return {
            name: readings[name][1] * ratio if name in readings else usual_ms for name in server_ids
        }

    def answered_ms(self, server_id: str) -> float:
        """Return when answers of a server were reported last."""
        return self._answered_ms.get(server_id, -math.inf)

    def keep_only(self, server_ids: Collection[str]) -> None:
        """Forget servers that are gone."""
        for server_id in [known for known in self._times if known not in server_ids]:
            del self._times[server_id]
            self._completed.pop(server_id, None)
            self._answered_ms.pop(server_id, None)
            self._known_ms.pop(server_id, None)
            self._behind.pop(server_id, None)

    def is_unresponsive(self, server_id: str, rate: float, now_ms: float) -> bool:
        """Whether so many requests stayed unanswered that the server hardly answers at all.

        A server that answers once in a while is not silent, however slow it is. That
        alone proves nothing: a control call decides, which a slow server answers too.

        :param rate: requests a second for its keys.
        """
        since_ms = now_ms - self._answered_ms.get(server_id, now_ms)
        return since_ms >= UNRESPONSIVE_MS and rate * since_ms / 1000 >= UNRESPONSIVE_REQUESTS


def _reading(times_ms: Collection[float]) -> tuple[float, float]:
    """Return mean and typical time."""
    ordered = sorted(times_ms)
    return sum(ordered) / len(ordered), ordered[int(len(ordered) * TYPICAL_PART)]
