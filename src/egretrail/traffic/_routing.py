"""Finds the route of a request, and the service that gets it."""

import random

from egretrail.traffic._config import FleetConfig, Route


class RouteTable:
    """Looks up routes by host and by the longest prefix of the path."""

    def __init__(self, config: FleetConfig) -> None:
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in config.routes:
            self._hosts.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None if no prefix matches.

        A lookup tries the prefixes of the path from the longest to the shortest, so its cost
        depends on the depth of the path and not on the number of routes.
        """
        prefixes = self._hosts.get(_bare_host(host))
        if prefixes is None:
            return None
        end = path.rfind("/") + 1
        while end > 0:
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None


def choose_service(route: Route, rng: random.Random) -> str:
    """Draw the service of one request, in proportion to the route's weights.

    Independent draws keep the proportions right over the fleet, though each instance sees few
    requests of a route. A rotation on each instance would start with the same service everywhere. A
    service without free capacity refuses its requests. Moving them to another service would change
    the proportions, which the operators set.
    """
    parts = route.parts
    if len(parts) == 1:
        return parts[0].service
    return rng.choices([part.service for part in parts], [part.weight for part in parts])[0]


def _bare_host(host: str) -> str:
    return host.partition(":")[0].rstrip(".").lower()
