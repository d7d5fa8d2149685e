"""Aggregates the reports of the instances into one report on the fleet."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from egretrail.identity import InstanceName, RouteName, ServiceName
from egretrail.report._burn import WINDOWS_S, BurnRate, Objective, RouteBurn, burn_rate
from egretrail.report._messages import EjectionReport, InstanceReport


@dataclass(frozen=True, slots=True)
class ServiceSummary:
    """Burn rates and ejections of one service in the whole fleet."""

    #: The qualified service.
    service: ServiceName
    #: Its service-level objective.
    objective: Objective
    #: Its burn rate over each of ``WINDOWS_S``, for all routes together.
    windows: tuple[BurnRate, ...]
    #: The burn rates of its routes.
    routes: tuple[RouteBurn, ...]
    #: Its recent ejections, each with the instance that decided it, newest first.
    ejections: tuple[tuple[InstanceName, EjectionReport], ...]


@dataclass(frozen=True, slots=True)
class FleetReport:
    """Aggregated counts of the instances that replied."""

    #: Every service with traffic or ejections.
    services: tuple[ServiceSummary, ...]
    #: Settings revision of each instance that replied.
    settings_revisions: Mapping[InstanceName, int]
    #: Instances that did not reply; their counts are not included.
    silent: tuple[InstanceName, ...]


def summarise(
    reports: Sequence[InstanceReport],
    silent: Sequence[InstanceName],
    objectives: Mapping[ServiceName, Objective],
) -> FleetReport:
    """Return the fleet report. A service without settings has the default objective."""
    counts = _aggregate_counts(reports)
    ejections: dict[ServiceName, list[tuple[InstanceName, EjectionReport]]] = {}
    for report in reports:
        for ejection in report.ejections:
            ejections.setdefault(ejection.service, []).append((report.instance, ejection))
    names = sorted({service for service, _, _ in counts} | set(ejections))
    return FleetReport(
        services=tuple(
            _summarise_service(
                name, counts, ejections.get(name, []), objectives.get(name, _DEFAULT_OBJECTIVE)
            )
            for name in names
        ),
        settings_revisions={report.instance: report.settings_revision for report in reports},
        silent=tuple(sorted(silent)),
    )


_DEFAULT_OBJECTIVE = Objective(0.999, 1.0)
_CountsByWindow = dict[tuple[ServiceName, RouteName, float], dict[str, int]]


def _aggregate_counts(reports: Sequence[InstanceReport]) -> _CountsByWindow:
    totals: _CountsByWindow = {}
    for report in reports:
        for route in report.routes:
            total = totals.setdefault((route.service, route.route, route.window_s), {})
            for kind, count in route.counts:
                total[kind] = total.get(kind, 0) + count
    return totals


def _summarise_service(
    name: ServiceName,
    counts: _CountsByWindow,
    ejections: Sequence[tuple[InstanceName, EjectionReport]],
    objective: Objective,
) -> ServiceSummary:
    routes = sorted({route for service, route, _ in counts if service == name})
    burns = tuple(
        RouteBurn(
            name,
            route,
            tuple(
                burn_rate(counts.get((name, route, window_s), {}), objective, window_s)
                for window_s in WINDOWS_S
            ),
        )
        for route in routes
    )
    windows = []
    for window_s in WINDOWS_S:
        total: dict[str, int] = {}
        for route in routes:
            for kind, count in counts.get((name, route, window_s), {}).items():
                total[kind] = total.get(kind, 0) + count
        windows.append(burn_rate(total, objective, window_s))
    newest = sorted(ejections, key=lambda pair: pair[1].ago_s)
    return ServiceSummary(name, objective, tuple(windows), burns, tuple(newest))
