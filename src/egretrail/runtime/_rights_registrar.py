"""Registers one instance's rights in the store, and reissues rights that no process holds."""

import abc
import asyncio
from collections.abc import Sequence

import structlog
from result import Err, Ok

from egretrail.floor import (
    FloorRecord,
    HonouredEjections,
    PromiseReply,
    Proposal,
    RecordedRight,
    RequestPromise,
    Right,
    RightsHolder,
    RightsTiming,
    apply_proposal,
    dump_record,
    ejection_allowance,
    parse_record,
    propose,
    reconcile,
    record_path,
    required_promises,
)
from egretrail.identity import InstanceName, ServiceName, UpstreamName
from egretrail.peer import PeerNetwork
from egretrail.runtime._membership import MembershipDriver
from egretrail.store import Store, WriteUnknown

_ASK_TIMEOUT_S = 1.0
#: Compare-and-swap attempts before waiting for the next period.
_SWAP_TRIES = 3

_log = structlog.get_logger()


class FloorSource(abc.ABC):
    """Provides the inputs of a service's allowance, as this instance knows them now."""

    @abc.abstractmethod
    def services(self) -> Sequence[ServiceName]:
        """Return the services that this instance is in the group of."""

    @abc.abstractmethod
    def floor(self, service: ServiceName) -> int:
        """Return the fewest healthy upstreams that ejections may leave."""

    @abc.abstractmethod
    def capacity(self, service: ServiceName) -> Sequence[UpstreamName]:
        """Return the upstreams that are listed live and neither draining nor departed."""

    def allowance(self, service: ServiceName) -> int:
        """Return how many upstreams may be out of service."""
        return ejection_allowance(len(self.capacity(service)), self.floor(service))


class ServiceRights:
    """State of one service's ejection rights."""

    def __init__(self, timing: RightsTiming, started_s: float) -> None:
        self.holder = RightsHolder(timing, started_s)
        self.honoured = HonouredEjections(timing)
        self.record = FloorRecord()
        self.last_hint_s = float("-inf")
        self.last_idle_ask_s = float("-inf")
        self.next_register_s = float("-inf")
        self.registered_inputs: tuple[int, Sequence[InstanceName]] | None = None
        self.next_obtain_s = float("-inf")
        self.pending_revision: int | None = None
        self.lock = asyncio.Lock()


class RightsRegistrar:
    """Keeps the store's records and the rights that this instance holds consistent."""

    def __init__(
        self,
        membership: MembershipDriver,
        network: PeerNetwork,
        store: Store,
        source: FloorSource,
        timing: RightsTiming,
    ) -> None:
        self._membership = membership
        self._network = network
        self._store = store
        self._source = source
        self._timing = timing
        self._own = membership.own.incarnation

    async def register(self, service: ServiceName, state: ServiceRights, needed: bool) -> None:
        """Update the record; with ``needed``, claim any right that no process holds."""
        async with state.lock:
            for _ in range(_SWAP_TRIES):
                if await self._swap(service, state, needed):
                    return

    async def _swap(self, service: ServiceName, state: ServiceRights, needed: bool) -> bool:
        """Read the record and write its new state; return whether nothing is left to do now."""
        path = record_path(service)
        read = await self._store.get(path)
        if isinstance(read, Err):
            return True
        entry = read.ok_value
        revision = entry.revision if entry is not None else 0
        text = entry.value if entry is not None else None
        parsed = parse_record(service, text) if text is not None else Ok(FloorRecord())
        if isinstance(parsed, Err):
            _log.error("floor_record_unreadable", service=service)
            return True
        state.record = parsed.ok_value
        reconcile(state.record, state.holder, self._own, _now_s())
        if state.pending_revision is not None and state.pending_revision != revision:
            state.holder.unlock_transfers()
            state.pending_revision = None
        proposal = await self._make_proposal(service, state, needed)
        if proposal is None:
            return True
        return await self._write(path, state, proposal, revision)

    async def _write(
        self, path: str, state: ServiceRights, proposal: Proposal, revision: int
    ) -> bool:
        state.holder.lock_transfers(proposal.renewed)
        written = await self._store.put(path, dump_record(proposal.record), revision)
        if isinstance(written, Err) and isinstance(written.err_value, WriteUnknown):
            state.pending_revision = revision
            return False
        if isinstance(written, Ok):
            state.record = proposal.record
            apply_proposal(proposal, state.holder, _now_s())
            state.pending_revision = None
        if state.pending_revision is None:
            state.holder.unlock_transfers()
        return isinstance(written, Ok)

    async def _make_proposal(
        self, service: ServiceName, state: ServiceRights, needed: bool
    ) -> Proposal | None:
        successors = [member.name for member in self._membership.group(service)]
        wanted = self._wanted(service, state, successors, needed)
        unheld = [recorded for recorded in state.record.rights if recorded.right.number in wanted]
        promised = [
            recorded
            for recorded in unheld
            if await self._is_released_by_all(service, state, recorded)
        ]
        return propose(state.record, state.holder, self._own, successors, wanted, promised)

    def _wanted(
        self,
        service: ServiceName,
        state: ServiceRights,
        group: Sequence[InstanceName],
        needed: bool,
    ) -> set[int]:
        """Return the rights to claim: an even share of those not held here; all if ``needed``."""
        if not group or self._own.instance not in group:
            return set()
        held = {right.number for right in state.holder.rights()}
        return {
            number
            for number in range(self._source.allowance(service))
            if number not in held and (needed or group[number % len(group)] == self._own.instance)
        }

    async def _is_released_by_all(
        self, service: ServiceName, state: ServiceRights, recorded: RecordedRight
    ) -> bool:
        """Return whether every possible holder has promised not to hold or accept the right."""
        started_s = _now_s()
        right = recorded.right
        owner = recorded.owner
        alive = owner != self._own and not self._membership.is_gone(owner)
        if alive and not await self._promises(owner.instance, service, right):
            return False
        # Only a new read of the list proves that no process of a successor has started since.
        if not await self._membership.read_list():
            return False
        possible_holders = required_promises(
            recorded, self._own, self._membership.is_gone, self._membership.is_name_gone
        )
        for name in possible_holders:
            if not await self._promises(name, service, right):
                return False
        if state.holder.refuse_unless_held(right.number, right.epoch):
            return False
        return _now_s() - started_s <= self._timing.reissue_window_s

    async def _promises(self, name: InstanceName, service: ServiceName, right: Right) -> bool:
        request = RequestPromise(service, right.number, right.epoch)
        reply = await self._network.ask(name, request, PromiseReply, _ASK_TIMEOUT_S)
        return isinstance(reply, Ok) and not reply.ok_value.holds


def _now_s() -> float:
    return asyncio.get_running_loop().time()
