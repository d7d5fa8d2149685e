"""Probes whether this instance reaches any upstream of a service."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence

from egretrail.dispatch import ServicePathCheck, UpstreamHealth
from egretrail.gateway._log import EventLog
from egretrail.gateway._view import FleetView
from egretrail.traffic import UpstreamRecord

#: Upstreams of a service that are probed at once.
_PROBES = 4
#: The upstreams of an unreached service are probed at this interval, with a random part, as those
#: of all services are while the instance is isolated.
_INTERVAL_S = 0.4

#: Connects to upstreams and returns those to which it failed.
ConnectAll = Callable[[Sequence[UpstreamRecord]], Awaitable[Sequence[UpstreamRecord]]]


class ServicePaths:
    """Keeps the services of which this instance reaches no upstream.

    Suspects are not probed: they are out of service for all, so that another instance cannot help.
    """

    def __init__(
        self, view: FleetView, unreached: ConnectAll, log: EventLog, rng: random.Random
    ) -> None:
        self._view = view
        self._unreached = unreached
        self._log = log
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._check = ServicePathCheck()
        self._probing: dict[str, asyncio.Task[None]] = {}

    def reaches_none(self, service: str) -> bool:
        """Return whether this instance reaches no upstream of a service."""
        return self._check.reaches_none(service)

    def record_contact(self, upstream_id: str) -> None:
        """Record a new connection to an upstream, or a response of it."""
        record = self._view.upstreams.records.get(upstream_id)
        if record is not None:
            self._check.record_contact(record.service)

    def record_failure(self, upstream_id: str) -> None:
        """Record a failure to connect to an upstream."""
        record = self._view.upstreams.records.get(upstream_id)
        if record is None:
            return
        service = record.service
        usable_count = len(self._usable(service))
        is_due = self._check.record_failure(service, upstream_id, usable_count, self._loop.time())
        if is_due and service not in self._probing:
            task = self._loop.create_task(self._probe(service))
            self._probing[service] = task
            task.add_done_callback(lambda task: self._end_probing(service, task))

    def _end_probing(self, service: str, task: asyncio.Task[None]) -> None:
        del self._probing[service]
        if not task.cancelled() and task.exception() is not None:
            self._check.forget(service)
            self._loop.call_exception_handler(
                {"message": "probing of a service failed", "exception": task.exception()}
            )

    def _usable(self, service: str) -> Sequence[UpstreamRecord]:
        now_s, suspicion = self._loop.time(), self._view.suspicion
        return [
            record
            for record in self._view.upstreams.ready(service)
            if suspicion.health(record.id, now_s)
            not in (UpstreamHealth.SUSPECT, UpstreamHealth.PROBATION)
        ]

    async def _probe(self, service: str) -> None:
        """Probe until an upstream of a service is reached, or none is left that others use."""
        since_s: float | None = None
        while True:
            usable = self._usable(service)
            if not usable or self._view.is_isolated:
                self._check.forget(service)
                break
            chosen = self._rng.sample(usable, min(_PROBES, len(usable)))
            unreached = await self._unreached(chosen)
            if len(unreached) < len(chosen):
                # ``record_contact`` ignores an upstream that left the list meanwhile.
                self._check.record_contact(service)
                break
            if not self._check.record_unreached(service):
                break
            if since_s is None:
                since_s = self._loop.time()
                names = ",".join(record.id for record in unreached)
                self._log.event("service_unreached", service=service, unreached=names)
            await asyncio.sleep(_INTERVAL_S * self._rng.uniform(0.75, 1.25))
        if since_s is not None:
            unreached_s = self._loop.time() - since_s
            self._log.event("service_reached", service=service, unreached_s=unreached_s)
