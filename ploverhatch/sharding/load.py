"""Recent load of keys and servers.

This module does no I/O and reads no clock. Times are milliseconds.
"""

import math
from collections import Counter, deque
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

# At ten requests per second for a server's keys, a window of 3 s counts 30 with a standard
# deviation of 5, and a window of 8 s counts 80 with one of 9. The longer window causes fewer
# moves by chance alone.
WINDOW_MS = 8000.0
RECENT_MS = 1000.0
MIN_SPAN_MS = 500.0
COMPLETION_WINDOW_MS = 1500.0  # time over which completed requests are counted
CHANGE_DEVIATIONS = 3.0  # standard deviations between a key's recent count and the expected count
MAX_SAMPLES = 64  # of one server
MIN_SAMPLES = 6  # answer times of a server; fewer say nothing of it
TYPICAL_FRACTION = 0.25  # part of the answers that are faster than the typical time
BEHIND_MEMORY_MS = 10_000.0  # time until a server that fell behind and lost its keys is retried
# A server falls behind if it completes less than BEHIND_FRACTION of the requests it is sent, and
# the gap is at least BEHIND_DEVIATIONS standard deviations of both counts.
BEHIND_FRACTION = 0.5
BEHIND_DEVIATIONS = 2.5
UNRESPONSIVE_MS = 500.0  # longer than reports take to arrive, and than most answers take
UNRESPONSIVE_REQUESTS = 6.0  # without an answer; by chance this happens in 1 of 400 such spans


def median(values: Iterable[float]) -> float:
    """Return the middle value. The ``statistics`` module isn't used, since it takes 2 MB."""
    ordered = sorted(values)
    return ordered[len(ordered) // 2]


@dataclass
class KeyLoad:
    """Counts of requests by key within a sliding window, from the samples of all nodes."""

    window_ms: float = WINDOW_MS
    _samples: deque[tuple[float, Counter[int]]] = field(default_factory=deque)
    _total: Counter[int] = field(default_factory=Counter)  # of all samples
    _since_ms: float = -1.0

    def add(self, now_ms: float, keys: Iterable[int]) -> None:
        """Add the keys of sampled requests, one entry per request."""
        if self._since_ms < 0:
            self._since_ms = now_ms
        counts = Counter(keys)
        self._samples.append((now_ms, counts))
        self._total.update(counts)
        self._trim(now_ms)

    def rates(self, now_ms: float) -> dict[int, float]:
        """Return requests per second by key.

        The rate is the mean over the whole window, which varies little by chance. For keys whose
        recent count differs significantly it is the rate of the last second, so that a change
        takes effect at once.
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
            changed = abs(recent[key] - expected) > CHANGE_DEVIATIONS * math.sqrt(expected)
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
    """The service time of each server, estimated from the answer times that all nodes report.

    The mean answer time of a server includes the time in its queue. Its *typical* answer time,
    below which a quarter of its answers lie, hardly does. The service time is estimated as the
    typical time multiplied by the median ratio of mean to typical time over all servers. The
    latest answers of all nodes together show it within a second or two, while a single node
    receives only a few answers of a server per second.

    On an overloaded server each request waits in the queue. The number of requests that it
    completes then bounds its service time from above, whatever the length of the queue.
    """

    default_ms: float = 100.0
    _answered_ms: dict[str, float] = field(default_factory=dict)  # time of the last report
    _known_ms: dict[str, float] = field(default_factory=dict)  # time of the first report
    _times: dict[str, deque[float]] = field(default_factory=dict)
    _completed: dict[str, deque[tuple[float, int]]] = field(default_factory=dict)
    # When a server was last found to fall behind, and its service time by that.
    _behind: dict[str, tuple[float, float]] = field(default_factory=dict)

    def add(self, server_id: str, times_ms: Collection[float], now_ms: float) -> None:
        """Add the answer times of a server that one node has measured since its last report."""
        self._answered_ms[server_id] = now_ms
        self._known_ms.setdefault(server_id, now_ms)
        self._times.setdefault(server_id, deque(maxlen=MAX_SAMPLES)).extend(times_ms)
        completed = self._completed.setdefault(server_id, deque())
        completed.append((now_ms, len(times_ms)))
        while completed[0][0] < now_ms - COMPLETION_WINDOW_MS:
            completed.popleft()

    def max_service_ms(self, server_id: str, slots: int, now_ms: float) -> float:
        """Return an upper bound of the service time, from the recently completed requests."""
        completed = self._completed_lately(server_id, now_ms)
        return slots * COMPLETION_WINDOW_MS / completed if completed else math.inf

    def saturated_service_ms(
        self, server_id: str, slots: int, rate: float, now_ms: float
    ) -> float | None:
        """Return the service time of a server that significantly falls behind, else ``None``.

        All its slots are in use, so the number of completed requests gives its service time.
        Answer times don't: they arrive late, and not at all for requests whose deadline passes.
        Once its keys have moved there is no evidence, so the last result is kept for
        ``BEHIND_MEMORY_MS``.

        :param rate: requests per second for its keys, if it has held them for a while, else 0.
        """
        if not rate:
            judged_ms, service_ms = self._behind.get(server_id, (-math.inf, 0.0))
            return service_ms if now_ms - judged_ms < BEHIND_MEMORY_MS else None
        if now_ms - self._known_ms.get(server_id, now_ms) < COMPLETION_WINDOW_MS:
            return None
        completed = self._completed_lately(server_id, now_ms)
        asked = rate * COMPLETION_WINDOW_MS / 1000
        behind = asked - completed
        if completed > asked * BEHIND_FRACTION or behind < BEHIND_DEVIATIONS * math.sqrt(
            asked + completed
        ):
            return None
        service_ms = slots * COMPLETION_WINDOW_MS / max(completed, 1)
        self._behind[server_id] = now_ms, service_ms
        return service_ms

    def _completed_lately(self, server_id: str, now_ms: float) -> int:
        """Return how many requests a server completed within ``COMPLETION_WINDOW_MS``."""
        counts = self._completed.get(server_id, ())
        return sum(count for taken_ms, count in counts if taken_ms >= now_ms - COMPLETION_WINDOW_MS)

    def service_ms(
        self, server_ids: Collection[str], speeds: Mapping[str, float] | None = None
    ) -> dict[str, float]:
        """Return the estimated service time by server, for the servers of one service.

        :param speeds: relative speeds that were learned before, for servers of which few answers
            are known.
        """
        summaries = {
            name: _mean_and_typical_ms(times)
            for name in server_ids
            if len(times := self._times.get(name, ())) >= MIN_SAMPLES
        }
        speeds = speeds or {}
        if not summaries:
            return {name: self.default_ms / speeds.get(name, 1.0) for name in server_ids}
        ratio = median(mean / max(typical, 0.1) for mean, typical in summaries.values())
        usual_ms = median(typical for _, typical in summaries.values()) * ratio
        service_ms = {}
        for name in server_ids:
            learned_ms = usual_ms / speeds.get(name, 1.0)
            measured_ms = summaries[name][1] * ratio if name in summaries else learned_ms
            if name in speeds:
                measured_ms = self._blended_ms(name, measured_ms, learned_ms)
            service_ms[name] = measured_ms
        return service_ms

    def _blended_ms(self, server_id: str, measured_ms: float, learned_ms: float) -> float:
        """Return a service time that relies on the measured one by the number of answers."""
        weight = len(self._times.get(server_id, ())) / MAX_SAMPLES
        return float(measured_ms**weight * learned_ms ** (1 - weight))

    def answered_ms(self, server_id: str) -> float:
        """Return when answers of a server were last reported, ``-inf`` if never."""
        return self._answered_ms.get(server_id, -math.inf)

    def keep_only(self, server_ids: Collection[str]) -> None:
        """Drop all other servers."""
        for server_id in [known for known in self._times if known not in server_ids]:
            del self._times[server_id]
            self._completed.pop(server_id, None)
            self._answered_ms.pop(server_id, None)
            self._known_ms.pop(server_id, None)
            self._behind.pop(server_id, None)

    def is_unresponsive(self, server_id: str, rate: float, now_ms: float) -> bool:
        """Whether so many requests are unanswered that the server seems not to answer at all.

        A server that answers now and then is not unresponsive, however slow it is. Being
        unresponsive alone moves no keys: a control call decides, which a slow server answers too.

        :param rate: requests per second for its keys.
        """
        since_ms = now_ms - self._answered_ms.get(server_id, now_ms)
        return since_ms >= UNRESPONSIVE_MS and rate * since_ms / 1000 >= UNRESPONSIVE_REQUESTS


def _mean_and_typical_ms(times_ms: Collection[float]) -> tuple[float, float]:
    """Return the mean and the typical answer time."""
    ordered = sorted(times_ms)
    return sum(ordered) / len(ordered), ordered[int(len(ordered) * TYPICAL_FRACTION)]
