"""A budget that keeps retries from multiplying load."""

RETRY_RATIO = 0.1
"""Retries allowed for each first attempt."""

BURST = 10.0
"""Retries that may be saved up."""


class RetryBudget:
    """A token bucket filled by first attempts."""

    def __init__(self) -> None:
        """Start with a full bucket."""
        self._tokens = BURST

    def record_attempt(self) -> None:
        """Count a first attempt."""
        self._tokens = min(BURST, self._tokens + RETRY_RATIO)

    def take(self) -> bool:
        """Take one retry out.

        Returns:
            False if the budget is used up.
        """
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
