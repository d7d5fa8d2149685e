"""Mapping of attempt outcomes to the results that decide on further attempts."""

from collections.abc import Mapping

from egretrail.service._work import AttemptResult
from egretrail.upstream import AttemptOutcome

#: The scheduler's result for each outcome of an attempt.
ATTEMPT_RESULTS: Mapping[AttemptOutcome, AttemptResult] = {
    AttemptOutcome.ANSWERED: AttemptResult.ANSWERED,
    AttemptOutcome.FAILED: AttemptResult.FAILED,
    AttemptOutcome.LOST: AttemptResult.LOST,
    AttemptOutcome.TIMED_OUT: AttemptResult.LOST,
    AttemptOutcome.TRUNCATED: AttemptResult.LOST,
    AttemptOutcome.CROSSED: AttemptResult.LOST,
    AttemptOutcome.REFUSED: AttemptResult.NOT_SENT,
    AttemptOutcome.SHED: AttemptResult.SHED,
    AttemptOutcome.DRAINING: AttemptResult.SHED,
    AttemptOutcome.CANCELLED: AttemptResult.ABANDONED,
}
