"""Sums over a sliding window of time."""

from collections import deque

#: Resolution of the window; a sum may include amounts that are older by up to this time.
_BUCKET_S = 0.25


class SlidingSum:
    """A sum over a sliding window of time."""

    __slots__ = ("_buckets", "_sum", "_window_s")

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._buckets: deque[tuple[float, int]] = deque()
        self._sum = 0

    def set_window(self, window_s: float) -> None:
        """Change the window; amounts outside of the previous window are not restored."""
        self._window_s = window_s

    def add(self, amount: int, now_s: float) -> None:
        """Add an amount; ``now_s`` must not be before that of earlier calls."""
        start_s = now_s - now_s % _BUCKET_S
        if self._buckets and self._buckets[-1][0] == start_s:
            self._buckets[-1] = (start_s, self._buckets[-1][1] + amount)
        else:
            self._buckets.append((start_s, amount))
        self._sum += amount

    def add_spread(self, amount: int, now_s: float) -> None:
        """Add an amount that was reached evenly over the window until ``now_s``."""
        count = max(int(self._window_s / _BUCKET_S), 1)
        first_s = now_s - now_s % _BUCKET_S - (count - 1) * _BUCKET_S
        amounts = dict(self._buckets)
        placed = 0
        for step in range(count):
            due = amount * (step + 1) // count
            start_s = first_s + step * _BUCKET_S
            amounts[start_s] = amounts.get(start_s, 0) + due - placed
            placed = due
        self._buckets = deque(sorted(amounts.items()))
        self._sum += amount

    def expiring(self, now_s: float, within_s: float) -> int:
        """Return how much of the sum leaves the window within a time."""
        until_s = now_s - self._window_s - _BUCKET_S + within_s
        self.total(now_s)
        expiring_count = 0
        for start_s, count in self._buckets:
            if start_s > until_s:
                break
            expiring_count += count
        return expiring_count

    def total(self, now_s: float) -> int:
        """Return what was added within the window."""
        while self._buckets and self._buckets[0][0] <= now_s - self._window_s - _BUCKET_S:
            self._sum -= self._buckets.popleft()[1]
        return self._sum
