"""Duration estimates of requests for each cost class."""

from egretrail.service._work import CostClass

#: Weight of the newest duration. About the last 30 requests count, so the estimate follows a change
#: of cost within seconds at 10 requests/s.
_GAIN = 1.0 / 30.0
#: Assumed duration before the first response: the middle of the range that deployments report.
_INITIAL_ESTIMATE_S = 0.05
#: A class is long when its mean duration exceeds this multiple of the shortest class. Below that,
#: mixing the classes costs less than the slots that separate queues would leave idle. Durations
#: include the wait at the upstream, so the ratio measured under load is smaller than the ratio of
#: the processing times.
_LONG_RATIO = 3.0
#: Maximum number of classes kept; one for each route and method of a service is far fewer.
_MAX_CLASSES = 256
#: Mean deviations above the mean from which a request counts as slow: near the 95th percentile.
_SLOW_DEVIATIONS = 3.0


class _Duration:
    """Moving average and mean deviation of one class."""

    __slots__ = ("count", "deviation_s", "mean_s")

    def __init__(self, first_s: float) -> None:
        self.count = 1
        self.mean_s = first_s
        self.deviation_s = first_s / 2

    def record_duration(self, duration_s: float) -> None:
        self.count += 1
        gain = max(_GAIN, 1.0 / self.count)
        error_s = duration_s - self.mean_s
        self.mean_s += gain * error_s
        self.deviation_s += gain * (abs(error_s) - self.deviation_s)


class Durations:
    """Moving averages of the time that each cost class takes on an upstream."""

    def __init__(self) -> None:
        self._classes: dict[CostClass, _Duration] = {}
        self._all = _Duration(_INITIAL_ESTIMATE_S)
        self._shortest_s = _INITIAL_ESTIMATE_S

    def record_duration(self, cost_class: CostClass, duration_s: float) -> None:
        """Record the duration of an attempt that got a response."""
        self._all.record_duration(duration_s)
        known = self._classes.get(cost_class)
        if known is None:
            known = _Duration(duration_s)
            if len(self._classes) < _MAX_CLASSES:
                self._classes[cost_class] = known
        else:
            known.record_duration(duration_s)
        self._shortest_s = min(each.mean_s for each in self._classes.values())

    def expected_s(self, cost_class: CostClass) -> float:
        """Return the expected duration of a request of this class."""
        return self._classes.get(cost_class, self._all).mean_s

    def slow_after_s(self, cost_class: CostClass) -> float:
        """Return the age from which a running request of this class counts as slow."""
        known = self._classes.get(cost_class, self._all)
        return known.mean_s + _SLOW_DEVIATIONS * known.deviation_s

    def is_long(self, cost_class: CostClass) -> bool:
        """Return whether the class takes much longer than the service's shortest class."""
        known = self._classes.get(cost_class)
        return known is not None and known.mean_s > _LONG_RATIO * self._shortest_s
