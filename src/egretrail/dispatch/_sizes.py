"""How many bytes the answers of each route usually have."""

#: Weight of a new answer in a route's mean: about the last ten that this instance passed on.
_WEIGHT = 0.1
#: Routes that are remembered, about 100 bytes each; forgetting one costs its next answer.
_REMEMBERED_MAX = 5_000


class AnswerSizes:
    """Moving means of the answers' sizes, from what this instance passed on."""

    def __init__(self) -> None:
        self._routes: dict[str, float] = {}

    def observe(self, route: str, size_bytes: int) -> None:
        """Take the size of one answer."""
        mean_bytes = self._routes.pop(route, float(size_bytes))
        self._routes[route] = mean_bytes + _WEIGHT * (size_bytes - mean_bytes)
        if len(self._routes) > _REMEMBERED_MAX:
            del self._routes[next(iter(self._routes))]

    def mean_bytes(self, route: str) -> float:
        """Return the usual size of a route's answers; 0 where none was seen."""
        return self._routes.get(route, 0.0)
