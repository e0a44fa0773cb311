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

PASSED_MS = 1000.0  # how long a node that did not answer keeps no queue, as seen from here
# A node that has not answered for so long is unreachable: it was asked twice, PASSED_MS apart.
# Until then no other node enforces rate limits in its place.
UNREACHABLE_MS = 1000.0


@dataclass(slots=True)
class DispatcherChoice:
    """What one node knows of the others as dispatchers."""

    _passed_ms: dict[str, float] = field(default_factory=dict)  # until when
    _silent_since_ms: dict[str, float] = field(default_factory=dict)

    def passed(self, now_ms: float) -> Collection[str]:
        """Return the nodes that are not asked now."""
        self._passed_ms = {node: end for node, end in self._passed_ms.items() if end > now_ms}
        return self._passed_ms.keys()

    def asked(self, name: GroupName, members: Mapping[str, str], now_ms: float) -> str:
        """Return the node to ask for a slot of a group; empty where there is none.

        :param members: zones of all nodes by address.
        """
        return groups.dispatcher(name, members, self.passed(now_ms))

    def enforces(
        self, name: GroupName, node: str, members: Mapping[str, str], now_ms: float
    ) -> bool:
        """Whether a node enforces the rate limits of a group: the first of the reachable ones."""
        unreachable = {
            other
            for other, since_ms in self._silent_since_ms.items()
            if now_ms - since_ms >= UNREACHABLE_MS and other != node
        }
        return groups.dispatcher(name, members, unreachable) == node

    def answered(self, node: str) -> None:
        """A node gave an answer."""
        self._silent_since_ms.pop(node, None)

    def returned(self, node: str) -> None:
        """A node keeps its queues again."""
        self._passed_ms.pop(node, None)
        self._silent_since_ms.pop(node, None)

    def not_answered(self, node: str, now_ms: float) -> bool:
        """A node gave no answer in time; true if it is passed over from now on."""
        is_news = node not in self.passed(now_ms)
        self._passed_ms[node] = now_ms + PASSED_MS
        self._silent_since_ms.setdefault(node, now_ms)
        return is_news

    def stops(self, node: str, now_ms: float) -> None:
        """A node said that it is about to stop."""
        self._passed_ms[node] = now_ms + PASSED_MS
        self._silent_since_ms[node] = -math.inf
