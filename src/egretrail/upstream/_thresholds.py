"""What the two detection settings mean in numbers."""

import math
from dataclasses import dataclass

from egretrail.settings import Detection


@dataclass(frozen=True, slots=True)
class Thresholds:
    """How much evidence convicts an upstream, and how it returns.

    Scores are log likelihood ratios: a score of ``s`` arises by chance in about one of ``exp(s)``
    independent looks at a healthy upstream.
    """

    #: The score that ejects.
    eject_score: float
    #: An upstream this many times as slow as the others is still tolerated.
    tolerated_slowness: float
    #: The first ejection lasts this long; each following one twice as long.
    first_ejection_s: float
    #: Good answers in a row that end the trial after an ejection, at each member.
    trial_answers: int

    @property
    def tolerated_log(self) -> float:
        """Return the logarithm of the tolerated slowness."""
        return math.log(self.tolerated_slowness)


#: Three to four failures in the group's short window convict.
_PROMPT = Thresholds(eject_score=8.5, tolerated_slowness=1.6, first_ejection_s=5.0, trial_answers=4)

#: Four to five failures convict; a chance ejection is some thirty times rarer.
_PATIENT = Thresholds(
    eject_score=12.0, tolerated_slowness=2.0, first_ejection_s=5.0, trial_answers=6
)

_BY_DETECTION = {Detection.PROMPT: _PROMPT, Detection.PATIENT: _PATIENT}


def thresholds(detection: Detection) -> Thresholds:
    """Return the numbers behind a service's detection setting."""
    return _BY_DETECTION[detection]
