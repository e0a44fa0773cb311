"""When a new epoch of a cell may be founded. Pure.

A cell lives in memory only, so its voters may all be gone. A node founds a
new epoch by compare-and-set on the platform's cell object, but only when no
voter of the old epoch can still act: every recorded voter, other than the
node itself, must be *proven* dead. Silence proves nothing.
"""

from dataclasses import dataclass
from enum import Enum

PROOF_SPAN_MS = 1500.0


class Evidence(Enum):
    """What asking a voter's address showed."""

    ALIVE = "alive"
    REFUSED = "refused"  # nothing listens: the process that did is gone
    REPLACED = "replaced"  # another process lifetime answers there
    SILENT = "silent"

    @property
    def proves_death(self) -> bool:
        """Tell whether the asked process lifetime has surely ended."""
        return self in {Evidence.REFUSED, Evidence.REPLACED}


@dataclass(frozen=True)
class CellRecord:
    """The platform's cell object; version 0: there is none."""

    version: int
    epoch: int
    voter_ids: tuple[str, ...]


@dataclass
class RecoveryWatch:
    """Collects evidence over time for one cell record."""

    node_id: str
    record: CellRecord
    dead_since_ms: float | None = None

    def observe(self, evidence: dict[str, Evidence], now_ms: float) -> bool:
        """Take over one round of evidence.

        :returns: whether a new epoch may be founded on this record.
        """
        if self.record.version == 0:
            return True
        others = [node_id for node_id in self.record.voter_ids if node_id != self.node_id]
        dead = all(evidence.get(node_id, Evidence.SILENT).proves_death for node_id in others)
        if not dead:
            self.dead_since_ms = None
            return False
        if self.dead_since_ms is None:
            self.dead_since_ms = now_ms
        return now_ms - self.dead_since_ms >= PROOF_SPAN_MS
