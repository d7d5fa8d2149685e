"""Correction of expected waits by observed ones."""

#: Weight of the newest wait; about the last 20 waits of a class count.
_GAIN = 0.05
#: Expected waits below this are ignored, because they carry no information about the queue.
_MIN_WAIT_S = 0.005
#: Bounds of the correction, to limit the effect of outliers.
_MIN_FACTOR = 0.5
_MAX_FACTOR = 4.0
#: Classes of clients by their number of waiting requests: none, up to two, up to six, more.
_CLASS_COUNT = 4


class WaitCorrection:
    """Corrects expected waits by the ratio of observed to expected waits.

    In a full queue, requests of a client with many waiting requests are overtaken by later requests
    of clients with fewer. An estimate from the current queue cannot include these later arrivals.
    Without the correction, requests would be admitted and refused only after their whole wait.
    """

    def __init__(self) -> None:
        self._factors = [1.0] * _CLASS_COUNT

    def expected_s(self, raw_s: float, waiting: int) -> float:
        """Return the corrected wait for a client with the given number of waiting requests."""
        return raw_s * self._factors[_class_index(waiting)]

    def record_wait(self, raw_s: float, waiting: int, waited_s: float) -> None:
        """Record the actual wait of a request; ``raw_s`` is the uncorrected estimate on arrival."""
        if raw_s < _MIN_WAIT_S:
            return
        kind = _class_index(waiting)
        ratio = min(_MAX_FACTOR, max(_MIN_FACTOR, waited_s / raw_s))
        self._factors[kind] += _GAIN * (ratio - self._factors[kind])


def _class_index(waiting: int) -> int:
    return min(_CLASS_COUNT - 1, (waiting + 1).bit_length() - 1)
