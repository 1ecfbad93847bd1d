"""Retry budget that limits the additional load caused by retries."""

RETRY_RATIO = 0.1
"""Retry tokens added for each first attempt."""

BURST = 10.0
"""Capacity of the token bucket, in retries."""


class RetryBudget:
    """Token bucket of retries that first attempts refill."""

    def __init__(self) -> None:
        """Start with a full bucket."""
        self._tokens = BURST

    def record_attempt(self) -> None:
        """Add the tokens of a first attempt."""
        self._tokens = min(BURST, self._tokens + RETRY_RATIO)

    def take(self) -> bool:
        """Take a token for one retry.

        Returns:
            False if the budget is exhausted.
        """
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
