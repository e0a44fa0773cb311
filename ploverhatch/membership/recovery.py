"""When a new epoch of a cell may be founded. Pure.

A cell lives in memory only, so its quorum may be lost for good. A node founds
a new epoch by compare-and-set on the platform's cell object, but only when
the old epoch can never act again:

* a voter of the old epoch may found when so many other voters are *proven*
  dead that no quorum is left, and no survivor has a longer log;
* any other node may found when every recorded voter is proven dead.

Silence proves nothing: a voter that is cut off or frozen may return.
"""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

PROOF_SPAN_MS = 1500.0


class Evidence(Enum):
    """What asking a voter's address showed."""

    ALIVE = "alive"
    ALIVE_AHEAD = "alive-ahead"  # and its log is longer than ours
    ALIVE_SAME = "alive-same"  # and it knows the same voters as we do
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


def quorum_is_lost(voters: Collection[str], dead: Collection[str]) -> bool:
    """Tell whether the voters that may still live are too few to decide."""
    return len(set(voters) - set(dead)) < len(voters) // 2 + 1


@dataclass
class RecoveryWatch:
    """Collects evidence over time for one cell record."""

    node_id: str
    record: CellRecord
    may_found_since_ms: float | None = None

    def observe(
        self, evidence: dict[str, Evidence], known_voters: Collection[str], now_ms: float
    ) -> bool:
        """Take over one round of evidence.

        :param known_voters: the voters by this node's own log, if it votes;
            they may be newer than the record.
        :returns: whether a new epoch may be founded on this record.
        """
        if self.record.version == 0:
            return True
        if not self._epoch_is_over(evidence, known_voters):
            self.may_found_since_ms = None
            return False
        if self.may_found_since_ms is None:
            self.may_found_since_ms = now_ms
        return now_ms - self.may_found_since_ms >= PROOF_SPAN_MS

    def _epoch_is_over(self, evidence: dict[str, Evidence], known_voters: Collection[str]) -> bool:
        dead = {node_id for node_id, found in evidence.items() if found.proves_death}
        recorded = self.record.voter_ids
        if self.node_id not in recorded:
            return dead >= set(recorded)
        if Evidence.ALIVE_AHEAD in evidence.values():
            return False
        # A survivor that knows our voters does not act under the recorded ones.
        agreed = {node_id for node_id, found in evidence.items() if found is Evidence.ALIVE_SAME}
        return quorum_is_lost(known_voters, dead) and quorum_is_lost(recorded, dead | agreed)
