"""HTTP resources for operators: health, metrics, and the instance's state and decisions."""

import asyncio
from collections.abc import Callable

import falcon.asgi
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from result import Err

from egretrail.daemon._interfaces import Routing
from egretrail.daemon._metrics import Metrics
from egretrail.daemon._service_state import ServiceStates
from egretrail.fleet import FleetView
from egretrail.runtime import SettingsStatus, UpstreamListDriver
from egretrail.settings import FleetSettings


class LiveResource:
    """Liveness: the process runs and its event loop makes progress."""

    async def on_get(self, _req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Respond with 200."""
        resp.media = {"live": True}


class ReadyResource:
    """Readiness: the instance holds current settings and may be listed in resolve responses."""

    def __init__(self, view: FleetView, routing: Routing) -> None:
        self._view = view
        self._routing = routing

    async def on_get(self, _req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Respond with 200 when ready, with 503 while starting, catching up or stopping."""
        own = self._view.own
        caught_up = self._routing.caught_up
        ready = own.ready and caught_up
        resp.media = {"ready": ready, "caught_up": caught_up, "state": own.state.value}
        resp.status = 200 if ready else 503


class MetricsResource:
    """The metrics in the Prometheus text format."""

    def __init__(self, metrics: Metrics, gauges: "GaugeUpdater") -> None:
        self._metrics = metrics
        self._gauges = gauges

    async def on_get(self, _req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Respond with every metric."""
        self._gauges.update()
        resp.data = generate_latest(self._metrics.registry)
        resp.content_type = CONTENT_TYPE_LATEST


class GaugeUpdater:
    """Sets the gauges that show the instance's state, each time the metrics are read."""

    def __init__(
        self,
        metrics: Metrics,
        view: FleetView,
        services: ServiceStates,
        status: Callable[[], SettingsStatus],
        in_flight: Callable[[], int],
    ) -> None:
        self._metrics = metrics
        self._view = view
        self._services = services
        self._status = status
        self._in_flight = in_flight

    def update(self) -> None:
        """Set every gauge from the current state."""
        metrics = self._metrics
        status = self._status()
        metrics.ready.set(1 if self._view.own.ready and status.caught_up else 0)
        metrics.settings_revision.set(status.complete_revision)
        metrics.settings_behind.set(1 if status.behind is not None else 0)
        metrics.settings_unreadable.set(len(status.issues))
        metrics.settings_conflicts.set(len(status.conflicts))
        metrics.in_flight.set(self._in_flight())
        metrics.members.clear()
        for member in self._view.members():
            metrics.members.labels(member.state.value).inc()
        metrics.upstreams.clear()
        for name, state in self._services.states.items():
            metrics.queued.labels(name).set(state.scheduler.waiting)
            for _, verdict in state.verdicts():
                metrics.upstreams.labels(name, verdict.state.value).inc()


class InstancesResource:
    """The members of the fleet known to this instance."""

    def __init__(self, view: FleetView) -> None:
        self._view = view

    async def on_get(self, _req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Respond with every known member."""
        resp.media = {
            "instances": [
                {
                    "name": member.name,
                    "incarnation": f"{member.incarnation.number:x}",
                    "availability_zone": member.availability_zone,
                    "state": member.state.value,
                    "ready": member.ready,
                    "own": member.name == self._view.own.name,
                }
                for member in self._view.members()
            ]
        }


class UpstreamsResource:
    """The upstreams of the services that this instance serves."""

    def __init__(self, services: ServiceStates) -> None:
        self._services = services

    async def on_get(self, _req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Respond with each upstream's state, weight and cause."""
        now_s = asyncio.get_running_loop().time()
        resp.media = {
            "upstreams": [
                {
                    "service": name,
                    "upstream": upstream,
                    "state": verdict.state.value,
                    "weight": round(verdict.weight, 3),
                    "cause": verdict.cause.value,
                    "for_s": round(now_s - verdict.since_s, 1),
                    "in_flight": state.scheduler.in_flight().get(upstream, 0),
                }
                for name, state in sorted(self._services.states.items())
                for upstream, verdict in state.verdicts()
            ]
        }


class RoutesResource:
    """The routes in force on this instance."""

    def __init__(self, settings: Callable[[], FleetSettings]) -> None:
        self._settings = settings

    async def on_get(self, _req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Respond with every route, by name."""
        routes = self._settings().routes
        resp.media = {
            "routes": [
                {
                    "route": name,
                    "host": route.host,
                    "path_prefix": route.path_prefix,
                    "service": f"{name.partition('/')[0]}/{route.service}",
                    "idempotent_methods": list(route.idempotent_methods),
                }
                for name, route in sorted(routes.items())
            ]
        }


class ExplainResource:
    """Explains how a request would be routed, or why it would be refused."""

    def __init__(
        self,
        routing: Routing,
        view: FleetView,
        services: ServiceStates,
        source: UpstreamListDriver,
    ) -> None:
        self._routing = routing
        self._view = view
        self._services = services
        self._source = source

    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Respond with the decision for the method, host and path of the query."""
        method = req.get_param("method") or "GET"
        path = req.get_param("path") or "/"
        match = self._routing.match(req.get_param("host") or "", path, method)
        if isinstance(match, Err):
            resp.media = {
                "result": "refused",
                "cause": "unsafe-path",
                "detail": str(match.err_value),
            }
            return
        route_match = match.ok_value
        if route_match is None:
            resp.media = {"result": "refused", "cause": "no-route"}
            return
        group = self._view.group(route_match.service)
        state = self._services.get(route_match.service)
        resp.media = {
            "result": "routed" if state is not None else "refused",
            "route": route_match.route,
            "service": route_match.service,
            "idempotent": route_match.idempotent,
            "needs_key": not route_match.idempotent,
            "group": [member.name for member in group],
            "served_here": any(member.name == self._view.own.name for member in group),
            "upstreams_listed": [row.name for row in self._source.upstreams(route_match.service)],
            "upstreams_judged": [
                {"upstream": name, "state": verdict.state.value, "cause": verdict.cause.value}
                for name, verdict in (state.verdicts() if state is not None else ())
            ],
            "waiting": state.scheduler.waiting if state is not None else 0,
        }
