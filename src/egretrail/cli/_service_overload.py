"""Lists services that are not in their normal state, from gateways' metrics."""

from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

from egretrail.cli._gateway_metrics import MetricsReading

_NORMAL = "normal"
#: The kinds of demand in the metrics, in the order of the columns.
_DEMAND_KINDS = ("offered", "refused", "shed")
#: Gateways export as many accounts of a service.
_ACCOUNTS_MAX = 10


@dataclass(frozen=True, slots=True)
class ServiceOverload:
    """A service that some gateways take to be shedding or full.

    Each gateway exports figures of the whole fleet, which differ by the age of its reports. The
    highest figure of any gateway is taken, since a sum would count the fleet several times.
    """

    #: The service.
    service: str
    #: Number of gateways by the state that they take the service to be in.
    states: Mapping[str, int]
    #: Requests of the last second by priority, each by kind: ``offered``, ``refused``, ``shed``.
    demand: Mapping[str, Mapping[str, float]]
    #: Requests that the heaviest accounts sent in the last second, largest first.
    accounts: Sequence[tuple[str, float]]


def find_overloads(readings: Sequence[MetricsReading]) -> list[ServiceOverload]:
    """Return the services that at least one gateway does not take to be normal, by name."""
    states: dict[str, Counter[str]] = {}
    for reading in readings:
        for service, state in reading.service_states.items():
            states.setdefault(service, Counter())[state] += 1
    return [
        ServiceOverload(
            service, dict(counts), _demand(service, readings), _accounts(service, readings)
        )
        for service, counts in sorted(states.items())
        if set(counts) != {_NORMAL}
    ]


def overload_document(overload: ServiceOverload) -> dict[str, object]:
    """Return a service as a part of a JSON document."""
    return {
        "service": overload.service,
        "states": dict(overload.states),
        "demand": {priority: dict(kinds) for priority, kinds in overload.demand.items()},
        "accounts": [{"account": name, "offered": count} for name, count in overload.accounts],
    }


def overloads_text(overloads: Sequence[ServiceOverload]) -> Iterator[str]:
    """Yield lines for an engineer; none if all services are normal."""
    for one in overloads:
        states = ", ".join(f"{state} on {count}" for state, count in sorted(one.states.items()))
        yield f"service {one.service}: {states}"
        for priority, kinds in one.demand.items():
            cells = ", ".join(f"{kind} {kinds.get(kind, 0):g}" for kind in _DEMAND_KINDS)
            yield f"  priority {priority} in the last second: {cells}"
        for account, count in one.accounts:
            yield f"  account {account}: offered {count:g}"


def _demand(service: str, readings: Sequence[MetricsReading]) -> dict[str, dict[str, float]]:
    found: dict[str, dict[str, float]] = {}
    for reading in readings:
        for (kind, of_service, priority), count in reading.demand.items():
            if of_service == service:
                kinds = found.setdefault(priority, {})
                kinds[kind] = max(kinds.get(kind, 0.0), count)
    return {priority: found[priority] for priority in sorted(found, key=_priority_order)}


def _accounts(service: str, readings: Sequence[MetricsReading]) -> list[tuple[str, float]]:
    found: dict[str, float] = {}
    for reading in readings:
        for (of_service, account), count in reading.account_demand.items():
            if of_service == service:
                found[account] = max(found.get(account, 0.0), count)
    return sorted(found.items(), key=lambda row: (-row[1], row[0]))[:_ACCOUNTS_MAX]


def _priority_order(priority: str) -> tuple[int, str]:
    return (int(priority) if priority.isdecimal() else 1_000_000, priority)
