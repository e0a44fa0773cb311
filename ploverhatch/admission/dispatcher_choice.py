"""Which node a request asks for a slot, and which one enforces rate limits. Pure.

A node that doesn't answer is passed over for a moment, so that requests don't wait for it.
That is too quick a verdict for rate limits: with a lost answer two nodes would enforce the same
limit side by side. They pass to the next node only when one has been silent for longer, or has
said that it stops. Times are elapsed milliseconds.
"""

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from ploverhatch.admission import groups
from ploverhatch.admission.groups import GroupName

SKIPPED_MS = 1000.0  # how long a node that did not answer keeps no queue, as seen from here
# A node that has not answered for so long is unreachable: it was asked twice, SKIPPED_MS apart.
# Until then no other node enforces rate limits in its place.
UNREACHABLE_MS = 1000.0


@dataclass(slots=True)
class DispatcherChoice:
    """What one node knows of the others as dispatchers."""

    _skipped_until_ms: dict[str, float] = field(default_factory=dict)  # until when
    _unresponsive_since_ms: dict[str, float] = field(default_factory=dict)

    def skipped(self, now_ms: float) -> Collection[str]:
        """Return the nodes that are not asked now."""
        self._skipped_until_ms = {
            node: end for node, end in self._skipped_until_ms.items() if end > now_ms
        }
        return self._skipped_until_ms.keys()

    def choose(self, name: GroupName, members: Mapping[str, str], now_ms: float) -> str:
        """Return the node to ask for a slot of a group; empty where there is none.

        :param members: zones of all nodes by address.
        """
        return groups.dispatcher_of(name, members, self.skipped(now_ms))

    def enforces_limits(
        self, name: GroupName, node: str, members: Mapping[str, str], now_ms: float
    ) -> bool:
        """Whether a node enforces the rate limits of a group: the first of the reachable ones."""
        unreachable = {
            other
            for other, since_ms in self._unresponsive_since_ms.items()
            if now_ms - since_ms >= UNREACHABLE_MS and other != node
        }
        return groups.dispatcher_of(name, members, unreachable) == node

    def note_answer(self, node: str) -> None:
        """A node gave an answer."""
        self._unresponsive_since_ms.pop(node, None)

    def note_return(self, node: str) -> None:
        """A node keeps its queues again."""
        self._skipped_until_ms.pop(node, None)
        self._unresponsive_since_ms.pop(node, None)

    def note_no_answer(self, node: str, now_ms: float) -> bool:
        """A node gave no answer in time; true if it is passed over from now on."""
        is_news = node not in self.skipped(now_ms)
        self._skipped_until_ms[node] = now_ms + SKIPPED_MS
        self._unresponsive_since_ms.setdefault(node, now_ms)
        return is_news

    def note_stopping(self, node: str, now_ms: float) -> None:
        """A node said that it is about to stop."""
        self._skipped_until_ms[node] = now_ms + SKIPPED_MS
        self._unresponsive_since_ms[node] = -math.inf
