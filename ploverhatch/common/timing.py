"""Time bounds of the control protocols, in milliseconds of elapsed time.

No decision reads a wall clock. ``DRIFT`` bounds how far the rates of two elapsed clocks may
differ, as a fraction; a time limit that depends on another process's clock allows for it.
"""

from dataclasses import dataclass

DRIFT = 0.02


@dataclass(frozen=True)
class ControlTiming:
    """Intervals of elections and leases.

    ``lease_ms`` bounds how long the keys of a lost server stay unavailable; ``election_ms`` must
    be short enough for a new leader to renew leases before they expire.
    """

    tick_ms: float = 20.0
    heartbeat_ms: float = 100.0
    election_ms: float = 500.0
    lease_ms: float = 1200.0
    renew_ms: float = 300.0
    execution_grace_ms: float = 100.0
    voter_loss_ms: float = 3000.0
    record_retention_ms: float = 900_000.0
    repeat_window_ms: float = 60_000.0

    @property
    def leader_lease_ms(self) -> float:
        """Time after a heartbeat during which a majority elects no other leader."""
        return self.election_ms * (1 - DRIFT)

    @property
    def lease_bound_ms(self) -> float:
        """Time after which a lease of ``lease_ms`` has expired by any clock within ``DRIFT``.

        A request that started just before the lease expired may still run;
        ``execution_grace_ms`` lets it finish before the key has a new owner.
        """
        return self.lease_ms * (1 + DRIFT) + self.execution_grace_ms
