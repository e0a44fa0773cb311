"""The expected wait of a request for a slot in a group of servers; all times are milliseconds.

The servers of a group may be silent for a while: a garbage collection, a slow disk or a short
suspension of a machine. Silences of servers last from milliseconds to forever, so how long one
lasts on is best judged by how long it has lasted: a silence of 40 ms is expected to end soon,
one of 2 s is not. This module does no I/O and reads no clock.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class ServerPace:
    """What to expect of one server.

    :param silence_ms: how long it has been unresponsive; 0 if it is responsive.
    :param per_ms: the requests that it completes per millisecond while it is responsive.
    """

    silence_ms: float
    per_ms: float


def expected_wait_ms(paces: Iterable[ServerPace], ahead: int) -> float:
    """Return the expected wait of a request with so many ahead of it; infinite if unknown.

    A silent server is expected to stay silent for as long again as it has been.
    """
    left, now_ms, per_ms = ahead + 1.0, 0.0, 0.0
    for pace in sorted(paces):
        completed = per_ms * (pace.silence_ms - now_ms)
        if completed >= left:
            break
        left -= completed
        now_ms = pace.silence_ms
        per_ms += pace.per_ms
    return now_ms + left / per_ms if per_ms else math.inf
