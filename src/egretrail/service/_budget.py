"""The retry budget: further attempts as a share of first ones."""

#: Most attempts saved up. It covers the first seconds of a fault on one upstream, and bounds the
#: burst of retries with which an instance could meet a service that fails as a whole.
_MOST_SAVED = 20.0


class RetryBudget:
    """Allows retries and hedges only as a share of first tries.

    Load: a service that fails as a whole, where each failure asks for a retry. Harm prevented: the
    retries multiply the load that keeps the service down. The budget begins empty, so that at no
    moment have more retries been made than the share of first tries.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._saved = 0.0
        #: First tries and further attempts so far, for the report.
        self.first_tries = 0
        self.further_tries = 0

    def set_share(self, share: float) -> None:
        """Go on with a changed share; what was saved is kept."""
        self._share = share

    def first_try(self) -> None:
        """Count a first attempt."""
        self.first_tries += 1
        self._saved = min(_MOST_SAVED, self._saved + self._share)

    def available(self, keep: float = 0.0) -> bool:
        """Return whether a further attempt is allowed and leaves ``keep`` saved."""
        return self._saved >= 1.0 + keep

    def take(self) -> None:
        """Count a further attempt."""
        self.further_tries += 1
        self._saved -= 1.0
