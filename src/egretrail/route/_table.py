"""The table that maps a request to its route.

Each prefix is one key of a hash table of its host, and a lookup tries a path's prefixes from the
longest to the shortest. Against a tree of segments this takes one entry for each route in place of
a node for each segment, and at most as many lookups as the host's longest prefix has segments,
however long the path of the request is.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from result import Err, Ok, Result

from egretrail.identity import RouteName, ServiceName, TeamName
from egretrail.route._path import UnsafePath, normalised_host, path_segments
from egretrail.settings import FleetSettings, RouteSettings


@dataclass(frozen=True, slots=True)
class RouteMatch:
    """The route that a request belongs to."""

    #: The route's qualified name, ``TEAM/NAME``.
    route: RouteName
    #: The route's settings.
    settings: RouteSettings
    #: The qualified name of the service that takes the request.
    service: ServiceName
    #: Whether the request is idempotent by its method.
    idempotent: bool


class _HostRoutes:
    """The routes of one host."""

    __slots__ = ("depths", "names")

    def __init__(self) -> None:
        #: Routes by normalised prefix, in order of name; more than one only after a race.
        self.names: dict[str, tuple[RouteName, ...]] = {}
        #: How many prefixes have each number of segments.
        self.depths: dict[int, int] = {}

    def add(self, key: str, name: RouteName) -> None:
        if key not in self.names:
            depth = key.count("/")
            self.depths[depth] = self.depths.get(depth, 0) + 1
        self.names[key] = tuple(sorted({*self.names.get(key, ()), name}))

    def discard(self, key: str, name: RouteName) -> None:
        left = tuple(held for held in self.names.get(key, ()) if held != name)
        if left:
            self.names[key] = left
        elif self.names.pop(key, None) is not None:
            depth = key.count("/")
            self.depths[depth] -= 1
            if not self.depths[depth]:
                del self.depths[depth]


class RouteTable:
    """Finds the route with the longest matching prefix; routes of the request's host come first.

    Among routes with the same host and prefix, which only two operators at the same moment can
    set, the one whose qualified name sorts first takes the requests, on every instance.
    """

    def __init__(self) -> None:
        self._hosts: dict[str, _HostRoutes] = {}
        self._routes: dict[RouteName, RouteSettings] = {}

    @staticmethod
    def of(settings: FleetSettings) -> "RouteTable":
        """Build the table of all routes of the settings."""
        table = RouteTable()
        for name, route in settings.routes.items():
            table.put(name, route)
        return table

    def __len__(self) -> int:
        return len(self._routes)

    def put(self, name: RouteName, route: RouteSettings) -> None:
        """Add a route or replace it; a prefix that no request can match is left out."""
        self.remove(name)
        key = _key(route.path_prefix)
        if key is None:
            return
        self._routes[name] = route
        self._hosts.setdefault(normalised_host(route.host), _HostRoutes()).add(key, name)

    def remove(self, name: RouteName) -> None:
        """Take a route out; one that is not there is no fault."""
        route = self._routes.pop(name, None)
        if route is None:
            return
        host = normalised_host(route.host)
        key = _key(route.path_prefix)
        if key is not None:
            self._hosts[host].discard(key, name)
            if not self._hosts[host].names:
                del self._hosts[host]

    def holders(self, host: str, prefix: str) -> Sequence[RouteName]:
        """Return the routes that have exactly a host and a prefix."""
        routes = self._hosts.get(normalised_host(host))
        key = _key(prefix)
        return routes.names.get(key, ()) if routes is not None and key is not None else ()

    def match(self, host: str, path: str, method: str) -> Result[RouteMatch | None, UnsafePath]:
        """Return the route of a request; None when no route takes it."""
        parsed = path_segments(path)
        if isinstance(parsed, Err):
            return parsed
        segments = parsed.ok_value
        # An empty Host means the routes of any host, which come second for every other Host.
        for key in dict.fromkeys((normalised_host(host), "")):
            routes = self._hosts.get(key)
            name = _longest(routes, segments) if routes is not None else None
            if name is not None:
                return Ok(self._matched(name, method))
        return Ok(None)

    def _matched(self, name: RouteName, method: str) -> RouteMatch:
        route = self._routes[name]
        team = TeamName(name.partition("/")[0])
        service = ServiceName(f"{team}/{route.service}")
        return RouteMatch(name, route, service, method in route.idempotent_methods)


def _longest(routes: _HostRoutes, segments: Sequence[str]) -> RouteName | None:
    for depth in sorted(routes.depths, reverse=True):
        if depth <= len(segments):
            names = routes.names.get(_joined(segments[:depth]))
            if names is not None:
                return names[0]
    return None


def _key(prefix: str) -> str | None:
    parsed = path_segments(prefix)
    return None if isinstance(parsed, Err) else _joined(parsed.ok_value)


def _joined(segments: Sequence[str]) -> str:
    return "".join(f"/{segment}" for segment in segments)
