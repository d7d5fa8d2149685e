"""Since when the platform's list has shown an instance as gone."""

from collections.abc import Iterable

from egretrail.fleet._tuning import MembershipTuning
from egretrail.identity import InstanceName


class AbsenceLedger:
    """Tells "gone" from "not listed yet" and from "not listed by a stale reading".

    The list tells the truth about some earlier moment. That a name is missing proves that its
    process had ended only if the process was already running at that earlier moment: so absence
    counts only once the process has been known for longer than the list can lag, only while
    readings succeed, and any word from the process itself starts the count again.
    """

    def __init__(self, tuning: MembershipTuning) -> None:
        self._lag_s = tuning.list_lag_s
        self._absent_s = tuning.absent_s
        self._first_read_s: float | None = None
        self._last_read_s: float | None = None
        self._listed: frozenset[InstanceName] = frozenset()
        self._absent_since_s: dict[InstanceName, float] = {}

    def read(self, listed: Iterable[InstanceName], now_s: float) -> None:
        """Take in one successful reading of the list."""
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
        """Return whether the last reading showed the instance."""
        return name in self._listed

    def absent_for_s(self, name: InstanceName, known_since_s: float, heard_s: float) -> float:
        """Return for how long the absence of a process counts as proof, 0 when it does not.

        ``known_since_s`` is when this process was first heard of, ``heard_s`` when it last showed
        itself to anybody.
        """
        if name in self._listed or self._first_read_s is None or self._last_read_s is None:
            return 0.0
        since_s = max(
            self._absent_since_s.get(name, self._first_read_s),
            known_since_s + self._lag_s,
            heard_s,
        )
        return max(0.0, self._last_read_s - since_s)

    def is_gone(self, name: InstanceName, known_since_s: float, heard_s: float) -> bool:
        """Return whether the list has proved that the process ended."""
        return self.absent_for_s(name, known_since_s, heard_s) > self._absent_s

    def forget(self, name: InstanceName) -> None:
        """Drop the record of a name that nobody asks about any more."""
        self._absent_since_s.pop(name, None)
