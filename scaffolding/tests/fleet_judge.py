"""Judges a fleet from outside by what clients and upstreams see of CONFIG, DENIED and DRAIN."""

import asyncio
import contextlib
import signal
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass, field

from scaffolding.platform import AttemptResult, StandInBackend
from scaffolding.platform.fleet import config, route
from scaffolding.tests.gateway_harness import ROUTES, FleetHarness

#: Bounds of the pages: of a configuration, of a draining upstream, and of a return to an older
#: version.
CONFIG_APPLY_S, DRAIN_S, DOWNGRADE_SLACK_S = 2.0, 2.0, 0.25
#: A process counts as in touch this long after its start, or after trouble of it or of the store.
STABLE_S = 3.0
_POLL_S = 0.05
#: Clients of orders wait this long; an order without any answer by then is unanswered.
_WAIT_S = 3.0
#: The newest routes are asked for at each poll, and one of the older ones in turn.
_NEWEST_ROUTES = 2


@dataclass(frozen=True, slots=True)
class _Poll:
    """A request on a route that was added."""

    sent_s: float
    answered_s: float
    gateway: int
    process_number: int
    version: int
    status: int


@dataclass(frozen=True, slots=True)
class Order:
    """A request that must run at most once."""

    sent_s: float
    gateway: int
    process_number: int
    result: AttemptResult


@dataclass(slots=True)
class _Change:
    """A change that the store has accepted."""

    confirmed_s: float
    #: Extra time beyond the page's bound, where the pages stretch it.
    stretch_s: float = 0.0


@dataclass(slots=True)
class FleetJudge:
    """Sends orders, adds routes and drains upstreams, and finds what is broken."""

    harness: FleetHarness
    gateways: int
    #: Orders in the order of their answers.
    orders: list[Order] = field(default_factory=list)
    #: Spans in which orders at a gateway aren't judged, as it was killed or frozen on purpose.
    excused: list[tuple[int, float, float]] = field(default_factory=list)
    #: Spans in which a gateway is not in touch, which stretches the bounds of changes.
    out_of_touch: list[tuple[int, float, float]] = field(default_factory=list)
    _polls: list[_Poll] = field(default_factory=list)
    _routes: list[dict[str, object]] = field(default_factory=list)
    _versions: dict[int, _Change] = field(default_factory=dict)
    _drains: list[tuple[StandInBackend, _Change]] = field(default_factory=list)
    _stopped: set[int] = field(default_factory=set)
    _ended: set[int] = field(default_factory=set)
    _version: int = 100
    #: The gateway of each client attempt that was answered.
    _gateway_by_attempt: dict[str, int] = field(default_factory=dict)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)

    @contextlib.asynccontextmanager
    async def watching(self) -> AsyncIterator["FleetJudge"]:
        """Send orders and polls, and watch the processes, while the context lasts."""
        loop = asyncio.get_running_loop()
        for number in range(self.gateways):
            self._tasks.append(loop.create_task(self._send_orders(number)))
            self._tasks.append(loop.create_task(self._poll_routes(number)))
        self._tasks.append(loop.create_task(self._watch_processes()))
        try:
            yield self
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def now_s(self) -> float:
        """Return the time by the loop's clock."""
        return asyncio.get_running_loop().time()

    def add_route(self, stretch_s: float = 0.0) -> int:
        """Write a configuration with one route more; return its version."""
        self._version += 1
        name = f"v{self._version}"
        self._routes.append(route(name, f"/{name}/", "catalogue", timeout="20000ms"))
        self.harness.fleet.store.write("op/config", config(self._version, [*ROUTES, *self._routes]))
        self._versions[self._version] = _Change(self.now_s(), stretch_s)
        return self._version

    def next_version(self) -> int:
        """Return a version for a configuration that the judge does not write itself."""
        self._version += 1
        return self._version

    @property
    def routes(self) -> Sequence[dict[str, object]]:
        """The routes of the last proper configuration."""
        return [*ROUTES, *self._routes]

    def drain(self, backend: StandInBackend, stretch_s: float = 0.0) -> None:
        """Let an upstream report that it drains; it goes on serving."""
        self.harness.fleet.store.write(f"servers/{backend.id}", backend.store_entry("draining"))
        self._drains.append((backend, _Change(self.now_s(), stretch_s)))

    async def freeze(self, numbers: Sequence[int], duration_s: float) -> None:
        """Stop processes for a time; they are in touch again some time after it."""
        began_s = self.now_s()
        for number in numbers:
            self.harness.fleet.signal_gateway(number, signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        for number in numbers:
            self.harness.fleet.signal_gateway(number, signal.SIGCONT)
            self.excused.append((number, began_s, self.now_s()))
            self.out_of_touch.append((number, began_s, self.now_s() + STABLE_S))

    async def kill_and_start(self, number: int) -> None:
        """Kill a process, start it again and wait until it is ready.

        From its start on, a process must not deny a route that was there before.
        """
        began_s = self.now_s()
        self._stopped.add(number)
        self.harness.fleet.signal_gateway(number)
        await self.harness.fleet.exit_code(number)
        await self.harness.fleet.start_gateway(number)
        self._stopped.discard(number)
        await self.harness.wait_until_ready(number)
        self.excused.append((number, began_s, self.now_s()))

    # Findings

    def findings(self) -> list[str]:
        """Return a description of everything that breaks a bound."""
        return [*self._ends(), *self._late_routes(), *self._regressions(), *self._late_requests()]

    def apply_times_s(self) -> dict[int, float]:
        """Return the time from each version's confirmation to the last process that acts on it.

        A process that was killed or frozen meanwhile counts from when it is back. Each version has
        the routes of those before it.
        """
        times_s: dict[int, float] = {}
        for version, change in self._versions.items():
            firsts = []
            for number in range(self.gateways):
                answered = [
                    one.answered_s
                    for one in self._polls
                    if one.gateway == number and one.version >= version and one.status == 200
                ]
                backs = [
                    end_s
                    for gateway, begin_s, end_s in self.excused
                    if gateway == number and begin_s <= change.confirmed_s + CONFIG_APPLY_S
                ]
                from_s = max([change.confirmed_s, *backs])
                firsts.append(max(min(answered, default=float("inf")) - from_s, 0.0))
            times_s[version] = max(firsts)
        return times_s

    def served_share(self, since_s: float = 0.0, *, excluded: Sequence[int] = ()) -> float:
        """Return the share of orders sent since a time that were served."""
        statuses = [one.result.status for one in self._judged(since_s, excluded)]
        return statuses.count(200) / len(statuses) if statuses else 0.0

    def served_share_of_routes(self) -> float:
        """Return the share of requests on added routes that were served, after their bounds."""
        statuses = [
            one.status
            for one in self._polls
            if one.sent_s > self._versions[one.version].confirmed_s + CONFIG_APPLY_S
            and not self._is_excused(one.gateway, one.sent_s)
        ]
        return statuses.count(200) / len(statuses) if statuses else 1.0

    def unanswered(self, since_s: float = 0.0, *, excluded: Sequence[int] = ()) -> int:
        """Return how many orders sent since a time got no answer."""
        return sum(one.result.status == 0 for one in self._judged(since_s, excluded))

    def _judged(self, since_s: float, excluded: Sequence[int]) -> Sequence[Order]:
        return [
            one
            for one in self.orders
            if one.sent_s >= since_s
            and one.gateway not in excluded
            and not self._is_excused(one.gateway, one.sent_s)
        ]

    def _is_excused(self, gateway: int, at_s: float) -> bool:
        return any(
            number == gateway and begin_s - _WAIT_S <= at_s <= end_s
            for number, begin_s, end_s in self.excused
        )

    def _is_out_of_touch(self, gateway: int, at_s: float) -> bool:
        return any(
            number == gateway and begin_s <= at_s <= end_s
            for number, begin_s, end_s in self.out_of_touch
        )

    def _ends(self) -> list[str]:
        found = [f"gateway {number} ended by itself" for number in sorted(self._ended)]
        for number in range(self.gateways):
            lines = self.harness.fleet.log(number).splitlines()
            found += [line[:200] for line in lines if "event=task_failed" in line][:1]
        return found

    def _late_routes(self) -> list[str]:
        found = []
        for version, change in self._versions.items():
            bound_s = change.confirmed_s + CONFIG_APPLY_S + change.stretch_s
            for number in range(self.gateways):
                late = [
                    one
                    for one in self._polls
                    if (one.gateway, one.version) == (number, version)
                    and one.sent_s > bound_s
                    and not self._is_out_of_touch(number, one.sent_s)
                ]
                denied = sum(one.status == 404 for one in late)
                if denied:
                    last_s = max(one.sent_s for one in late if one.status == 404)
                    found.append(
                        f"gateway {number}: {denied} of {len(late)} requests on route v{version}"
                        f" denied after the bound, the last {last_s - change.confirmed_s:.2f} s"
                        " after its confirmation"
                    )
        return found

    def _regressions(self) -> list[str]:
        found = []
        effective: dict[tuple[int, int, int], float] = {}
        for one in sorted(self._polls, key=lambda poll: poll.answered_s):
            key = (one.gateway, one.process_number, one.version)
            if one.status == 200:
                effective.setdefault(key, one.answered_s)
            elif one.status == 404 and one.sent_s > effective.get(key, 1e18) + DOWNGRADE_SLACK_S:
                found.append(f"gateway {one.gateway}: route v{one.version} was there and is gone")
        return found

    def _late_requests(self) -> list[str]:
        found = []
        for backend, change in self._drains:
            bound_s = change.confirmed_s + DRAIN_S + change.stretch_s
            late = [
                at_s
                for at_s, attempt in backend.arrivals
                if at_s > bound_s
                and not self._is_out_of_touch(self._gateway_by_attempt.get(attempt, -1), at_s)
            ]
            if late:
                found.append(
                    f"{len(late)} requests at draining {backend.id}, the last"
                    f" {late[-1] - change.confirmed_s:.2f} s after its report"
                )
        return found

    # Observations

    async def _send_orders(self, number: int) -> None:
        fleet, address = self.harness.fleet, self.harness.fleet.traffic_address(number)
        while True:
            sent_s, process_number = self.now_s(), fleet.start_counts[number]
            result = await self.harness.client.send(
                address, "POST", "/order/1", b"one", wait_s=_WAIT_S
            )
            self._gateway_by_attempt[result.attempt] = number
            self.orders.append(Order(sent_s, number, process_number, result))
            await asyncio.sleep(_POLL_S)

    async def _poll_routes(self, number: int) -> None:
        turn = 0
        while True:
            versions = list(self._versions)
            asked = versions[-_NEWEST_ROUTES:]
            if len(versions) > _NEWEST_ROUTES:
                turn += 1
                asked.append(versions[turn % (len(versions) - _NEWEST_ROUTES)])
            await asyncio.gather(*(self._poll(number, version) for version in asked))
            await asyncio.sleep(_POLL_S)

    async def _poll(self, number: int, version: int) -> None:
        fleet = self.harness.fleet
        sent_s, process_number = self.now_s(), fleet.start_counts[number]
        result = await self.harness.client.send(
            fleet.traffic_address(number), "GET", f"/v{version}/1", wait_s=_WAIT_S
        )
        self._gateway_by_attempt[result.attempt] = number
        if process_number == fleet.start_counts[number]:
            self._polls.append(
                _Poll(sent_s, self.now_s(), number, process_number, version, result.status)
            )

    async def _watch_processes(self) -> None:
        while True:
            for number in range(self.gateways):
                if number not in self._stopped and not self.harness.fleet.is_running(number):
                    self._ended.add(number)
            await asyncio.sleep(_POLL_S)
