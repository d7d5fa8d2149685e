"""Typical response sizes of routes."""

#: Weight of a new response in a route's mean: averages about the last ten that this instance
#: forwarded.
_WEIGHT = 0.1
#: Number of routes that are kept, about 100 bytes each; the mean of a discarded route restarts at
#: its next response.
_ROUTES_MAX = 5_000


class ResponseSizes:
    """Moving means of response sizes, from the responses that this instance forwarded."""

    def __init__(self) -> None:
        self._means_bytes: dict[str, float] = {}

    def record(self, route: str, size_bytes: int) -> None:
        """Record the size of a response."""
        mean_bytes = self._means_bytes.pop(route, float(size_bytes))
        self._means_bytes[route] = mean_bytes + _WEIGHT * (size_bytes - mean_bytes)
        if len(self._means_bytes) > _ROUTES_MAX:
            del self._means_bytes[next(iter(self._means_bytes))]

    def mean_bytes(self, route: str) -> float:
        """Return the typical size of a route's responses; 0 if none was seen."""
        return self._means_bytes.get(route, 0.0)
