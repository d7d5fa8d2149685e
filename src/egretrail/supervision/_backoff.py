"""The time after which a failed task is started again."""

import random

#: The first delay. It doubles with each failure up to the maximum: an error that lasts must neither
#: take the processor nor flood the log and the store, and one that has passed is soon over.
_FIRST_S, _MAX_S = 0.1, 2.0
#: Delays vary by this share in both directions, so that instances that fail at the same entry do
#: not read the store again at the same moment.
_JITTER = 0.25
#: A task that ran for this long is taken as sound again.
STEADY_S = 10.0


class RestartBackoff:
    """Decides how long to wait before a failed task is started again."""

    def __init__(self, rng: random.Random, max_s: float = _MAX_S) -> None:
        self._rng = rng
        self._max_s = max_s
        self._delay_s = _FIRST_S

    def next_delay_s(self, ran_s: float) -> float:
        """Return the delay after a failure of a task that ran for ``ran_s``."""
        if ran_s >= STEADY_S:
            self._delay_s = _FIRST_S
        delay_s = self._delay_s
        self._delay_s = min(delay_s * 2, self._max_s)
        return delay_s * self._rng.uniform(1.0 - _JITTER, 1.0 + _JITTER)
