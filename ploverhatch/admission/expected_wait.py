"""The expected wait of a request for a slot in a group of servers; all times are milliseconds.

The servers of a group may be silent for a while: a garbage collection, a slow disk or a short
suspension of a machine. Silences of servers last from milliseconds to forever, so how long one
lasts on is best judged by how long it has lasted: a silence of 40 ms is expected to end soon,
one of 2 s is not. This module does no I/O and reads no clock.
"""

import math
from bisect import bisect_left, bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True, order=True)
class ServerPace:
    """What to expect of one server.

    :param silence_ms: how long it has been unresponsive; 0 if it is responsive.
    :param per_ms: the requests that it completes per millisecond while it is responsive.
    """

    silence_ms: float
    per_ms: float


@dataclass(slots=True)
class WaitForecast:
    """Expected waits for a slot of any of some servers.

    A silent server is expected to stay silent for as long again as it has been.
    """

    # For each server that is expected to answer again: when, how many requests the others have
    # completed by then, and how many are completed per millisecond from then on.
    _starts_ms: list[float] = field(default_factory=list)
    _completed: list[float] = field(default_factory=list)
    _per_ms: list[float] = field(default_factory=list)

    @classmethod
    def of(cls, paces: Iterable[ServerPace]) -> "WaitForecast":
        """Return the forecast for some servers."""
        forecast = cls()
        now_ms = completed = per_ms = 0.0
        for pace in sorted(pace for pace in paces if pace.per_ms > 0):
            completed += per_ms * (pace.silence_ms - now_ms)
            now_ms = pace.silence_ms
            per_ms += pace.per_ms
            forecast._starts_ms.append(now_ms)
            forecast._completed.append(completed)
            forecast._per_ms.append(per_ms)
        return forecast

    def per_ms(self, at_ms: float = 0.0) -> float:
        """Return the requests completed per millisecond by servers that answer by then.

        If no server is expected to, it is the pace of the first that is.
        """
        if not self._per_ms:
            return 0.0
        return self._per_ms[max(bisect_right(self._starts_ms, at_ms) - 1, 0)]

    @property
    def starts_ms(self) -> float:
        """When the first server is expected to answer."""
        return self._starts_ms[0] if self._starts_ms else math.inf

    def wait_ms(self, ahead: int) -> float:
        """Return the wait of a request with so many ahead of it; infinite if unknown."""
        if not self._per_ms:
            return math.inf
        index = max(bisect_left(self._completed, ahead + 1.0) - 1, 0)
        left = ahead + 1.0 - self._completed[index]
        return self._starts_ms[index] + left / self._per_ms[index]
