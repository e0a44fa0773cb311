"""Retry budget: retries may be a bounded share of recent traffic. Pure."""

from dataclasses import dataclass

FLOOR = 10.0  # retries that a quiet router may always make


@dataclass
class RetryBudget:
    """Tokens earned by requests and spent by retries."""

    percent: int
    tokens: float = FLOOR
    ceiling: float = 1000.0

    def earn(self) -> None:
        """Count a first attempt."""
        self.tokens = min(self.ceiling, self.tokens + self.percent / 100)

    def spend(self) -> bool:
        """Take a token for a retry; false when there is none."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
