"""The interface of overload control, and the policy where nothing calls for it."""

import abc
import enum
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from egretrail.overload._demand import DemandReport


class ServiceState(enum.Enum):
    """Whether a service takes what it is offered."""

    #: Requests find free slots, or wait for less than they may.
    NORMAL = "normal"
    #: Upstreams refuse many requests although they have free slots.
    SHEDDING = "shedding"
    #: All slots are taken, and the queue grows.
    FULL = "full"


@dataclass(frozen=True, slots=True)
class ServiceTerms:
    """What the configuration and the settings call for at one service."""

    #: Whether requests of different priority go to the service, so that urgency ranks them.
    ranks_urgency: bool
    #: Whether its capacity is shared fairly between client accounts.
    shares_accounts: bool
    #: The shortest latency objective of the service's requests, by priority.
    objectives_s: Mapping[int, float]
    #: The longest latency objective of the service's requests, by priority.
    longest_objectives_s: Mapping[int, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ServiceRoom:
    """The capacity of a service, as one instance sees it."""

    #: Slots of the upstreams that are in service.
    slots: int
    #: Requests that the fleet has in flight at these upstreams.
    in_flight: int
    #: Typical duration of a request at an upstream, without waiting for a slot.
    mean_s: float


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request on arrival, before its first attempt."""

    #: The service to which it is routed.
    service: str
    #: 0 is the most urgent.
    priority: int
    #: The name of its client account, or of its route where requests have no account.
    account: str
    #: Time until its latency objective passes.
    objective_s: float
    #: Time until its client stops waiting.
    remaining_s: float


@dataclass(frozen=True, slots=True)
class Rejection:
    """Why a request is refused on arrival, and when its client may return."""

    #: When room is expected for it.
    retry_after_s: float
    #: The state of the service.
    state: ServiceState
    #: The part of such requests that is admitted now.
    admitted_share: float
    #: Requests per second that the fleet is offered at all priorities of the service.
    offered_per_s: float
    #: Requests per second that the service can take.
    room_per_s: float
    #: Age of the oldest report behind the decision.
    age_s: float


@dataclass(frozen=True, slots=True)
class ServiceSnapshot:
    """The state of one service, for logs and metrics."""

    #: The state.
    state: ServiceState
    #: The capacity that the state is based on.
    room: ServiceRoom
    #: Fleet-wide counts by priority: offered, refused, shed.
    by_priority: Mapping[int, tuple[int, int, int]]
    #: The heaviest accounts by their requests per second, largest first.
    accounts: Sequence[tuple[str, int]]
    #: Age of the oldest report behind it.
    age_s: float


class OverloadPolicy(abc.ABC):
    """Decides which requests get the room of a service that has too little of it.

    All instances decide alike from what all report. The caller gives the capacity of a service with
    each question, since it depends on the health of upstreams.
    """

    @abc.abstractmethod
    def configure(self, terms: Mapping[str, ServiceTerms]) -> None:
        """Set the terms of all services for which overload control is called for.

        Counts of services that keep their terms stay; other services are forgotten.
        """

    @abc.abstractmethod
    def watches(self, service: str) -> bool:
        """Return whether the configuration calls for overload control of a service."""

    @abc.abstractmethod
    def admit(self, arrival: Arrival, room: ServiceRoom, now_s: float) -> Rejection | None:
        """Count a request that arrives; return why it is refused, or None."""

    @abc.abstractmethod
    def record_shed(self, service: str, priority: int, now_s: float) -> None:
        """Count an attempt that an upstream refused without running it."""

    @abc.abstractmethod
    def permits_retry(
        self, service: str, priority: int, retries_per_s: float, room: ServiceRoom, now_s: float
    ) -> bool:
        """Return whether a retry is urgent enough for what the budget allows per second.

        The retry budget is asked afterwards.
        """

    @abc.abstractmethod
    def permits_hedge(self, service: str, room: ServiceRoom, now_s: float) -> bool:
        """Return whether a request may be hedged."""

    @abc.abstractmethod
    def retry_after_s(
        self, arrival: Arrival, room: ServiceRoom, typical_s: float, now_s: float
    ) -> float:
        """Return when a refused client may return; ``typical_s`` is the ordinary wait."""

    def urgent_slot_share(
        self, service: str, priority: int, room: ServiceRoom, now_s: float
    ) -> float:
        """Return the share of a service's slots that requests of more urgent priorities need.

        It is 1 where the demand is unknown.
        """
        return 1.0

    @abc.abstractmethod
    def own_report(self, now_s: float) -> DemandReport:
        """Return this instance's report, for its zone's hub."""

    @abc.abstractmethod
    def apply_zone_report(self, zone: str, report: DemandReport, now_s: float) -> None:
        """Replace the report of a zone, as its hub summed it."""

    @abc.abstractmethod
    def set_fleet(self, known_share: float, own_share: float, own_zone: str) -> None:
        """Set which part of the fleet reports here, and which part of it this instance is."""

    @abc.abstractmethod
    def snapshot(self, service: str, room: ServiceRoom, now_s: float) -> ServiceSnapshot | None:
        """Return the state of a service that is watched, else None."""


class NoOverloadPolicy(OverloadPolicy):
    """Admits everything and reports nothing."""

    def configure(self, terms: Mapping[str, ServiceTerms]) -> None:
        """Ignore the terms."""

    def watches(self, service: str) -> bool:
        """Return False."""
        return False

    def admit(self, arrival: Arrival, room: ServiceRoom, now_s: float) -> Rejection | None:
        """Return None."""
        return None

    def record_shed(self, service: str, priority: int, now_s: float) -> None:
        """Count nothing."""

    def permits_retry(
        self, service: str, priority: int, retries_per_s: float, room: ServiceRoom, now_s: float
    ) -> bool:
        """Return True: only the retry budget decides."""
        return True

    def permits_hedge(self, service: str, room: ServiceRoom, now_s: float) -> bool:
        """Return True."""
        return True

    def retry_after_s(
        self, arrival: Arrival, room: ServiceRoom, typical_s: float, now_s: float
    ) -> float:
        """Return the ordinary wait."""
        return typical_s

    def own_report(self, now_s: float) -> DemandReport:
        """Return an empty report."""
        return DemandReport()

    def apply_zone_report(self, zone: str, report: DemandReport, now_s: float) -> None:
        """Ignore the report."""

    def set_fleet(self, known_share: float, own_share: float, own_zone: str) -> None:
        """Ignore it."""

    def snapshot(self, service: str, room: ServiceRoom, now_s: float) -> ServiceSnapshot | None:
        """Return None."""
        return None
