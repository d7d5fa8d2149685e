"""A queue order that is measured beside those of the scheduler."""

from egretrail.identity import RouteName
from egretrail.service import Entry, QueueOrder

#: Exponent of the slack, and a slack that keeps the urgency finite.
_SLACK_POWER = 3
_LEAST_SLACK_S = 0.001
#: Weight of the newest length of a route's queue in its usual length.
_USUAL_GAIN = 0.01


class SlackAndLoad(QueueOrder):
    """The route whose oldest request has the least slack for its load comes first.

    The urgency of a route is its number of waiting requests, as a share of the usual number, over
    the cube of its oldest request's slack. Within a route requests start in the order of their
    arrival. Measured as a queue order and not taken, see the design note on load.
    """

    def __init__(self) -> None:
        super().__init__()
        self._routes: dict[RouteName, dict[Entry, None]] = {}
        self._usual: dict[RouteName, float] = {}

    def _insert(self, entry: Entry) -> None:
        route = entry.work.route
        waiting = self._routes.setdefault(route, {})
        waiting[entry] = None
        usual = self._usual.get(route, 1.0)
        self._usual[route] = usual + _USUAL_GAIN * (len(waiting) - usual)

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
        slack_s = max(_LEAST_SLACK_S, next(iter(waiting)).latest_start_s - now_s)
        return len(waiting) / max(1.0, self._usual[route]) / slack_s**_SLACK_POWER
