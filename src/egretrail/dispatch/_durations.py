"""Typical durations of requests, by service and by upstream."""

#: Mean of a service before the first observation; far below the shortest timeouts in use.
_INITIAL_MEAN_S = 0.3
#: Weight of a new duration in a service's mean: averages about the last thirty responses to the
#: fleet.
_SERVICE_WEIGHT = 0.03
#: Weight of a new duration in an upstream's mean: averages about its last six responses, so that a
#: slowdown shows after three or four of them.
_UPSTREAM_WEIGHT = 0.15
#: A duration counts as at most this many times the mean. Single long requests are normal, and some
#: upstreams that become slow must not make the whole service look slow.
_CLIP_FACTOR = 3.0


class ServiceDurations:
    """Moving means of durations, from the responses that the whole fleet received."""

    def __init__(self) -> None:
        self._service_means_s: dict[str, float] = {}
        self._upstream_means_s: dict[str, float] = {}

    def record(self, service: str, upstream_id: str, duration_s: float) -> None:
        """Record the duration of an answered request."""
        mean_s = self._service_means_s.get(service, _INITIAL_MEAN_S)
        clipped_s = min(duration_s, _CLIP_FACTOR * mean_s)
        self._service_means_s[service] = mean_s + _SERVICE_WEIGHT * (clipped_s - mean_s)
        observed_s = self._upstream_means_s.get(upstream_id, mean_s)
        self._upstream_means_s[upstream_id] = observed_s + _UPSTREAM_WEIGHT * (
            clipped_s - observed_s
        )

    def mean_s(self, service: str) -> float:
        """Return the typical duration of a service's requests."""
        return self._service_means_s.get(service, _INITIAL_MEAN_S)

    def upstream_mean_s(self, service: str, upstream_id: str) -> float:
        """Return the typical duration of an upstream's requests; the service's if unknown."""
        return self._upstream_means_s.get(upstream_id, self.mean_s(service))

    def slowness(self, service: str, upstream_id: str) -> float:
        """Return the ratio of an upstream's mean to its service's mean; 1 if it is unknown."""
        observed_s = self._upstream_means_s.get(upstream_id)
        return 1.0 if observed_s is None else observed_s / self.mean_s(service)

    def remove_upstream(self, upstream_id: str) -> None:
        """Remove an upstream that is no longer listed."""
        self._upstream_means_s.pop(upstream_id, None)
