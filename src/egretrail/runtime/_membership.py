"""Runs the membership protocol: probes, anti-entropy syncs and reads of the instance list."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import structlog
from result import Err, Ok

from egretrail.fleet import (
    UNKNOWN_INCARNATION,
    FleetView,
    GroupIndex,
    IndirectPing,
    IndirectPong,
    Member,
    MembershipTable,
    MembershipTuning,
    MemberState,
    Ping,
    Pong,
    ProbePlan,
    Rumour,
    RumourState,
    Slowness,
    SyncReply,
    SyncRequest,
)
from egretrail.identity import AvailabilityZone, Incarnation, InstanceName, ServiceName
from egretrail.peer import PeerNetwork
from egretrail.store import InstanceList, ListedInstance, ListedState

#: The service under which the platform lists the fleet's own instances.
FLEET_SERVICE = "egretrail"
#: Instances that read the list at the full rate. With three, one is left after the loss of a zone
#: and one further failure.
_LIST_READERS = 3
#: Fewest list intervals between two reads by an instance that is not a reader. In a larger fleet it
#: is the fleet's size, so that the rate of all of them together stays constant and no instance
#: depends on the readers.
_FALLBACK_INTERVALS = 10
#: Peers that a starting or leaving instance notifies at once.
_NOTIFIED_PEERS = 3
#: Witness candidates returned for one home.
_WITNESS_CANDIDATES = 6
#: A peer whose probe failed counts as unreachable from this instance until a probe succeeds, or
#: for this long if it is not probed again.
_PATH_FAULT_S = 60.0

_log = structlog.get_logger()

#: Called with the rows of every successful read of the platform's instance list.
ListListener = Callable[[Sequence[ListedInstance]], Awaitable[None]]


class MembershipDriver(FleetView):
    """Maintains one instance's view of the fleet, and resolves the addresses of peers."""

    def __init__(
        self,
        own: Member,
        network: PeerNetwork,
        instance_list: InstanceList,
        *,
        group_size_of: Callable[[ServiceName], int] = lambda _service: 3,
        list_interval_s: float = 2.0,
        tuning: MembershipTuning | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._network = network
        self._instance_list = instance_list
        self._group_size_of = group_size_of
        self._list_interval_s = list_interval_s
        self._tuning = tuning or MembershipTuning()
        self._rng = rng or random.Random(own.incarnation.number)
        self._slowness = Slowness(self._tuning)
        self._table = MembershipTable(own, self._tuning, self._slowness)
        self._plan = ProbePlan(own.name, self._tuning.probe_set_size, self._rng)
        self._index = GroupIndex()
        self._indexed_changes = -1
        self._indexed_until_s = 0.0
        #: Cache of the groups returned since the last change, because each request looks one up.
        self._groups: dict[tuple[ServiceName, int], Sequence[Member]] = {}
        self._unreachable_until_s: dict[InstanceName, float] = {}
        self._listeners: list[ListListener] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Read the list, join through a few instances on it, and start probing."""
        self._network.on(Ping, self._on_ping)
        self._network.on(IndirectPing, self._on_indirect_ping)
        self._network.on(SyncRequest, self._on_sync_request)
        await self.read_list()
        await self._join()
        self._spawn(self._probe_forever())
        self._spawn(self._sync_forever())
        self._spawn(self._read_list_forever())

    async def stop(self) -> None:
        """Announce the end of this instance to a few peers and stop."""
        self._table.set_own(_now_s(), state=RumourState.ENDED)
        await self._notify_some_peers()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def own(self) -> Member:
        """Return this instance's own member entry."""
        member = self._table.member(self._table.own.instance)
        assert member is not None
        return member

    @property
    def changes(self) -> int:
        """Return a counter that is increased whenever a member changes."""
        return self._table.changes

    def members(self) -> Sequence[Member]:
        """Return every known member, this instance included, ordered by name."""
        return self._table.members()

    def member(self, name: InstanceName) -> Member | None:
        """Return one member by name."""
        return self._table.member(name)

    def group(self, service: ServiceName) -> Sequence[Member]:
        """Return the members that serve a service, most preferred first, without leaving ones."""
        self._refresh_index()
        size = self._group_size_of(service)
        group = self._groups.get((service, size))
        if group is None:
            group = self._members_by_name(self._index.choose(str(service), size))
            self._groups[service, size] = group
        return group

    def witness_candidates(self, home: InstanceName) -> Sequence[Member]:
        """Return ready members that may be a home's witness, those of other zones first.

        Members that this instance cannot reach itself come last: the home may still reach them.
        """
        self._refresh_index()
        known = self._table.member(home)
        zone = known.availability_zone if known is not None else None
        names = self._index.choose(f"witness/{home}", _WITNESS_CANDIDATES + 1, zone)
        others = [name for name in names if name != home][:_WITNESS_CANDIDATES]
        return self._members_by_name(sorted(others, key=self.cannot_reach))

    def address(self, name: InstanceName) -> tuple[str, int] | None:
        """Return the peer address of an instance, None if unknown; used by the peer network."""
        member = self._table.member(name)
        return (member.peer_host, member.peer_port) if member is not None else None

    def cannot_reach(self, name: InstanceName) -> bool:
        """Return whether this instance gets no replies from a member; others may still get them."""
        member = self._table.member(name)
        if member is None or member.state is MemberState.UNREACHABLE:
            return True
        return self._unreachable_until_s.get(name, 0.0) > _now_s()

    def note_path(self, name: InstanceName, answers: bool) -> None:
        """Record whether a peer replied to an exchange of another driver."""
        if answers:
            self._unreachable_until_s.pop(name, None)
        else:
            self._unreachable_until_s[name] = _now_s() + _PATH_FAULT_S

    def is_gone(self, process: Incarnation) -> bool:
        """Return whether a process is proved to have ended; being unreachable is no proof."""
        return self._table.is_gone(process, _now_s())

    def list_readers(self) -> Sequence[InstanceName]:
        """Return the members that read the platform's list at the full rate."""
        self._refresh_index()
        return self._index.choose("list-readers", _LIST_READERS)

    @property
    def reads_list(self) -> bool:
        """Return whether this instance is one of the list readers."""
        return self._table.own.instance in self.list_readers()

    def is_name_gone(self, name: InstanceName) -> bool:
        """Return whether the list proves that no process of a name was running within its lag."""
        return self._table.is_name_gone(name, _now_s())

    def subscribe_to_list(self, listener: ListListener) -> None:
        """Call ``listener`` with every read of the platform's list by this instance."""
        self._listeners.append(listener)

    async def announce_ready(self) -> None:
        """Announce that this instance held_untils_s the settings and may be returned to clients."""
        self._table.set_own(_now_s(), ready=True)
        await self._notify_some_peers()

    async def announce_leaving(self) -> None:
        """Announce that this instance is stopping, which removes it from groups."""
        self._table.set_own(_now_s(), state=RumourState.LEAVING)
        await self._notify_some_peers()

    def _refresh_index(self) -> None:
        now_s = _now_s()
        if self._table.changes == self._indexed_changes and now_s < self._indexed_until_s:
            return
        self._groups.clear()
        self._indexed_changes = self._table.changes
        held_untils_s = []
        eligible = []
        for member in self._table.members():
            held_until_s = self._table.held_until_s(member.name)
            if not member.ready or member.state is not MemberState.ALIVE:
                continue
            if held_until_s > now_s:
                held_untils_s.append(held_until_s)
            else:
                eligible.append(member)
        self._indexed_until_s = min(held_untils_s, default=float("inf"))
        self._index.update(eligible)

    def _members_by_name(self, names: Sequence[InstanceName]) -> Sequence[Member]:
        members = [self._table.member(name) for name in names]
        return [member for member in members if member is not None]

    async def _probe_forever(self) -> None:
        while True:
            interval_s = self._tuning.probe_interval_s * self._slowness.factor
            await asyncio.sleep(interval_s * self._rng.uniform(0.9, 1.1))
            self._table.tick(_now_s())
            target = self._plan.next_target(self._table.peers())
            if target is not None:
                self._spawn(self._probe(target))

    async def _probe(self, target: InstanceName) -> None:
        timeout_s = self._tuning.probe_timeout_s * self._slowness.factor
        if await self._ping(target, timeout_s):
            self._slowness.record_response()
            self._unreachable_until_s.pop(target, None)
            return
        self._unreachable_until_s[target] = _now_s() + _PATH_FAULT_S
        known = self._table.rumour(target)
        if known is None or known.number == UNKNOWN_INCARNATION:
            return
        helpers = self._plan.helpers(self._table.peers(), target, self._tuning.indirect_probes)
        request = IndirectPing(target, known)
        wait_s = timeout_s + self._tuning.probe_timeout_s
        replies = await asyncio.gather(
            *(self._network.ask(helper, request, IndirectPong, wait_s) for helper in helpers)
        )
        answered = [reply.ok_value for reply in replies if isinstance(reply, Ok)]
        self._slowness.record_miss(1 if helpers and not answered else 0)
        reached = [reply.answer for reply in answered if reply.answer is not None]
        for rumour in reached:
            self._table.record_contact(rumour, _now_s())
        # If no helper replied either, this instance is more likely at fault than the target.
        if not reached and (answered or not helpers):
            self._table.suspect(target, _now_s())

    async def _ping(self, target: InstanceName, timeout_s: float) -> bool:
        ping = Ping(self._table.own, self._rumours_for(target))
        reply = await self._network.ask(target, ping, Pong, timeout_s)
        if isinstance(reply, Err):
            return False
        self._table.record_contact(reply.ok_value.sender, _now_s())
        self._apply_rumours(reply.ok_value.rumours)
        return True

    def _rumours_for(self, peer: InstanceName) -> Sequence[Rumour]:
        """Return the rumours to piggyback on a message, first a suspicion against the receiver."""
        retransmissions = self._tuning.retransmit_factor * self._tuning.digits(self._table.size)
        rumours = self._table.rumour_queue.next_batch(
            self._tuning.rumours_per_message, retransmissions
        )
        known = self._table.rumour(peer)
        suspicious_states = (RumourState.SUSPECT, RumourState.UNREACHABLE)
        if known is not None and known.state in suspicious_states and known not in rumours:
            return [known, *rumours]
        return rumours

    def _apply_rumours(self, rumours: Sequence[Rumour]) -> None:
        now_s = _now_s()
        for rumour in rumours:
            self._table.merge_rumour(rumour, now_s)

    async def _on_ping(self, sender: Incarnation, ping: Ping) -> Pong | None:
        if ping.sender.incarnation != sender:
            return None
        self._table.record_contact(ping.sender, _now_s())
        self._apply_rumours(ping.rumours)
        return Pong(self._table.own, self._rumours_for(sender.instance))

    async def _on_indirect_ping(self, _: Incarnation, request: IndirectPing) -> IndirectPong:
        self._table.merge_rumour(request.known, _now_s())
        reached = await self._ping(request.target, self._tuning.probe_timeout_s)
        return IndirectPong(self._table.rumour(request.target) if reached else None)

    async def _on_sync_request(self, _: Incarnation, request: SyncRequest) -> SyncReply:
        limit = self._tuning.sync_rumours
        return SyncReply(self._table.differing_rumours(request.digests, limit, self._rng))

    async def _sync_forever(self) -> None:
        while True:
            await asyncio.sleep(self._tuning.sync_interval_s * self._rng.uniform(0.5, 1.5))
            peers = self._plan.probe_set(self._table.peers())
            if peers:
                await self._sync(self._rng.choice(peers))

    async def _sync(self, peer: InstanceName) -> bool:
        request = SyncRequest(self._table.digests())
        wait_s = self._tuning.probe_timeout_s * 2 * self._slowness.factor
        reply = await self._network.ask(peer, request, SyncReply, wait_s)
        if isinstance(reply, Err):
            return False
        self._apply_rumours(reply.ok_value.rumours)
        return True

    async def _join(self) -> None:
        peers = list(self._plan.probe_set(self._table.peers()))
        self._rng.shuffle(peers)
        for peer in peers[:_NOTIFIED_PEERS]:
            if await self._ping(peer, self._tuning.probe_timeout_s * 2):
                await self._sync(peer)

    async def _notify_some_peers(self) -> None:
        peers = list(self._plan.probe_set(self._table.peers()))
        self._rng.shuffle(peers)
        timeout_s = self._tuning.probe_timeout_s
        await asyncio.gather(*(self._ping(peer, timeout_s) for peer in peers[:_NOTIFIED_PEERS]))

    async def _read_list_forever(self) -> None:
        while True:
            waited_s = 0.0
            share = self._rng.uniform(0.8, 1.2)
            # Checked in every interval, so that an instance that becomes a reader reads soon.
            while waited_s < self._list_wait_s() * share:
                await asyncio.sleep(self._list_interval_s * share)
                waited_s += self._list_interval_s * share
            await self.read_list()

    def _list_wait_s(self) -> float:
        """Return the delay before the next read of the list.

        A few readers read the list at the full rate. All other instances together add about half a
        read a second at any fleet size, so that the list is known even if every reader is
        partitioned.
        """
        if self.reads_list:
            return self._list_interval_s
        return self._list_interval_s * max(_FALLBACK_INTERVALS, self._table.size)

    async def read_list(self) -> bool:
        """Read the platform's list now; return whether the read succeeded."""
        reading = await self._instance_list.read()
        if isinstance(reading, Err):
            _log.info("instance_list_unavailable", cause=str(reading.err_value))
            return False
        rows = reading.ok_value
        own_rows = [row for row in rows if row.service == FLEET_SERVICE]
        self._table.apply_list([_listed_member(row) for row in own_rows], _now_s())
        for listener in self._listeners:
            await listener(rows)
        return True

    def _spawn(self, coroutine: Any) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _listed_member(row: ListedInstance) -> Member:
    peer = row.peer_endpoint or row.endpoint
    return Member(
        Incarnation(InstanceName(row.name), UNKNOWN_INCARNATION),
        AvailabilityZone(row.availability_zone),
        row.endpoint.host,
        row.endpoint.port,
        peer.host,
        peer.port,
        MemberState.LEAVING if row.state is ListedState.LEAVING else MemberState.ALIVE,
        ready=False,
    )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
