"""One node's view of its links to the servers: is a server at fault, or the link to it?

A server that can't be reached may have stopped, or the link between it and this node may be cut,
by silence or by refused connections. Only other nodes can tell the two apart:

- this node is *cut off* if none of the servers that it probes accepts a connection, while
  another node reaches servers;
- the link to a single server is *cut* if this node can't connect to it, while another node has
  connected to it since.

A cut link says nothing of the server: such a failure isn't reported to dispatchers, isn't an end
or a freeze of the server, and a node that is cut off doesn't lead. This module does no I/O and
reads no clock. Times are milliseconds of the elapsed clock.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import NamedTuple

# What another node said of its own links, or of one server, is used for this long.
REPORT_KEPT_MS = 2000.0


class _Report(NamedTuple):
    reached: bool
    at_ms: float

    def is_current(self, now_ms: float) -> bool:
        return now_ms - self.at_ms < REPORT_KEPT_MS


@dataclass(slots=True)
class Connectivity:
    """What this node and the others observed of their links. Nodes are given by address."""

    last_reached_ms: float = -math.inf  # when any server was reached
    _reached_ms: dict[str, float] = field(default_factory=dict)  # by server
    # By server: its first failed connection since it was last reached.
    _unreached_ms: dict[str, float] = field(default_factory=dict)
    _probes_failed: bool = False  # all probes failed, and no server was reached since
    _nodes: dict[tuple[str, int], _Report] = field(default_factory=dict)
    _elsewhere: dict[str, _Report] = field(default_factory=dict)  # by server

    # ---- observations of this node ------------------------------------------------------

    def note_reached(self, server_id: str, now_ms: float) -> None:
        """Record that a server accepted a connection or answered."""
        self.last_reached_ms = now_ms
        self._reached_ms[server_id] = now_ms
        self._unreached_ms.pop(server_id, None)
        self._elsewhere.pop(server_id, None)
        self._probes_failed = False

    def note_unreached(self, server_id: str, now_ms: float) -> None:
        """Record that no connection to a server could be made."""
        self._unreached_ms.setdefault(server_id, now_ms)

    def note_probes(self, begun_ms: float) -> None:
        """Record the end of a round of probes that was begun at a time."""
        self._probes_failed = self.last_reached_ms < begun_ms

    def keep_only(self, server_ids: Collection[str]) -> None:
        """Drop all other servers."""
        for known in (self._reached_ms, self._unreached_ms, self._elsewhere):
            for server_id in [name for name in known if name not in server_ids]:
                del known[server_id]

    # ---- reports of other nodes -----------------------------------------------------------

    def note_node(self, node: tuple[str, int], reaches_servers: bool, now_ms: float) -> None:
        """Record whether another node reaches servers."""
        self._nodes[node] = _Report(reaches_servers, now_ms)

    def note_elsewhere(self, server_id: str, reached: bool, now_ms: float) -> None:
        """Record whether another node could connect to a server."""
        if server_id in self._unreached_ms:
            self._elsewhere[server_id] = _Report(reached, now_ms)

    def failed_ms(self, server_id: str, now_ms: float) -> float:
        """Return for how long a server couldn't be reached; 0 if it was reached last."""
        return now_ms - self._unreached_ms.get(server_id, now_ms)

    def reached_ms(self, server_id: str) -> float:
        """Return when a server was last reached, minus infinity if never."""
        return self._reached_ms.get(server_id, -math.inf)

    # ---- conclusions ----------------------------------------------------------------------

    @property
    def is_suspect(self) -> bool:
        """Whether a server was unreachable, and none has been reached since."""
        return any(at_ms >= self.last_reached_ms for at_ms in self._unreached_ms.values())

    @property
    def probes_failed(self) -> bool:
        """Whether no server that this node probed could be reached, nor any since."""
        return self._probes_failed

    def is_cut_off(self, now_ms: float) -> bool:
        """Whether this node reaches no servers, although another node does."""
        return self._probes_failed and bool(self.reaching_nodes(now_ms))

    def link_is_cut(self, server_id: str, now_ms: float) -> bool:
        """Whether the link to a server is cut, so that a failure there says nothing of it."""
        if self.is_cut_off(now_ms):
            return True
        report = self._elsewhere.get(server_id)
        return report is not None and report.reached and report.is_current(now_ms)

    def is_down(self, server_id: str, now_ms: float) -> bool:
        """Whether another node couldn't connect to a server either."""
        report = self._elsewhere.get(server_id)
        return report is not None and not report.reached and report.is_current(now_ms)

    @property
    def unreached(self) -> frozenset[str]:
        """Servers to which no connection could be made since they were last reached."""
        return frozenset(self._unreached_ms)

    def reaching_nodes(self, now_ms: float) -> frozenset[tuple[str, int]]:
        """Return the nodes that are known to reach servers."""
        return self._reported(True, now_ms)

    def cut_nodes(self, now_ms: float) -> frozenset[tuple[str, int]]:
        """Return the nodes that are known to reach none."""
        return self._reported(False, now_ms)

    def _reported(self, reached: bool, now_ms: float) -> frozenset[tuple[str, int]]:
        return frozenset(
            node
            for node, report in self._nodes.items()
            if report.reached is reached and report.is_current(now_ms)
        )
