"""Probes whether this instance reaches upstreams, and reports failures that upstreams cause."""

import asyncio
import random
from collections.abc import Sequence

from egretrail.dispatch import (
    Observation,
    Outcome,
    PathCheck,
    RequestDigest,
    UpstreamHealth,
    choose_probes,
)
from egretrail.gateway._log import EventLog
from egretrail.gateway._pool import UpstreamConnectionPool
from egretrail.gateway._service_paths import ServicePaths
from egretrail.gateway._view import FleetView
from egretrail.http1 import ConnectFailed
from egretrail.traffic import UpstreamRecord

#: After the first probe fails, this many more upstreams are probed at once.
_FURTHER_PROBES = 3
#: The shortest time between two series of probes. Most failures are explained by responses to other
#: requests before that.
_PROBE_INTERVAL_S = 0.1
#: An isolated instance probes upstreams at this interval, with a random part.
_RECOVERY_INTERVAL_S = 0.4
#: It is no longer isolated when this many upstreams accept a connection in one series.
_RECOVERED_QUORUM = 2


class UpstreamPaths:
    """Attributes failures without a response, to upstreams or to this instance's own paths.

    Probes open a connection and send nothing. Opened connections are kept for requests.
    """

    def __init__(
        self, view: FleetView, pool: UpstreamConnectionPool, log: EventLog, rng: random.Random
    ) -> None:
        self._view = view
        self._pool = pool
        self._log = log
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._check = PathCheck()
        self._services = ServicePaths(view, self._unreached, log, rng)
        self._probing: asyncio.Task[None] | None = None
        #: The probes of upstreams to which an open connection went silent, by upstream id.
        self._reconnecting: dict[str, asyncio.Task[None]] = {}
        self._probed_s = float("-inf")
        self._isolated_since_s = 0.0
        #: Done once this instance is isolated; another future after it has recovered.
        self.isolation: asyncio.Future[None] = self._loop.create_future()
        pool.on_connected = lambda upstream_id: self.record_contact(upstream_id, connected=True)

    @property
    def is_isolated(self) -> bool:
        """Whether this instance reaches no upstream, though others may."""
        return self._check.is_isolated

    def reaches_none(self, service: str) -> bool:
        """Whether this instance reaches no usable upstream of a service, though others may."""
        return self.is_isolated or self._services.reaches_none(service)

    def record_contact(self, upstream_id: str, *, connected: bool = False) -> None:
        """Record a response of an upstream, or a new connection to it."""
        self._services.record_contact(upstream_id)
        if connected:
            self._view.suspicion.resume_path(upstream_id)
        for failure in self._check.record_contact(
            upstream_id, self._loop.time(), connected=connected
        ):
            self._view.record_outcome(failure.observation, failure.digest)

    def record_failure(self, observation: Observation, digest: RequestDigest | None = None) -> None:
        """Record a failure without a response, and find out whose it is."""
        if observation.outcome in (Outcome.UNREACHABLE, Outcome.SILENT):
            self._view.avoid_path(observation.upstream_id)
        if observation.outcome is Outcome.SILENT:
            self._reconnect(observation.upstream_id)
            return
        if digest is not None and not self.is_isolated:
            self._view.record_own_loss(observation.upstream_id, digest)
        if observation.outcome is Outcome.UNREACHABLE and not self.is_isolated:
            self._services.record_failure(observation.upstream_id)
        self._check.hold(observation, digest, self._loop.time())
        if self._check.has_held_failures and self._probing is None:
            # The response to another request usually explains why one is overdue.
            is_overdue = observation.outcome is Outcome.OVERDUE
            delay_s = _PROBE_INTERVAL_S if is_overdue else 0.0
            self._probing = self._loop.create_task(self._probe(delay_s))
            self._probing.add_done_callback(self._end_probing)

    def _reconnect(self, upstream_id: str) -> None:
        """Find out whether an upstream or only an open connection to it has gone silent.

        Open connections may lose their path while new ones work. Reported by several instances at
        once, silent connections would take all upstreams out of service.
        """
        if upstream_id not in self._reconnecting and not self.is_isolated:
            task = self._loop.create_task(self._probe_silent(upstream_id))
            self._reconnecting[upstream_id] = task
            task.add_done_callback(lambda _: self._reconnecting.pop(upstream_id))
            task.add_done_callback(self._report_error)

    async def _probe_silent(self, upstream_id: str) -> None:
        record = self._view.upstreams.records.get(upstream_id)
        if record is None:
            return
        started_s = self._loop.time()
        if await self._connects(record):
            self._view.suspicion.resume_path(upstream_id)
            return
        duration_s = self._loop.time() - started_s
        self.record_failure(Observation(upstream_id, Outcome.UNREACHABLE, duration_s))

    def _end_probing(self, task: asyncio.Task[None]) -> None:
        self._probing = None
        self._report_error(task)
        if self._check.is_isolated and not task.cancelled():
            # Probing failed. Nobody else would find out that upstreams are reached again.
            self._check.record_recovery()
            self._end_isolation()

    def _report_error(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            self._loop.call_exception_handler(
                {"message": "probing of upstreams failed", "exception": task.exception()}
            )

    async def _probe(self, delay_s: float) -> None:
        next_s = self._probed_s + _PROBE_INTERVAL_S
        await asyncio.sleep(max(next_s - self._loop.time(), delay_s))
        if not self._check.has_held_failures:
            return
        self._probed_s = self._loop.time()
        self._check.start_probes()
        order = self._choose_probes()
        unreached = await self._unreached(order[:1])
        if unreached:
            further = order[1:]
            unreached += await self._unreached(further)
            if len(unreached) > len(further):
                await self._stay_isolated(unreached)

    async def _stay_isolated(self, unreached: Sequence[UpstreamRecord]) -> None:
        """Probe until upstreams accept connections again, if this instance is isolated."""
        own = self._check.record_unreached(record.id for record in unreached)
        if not self._check.is_isolated:
            return
        for failure in own:
            if failure.digest is not None:
                self._view.crashing_requests.clear(failure.digest)
        self._isolated_since_s = self._loop.time()
        self._log.event(
            "isolated", unreached=",".join(record.id for record in unreached), withheld=len(own)
        )
        # Open connections to upstreams are of no use, or will be reset when they are used.
        self._pool.retain_only(set())
        self._view.set_isolated(True)
        self.isolation.set_result(None)
        while self._check.is_isolated:
            await asyncio.sleep(_RECOVERY_INTERVAL_S * self._rng.uniform(0.75, 1.25))
            order = self._choose_probes()
            reached = len(order) - len(await self._unreached(order))
            if reached >= min(_RECOVERED_QUORUM, len(order)):
                self._check.record_recovery()
        self._end_isolation()

    def _end_isolation(self) -> None:
        self.isolation = self._loop.create_future()
        self._view.set_isolated(False)
        self._log.event("isolation_ended", isolated_s=self._loop.time() - self._isolated_since_s)

    def _choose_probes(self) -> Sequence[UpstreamRecord]:
        now_s = self._loop.time()
        upstreams, suspicion = self._view.upstreams, self._view.suspicion
        ready = [record for record in upstreams.records.values() if upstreams.is_ready(record.id)]
        avoided = {
            record.id
            for record in ready
            if suspicion.health(record.id, now_s) is not UpstreamHealth.GOOD
        }
        return choose_probes(ready, avoided, 1 + _FURTHER_PROBES, self._rng)

    async def _unreached(self, records: Sequence[UpstreamRecord]) -> list[UpstreamRecord]:
        """Connect to upstreams and return those to which it failed."""
        results = await asyncio.gather(*(self._connects(record) for record in records))
        return [record for record, is_open in zip(records, results, strict=True) if not is_open]

    async def _connects(self, record: UpstreamRecord) -> bool:
        try:
            await self._pool.connect_idle(record.id, record.address)
        except ConnectFailed:
            return False
        return True
