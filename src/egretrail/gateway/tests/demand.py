"""A fleet whose instances count requests for services that are watched for overload."""

import asyncio
import json
import random
from collections import Counter, deque
from collections.abc import Callable, Mapping, Sequence

from result import Ok

from egretrail.cluster import ChunkedConfig, run_to_completion, split_config
from egretrail.dispatch import account_key
from egretrail.gateway.tests.fleet import Fleet
from egretrail.overload import (
    DEMAND_WINDOW_S,
    AccountDemandKey,
    Arrival,
    DemandKey,
    DemandReport,
    DemandRow,
    NoOverloadPolicy,
    Rejection,
    ServiceRoom,
    ServiceSnapshot,
    ServiceState,
    ServiceTerms,
    service_key,
)
from egretrail.platform import PlatformLayout
from scaffolding.platform.fleet import config, route

#: For how long zones' reports count.
_OWN_ZONE_VALID_S, _ZONE_VALID_S = 1.0, 2.2
#: Requests arrive at multiples of this time.
_STEP_S = 0.01


def ranked_config(
    services: Mapping[str, Sequence[int]], accounts: Sequence[dict[str, object]] | None = None
) -> ChunkedConfig:
    """Return a configuration with a route for each service and priority."""
    routes = [
        route(f"{name}-{priority}", f"/{name}/{priority}/", name, priority=priority)
        for name, priorities in services.items()
        for priority in priorities
    ]
    decoded = PlatformLayout().decode_config(json.dumps(config(1, routes, accounts)).encode())
    assert isinstance(decoded, Ok)
    return run_to_completion(split_config(decoded.ok_value))


class SummingPolicy(NoOverloadPolicy):
    """Sums what zones report; refuses what a function says, and nothing else."""

    def __init__(self, terms: Mapping[str, ServiceTerms]) -> None:
        self._terms = terms
        self.refuses: Callable[[Arrival], bool] = lambda arrival: False
        #: Whether retries and hedges are permitted.
        self.permits = True
        #: What ``retry_after_s`` returns; None for the ordinary wait.
        self.return_s: float | None = None
        #: The services and priorities of attempts that upstreams refused, and of wanted retries.
        self.shed: list[tuple[str, int]] = []
        self.wanted: list[tuple[str, int]] = []
        self.state = ServiceState.NORMAL
        self.fleet: tuple[float, float, str] = (1.0, 1.0, "")
        self._arrivals: deque[tuple[float, Arrival, bool]] = deque()
        self._zones: dict[str, tuple[DemandReport, float]] = {}

    def watches(self, service: str) -> bool:
        """Return whether the service has terms."""
        return service in self._terms

    def admit(self, arrival: Arrival, room: ServiceRoom, now_s: float) -> Rejection | None:
        """Count a request; refuse it if the test says so."""
        refused = self.refuses(arrival)
        self._arrivals.append((now_s, arrival, refused))
        if not refused:
            return None
        return Rejection(0.07, ServiceState.FULL, 0.25, 90.0, 40.0, 0.1)

    def record_shed(self, service: str, priority: int, now_s: float) -> None:
        """Note an attempt."""
        self.shed.append((service, priority))

    def permits_retry(
        self, service: str, priority: int, retries_per_s: float, room: ServiceRoom, now_s: float
    ) -> bool:
        """Note a wanted retry."""
        self.wanted.append((service, priority))
        return self.permits

    def permits_hedge(self, service: str, room: ServiceRoom, now_s: float) -> bool:
        """Return what the test set."""
        return self.permits

    def retry_after_s(
        self, arrival: Arrival, room: ServiceRoom, typical_s: float, now_s: float
    ) -> float:
        """Return what the test set."""
        return typical_s if self.return_s is None else self.return_s

    def own_report(self, now_s: float) -> DemandReport:
        """Return the counts of the last window."""
        while self._arrivals and self._arrivals[0][0] <= now_s - DEMAND_WINDOW_S:
            self._arrivals.popleft()
        rows: dict[DemandKey, DemandRow] = {}
        accounts: Counter[AccountDemandKey] = Counter()
        for _, arrival, refused in self._arrivals:
            key = DemandKey(service_key(arrival.service), arrival.priority)
            rows[key] = rows.get(key, DemandRow()).plus(DemandRow(1, int(refused)))
            if self._terms[arrival.service].shares_accounts:
                accounts[AccountDemandKey(key.service, account_key(arrival.account))] += 1
        return DemandReport(rows, accounts)

    def apply_zone_report(self, zone: str, report: DemandReport, now_s: float) -> None:
        """Replace a zone's report."""
        self._zones[zone] = report, now_s

    def set_fleet(self, known_share: float, own_share: float, own_zone: str) -> None:
        """Note the shares."""
        self.fleet = known_share, own_share, own_zone

    def snapshot(self, service: str, room: ServiceRoom, now_s: float) -> ServiceSnapshot | None:
        """Return the state that the test set, with the sums of the zones."""
        rows: dict[int, tuple[int, int, int]] = {}
        accounts: Counter[str] = Counter()
        for zone, (report, at_s) in self._zones.items():
            valid_s = _OWN_ZONE_VALID_S if zone == self.fleet[2] else _ZONE_VALID_S
            if now_s - at_s > valid_s:
                continue
            for key, row in report.rows.items():
                if key.service == service_key(service):
                    a, b, c = rows.get(key.priority, (0, 0, 0))
                    rows[key.priority] = a + row.offered, b + row.refused, c + row.shed
            for of, offered in report.accounts.items():
                if of.service == service_key(service):
                    accounts[f"{of.account:08x}"] += offered
        return ServiceSnapshot(self.state, room, rows, accounts.most_common(), 0.1)


class DemandFleet(Fleet):
    """A fleet with load; an instance sends some requests a second while it is in the fleet."""

    def __init__(self, sizes: Sequence[int], chunked: ChunkedConfig) -> None:
        super().__init__(sizes)
        self._chunked = chunked
        #: Whether reports are sent; without them, all else is the same.
        self.reports = True
        #: Requests per second of each instance.
        self.rate_per_s = 0.0
        #: Requests of the fleet, as their times and instances.
        self.sent: deque[tuple[float, str]] = deque()
        self._rng = random.Random(3)

    def start(self, address: str, contacts: Sequence[str]) -> asyncio.Task[None]:
        """Start an instance with the configuration and the summing policy."""
        task = super().start(address, contacts)
        view = self.views[address]
        view.overload.make_policy = lambda terms, rng: self._policy(terms)
        view.apply_config(self._chunked, "test")
        return task

    def policy(self, address: str) -> SummingPolicy:
        """Return the policy of an instance."""
        policy = self.views[address].overload.policy
        assert isinstance(policy, SummingPolicy)
        return policy

    def known(self, address: str, service: str) -> float:
        """Return the fleet's requests of the last second as an instance knows them.

        They are scaled up by the part of the fleet that reports to it.
        """
        now_s = asyncio.get_running_loop().time()
        snapshot = self.policy(address).snapshot(service, ServiceRoom(1, 0, 0.1), now_s)
        assert snapshot is not None
        offered = sum(row[0] for row in snapshot.by_priority.values())
        return offered / self.views[address].known_share()

    def offered(self, until_s: float) -> int:
        """Return how many requests the fleet received in the second before a moment."""
        return sum(until_s - DEMAND_WINDOW_S < at_s <= until_s for at_s, _ in self.sent)

    async def run_load(self, arrivals: Callable[[random.Random], Arrival]) -> None:
        """Let each instance receive requests at random moments."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_STEP_S)
            for address, view in list(self.views.items()):
                if self._rng.random() < self.rate_per_s * _STEP_S:
                    self.sent.append((loop.time(), address))
                    view.overload.admit(arrivals(self._rng), loop.time())

    def _policy(self, terms: Mapping[str, ServiceTerms]) -> SummingPolicy:
        policy = SummingPolicy(terms)
        if not self.reports:
            policy.own_report = lambda now_s: DemandReport()  # type: ignore[method-assign]
        policy.refuses = lambda arrival: self._rng.random() < 0.2
        return policy
