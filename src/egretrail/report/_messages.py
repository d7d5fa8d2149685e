"""Messages with which instances exchange their request and ejection counts."""

from dataclasses import dataclass

from egretrail.identity import InstanceName, RouteName, ServiceName, UpstreamName
from egretrail.wire import Message, message


@dataclass(frozen=True, slots=True)
class RouteCounts:
    """Request counts of one route within one window."""

    #: The qualified service.
    service: ServiceName
    #: The qualified route.
    route: RouteName
    #: Length of the window, which ends now.
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
    #: How long ago the ejection began.
    ago_s: float
    #: Duration of the ejection, up to now if it is not over.
    duration_s: float
    #: How long the upstream had been failing before it was ejected.
    detected_after_s: float
    #: Whether the upstream gets requests again.
    over: bool


@message("report-ask")
@dataclass(frozen=True, slots=True)
class FetchReport(Message):
    """Asks an instance for its report."""


@message("report")
@dataclass(frozen=True, slots=True)
class InstanceReport(Message):
    """The counts and ejections of one instance."""

    #: The instance.
    instance: InstanceName
    #: Highest store revision whose settings are in force on the instance.
    settings_revision: int
    #: Counts by route and window.
    routes: tuple[RouteCounts, ...]
    #: The most recent ejections, those that are not over last.
    ejections: tuple[EjectionReport, ...]
