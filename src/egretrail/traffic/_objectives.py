"""Priorities and latency objectives of requests that share services."""

from collections.abc import Mapping

from egretrail.traffic._accounts import ClientAccount
from egretrail.traffic._config import FleetConfig, Route


def request_priority(route: Route, account: ClientAccount | None) -> int:
    """Return a request's priority: its account's, or else its route's. 0 is the most urgent."""
    if account is None or account.priority is None:
        return route.priority
    return account.priority


class ObjectiveTable:
    """The objectives of a configuration's requests, by service and priority."""

    def __init__(self, config: FleetConfig) -> None:
        self._objectives_s: dict[str, dict[int, float]] = {}
        self._longest_s: dict[str, dict[int, float]] = {}
        # Once for all routes: their number times that of the accounts may be millions.
        of_accounts = {account.priority for account in config.accounts or ()}
        for route in config.routes:
            priorities = {route.priority}
            if config.accounts is not None and not route.is_public:
                priorities = {route.priority if one is None else one for one in of_accounts}
            for part in route.parts:
                shortest_s = self._objectives_s.setdefault(part.service, {})
                longest_s = self._longest_s.setdefault(part.service, {})
                for priority in priorities:
                    known_s = shortest_s.get(priority, route.objective_s)
                    shortest_s[priority] = min(known_s, route.objective_s)
                    longest_s[priority] = max(longest_s.get(priority, 0.0), route.objective_s)

    def by_service(self) -> Mapping[str, Mapping[int, float]]:
        """Return the shortest objectives by priority, of each service that has requests."""
        return self._objectives_s

    def longest_by_service(self) -> Mapping[str, Mapping[int, float]]:
        """Return the longest objectives by priority, of each service that has requests."""
        return self._longest_s

    def shortest_objective_s(self, service: str, priority: int) -> float | None:
        """Return the shortest objective of a service's more urgent requests; None without any."""
        shortest_s = self._objectives_s.get(service, {})
        return min(
            (
                objective_s
                for other_priority, objective_s in shortest_s.items()
                if other_priority < priority
            ),
            default=None,
        )
