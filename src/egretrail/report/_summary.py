"""Puts the instances' counts together into one report on the fleet."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from egretrail.identity import InstanceName, RouteName, ServiceName
from egretrail.report._burn import WINDOWS_S, BurnRate, Objective, RouteBurn, burn_rate
from egretrail.report._messages import EjectionReport, InstanceReport


@dataclass(frozen=True, slots=True)
class ServiceSummary:
    """One service over the whole fleet."""

    #: The qualified service.
    service: ServiceName
    #: What it promises.
    objective: Objective
    #: Its burn over each of ``WINDOWS_S``, all routes together.
    windows: tuple[BurnRate, ...]
    #: Its routes.
    routes: tuple[RouteBurn, ...]
    #: Its newest ejections with the instance that made each, newest first.
    ejections: tuple[tuple[InstanceName, EjectionReport], ...]


@dataclass(frozen=True, slots=True)
class FleetReport:
    """What the instances that answered have counted."""

    #: Every service with traffic or ejections.
    services: tuple[ServiceSummary, ...]
    #: Settings revision by instance that answered.
    settings_revisions: Mapping[InstanceName, int]
    #: Instances that were asked and did not answer: their counts are missing above.
    silent: tuple[InstanceName, ...]


def summarise(
    reports: Sequence[InstanceReport],
    silent: Sequence[InstanceName],
    objectives: Mapping[ServiceName, Objective],
) -> FleetReport:
    """Return the report on the fleet. A service without settings has the default objective."""
    counts = _add_up(reports)
    ejections: dict[ServiceName, list[tuple[InstanceName, EjectionReport]]] = {}
    for report in reports:
        for ejection in report.ejections:
            ejections.setdefault(ejection.service, []).append((report.instance, ejection))
    names = sorted({service for service, _, _ in counts} | set(ejections))
    return FleetReport(
        services=tuple(
            _service(name, counts, ejections.get(name, []), objectives.get(name, _DEFAULT))
            for name in names
        ),
        settings_revisions={report.instance: report.settings_revision for report in reports},
        silent=tuple(sorted(silent)),
    )


_DEFAULT = Objective(0.999, 1.0)
_Counts = dict[tuple[ServiceName, RouteName, float], dict[str, int]]


def _add_up(reports: Sequence[InstanceReport]) -> _Counts:
    totals: _Counts = {}
    for report in reports:
        for route in report.routes:
            held = totals.setdefault((route.service, route.route, route.window_s), {})
            for kind, count in route.counts:
                held[kind] = held.get(kind, 0) + count
    return totals


def _service(
    name: ServiceName,
    counts: _Counts,
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
    whole = []
    for window_s in WINDOWS_S:
        total: dict[str, int] = {}
        for route in routes:
            for kind, count in counts.get((name, route, window_s), {}).items():
                total[kind] = total.get(kind, 0) + count
        whole.append(burn_rate(total, objective, window_s))
    newest = sorted(ejections, key=lambda pair: pair[1].ago_s)
    return ServiceSummary(name, objective, tuple(whole), burns, tuple(newest))
