"""The table that maps a request to its route.

Each host has a hash table with its path prefixes as keys, and a lookup tries the prefixes of the
path from the longest to the shortest. In contrast to a tree of segments, this needs one entry for
each route instead of a node for each segment. The number of lookups is bounded by the depths of the
host's prefixes, however long the path of the request is.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from result import Err, Ok, Result

from egretrail.identity import RouteName, ServiceName, TeamName
from egretrail.route._path import UnsafePath, normalised_host, path_segments
from egretrail.settings import FleetSettings, RouteSettings


@dataclass(frozen=True, slots=True)
class RouteMatch:
    """The result of matching a request: its route and service."""

    #: The route's qualified name, ``TEAM/NAME``.
    route: RouteName
    #: The route's settings.
    settings: RouteSettings
    #: The qualified name of the service that receives the request.
    service: ServiceName
    #: Whether the method of the request is idempotent on this route.
    idempotent: bool


class _HostRoutes:
    """The routes of one host."""

    __slots__ = ("prefix_counts", "routes_by_prefix")

    def __init__(self) -> None:
        #: Routes by normalised prefix, ordered by name; several only after concurrent changes.
        self.routes_by_prefix: dict[str, tuple[RouteName, ...]] = {}
        #: Number of prefixes, by their number of segments.
        self.prefix_counts: dict[int, int] = {}

    def add(self, key: str, name: RouteName) -> None:
        if key not in self.routes_by_prefix:
            depth = key.count("/")
            self.prefix_counts[depth] = self.prefix_counts.get(depth, 0) + 1
        self.routes_by_prefix[key] = tuple(sorted({*self.routes_by_prefix.get(key, ()), name}))

    def discard(self, key: str, name: RouteName) -> None:
        left = tuple(held for held in self.routes_by_prefix.get(key, ()) if held != name)
        if left:
            self.routes_by_prefix[key] = left
        elif self.routes_by_prefix.pop(key, None) is not None:
            depth = key.count("/")
            self.prefix_counts[depth] -= 1
            if not self.prefix_counts[depth]:
                del self.prefix_counts[depth]


class RouteTable:
    """Finds the route with the longest matching prefix, preferring routes of the request's host.

    Routes with the same host and prefix result only from concurrent changes by two operators. The
    one whose qualified name sorts first then serves the requests, on every instance.
    """

    def __init__(self) -> None:
        self._hosts: dict[str, _HostRoutes] = {}
        self._routes: dict[RouteName, RouteSettings] = {}

    @staticmethod
    def from_settings(settings: FleetSettings) -> "RouteTable":
        """Build the table from all routes of the settings."""
        table = RouteTable()
        for name, route in settings.routes.items():
            table.put(name, route)
        return table

    def __len__(self) -> int:
        return len(self._routes)

    def put(self, name: RouteName, route: RouteSettings) -> None:
        """Add or replace a route; a route with an unsafe prefix is left out."""
        self.remove(name)
        key = _prefix_key(route.path_prefix)
        if key is None:
            return
        self._routes[name] = route
        self._hosts.setdefault(normalised_host(route.host), _HostRoutes()).add(key, name)

    def remove(self, name: RouteName) -> None:
        """Remove a route; does nothing if the table does not contain it."""
        route = self._routes.pop(name, None)
        if route is None:
            return
        host = normalised_host(route.host)
        key = _prefix_key(route.path_prefix)
        if key is not None:
            self._hosts[host].discard(key, name)
            if not self._hosts[host].routes_by_prefix:
                del self._hosts[host]

    def routes_with_prefix(self, host: str, prefix: str) -> Sequence[RouteName]:
        """Return the routes with exactly this host and prefix."""
        routes = self._hosts.get(normalised_host(host))
        key = _prefix_key(prefix)
        return (
            routes.routes_by_prefix.get(key, ()) if routes is not None and key is not None else ()
        )

    def match(self, host: str, path: str, method: str) -> Result[RouteMatch | None, UnsafePath]:
        """Return the route of a request, None if no route matches."""
        parsed = path_segments(path)
        if isinstance(parsed, Err):
            return parsed
        segments = parsed.ok_value
        # The empty key holds the routes for any host, which are tried last.
        for key in dict.fromkeys((normalised_host(host), "")):
            routes = self._hosts.get(key)
            name = _longest_match(routes, segments) if routes is not None else None
            if name is not None:
                return Ok(self._matched(name, method))
        return Ok(None)

    def _matched(self, name: RouteName, method: str) -> RouteMatch:
        route = self._routes[name]
        team = TeamName(name.partition("/")[0])
        service = ServiceName(f"{team}/{route.service}")
        return RouteMatch(name, route, service, method in route.idempotent_methods)


def _longest_match(routes: _HostRoutes, segments: Sequence[str]) -> RouteName | None:
    for depth in sorted(routes.prefix_counts, reverse=True):
        if depth <= len(segments):
            names = routes.routes_by_prefix.get(_joined(segments[:depth]))
            if names is not None:
                return names[0]
    return None


def _prefix_key(prefix: str) -> str | None:
    parsed = path_segments(prefix)
    return None if isinstance(parsed, Err) else _joined(parsed.ok_value)


def _joined(segments: Sequence[str]) -> str:
    return "".join(f"/{segment}" for segment in segments)
