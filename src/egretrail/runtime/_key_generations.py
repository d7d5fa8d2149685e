"""Keeps a current key generation open at a witness in another availability zone."""

import asyncio
import random
from collections.abc import Sequence

import structlog
from result import Ok

from egretrail.fleet import FleetView, Member, MemberState
from egretrail.idempotency import (
    CloseGeneration,
    GenerationOpened,
    Home,
    KeyLimits,
    KeyPrefix,
    OpenGeneration,
)
from egretrail.identity import InstanceName
from egretrail.peer import PeerNetwork

_TICK_S = 0.5
_OPEN_TIMEOUT_S = 0.5
#: Witnesses tried in one tick. If all fail, the next tick tries again.
_OPEN_TRIES = 3
#: A witness that failed is not asked again for this long; there are others to ask.
_RETRY_WITNESS_AFTER_S = 10.0
#: The next generation is opened when this share of the current one's lifetime is left, so that a
#: slow opening leaves no gap in which clients are given no prefix.
_RENEW_SHARE = 0.25
#: A home that finds no witness issues no key prefixes for this long, and then prefixes without a
#: witness. Otherwise an instance that starts, before it knows its peers, would issue keys whose
#: records are lost when it ends. Longer than a few openings take, but short, because a fleet of one
#: instance has to serve, too.
_WITHOUT_WITNESS_AFTER_S = 5.0
_log = structlog.get_logger()


class KeyGenerations:
    """Opens, renews and closes the key generations of a home."""

    def __init__(
        self,
        network: PeerNetwork,
        view: FleetView,
        home: Home,
        limits: KeyLimits,
        rng: random.Random,
    ) -> None:
        self._network = network
        self._view = view
        self._home = home
        self._limits = limits
        self._rng = rng
        self._avoided: dict[InstanceName, float] = {}
        self._generation_lost = asyncio.Event()
        self._last_witnessed_s: float | None = None

    def current(self, now_s: float) -> KeyPrefix | None:
        """Return the prefix to issue to clients; None while there is none."""
        return self._home.prefix_to_issue(now_s)

    def on_generation_lost(self, prefix: KeyPrefix, witness_answers: bool) -> None:
        """Request a new generation at once, at another witness if this one did not answer."""
        if prefix.witness is not None and not witness_answers:
            self._avoid(prefix.witness.instance)
        self._generation_lost.set()

    async def wait(self) -> None:
        """Wait until the next tick is due, or until a generation is lost."""
        try:
            await asyncio.wait_for(self._generation_lost.wait(), _TICK_S)
        except TimeoutError:
            return
        self._generation_lost.clear()

    async def tick(self) -> None:
        """Close expired generations, and open one when the current one has to be replaced."""
        now_s = asyncio.get_running_loop().time()
        for prefix in self._home.tick(now_s):
            if prefix.witness is not None:
                self._network.send(prefix.witness.instance, CloseGeneration(prefix))
        self._avoided = {name: s for name, s in self._avoided.items() if s > now_s}
        if self._needs_renewal(now_s):
            await self._open_another()

    def _avoid(self, name: InstanceName) -> None:
        self._avoided[name] = asyncio.get_running_loop().time() + _RETRY_WITNESS_AFTER_S

    def _needs_renewal(self, now_s: float) -> bool:
        soon_s = now_s + self._limits.issue_s * _RENEW_SHARE
        prefix = self._home.prefix_to_issue(soon_s)
        if prefix is None:
            return True
        return not self._has_live_witness(prefix) and bool(self._candidates())

    def _has_live_witness(self, prefix: KeyPrefix) -> bool:
        """Return whether a generation's witness is the same process as before and alive."""
        if prefix.witness is None:
            return False
        member = self._view.member(prefix.witness.instance)
        present = member is not None and member.incarnation == prefix.witness
        return present and member is not None and member.state is MemberState.ALIVE

    def _candidates(self) -> Sequence[Member]:
        """Return possible witnesses in the order in which to ask them.

        Members of other availability zones come first, so that the loss of one zone does not take
        home and witness together. The order is otherwise random, so that each instance is the
        witness of about as many homes as any other.
        """
        own = self._view.own
        members = [member for member in self._view.members() if self._may_witness(member)]
        self._rng.shuffle(members)
        return sorted(members, key=lambda member: member.availability_zone == own.availability_zone)

    def _may_witness(self, member: Member) -> bool:
        other = member.name != self._view.own.name
        alive = member.state is MemberState.ALIVE
        return other and alive and member.name not in self._avoided

    async def _open_another(self) -> None:
        for member in self._candidates()[:_OPEN_TRIES]:
            if await self._open_at(member):
                return
        if self._home.prefix_to_issue(asyncio.get_running_loop().time()) is None:
            self._open_without_witness()

    def _open_without_witness(self) -> None:
        now_s = asyncio.get_running_loop().time()
        if self._last_witnessed_s is None:
            self._last_witnessed_s = now_s
        if now_s - self._last_witnessed_s < _WITHOUT_WITNESS_AFTER_S:
            return
        prefix = self._home.open_without_witness(now_s)
        if prefix is not None:
            _log.warning("keys_without_witness", home=str(prefix.home))

    async def _open_at(self, member: Member) -> bool:
        opening = self._home.start_opening()
        body = OpenGeneration(opening)
        reply = await self._network.ask(member.name, body, GenerationOpened, _OPEN_TIMEOUT_S)
        if not isinstance(reply, Ok) or reply.ok_value.prefix is None:
            self._avoid(member.name)
            return False
        opened = reply.ok_value
        assert opened.prefix is not None
        now_s = asyncio.get_running_loop().time()
        self._last_witnessed_s = now_s
        return self._home.open(opened.opening, opened.prefix, now_s)
