"""Holders that turn requests away and ask for backoff, as the reports of nodes tell. Pure.

A backoff is asked of one node. Where a server asks it of whoever comes and answers nobody, its
keys are not served before it has recovered: then others serve them better. Times are
milliseconds of the leader's elapsed clock.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

SHEDDING_MS = 600.0  # of rests without one answer: two reports of every node
REPORT_DELAY_MS = 350.0  # an answer is reported so much after it was given at most
MIN_REMAINING_MS = (
    1000.0  # a move takes most of that: where less of a backoff is left, it is over sooner
)
MERGE_GAP_MS = 1000.0  # between rests of one server that are taken as one


@dataclass(slots=True)
class _Backoff:
    since_ms: float
    until_ms: float


class BackoffReports:
    """What the nodes report of servers' rests."""

    def __init__(self) -> None:
        self._backoffs: dict[str, _Backoff] = {}

    def add(self, left_ms: Mapping[str, float], now_ms: float) -> None:
        """Take the rests that a node keeps, and how much of each is left."""
        for server_id, backoff_ms in left_ms.items():
            backoff = self._backoffs.get(server_id)
            if backoff is None or backoff.until_ms + MERGE_GAP_MS < now_ms:
                backoff = self._backoffs[server_id] = _Backoff(now_ms, now_ms)
            backoff.until_ms = max(backoff.until_ms, now_ms + backoff_ms)

    def shedding(self, answered_ms: Callable[[str], float], now_ms: float) -> frozenset[str]:
        """Return the servers whose keys others had better serve.

        :param answered_ms: when a server's answers were reported last.
        """
        return frozenset(
            server_id
            for server_id, backoff in self._backoffs.items()
            if now_ms - backoff.since_ms >= SHEDDING_MS
            and backoff.until_ms - now_ms >= MIN_REMAINING_MS
            and answered_ms(server_id) < backoff.since_ms + REPORT_DELAY_MS
        )

    def expire(self, now_ms: float) -> None:
        """Forget rests that are long over."""
        for server_id in [
            known
            for known, backoff in self._backoffs.items()
            if backoff.until_ms + MERGE_GAP_MS < now_ms
        ]:
            del self._backoffs[server_id]
