"""Finds the services of which this instance reaches no upstream, though it reaches others."""

#: After failures to connect to this many upstreams of a service without any contact in between,
#: others are probed. With paths to 0.4 of the upstreams cut, a sixth of such pairs are chance.
_SUSPECT_QUORUM = 2
#: Failures to connect count together within this time: evidence counts for as long.
_WINDOW_S = 3.0


class ServicePathCheck:
    """Tells services that this instance does not reach from single upstreams that it does not.

    A fault of the network cuts up to a fifth of the instances from some of the upstreams for 14 s,
    which may be all of a service. Such an instance is not isolated. Each of its requests of the
    service would cost 0.35 s for each of several upstreams, and be refused. An upstream that was
    not tried may be reached, so that only probes of further ones decide. A service of which any
    upstream was reached since the failures is never taken as unreached.
    """

    def __init__(self) -> None:
        #: When attempts to connect failed since the last contact, by service and upstream.
        self._failed_s: dict[str, dict[str, float]] = {}
        self._unreached: set[str] = set()

    def reaches_none(self, service: str) -> bool:
        """Return whether this instance reaches no upstream of a service."""
        return service in self._unreached

    def record_failure(
        self, service: str, upstream_id: str, usable_count: int, now_s: float
    ) -> bool:
        """Record a failure to connect; return whether to probe the service's upstreams."""
        failed_s = self._failed_s.setdefault(service, {})
        failed_s[upstream_id] = now_s
        for name in [name for name, at_s in failed_s.items() if now_s - at_s >= _WINDOW_S]:
            del failed_s[name]
        return len(failed_s) >= min(_SUSPECT_QUORUM, usable_count)

    def record_contact(self, service: str) -> None:
        """Record a new connection to an upstream of a service, or a response of one."""
        self._failed_s.pop(service, None)
        self._unreached.discard(service)

    def record_unreached(self, service: str) -> bool:
        """Record that no probe connected; return whether the service is unreached now.

        It is not if an upstream of it was reached while the probes ran.
        """
        if self._failed_s.get(service):
            self._unreached.add(service)
        return service in self._unreached

    def forget(self, service: str) -> None:
        """Discard what is known of a service, for example when all its upstreams are suspects."""
        self.record_contact(service)
