"""Choice of the node that is asked for a slot, and of the one that enforces rate limits.

A node that doesn't answer is skipped for a moment, so that requests don't wait for it. For rate
limits that would be too early: after one lost answer two nodes would enforce the same limit at
the same time. Rate limits move to the next node only when the first one has been unresponsive
for longer, or has announced that it stops. Times are elapsed milliseconds. This module does no
I/O and reads no clock.
"""

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from ploverhatch.admission import groups
from ploverhatch.admission.groups import GroupName

SKIPPED_MS = 1000.0  # how long this node asks others in place of one that did not answer
# A node that has not answered for this long is unreachable: it was asked twice, SKIPPED_MS apart.
# Until then no other node enforces rate limits in its place.
UNREACHABLE_MS = 1000.0


@dataclass(slots=True)
class DispatcherChoice:
    """One node's view of which dispatchers answer; nodes are given by address."""

    _skipped_until_ms: dict[str, float] = field(default_factory=dict)
    _unresponsive_since_ms: dict[str, float] = field(default_factory=dict)

    def skipped(self, now_ms: float) -> Collection[str]:
        """Return the nodes that are skipped now."""
        self._skipped_until_ms = {
            node: end for node, end in self._skipped_until_ms.items() if end > now_ms
        }
        return self._skipped_until_ms.keys()

    def choose(self, name: GroupName, members: Mapping[str, str], now_ms: float) -> str:
        """Return the node to ask for a slot of a group; empty if there is none.

        :param members: zones of all nodes by address.
        """
        return groups.dispatcher_of(name, members, self.skipped(now_ms))

    def enforces_limits(
        self, name: GroupName, node: str, members: Mapping[str, str], now_ms: float
    ) -> bool:
        """Return whether a node is the one that enforces a group's rate limits.

        That is the first of the reachable nodes in the group's order.
        """
        unreachable = {
            other
            for other, since_ms in self._unresponsive_since_ms.items()
            if now_ms - since_ms >= UNREACHABLE_MS and other != node
        }
        return groups.dispatcher_of(name, members, unreachable) == node

    def note_answer(self, node: str) -> None:
        """Record that a node has answered."""
        self._unresponsive_since_ms.pop(node, None)

    def note_return(self, node: str) -> None:
        """Record that a node keeps its queues again."""
        self._skipped_until_ms.pop(node, None)
        self._unresponsive_since_ms.pop(node, None)

    def note_no_answer(self, node: str, now_ms: float) -> bool:
        """Record that a node did not answer in time; return whether it was not skipped before."""
        is_new = node not in self.skipped(now_ms)
        self._skipped_until_ms[node] = now_ms + SKIPPED_MS
        self._unresponsive_since_ms.setdefault(node, now_ms)
        return is_new

    def note_stopping(self, node: str, now_ms: float) -> None:
        """Record that a node has announced that it is about to stop."""
        self._skipped_until_ms[node] = now_ms + SKIPPED_MS
        self._unresponsive_since_ms[node] = -math.inf
