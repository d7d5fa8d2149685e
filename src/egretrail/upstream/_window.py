"""Counts of recent attempts that decay with further attempts and with time."""

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Counts:
    """Attempts, failures and latencies; counts of several members may be added."""

    #: Finished attempts that count as evidence.
    attempts: float = 0.0
    #: Failures among these attempts.
    failures: float = 0.0
    #: Responses whose latency was compared with the median of their kind.
    timed: float = 0.0
    #: Sum of the log ratios of their latencies to the median of their kind.
    slowness: float = 0.0

    def __add__(self, other: "Counts") -> "Counts":
        return Counts(
            self.attempts + other.attempts,
            self.failures + other.failures,
            self.timed + other.timed,
            self.slowness + other.slowness,
        )

    def __sub__(self, other: "Counts") -> "Counts":
        return Counts(
            self.attempts - other.attempts,
            self.failures - other.failures,
            self.timed - other.timed,
            self.slowness - other.slowness,
        )

    def times(self, factor: float) -> "Counts":
        """Return the counts multiplied by a factor."""
        return Counts(
            self.attempts * factor,
            self.failures * factor,
            self.timed * factor,
            self.slowness * factor,
        )

    @property
    def failure_share(self) -> float:
        """Return failures as a share of attempts."""
        return self.failures / self.attempts if self.attempts > 0 else 0.0

    @property
    def mean_slowness(self) -> float:
        """Return the mean logarithm of relative latency."""
        return self.slowness / self.timed if self.timed > 0 else 0.0


NOTHING = Counts()


@dataclass(frozen=True, slots=True)
class WindowShape:
    """How fast the counts of a window decay."""

    #: Factor on the counts for each further attempt.
    kept_per_attempt: float
    #: Time constant: after this time, 1/e of the counts remains.
    decay_s: float

    def kept_after(self, elapsed_s: float) -> float:
        """Return the share of the counts that remains after an elapsed time."""
        return math.exp(-max(0.0, elapsed_s) / self.decay_s)


#: For abrupt failures: about the last four attempts of each member, so that four failures in the
#: group are an outlier against hundreds of earlier successes.
SHORT = WindowShape(kept_per_attempt=0.75, decay_s=10.0)

#: For partial failures: about the last forty attempts of each member. Distinguishing a failure
#: share of a tenth from a hundredth needs about eighty attempts.
LONG = WindowShape(kept_per_attempt=0.975, decay_s=40.0)


class Window:
    """One member's decaying window of attempts at one upstream."""

    __slots__ = ("_at_s", "_attempts", "_failures", "_shape", "_slowness", "_timed")

    def __init__(self, shape: WindowShape, now_s: float) -> None:
        self._shape = shape
        self._at_s = now_s
        self._attempts = 0.0
        self._failures = 0.0
        self._timed = 0.0
        self._slowness = 0.0

    def clear(self, now_s: float) -> None:
        """Reset all counts."""
        self.__init__(self._shape, now_s)  # type: ignore[misc]

    def add_answer(self, slowness: float | None, now_s: float) -> None:
        """Count a success; ``slowness`` is its log latency ratio, None when not compared."""
        self._fade(1.0, now_s)
        self._attempts += 1.0
        if slowness is not None:
            self._timed += 1.0
            self._slowness += slowness

    def add_failure(self, weight: float, now_s: float) -> None:
        """Count a failure with a weight, which is below 1 when another cause explains it."""
        self._fade(weight, now_s)
        self._attempts += weight
        self._failures += weight

    def retract_failure(self, weight: float) -> None:
        """Subtract a failure that another cause turned out to explain."""
        excused = min(weight, self._failures)
        self._failures -= excused
        self._attempts -= excused

    def counts(self, now_s: float) -> Counts:
        """Return the counts, decayed until now."""
        kept = self._shape.kept_after(now_s - self._at_s)
        return Counts(
            self._attempts * kept,
            self._failures * kept,
            self._timed * kept,
            self._slowness * kept,
        )

    def counts_with(self, overdue: int, slowness: float, now_s: float) -> Counts:
        """Return the counts as if ``overdue`` more responses had arrived, each this slow."""
        counts = self.counts(now_s)
        if overdue == 0:
            return counts
        kept = self._shape.kept_per_attempt**overdue
        added = (1.0 - kept) / (1.0 - self._shape.kept_per_attempt)
        return counts.times(kept) + Counts(0.0, 0.0, added, added * slowness)

    def _fade(self, weight: float, now_s: float) -> None:
        kept = self._shape.kept_after(now_s - self._at_s) * self._shape.kept_per_attempt**weight
        self._at_s = now_s
        self._attempts *= kept
        self._failures *= kept
        self._timed *= kept
        self._slowness *= kept
