"""Distributes the upstreams of each service, and the draining ones, to its group."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from result import Ok

from egretrail.fleet import (
    DrainSigns,
    FetchDrainSigns,
    FetchListedUpstreams,
    ListedUpstreams,
    UpstreamDirectory,
    UpstreamListing,
    UpstreamRow,
)
from egretrail.identity import Incarnation, InstanceName, ServiceName, UpstreamName
from egretrail.peer import PeerNetwork
from egretrail.runtime._membership import FLEET_SERVICE, MembershipDriver
from egretrail.store import Endpoint, ListedInstance, ListedState
from egretrail.wire import Acknowledged

#: Period of polling a list reader for the rows of served services, per member of the fleet. The
#: readers thus answer a constant number of requests at any fleet size; changes are pushed.
_POLL_PERIOD_S_PER_MEMBER = 0.1
_MIN_POLL_PERIOD_S = 2.0
_ASK_TIMEOUT_S = 1.0
#: Delay until an instance that starts to serve a service asks for its rows. Short, because an
#: instance that is already returned to clients would refuse requests while it knows no upstream.
_NEWLY_SERVED_DELAY_S = 0.1
_OWN_READ_INTERVAL_S = 10.0
#: Most times that a drain sign is sent to a member that does not acknowledge it. More would not be
#: worth the traffic, because members also poll each other for signs.
_SIGN_ATTEMPTS = 4
_SIGN_RETRY_S = 0.5


class UpstreamListDriver:
    """Keeps the directory of upstreams for the services that this instance serves.

    A list reader keeps every row and pushes a service's rows to its group when they change. Other
    instances poll a reader from time to time, and also read the list themselves at a low rate.
    """

    def __init__(
        self,
        membership: MembershipDriver,
        network: PeerNetwork,
        serves: Callable[[ServiceName], bool],
        services: Callable[[], Sequence[ServiceName]],
        rng: random.Random | None = None,
    ) -> None:
        self._membership = membership
        self._network = network
        self._services = services
        self._serves = serves
        self._rng = rng or random.Random(membership.own.incarnation.number)
        self._directory = UpstreamDirectory(serves)
        self._upstreams_cache: dict[ServiceName, Sequence[ListedInstance]] = {}
        self._names_cache: dict[ServiceName, Sequence[UpstreamName]] = {}
        self._cached_changes = -1
        self._all_rows: Mapping[ServiceName, Sequence[UpstreamRow]] = {}
        self._read_s: float | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._services_changed = True
        self._seen_membership = -1
        self._own_read_after_s = float("-inf")
        self._fetches: dict[ServiceName, asyncio.Task[None]] = {}

    def request_rows_soon(self) -> None:
        """Request rows soon, because the services in the settings have changed."""
        self._services_changed = True

    async def fetch(self, service: ServiceName) -> None:
        """Fetch a service's upstreams now if its rows are unknown.

        Requests may reach an instance before the service's rows do: views of groups differ for
        seconds after a change, and clients cache what they resolved.
        """
        if service in self._directory.services():
            return
        fetch_task = self._fetches.get(service)
        if fetch_task is None:
            fetch_task = asyncio.get_running_loop().create_task(self._fetch(service))
            self._fetches[service] = fetch_task
            fetch_task.add_done_callback(lambda _: self._fetches.pop(service, None))
        await asyncio.shield(fetch_task)

    async def _fetch(self, service: ServiceName) -> None:
        await self._ask_rows(service)
        if service not in self._directory.services():
            await self._read_list_if_due()

    async def start(self) -> None:
        """Subscribe to list reads and start polling; call this before starting the membership."""
        self._network.on(FetchListedUpstreams, self._on_fetch_listed_upstreams)
        self._network.on(ListedUpstreams, self._on_listed_upstreams)
        self._network.on(FetchDrainSigns, self._on_fetch_drain_signs)
        self._network.on(DrainSigns, self._on_drain_signs)
        self._membership.subscribe_to_list(self._on_list)
        self._spawn(self._poll_forever())
        self._spawn(self._fetch_newly_served_forever())

    async def stop(self) -> None:
        """Stop polling and reporting."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def changes(self) -> int:
        """Return a counter that is increased whenever the result of ``upstreams`` may change."""
        return self._directory.changes

    def upstreams(self, service: ServiceName) -> Sequence[ListedInstance]:
        """Return the upstreams that may get new requests, in a stable order."""
        self._clear_stale_caches()
        upstreams = self._upstreams_cache.get(service)
        if upstreams is None:
            upstreams = [_listed(service, row) for row in self._directory.upstreams(service)]
            self._upstreams_cache[service] = upstreams
        return upstreams

    def names(self, service: ServiceName) -> Sequence[UpstreamName]:
        """Return the names of the upstreams that count as capacity."""
        self._clear_stale_caches()
        names = self._names_cache.get(service)
        if names is None:
            names = [row.name for row in self._directory.upstreams(service)]
            self._names_cache[service] = names
        return names

    def _clear_stale_caches(self) -> None:
        """Clear the caches, needed because every placement reads them, after a change."""
        if self._directory.changes != self._cached_changes:
            self._upstreams_cache.clear()
            self._names_cache.clear()
            self._cached_changes = self._directory.changes

    def listings(self, service: ServiceName) -> Mapping[UpstreamName, UpstreamListing]:
        """Return the listing of each upstream, for operators."""
        return self._directory.listings(service)

    def record_drain(self, service: ServiceName, upstream: UpstreamName) -> None:
        """Record that an upstream reported it is draining, and notify the group."""
        if self._directory.record_drain(service, upstream, _now_s()):
            self._notify_group(service)

    def _notify_group(self, service: ServiceName) -> None:
        for member in self._membership.group(service):
            if member.name != self._membership.own.name:
                self._spawn(self._send_signs(member.name, service))

    async def _send_signs(self, peer: InstanceName, service: ServiceName) -> None:
        for _ in range(_SIGN_ATTEMPTS):
            body = DrainSigns(service, self._directory.drain_signs(service, _now_s()))
            reply = await self._network.ask(peer, body, Acknowledged, _ASK_TIMEOUT_S)
            if isinstance(reply, Ok):
                return
            await asyncio.sleep(_SIGN_RETRY_S * self._rng.uniform(0.5, 1.5))

    async def _on_list(self, rows: Sequence[ListedInstance]) -> None:
        now_s = _now_s()
        by_service: dict[ServiceName, list[UpstreamRow]] = defaultdict(list)
        for row in rows:
            if row.service != FLEET_SERVICE:
                by_service[ServiceName(row.service)].append(_row(row))
        for service in {*by_service, *self._directory.services()}:
            self._directory.apply_rows(service, by_service.get(service, []), now_s, now_s)
        if self._membership.reads_list:
            self._push_changed_rows(by_service)
            self._all_rows, self._read_s = by_service, now_s
        else:
            self._all_rows, self._read_s = {}, None

    def _push_changed_rows(self, by_service: Mapping[ServiceName, Sequence[UpstreamRow]]) -> None:
        """Send the rows of changed services to their groups.

        At full fleet size about one upstream a second restarts. Each change is sent to one group of
        about eight members instead of to all instances.
        """
        if self._read_s is None:
            return
        for service in {*by_service, *self._all_rows}:
            rows = by_service.get(service, [])
            if rows != self._all_rows.get(service, []):
                for member in self._membership.group(service):
                    self._network.send(member.name, ListedUpstreams(service, rows, 0.0))

    async def _poll_forever(self) -> None:
        while True:
            fleet_size = len(self._membership.members())
            period_s = max(_MIN_POLL_PERIOD_S, fleet_size * _POLL_PERIOD_S_PER_MEMBER)
            known = {service for service in self._directory.services() if self._serves(service)}
            for service in self._services():
                await self._ask_signs(service)
                if service not in known or not self._membership.reads_list:
                    await self._ask_rows(service)
            self._directory.tick(_now_s())
            await asyncio.sleep(period_s * self._rng.uniform(0.7, 1.3))

    async def _fetch_newly_served_forever(self) -> None:
        """Request the rows of services that this instance has started to serve.

        All services are checked only after a change of the settings or the membership, because at
        full fleet size a check costs thousands of group lookups.
        """
        while True:
            await asyncio.sleep(_NEWLY_SERVED_DELAY_S)
            membership = self._membership.changes
            if not self._services_changed and membership == self._seen_membership:
                continue
            self._services_changed = False
            self._seen_membership = membership
            for service in self._unknown_services():
                await self._ask_rows(service)
            if self._unknown_services():
                await self._read_list_if_due()
            # Services whose rows no instance could provide are requested again.
            self._services_changed |= bool(self._unknown_services())

    def _unknown_services(self) -> Sequence[ServiceName]:
        known = set(self._directory.services())
        return [service for service in self._services() if service not in known]

    async def _read_list_if_due(self) -> None:
        """Read the list if no reader could provide a newly served service's upstreams.

        New readers know no rows yet, for example when the whole fleet starts. The rate is limited,
        so that services without upstreams do not make every instance read the list continuously.
        """
        now_s = _now_s()
        if now_s >= self._own_read_after_s:
            self._own_read_after_s = now_s + _OWN_READ_INTERVAL_S * self._rng.uniform(0.5, 1.5)
            await self._membership.read_list()

    async def _ask_rows(self, service: ServiceName) -> None:
        own = self._membership.own.name
        readers = [name for name in self._membership.list_readers() if name != own]
        if not readers:
            return
        reader = self._rng.choice(readers)
        sent_s = _now_s()
        reply = await self._network.ask(
            reader, FetchListedUpstreams(service), ListedUpstreams, _ASK_TIMEOUT_S
        )
        if isinstance(reply, Ok) and reply.ok_value.age_s is not None:
            listed = reply.ok_value
            read_s = sent_s - (listed.age_s or 0.0)
            self._directory.apply_rows(service, listed.rows, read_s, _now_s())

    async def _ask_signs(self, service: ServiceName) -> None:
        own = self._membership.own.name
        members = [member.name for member in self._membership.group(service)]
        others = [name for name in members if name != own]
        if not others:
            return
        peer = self._rng.choice(others)
        reply = await self._network.ask(peer, FetchDrainSigns(service), DrainSigns, _ASK_TIMEOUT_S)
        if isinstance(reply, Ok):
            self._directory.merge_signs(service, reply.ok_value.signs, _now_s())

    async def _on_fetch_listed_upstreams(
        self, _: Incarnation, request: FetchListedUpstreams
    ) -> ListedUpstreams:
        rows = self._all_rows.get(request.service, [])
        age_s = None if self._read_s is None else _now_s() - self._read_s
        return ListedUpstreams(request.service, rows, age_s)

    async def _on_listed_upstreams(self, _: Incarnation, listed: ListedUpstreams) -> None:
        if listed.age_s is not None:
            now_s = _now_s()
            self._directory.apply_rows(listed.service, listed.rows, now_s - listed.age_s, now_s)

    async def _on_fetch_drain_signs(self, _: Incarnation, request: FetchDrainSigns) -> DrainSigns:
        return DrainSigns(request.service, self._directory.drain_signs(request.service, _now_s()))

    async def _on_drain_signs(self, _: Incarnation, body: DrainSigns) -> Acknowledged:
        self._directory.merge_signs(body.service, body.signs, _now_s())
        return Acknowledged()

    def _spawn(self, coroutine: Any) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _row(row: ListedInstance) -> UpstreamRow:
    leaving = row.state is ListedState.LEAVING
    return UpstreamRow(
        UpstreamName(row.name), row.availability_zone, row.endpoint.host, row.endpoint.port, leaving
    )


def _listed(service: ServiceName, row: UpstreamRow) -> ListedInstance:
    return ListedInstance(
        row.name, service, row.availability_zone, Endpoint(row.host, row.port), ListedState.LIVE
    )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
