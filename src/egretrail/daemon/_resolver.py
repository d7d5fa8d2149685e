"""The resolve endpoint: the addresses of a route's instances and their key prefixes."""

import asyncio

import falcon.asgi
from result import Ok

from egretrail.daemon._interfaces import Routing
from egretrail.fleet import FleetView, Member, MemberState
from egretrail.runtime import PROBLEM_CONTENT_TYPE, KeyedExecutor, Problem

_NO_ROUTE = Problem("no-route", 404, "No route matches the path")
_NO_PATH = Problem("bad-resolve", 400, "Ask with ?path=/the/path and, if you use one, &host=HOST")
_NOT_READY = Problem("not-ready", 503, "No instance is ready to serve yet", retry_after_s=1.0)


class Resolver:
    """The Falcon resource of the resolve endpoint."""

    def __init__(
        self, routing: Routing, view: FleetView, keyed: KeyedExecutor, ttl_s: float
    ) -> None:
        self._routing = routing
        self._view = view
        self._keyed = keyed
        self._ttl_s = ttl_s

    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Respond with the addresses of the instances that serve the path's service."""
        path = req.get_param("path")
        if not path:
            return _write_problem(resp, _NO_PATH)
        lookup = self._routing.match(req.get_param("host") or "", path, "GET")
        matched = lookup.ok_value if isinstance(lookup, Ok) else None
        if matched is None:
            return _write_problem(resp, _NO_ROUTE)
        members = [
            member
            for member in self._view.group(matched.service)
            if member.state is MemberState.ALIVE and member.ready
        ]
        addresses = await asyncio.gather(*(self._describe(member) for member in members))
        if not addresses:
            return _write_problem(resp, _NOT_READY)
        resp.media = {
            "service": matched.service,
            "route": matched.route,
            "ttl_s": self._ttl_s,
            "idempotent_methods": list(matched.settings.idempotent_methods),
            "addresses": addresses,
        }
        resp.set_header("Cache-Control", f"max-age={int(self._ttl_s)}")

    async def _describe(self, member: Member) -> dict[str, object]:
        prefix = await self._keyed.prefix_for(member.name)
        return {
            "instance": member.name,
            "host": member.caller_host,
            "port": member.caller_port,
            "availability_zone": member.availability_zone,
            "key_prefix": prefix,
        }


def _write_problem(resp: falcon.asgi.Response, problem: Problem) -> None:
    resp.status = problem.status
    resp.media = problem.document()
    resp.content_type = PROBLEM_CONTENT_TYPE
    for name, value in problem.headers().items():
        resp.set_header(name, value)
