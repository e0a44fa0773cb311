"""Tells by its deadline how long ago a caller made its first attempt of a request.

A caller that returns after a rejection states the time that it has left, which is shorter than
the deadline that it stated at first. Each node learns the *usual* deadlines of each route: the
longest ones that callers state, down to BAND_FRACTION of these, if most requests state one.
First attempts may differ by that much, since some callers deduct the time spent on connecting.
The time since the first attempt is the difference between the shortest usual deadline and the
stated one.

It is a lower bound where all callers of the route have usual deadlines. What can't be known: the
first attempt of a caller that returns so soon that it still states a usual deadline, and anything
where deadlines vary; no elapsed time is inferred there. A caller with a deadline of its own that
is shorter than the usual ones looks like one that returns.

A claim gains nothing. A shorter deadline counts as time that has passed, and the request has to
end by it. A longer one changes nothing for others unless a fair share of the requests state it,
nor then unless most do. This module does no I/O and reads no clock.
"""

import math
from dataclasses import dataclass, field

# Nothing is inferred before this many requests of a route: the first few may all be returns.
MIN_REQUESTS = 20.0
BIN_FACTOR = 1.02  # The ratio of the longest to the shortest deadline that are counted together.
# Longer deadlines than those that this share of a route's requests state are ignored.
IGNORED_SHARE = 0.05
# The usual deadlines, as a fraction of the longest of them.
BAND_FRACTION = 0.8
# The least share of the requests that state a usual deadline; otherwise deadlines vary.
USUAL_SHARE = 0.5
# The share of the requests at the shortest usual deadline; fewer are returns that came soon.
EDGE_SHARE = 0.025
# All counts are halved after this many requests or milliseconds, whichever comes first.
HALVED_REQUESTS = 400.0
HALVED_MS = 30_000.0
MIN_COUNT = 0.5  # Lower counts are dropped.
REFRESH_REQUESTS = 8  # The usual deadlines are found anew after this many requests.
MAX_ROUTES = 4096  # Of more routes, the one that was learned first is forgotten.


@dataclass(slots=True)
class _Bin:
    """Recent requests that stated about the same deadline."""

    count: float = 0.0
    sum_ms: float = 0.0

    @property
    def mean_ms(self) -> float:
        return self.sum_ms / self.count


@dataclass(slots=True)
class _RouteDeadlines:
    """The deadlines that recent requests of a route stated."""

    halved_ms: float
    bins: dict[int, _Bin] = field(default_factory=dict)
    total: float = 0.0
    shortest_usual_ms: float = 0.0  # 0: unknown.
    _unrefreshed: int = 0  # Requests since the usual deadlines were found.

    def note(self, deadline_ms: float, now_ms: float) -> None:
        if self.total >= HALVED_REQUESTS or now_ms - self.halved_ms >= HALVED_MS:
            self._halve(now_ms)
        index = math.floor(math.log(max(deadline_ms, 1.0), BIN_FACTOR))
        found = self.bins.setdefault(index, _Bin())
        found.count += 1.0
        found.sum_ms += deadline_ms
        self.total += 1.0
        self._unrefreshed += 1
        if self._unrefreshed >= REFRESH_REQUESTS:
            self._unrefreshed = 0
            self.shortest_usual_ms = self._find_shortest_usual()

    def _halve(self, now_ms: float) -> None:
        self.halved_ms = now_ms
        for index, known in list(self.bins.items()):
            known.count /= 2
            known.sum_ms /= 2
            if known.count <= MIN_COUNT:
                del self.bins[index]
        self.total = sum(known.count for known in self.bins.values())

    def _find_shortest_usual(self) -> float:
        if self.total < MIN_REQUESTS:
            return 0.0
        longest_ms, longer = 0.0, 0.0
        band: list[_Bin] = []
        for _, known in sorted(self.bins.items(), reverse=True):
            longer += known.count
            if longer < IGNORED_SHARE * self.total:
                continue
            longest_ms = longest_ms or known.mean_ms
            if known.mean_ms < BAND_FRACTION * longest_ms:
                break
            band.append(known)
        if sum(known.count for known in band) < USUAL_SHARE * self.total:
            return 0.0
        edges = [known for known in band if known.count >= EDGE_SHARE * self.total]
        return edges[-1].mean_ms if edges else 0.0


@dataclass(slots=True)
class UsualDeadlines:
    """The deadlines that callers of each route usually state; times are milliseconds."""

    _routes: dict[str, _RouteDeadlines] = field(default_factory=dict)

    def note(self, route: str, deadline_ms: float, now_ms: float) -> None:
        """Learn from the deadline that a caller stated."""
        known = self._routes.get(route)
        if known is None:
            if len(self._routes) >= MAX_ROUTES:
                del self._routes[next(iter(self._routes))]
            known = self._routes[route] = _RouteDeadlines(now_ms)
        known.note(deadline_ms, now_ms)

    def elapsed_ms(self, route: str, deadline_ms: float) -> float:
        """Return the time since the caller's first attempt; 0 if it is one, or isn't known."""
        known = self._routes.get(route)
        return 0.0 if known is None else max(0.0, known.shortest_usual_ms - deadline_ms)
