"""Holders that turn requests away and ask for rest, as the reports of nodes tell. Pure.

A rest is asked of one node. Where a server asks it of whoever comes and answers nobody, its
keys are not served before it has recovered: then others serve them better. Times are
milliseconds of the leader's elapsed clock.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

SHEDDING_MS = 600.0  # of rests without one answer: two reports of every node
REPORT_DELAY_MS = 350.0  # an answer is reported so much after it was given at most
MIN_REMAINING_MS = (
    1000.0  # a move takes most of that: where less of a rest is left, it is over sooner
)
MERGE_GAP_MS = 1000.0  # between rests of one server that are taken as one


@dataclass(slots=True)
class _Rest:
    since_ms: float
    until_ms: float


class BackoffReports:
    """What the nodes report of servers' rests."""

    def __init__(self) -> None:
        self._rests: dict[str, _Rest] = {}

    def add(self, left_ms: Mapping[str, float], now_ms: float) -> None:
        """Take the rests that a node keeps, and how much of each is left."""
        for server_id, rest_ms in left_ms.items():
            rest = self._rests.get(server_id)
            if rest is None or rest.until_ms + MERGE_GAP_MS < now_ms:
                rest = self._rests[server_id] = _Rest(now_ms, now_ms)
            rest.until_ms = max(rest.until_ms, now_ms + rest_ms)

    def shedding(self, answered_ms: Callable[[str], float], now_ms: float) -> frozenset[str]:
        """Return the servers whose keys others had better serve.

        :param answered_ms: when a server's answers were reported last.
        """
        return frozenset(
            server_id
            for server_id, rest in self._rests.items()
            if now_ms - rest.since_ms >= SHEDDING_MS
            and rest.until_ms - now_ms >= MIN_REMAINING_MS
            and answered_ms(server_id) < rest.since_ms + REPORT_DELAY_MS
        )

    def expire(self, now_ms: float) -> None:
        """Forget rests that are long over."""
        for server_id in [
            known for known, rest in self._rests.items() if rest.until_ms + MERGE_GAP_MS < now_ms
        ]:
            del self._rests[server_id]
