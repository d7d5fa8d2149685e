"""How far the expected waits are from the real ones."""

#: Weight of the newest wait; about the last 20 waits of a kind count.
_GAIN = 0.05
#: Waits shorter than this say nothing about the queue.
_LEAST_S = 0.005
#: Bounds of the correction, against a few odd waits.
_LEAST_FACTOR = 0.5
_MOST_FACTOR = 4.0
#: Callers are told apart by how much they have waiting: one, up to three, up to seven, more.
_KINDS = 4


class WaitCorrection:
    """Corrects expected waits by what waits turned out to be.

    Load: several callers in a full queue. The requests of a caller with much waiting are passed by
    those that callers with less send later, which no count of what waits now can tell. Harm
    prevented: work that is admitted, waits for all of its time and is refused only then.
    """

    def __init__(self) -> None:
        self._factors = [1.0] * _KINDS

    def expected_s(self, raw_s: float, waiting: int) -> float:
        """Return the wait to expect of a request whose caller has this much waiting."""
        return raw_s * self._factors[_kind(waiting)]

    def note(self, raw_s: float, waiting: int, waited_s: float) -> None:
        """Take the real wait of a request, given the uncorrected expectation at its arrival."""
        if raw_s < _LEAST_S:
            return
        kind = _kind(waiting)
        ratio = min(_MOST_FACTOR, max(_LEAST_FACTOR, waited_s / raw_s))
        self._factors[kind] += _GAIN * (ratio - self._factors[kind])


def _kind(waiting: int) -> int:
    return min(_KINDS - 1, (waiting + 1).bit_length() - 1)
