"""The retry budget, which limits retries and hedges to a share of first attempts."""

#: Maximum number of unspent retries. It covers the first seconds of a failure of one upstream and
#: bounds the burst of retries that an instance sends to a service that fails as a whole.
_MAX_SAVED = 20.0


class RetryBudget:
    """Limits retries and hedges to a share of first attempts.

    When a service fails as a whole, each failure calls for a retry, and unlimited retries would
    multiply the load that keeps the service down. The budget starts empty, so the number of
    retries never exceeds the share of the first attempts made so far.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._saved = 0.0
        #: Number of first attempts, and of retries and hedges, for the report.
        self.first_tries = 0
        self.further_tries = 0

    def set_share(self, share: float) -> None:
        """Change the share; the retries already earned are kept."""
        self._share = share

    def record_first_attempt(self) -> None:
        """Count a first attempt."""
        self.first_tries += 1
        self._saved = min(_MAX_SAVED, self._saved + self._share)

    def is_available(self, keep: float = 0.0) -> bool:
        """Return whether a retry or hedge is allowed and leaves ``keep`` retries unspent."""
        return self._saved >= 1.0 + keep

    def spend(self) -> None:
        """Count a retry or hedge."""
        self.further_tries += 1
        self._saved -= 1.0
