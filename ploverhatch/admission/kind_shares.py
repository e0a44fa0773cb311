"""Guaranteed grants of the kinds of requests that compete for one group's servers.

The load that this answers: urgent kinds ask for all that the servers can run. Priority alone
would then leave nothing to the kinds of a lower rank. Each arrival of a kind earns it a part of a
guaranteed grant, and each grant uses one up, so that a kind that is served by its rank has none
due. This module does no I/O and reads no clock.
"""

from dataclasses import dataclass, field

DEFAULT_LEAST_SHARE = 0.1  # of what a kind asks for
MAX_DUE = 3.0  # grants; more would let a kind that was starved take all slots at once
# Grants beyond the share that count against later ones, so that a short gap earns no guarantee.
MAX_AHEAD = 5.0
MAX_KINDS = 256


@dataclass(slots=True)
class KindShares:
    """The guaranteed grants that are due to each kind.

    :param least_share: the part of a kind's requests that is granted whatever others ask for.
    """

    least_share: float = DEFAULT_LEAST_SHARE
    _due: dict[str, float] = field(default_factory=dict)

    def note_arrival(self, kind: str) -> None:
        """Count a request of a kind that can be in time."""
        if kind not in self._due and len(self._due) >= MAX_KINDS:
            self._due.clear()
        self._due[kind] = min(self._due.get(kind, 0.0) + self.least_share, MAX_DUE)

    def note_grant(self, kind: str) -> None:
        """Count a grant to a kind; a guaranteed one counts as soon as it is promised."""
        if kind in self._due:
            self._due[kind] = max(self._due[kind] - 1.0, -MAX_AHEAD)

    def is_due(self, kind: str) -> bool:
        """Return whether a guaranteed grant is due to a kind."""
        return self._due.get(kind, 0.0) >= 1.0
