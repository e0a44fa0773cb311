"""The speed of each server relative to the others of its service, learned over its life.

The speed is the usual answer time of the service divided by the server's own: a server with a speed
of 0.5 takes twice as long as usual. A *sure* speed differs from 1 by at least ``MIN_RATIO``, and
by more than chance. Only sure speeds are told to other nodes and change where keys are placed, so
equal servers are treated as if nothing were known of them.

Speeds are keyed by the server's id, which names one incarnation: after a restart a server is
unknown again. They are hints: a wrong or missing one costs time, never correctness.

This module does no I/O and reads no clock.
"""

import math
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from ploverhatch.sharding.load import median

MIN_ANSWERS = 48  # of one server; fewer say nothing of its speed
MAX_ANSWERS = 256  # then all counts are halved
MIN_SERVERS = 3  # of a service; among fewer, no speed is the usual one
TYPICAL_FRACTION = 0.25  # part of the answers that are faster than the typical time
MIN_RATIO = 1.3  # between a sure speed and the usual one, either way
# The part of both bounds within which a sure speed stays one, so that it doesn't come and go.
KEPT_FRACTION = 0.5
SURE_DEVIATIONS = 4.0  # the comparison is repeated every second for all servers
MIN_SPEED, MAX_SPEED = 0.1, 10.0
OWN_ANSWERS = 128  # measurements that replace a speed that another node told
BIN_RATIO = 1.1  # ratio of the bounds of a bin of answer times
MAX_TOLD = 8  # speeds in one message
USUAL_PACE = 100.0  # pace of a server's machine that is not disturbed, in percent
MIN_PACE, MAX_PACE = 10.0, 10_000.0


def undisturbed_ms(times_ms: Sequence[float], paces: Sequence[float]) -> list[float]:
    """Return the times that answers would have taken on an undisturbed machine.

    :param paces: how long work took on the machine at the end of each, in percent of the usual;
        empty if the server doesn't tell it.
    """
    if len(paces) != len(times_ms):
        return list(times_ms)
    return [
        took_ms * USUAL_PACE / min(max(pace, MIN_PACE), MAX_PACE)
        for took_ms, pace in zip(times_ms, paces, strict=True)
    ]


@dataclass(slots=True)
class _AnswerHistogram:
    """Counts of one server's answer times, in bins of equal ratio."""

    counts: dict[int, float] = field(default_factory=dict)
    total: float = 0.0

    def add(self, time_ms: float) -> None:
        number = math.floor(math.log(max(time_ms, 1.0), BIN_RATIO))
        self.counts[number] = self.counts.get(number, 0.0) + 1.0
        self.total += 1.0
        if self.total >= MAX_ANSWERS:
            self.counts = {bin_: count / 2 for bin_, count in self.counts.items() if count > 0.1}
            self.total = sum(self.counts.values())

    def log_quantile(self, fraction: float) -> float:
        """Return the logarithm of the time below which a part of the answers lie."""
        wanted = fraction * self.total
        for number in sorted(self.counts):
            count = self.counts[number]
            if count >= wanted:
                return (number + wanted / count) * math.log(BIN_RATIO)
            wanted -= count
        raise ValueError("no answers")

    def quartile_distance(self) -> float:
        """Return the distance from the lower quartile to the median, as logarithms."""
        return self.log_quantile(0.5) - self.log_quantile(TYPICAL_FRACTION)


def _answer_deviation(answers: Collection[_AnswerHistogram]) -> float:
    """Return the standard deviation by chance of the logarithm of one answer's typical time.

    Around its lower quartile, a distribution of answer times resembles a lognormal one. The
    distance from quartile to median is then 0.67 of its standard deviation, and the quartile of
    ``n`` answers varies by 1.36 of it over the square root of ``n``. The servers of a service do
    the same work, so the median of their distances is used, which varies less.
    """
    distance = median(item.quartile_distance() for item in answers)
    return 1.36 * max(distance / 0.67, math.log(BIN_RATIO))


class ServerSpeeds:
    """The speeds that this node has learned, and those that the leader told it.

    :param enabled: if false, nothing is learned or taken over.
    """

    def __init__(self, enabled: bool = True) -> None:
        self._enabled = enabled
        self._answers: dict[str, _AnswerHistogram] = {}
        self._told: dict[str, float] = {}
        self._learned: dict[str, float] = {}  # sure speeds by this node's own measurements
        self._last_told = ""  # the server whose speed was sent last

    @property
    def sure(self) -> Mapping[str, float]:
        """The sure speed of each server that has one; the others' is taken to be 1."""
        return {**self._told, **self._learned}

    def add(self, server_id: str, times_ms: Iterable[float]) -> None:
        """Add a server's undisturbed answer times, in milliseconds."""
        if not self._enabled:
            return
        histogram = self._answers.setdefault(server_id, _AnswerHistogram())
        for time_ms in times_ms:
            histogram.add(time_ms)

    def learn(self, server_ids: Collection[str]) -> list[str]:
        """Compare the servers of one service; return those whose speed is newly sure."""
        known = {
            server_id: histogram
            for server_id in server_ids
            if (histogram := self._answers.get(server_id)) and histogram.total >= MIN_ANSWERS
        }
        if len(known) < MIN_SERVERS:
            return []
        typical = {name: item.log_quantile(TYPICAL_FRACTION) for name, item in known.items()}
        usual = median(typical.values())
        deviation = _answer_deviation(known.values())
        before = self.sure
        for server_id, histogram in known.items():
            log_speed = usual - typical[server_id]
            margin = SURE_DEVIATIONS * deviation / math.sqrt(histogram.total)
            told = self._told.get(server_id)
            if told is not None:
                agrees = abs(log_speed - math.log(told)) <= margin
                if agrees and histogram.total < OWN_ANSWERS:
                    continue
                del self._told[server_id]
            least = max(margin, math.log(MIN_RATIO))
            if log_speed * math.log(before.get(server_id, 1.0)) > 0:
                least *= KEPT_FRACTION
            if abs(log_speed) >= least:
                self._learned[server_id] = _bounded(math.exp(log_speed))
            else:
                self._learned.pop(server_id, None)
        return [name for name in known if name in self._learned and name not in before]

    def note_told(self, speeds: Mapping[str, float], server_ids: Collection[str]) -> None:
        """Take over speeds that the leader told, of servers that are known.

        The leader measures them at present, so they replace what this node measured before.
        """
        for server_id, speed in speeds.items():
            if self._enabled and server_id in server_ids and math.isfinite(speed):
                self._answers.pop(server_id, None)
                self._learned.pop(server_id, None)
                self._told[server_id] = _bounded(speed)

    def next_told(self) -> dict[str, float]:
        """Return the speeds to tell next; all get their turn, since messages are short."""
        speeds = self.sure
        names = sorted(speeds)
        after = [name for name in names if name > self._last_told]
        chosen = [*after, *names][: min(MAX_TOLD, len(names))]
        self._last_told = chosen[-1] if chosen else ""
        return {name: round(speeds[name], 2) for name in chosen}

    def keep_only(self, server_ids: Collection[str]) -> None:
        """Forget all other servers."""
        for known in (self._answers, self._told, self._learned):
            for server_id in [name for name in known if name not in server_ids]:
                del known[server_id]


def _bounded(speed: float) -> float:
    return min(max(speed, MIN_SPEED), MAX_SPEED)
