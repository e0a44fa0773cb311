"""Backoffs that holders asked for with a 503 answer, from the reports of all nodes.

A server asks each node for a backoff separately. If it asks every node and answers no request,
its keys are not served until it has recovered, so they are better moved to other servers. Such a
server is *shedding* load.

This module does no I/O and reads no clock. Times are milliseconds of the leader's elapsed clock.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

# A server counts as shedding only after it has backed off for this long without an answer. Each
# node reports twice in that time.
SHEDDING_MS = 600.0
REPORT_DELAY_MS = 350.0  # an answer is reported at most this long after it was received
# A move takes most of this time, so a shorter backoff ends before its keys are served elsewhere.
MIN_REMAINING_MS = 1000.0
MERGE_GAP_MS = 1000.0  # backoffs of a server that are less apart count as one


@dataclass(slots=True)
class _Backoff:
    since_ms: float
    until_ms: float


class BackoffReports:
    """The backoffs of servers that nodes have reported."""

    def __init__(self) -> None:
        self._backoffs: dict[str, _Backoff] = {}

    def add(self, left_ms: Mapping[str, float], now_ms: float) -> None:
        """Add the backoffs that a node observes, as the time left of each by server."""
        for server_id, backoff_ms in left_ms.items():
            backoff = self._backoffs.get(server_id)
            if backoff is None or backoff.until_ms + MERGE_GAP_MS < now_ms:
                backoff = self._backoffs[server_id] = _Backoff(now_ms, now_ms)
            backoff.until_ms = max(backoff.until_ms, now_ms + backoff_ms)

    def shedding(self, answered_ms: Callable[[str], float], now_ms: float) -> frozenset[str]:
        """Return the servers whose keys are better moved to other servers.

        :param answered_ms: returns when answers of a server were last reported.
        """
        return frozenset(
            server_id
            for server_id, backoff in self._backoffs.items()
            if now_ms - backoff.since_ms >= SHEDDING_MS
            and backoff.until_ms - now_ms >= MIN_REMAINING_MS
            and answered_ms(server_id) < backoff.since_ms + REPORT_DELAY_MS
        )

    def expire(self, now_ms: float) -> None:
        """Drop backoffs that ended more than ``MERGE_GAP_MS`` ago."""
        for server_id in [
            known
            for known, backoff in self._backoffs.items()
            if backoff.until_ms + MERGE_GAP_MS < now_ms
        ]:
            del self._backoffs[server_id]
