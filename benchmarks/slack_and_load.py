"""A queue order for comparison with those of the scheduler."""

from egretrail.identity import RouteName
from egretrail.service import Entry, QueueOrder

#: Exponent of the slack, and the minimum slack, which keeps the urgency finite.
_SLACK_POWER = 3
_MIN_SLACK_S = 0.001
#: Weight of the newest queue length in the moving average of a route's queue length.
_AVERAGE_GAIN = 0.01


class SlackAndLoad(QueueOrder):
    """Serves routes by the slack of their oldest request and their load.

    The urgency of a route is its number of waiting requests relative to the moving average, divided
    by the cube of its oldest request's slack. Within a route requests start in order of arrival.
    The scheduler does not use this order: see the design note on load.
    """

    def __init__(self) -> None:
        super().__init__()
        self._routes: dict[RouteName, dict[Entry, None]] = {}
        self._average_length: dict[RouteName, float] = {}

    def _insert(self, entry: Entry) -> None:
        route = entry.work.route
        waiting = self._routes.setdefault(route, {})
        waiting[entry] = None
        average = self._average_length.get(route, 1.0)
        self._average_length[route] = average + _AVERAGE_GAIN * (len(waiting) - average)

    def _removed(self, entry: Entry) -> None:
        waiting = self._routes[entry.work.route]
        del waiting[entry]
        if not waiting:
            del self._routes[entry.work.route]

    def peek(self, now_s: float) -> Entry | None:
        """Return the oldest request of the most urgent route."""
        if not self._routes:
            return None
        route = max(self._routes, key=lambda each: self._urgency(each, now_s))
        return next(iter(self._routes[route]))

    def _urgency(self, route: RouteName, now_s: float) -> float:
        waiting = self._routes[route]
        slack_s = max(_MIN_SLACK_S, next(iter(waiting)).latest_start_s - now_s)
        return len(waiting) / max(1.0, self._average_length[route]) / slack_s**_SLACK_POWER
