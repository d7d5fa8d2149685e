"""Tracks how long an instance has been absent from the platform's instance list."""

from collections.abc import Iterable

from egretrail.fleet._tuning import MembershipTuning
from egretrail.identity import InstanceName


class AbsenceTracker:
    """Distinguishes an ended process from one not listed yet or missing from a stale reading.

    The list is correct for some earlier moment. A missing name proves that its process had ended
    only if the process was already running at that moment. Absence therefore counts only after the
    process has been known for longer than the maximum lag of the list, and only while readings
    succeed. Any message from the process itself restarts the count.
    """

    def __init__(self, tuning: MembershipTuning) -> None:
        self._lag_s = tuning.list_lag_s
        self._absent_s = tuning.absent_s
        self._first_read_s: float | None = None
        self._last_read_s: float | None = None
        self._listed: frozenset[InstanceName] = frozenset()
        self._absent_since_s: dict[InstanceName, float] = {}

    def record_reading(self, listed: Iterable[InstanceName], now_s: float) -> None:
        """Record one successful reading of the list."""
        names = frozenset(listed)
        for name in self._listed - names:
            self._absent_since_s.setdefault(name, now_s)
        for name in names:
            self._absent_since_s.pop(name, None)
        self._listed = names
        if self._first_read_s is None:
            self._first_read_s = now_s
        self._last_read_s = now_s

    def is_listed(self, name: InstanceName) -> bool:
        """Return whether the last reading contained the instance."""
        return name in self._listed

    def absent_for_s(
        self, name: InstanceName, known_since_s: float, last_contact_s: float
    ) -> float:
        """Return how many seconds of conclusive absence a process has, 0 if there is none.

        ``known_since_s`` is when this instance first learned of the process. ``last_contact_s`` is
        when the process was last known to be active.
        """
        if name in self._listed or self._first_read_s is None or self._last_read_s is None:
            return 0.0
        since_s = max(
            self._absent_since_s.get(name, self._first_read_s),
            known_since_s + self._lag_s,
            last_contact_s,
        )
        return max(0.0, self._last_read_s - since_s)

    def is_gone(self, name: InstanceName, known_since_s: float, last_contact_s: float) -> bool:
        """Return whether the list proves that the process has ended."""
        return self.absent_for_s(name, known_since_s, last_contact_s) > self._absent_s

    def remove(self, name: InstanceName) -> None:
        """Remove the record of a name that is no longer needed."""
        self._absent_since_s.pop(name, None)
