"""Retry budget that bounds retries to a fraction of the recent requests.

This module does no I/O and reads no clock.
"""

from dataclasses import dataclass

INITIAL_TOKENS = 10.0  # so that a router with little traffic can retry


@dataclass
class RetryBudget:
    """Token bucket that requests fill and retries empty.

    ``percent`` is the number of retries allowed per 100 requests.
    """

    percent: int
    tokens: float = INITIAL_TOKENS
    ceiling: float = 1000.0

    def earn(self) -> None:
        """Add tokens for the first attempt of a request."""
        self.tokens = min(self.ceiling, self.tokens + self.percent / 100)

    def spend(self) -> bool:
        """Take a token for a retry and return whether there was one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
