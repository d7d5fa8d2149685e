"""How instances tell each other what they counted."""

from dataclasses import dataclass

from egretrail.identity import InstanceName, RouteName, ServiceName, UpstreamName
from egretrail.wire import Message, message


@dataclass(frozen=True, slots=True)
class RouteCounts:
    """One route's requests within one window."""

    #: The qualified service.
    service: ServiceName
    #: The qualified route.
    route: RouteName
    #: The window, back from now.
    window_s: float
    #: Requests by kind of answer.
    counts: tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class EjectionReport:
    """One ejection of one upstream by one instance."""

    #: The qualified service.
    service: ServiceName
    #: The upstream.
    upstream: UpstreamName
    #: Why it was ejected.
    cause: str
    #: How long ago it began.
    ago_s: float
    #: How long it lasted, or has lasted.
    duration_s: float
    #: How long the upstream had failed before it was ejected.
    detected_after_s: float
    #: Whether the upstream gets work again.
    over: bool


@message("report-ask")
@dataclass(frozen=True, slots=True)
class ReportAsk(Message):
    """Asks an instance for what it counted."""


@message("report")
@dataclass(frozen=True, slots=True)
class InstanceReport(Message):
    """What one instance counted."""

    #: The instance.
    instance: InstanceName
    #: Highest store revision whose settings are in force there.
    settings_revision: int
    #: Counts by route and window.
    routes: tuple[RouteCounts, ...]
    #: The newest ejections, running ones last.
    ejections: tuple[EjectionReport, ...]
