"""Time bounds of the control protocols, in milliseconds of elapsed time.

No decision reads a wall clock. ``DRIFT`` bounds how far two elapsed-time
clocks may diverge, as a fraction; every wait for another process's clock is
lengthened by it.
"""

from dataclasses import dataclass

DRIFT = 0.02


@dataclass(frozen=True)
class ControlTiming:
    """Intervals of elections and leases.

    ``lease_ms`` bounds how long a lost server keeps its keys unavailable;
    ``election_ms`` must leave a new leader time to renew within it.
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
        """Span after a heartbeat in which a majority elects nobody else."""
        return self.election_ms * (1 - DRIFT)

    @property
    def lease_bound_ms(self) -> float:
        """Span after which a lease of ``lease_ms`` has surely lapsed.

        A request that began just before the lease lapsed may still execute;
        ``execution_grace_ms`` lets it end before the key has a new owner.
        """
        return self.lease_ms * (1 + DRIFT) + self.execution_grace_ms
