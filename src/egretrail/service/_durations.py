"""How long work takes, learned by class of cost."""

from egretrail.service._work import CostClass

#: Weight of the newest duration; about the last 30 requests count, so that a class whose cost
#: changes is followed within seconds at 10 requests/s.
_GAIN = 1.0 / 30.0
#: Assumed for a class until its first answer, the middle of what the deployments report.
_FIRST_GUESS_S = 0.05
#: A class is long when it takes this many times the shortest class. Below that, mixing classes
#: costs less than the slots that parting them would leave idle. Durations include what a request
#: waits at its upstream, so that the measured ratio under load is smaller than that of the work.
_LONG_RATIO = 3.0
#: Most classes remembered; one for each route and method of a service is far fewer.
_MOST_CLASSES = 256
#: Deviations above the mean at which a request counts as slow, near the 95th percentile.
_SLOW_DEVIATIONS = 3.0


class _Duration:
    """Moving mean and mean deviation of one class."""

    __slots__ = ("count", "deviation_s", "mean_s")

    def __init__(self, first_s: float) -> None:
        self.count = 1
        self.mean_s = first_s
        self.deviation_s = first_s / 2

    def add(self, duration_s: float) -> None:
        self.count += 1
        gain = max(_GAIN, 1.0 / self.count)
        error_s = duration_s - self.mean_s
        self.mean_s += gain * error_s
        self.deviation_s += gain * (abs(error_s) - self.deviation_s)


class Durations:
    """Moving estimates of the time that each class of work takes on an upstream."""

    def __init__(self) -> None:
        self._classes: dict[CostClass, _Duration] = {}
        self._all = _Duration(_FIRST_GUESS_S)
        self._shortest_s = _FIRST_GUESS_S

    def add(self, cost_class: CostClass, duration_s: float) -> None:
        """Count the duration of an answered attempt."""
        self._all.add(duration_s)
        known = self._classes.get(cost_class)
        if known is None:
            known = _Duration(duration_s)
            if len(self._classes) < _MOST_CLASSES:
                self._classes[cost_class] = known
        else:
            known.add(duration_s)
        self._shortest_s = min(each.mean_s for each in self._classes.values())

    def expected_s(self, cost_class: CostClass) -> float:
        """Return the expected duration of work of this class."""
        return self._classes.get(cost_class, self._all).mean_s

    def slow_after_s(self, cost_class: CostClass) -> float:
        """Return the age at which a running request of this class is slow."""
        known = self._classes.get(cost_class, self._all)
        return known.mean_s + _SLOW_DEVIATIONS * known.deviation_s

    def is_long(self, cost_class: CostClass) -> bool:
        """Return whether the class takes much longer than the service's shortest class."""
        known = self._classes.get(cost_class)
        return known is not None and known.mean_s > _LONG_RATIO * self._shortest_s
