"""Brings each instance the upstreams of the services it serves, and word of those that leave."""

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

#: An instance asks a reader for its services' rows once in this long for each member of the
#: fleet: the readers then answer a constant number of questions at any size, and changes come
#: without being asked for.
_ASK_PERIOD_S_PER_MEMBER = 0.1
_SHORTEST_ASK_PERIOD_S = 2.0
_ASK_TIMEOUT_S = 1.0
#: How soon an instance that begins to serve a service asks for its rows. Prevents the refusals of
#: an instance that is already named to callers and knows no upstream yet.
_NEWLY_SERVED_S = 0.1
_OWN_READING_GAP_S = 10.0
#: A drain sign is told to each member of the group this often until it acknowledges. More than
#: that is not worth its traffic: members also ask each other for signs.
_TELLINGS = 4
_TELLING_GAP_S = 0.5


class UpstreamListDriver:
    """Keeps the directory of upstreams for the services that this instance serves.

    A reader of the list keeps every row and passes a service's rows to its group when they change;
    the others ask a reader now and then, and read the list themselves, rarely, in any case.
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
        self._answers: dict[ServiceName, Sequence[ListedInstance]] = {}
        self._names: dict[ServiceName, Sequence[UpstreamName]] = {}
        self._answered_changes = -1
        self._all_rows: Mapping[ServiceName, Sequence[UpstreamRow]] = {}
        self._read_s: float | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._services_changed = True
        self._seen_membership = -1
        self._own_reading_after_s = float("-inf")
        self._fetching: dict[ServiceName, asyncio.Task[None]] = {}

    def services_changed(self) -> None:
        """Have rows asked for soon: the settings name other services than before."""
        self._services_changed = True

    async def fetch(self, service: ServiceName) -> None:
        """Learn a service's upstreams now, if nothing is known of them.

        For requests that reach an instance before the service's rows do: views of groups differ
        for seconds after a change, and callers keep what they resolved.
        """
        if service in self._directory.services():
            return
        fetching = self._fetching.get(service)
        if fetching is None:
            fetching = asyncio.get_running_loop().create_task(self._fetch(service))
            self._fetching[service] = fetching
            fetching.add_done_callback(lambda _: self._fetching.pop(service, None))
        await asyncio.shield(fetching)

    async def _fetch(self, service: ServiceName) -> None:
        await self._ask_rows(service)
        if service not in self._directory.services():
            await self._read_for_itself()

    async def start(self) -> None:
        """Take in the list's readings and begin to ask; start this before the membership."""
        self._network.on(FetchListedUpstreams, self._on_upstreams_ask)
        self._network.on(ListedUpstreams, self._on_listed)
        self._network.on(FetchDrainSigns, self._on_drains_ask)
        self._network.on(DrainSigns, self._on_signs)
        self._membership.on_list(self._on_list)
        self._spawn(self._ask_forever())
        self._spawn(self._ask_newly_served_forever())

    async def stop(self) -> None:
        """Stop asking and telling."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def changes(self) -> int:
        """Return a number that rises whenever ``upstreams`` may answer differently."""
        return self._directory.changes

    def upstreams(self, service: ServiceName) -> Sequence[ListedInstance]:
        """Return the upstreams that may get new work, in a stable order."""
        self._forget_old_answers()
        answer = self._answers.get(service)
        if answer is None:
            answer = [_listed(service, row) for row in self._directory.upstreams(service)]
            self._answers[service] = answer
        return answer

    def names(self, service: ServiceName) -> Sequence[UpstreamName]:
        """Return the names of the upstreams that count as capacity."""
        self._forget_old_answers()
        names = self._names.get(service)
        if names is None:
            names = [row.name for row in self._directory.upstreams(service)]
            self._names[service] = names
        return names

    def _forget_old_answers(self) -> None:
        """Drop answers given before the last change: both are asked for at every placement."""
        if self._directory.changes != self._answered_changes:
            self._answers.clear()
            self._names.clear()
            self._answered_changes = self._directory.changes

    def listings(self, service: ServiceName) -> Mapping[UpstreamName, UpstreamListing]:
        """Return what is known of each upstream, for operators."""
        return self._directory.listings(service)

    def note_drain(self, service: ServiceName, upstream: UpstreamName) -> None:
        """Take an upstream's own word that it is draining, and tell the group."""
        if self._directory.record_drain(service, upstream, _now_s()):
            self._tell_group(service)

    def _tell_group(self, service: ServiceName) -> None:
        for member in self._membership.group(service):
            if member.name != self._membership.own.name:
                self._spawn(self._tell(member.name, service))

    async def _tell(self, peer: InstanceName, service: ServiceName) -> None:
        for _ in range(_TELLINGS):
            body = DrainSigns(service, self._directory.drain_signs(service, _now_s()))
            told = await self._network.ask(peer, body, Acknowledged, _ASK_TIMEOUT_S)
            if isinstance(told, Ok):
                return
            await asyncio.sleep(_TELLING_GAP_S * self._rng.uniform(0.5, 1.5))

    async def _on_list(self, rows: Sequence[ListedInstance]) -> None:
        now_s = _now_s()
        by_service: dict[ServiceName, list[UpstreamRow]] = defaultdict(list)
        for row in rows:
            if row.service != FLEET_SERVICE:
                by_service[ServiceName(row.service)].append(_row(row))
        for service in {*by_service, *self._directory.services()}:
            self._directory.apply_rows(service, by_service.get(service, []), now_s, now_s)
        if self._membership.reads_list:
            self._pass_on(by_service)
            self._all_rows, self._read_s = by_service, now_s
        else:
            self._all_rows, self._read_s = {}, None

    def _pass_on(self, by_service: Mapping[ServiceName, Sequence[UpstreamRow]]) -> None:
        """Send the rows of services that changed to their groups.

        Load: an upstream restarts about once a second at full size; each change goes to one
        group, eight members or so, instead of to everybody.
        """
        if self._read_s is None:
            return
        for service in {*by_service, *self._all_rows}:
            rows = by_service.get(service, [])
            if rows != self._all_rows.get(service, []):
                for member in self._membership.group(service):
                    self._network.send(member.name, ListedUpstreams(service, rows, 0.0))

    async def _ask_forever(self) -> None:
        while True:
            fleet_size = len(self._membership.members())
            period_s = max(_SHORTEST_ASK_PERIOD_S, fleet_size * _ASK_PERIOD_S_PER_MEMBER)
            known = {service for service in self._directory.services() if self._serves(service)}
            for service in self._services():
                await self._ask_signs(service)
                if service not in known or not self._membership.reads_list:
                    await self._ask_rows(service)
            self._directory.tick(_now_s())
            await asyncio.sleep(period_s * self._rng.uniform(0.7, 1.3))

    async def _ask_newly_served_forever(self) -> None:
        """Ask for the rows of services that this instance has begun to serve.

        Looks at all services only after the settings or the membership changed: at full size that
        look costs thousands of group lookups.
        """
        while True:
            await asyncio.sleep(_NEWLY_SERVED_S)
            membership = self._membership.changes
            if not self._services_changed and membership == self._seen_membership:
                continue
            self._services_changed = False
            self._seen_membership = membership
            for service in self._unknown_services():
                await self._ask_rows(service)
            if self._unknown_services():
                await self._read_for_itself()
            # One that nobody could tell yet is asked for again.
            self._services_changed |= bool(self._unknown_services())

    def _unknown_services(self) -> Sequence[ServiceName]:
        known = set(self._directory.services())
        return [service for service in self._services() if service not in known]

    async def _read_for_itself(self) -> None:
        """Read the list because no reader could tell a newly served service's upstreams.

        Load: readers that have just become readers know nothing yet, as after a fleet's start.
        Once in a while only, so that services without any upstream make nobody a reader.
        """
        now_s = _now_s()
        if now_s >= self._own_reading_after_s:
            self._own_reading_after_s = now_s + _OWN_READING_GAP_S * self._rng.uniform(0.5, 1.5)
            await self._membership.read_list()

    async def _ask_rows(self, service: ServiceName) -> None:
        own = self._membership.own.name
        readers = [name for name in self._membership.list_readers() if name != own]
        if not readers:
            return
        reader = self._rng.choice(readers)
        asked_s = _now_s()
        reply = await self._network.ask(
            reader, FetchListedUpstreams(service), ListedUpstreams, _ASK_TIMEOUT_S
        )
        if isinstance(reply, Ok) and reply.ok_value.age_s is not None:
            listed = reply.ok_value
            read_s = asked_s - (listed.age_s or 0.0)
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

    async def _on_upstreams_ask(self, _: Incarnation, ask: FetchListedUpstreams) -> ListedUpstreams:
        rows = self._all_rows.get(ask.service, [])
        age_s = None if self._read_s is None else _now_s() - self._read_s
        return ListedUpstreams(ask.service, rows, age_s)

    async def _on_listed(self, _: Incarnation, listed: ListedUpstreams) -> None:
        if listed.age_s is not None:
            now_s = _now_s()
            self._directory.apply_rows(listed.service, listed.rows, now_s - listed.age_s, now_s)

    async def _on_drains_ask(self, _: Incarnation, ask: FetchDrainSigns) -> DrainSigns:
        return DrainSigns(ask.service, self._directory.drain_signs(ask.service, _now_s()))

    async def _on_signs(self, _: Incarnation, told: DrainSigns) -> Acknowledged:
        self._directory.merge_signs(told.service, told.signs, _now_s())
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
