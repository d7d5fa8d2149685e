"""The numeric thresholds of each detection setting."""

import math
from dataclasses import dataclass

from egretrail.settings import Detection


@dataclass(frozen=True, slots=True)
class Thresholds:
    """How much evidence ejects an upstream, and how the upstream returns.

    Scores are log likelihood ratios: a score of ``s`` arises by chance in about one of ``exp(s)``
    independent evaluations of a healthy upstream.
    """

    #: The ejection score: an upstream whose score reaches it is ejected.
    eject_score: float
    #: Up to this multiple of the others' latency, an upstream is not considered slow.
    tolerated_slowness: float
    #: Duration of the first ejection; each following one lasts twice as long.
    first_ejection_s: float
    #: Successful responses, summed over the group, that end a member's trial after an ejection.
    trial_answers: int

    @property
    def tolerated_log(self) -> float:
        """Return the logarithm of the tolerated slowness."""
        return math.log(self.tolerated_slowness)


#: Three to four failures in the group's short window eject.
_PROMPT = Thresholds(eject_score=8.5, tolerated_slowness=1.6, first_ejection_s=5.0, trial_answers=4)

#: Four to five failures eject; a chance ejection is about thirty times rarer.
_PATIENT = Thresholds(
    eject_score=12.0, tolerated_slowness=2.0, first_ejection_s=5.0, trial_answers=6
)

_BY_DETECTION = {Detection.PROMPT: _PROMPT, Detection.PATIENT: _PATIENT}


def thresholds(detection: Detection) -> Thresholds:
    """Return the thresholds of a service's detection setting."""
    return _BY_DETECTION[detection]
