"""Decides when a new epoch of a cell may be founded.

The state of a cell is kept in memory only, so its quorum may be lost for good. A node
founds a new epoch by compare-and-set on the cell object of the platform, but only when
the old epoch can never commit again:

* a voter of the old epoch may found one when so many other voters are *proven* dead
  that no quorum is left, and no voter that answers has a newer log;
* any other node may found one when every recorded voter is proven dead.

A missing reply proves nothing: a voter that is cut off or frozen may return.

This module does no I/O and reads no clock.
"""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

PROOF_SPAN_MS = 1500.0


class Evidence(Enum):
    """Result of a request to the address of a voter."""

    ALIVE = "alive"
    ALIVE_AHEAD = "alive-ahead"  # its log is newer than that of this node
    ALIVE_SAME = "alive-same"  # it knows the same voters as this node
    REFUSED = "refused"  # nothing listens there, so the process is gone
    REPLACED = "replaced"  # another process answers there
    SILENT = "silent"

    @property
    def proves_death(self) -> bool:
        """Whether the process of the voter is certain to have ended."""
        return self in {Evidence.REFUSED, Evidence.REPLACED}


@dataclass(frozen=True)
class CellRecord:
    """The cell object of the platform; version 0 means that there is none."""

    version: int
    epoch: int
    voter_ids: tuple[str, ...]


def quorum_is_lost(voters: Collection[str], dead: Collection[str]) -> bool:
    """Tell whether fewer than a majority of the voters may still be alive."""
    return len(set(voters) - set(dead)) < len(voters) // 2 + 1


@dataclass
class RecoveryWatch:
    """Collects evidence over time for one version of the cell record."""

    node_id: str
    record: CellRecord
    may_found_since_ms: float | None = None

    def observe(
        self, evidence: dict[str, Evidence], known_voters: Collection[str], now_ms: float
    ) -> bool:
        """Add one round of evidence.

        :param evidence: the evidence by node id of the voters.
        :param known_voters: the voters in the log of this node, if it is a voter; they may
            be newer than the record.
        :returns: whether a new epoch may be founded. If there is a cell object, the evidence
            must have allowed this for ``PROOF_SPAN_MS`` without interruption.
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
        # A living voter that knows the same voters as this node needs a quorum of these, so
        # it cannot help a quorum of the recorded voters to commit.
        agreed = {node_id for node_id, found in evidence.items() if found is Evidence.ALIVE_SAME}
        return quorum_is_lost(known_voters, dead) and quorum_is_lost(recorded, dead | agreed)
