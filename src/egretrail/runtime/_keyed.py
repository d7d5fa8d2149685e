"""Runs requests under idempotency keys: at most once, wherever their resends arrive."""

import asyncio
import random
from collections import Counter

from result import Err

from egretrail.fleet import FleetView, Member
from egretrail.idempotency import (
    AskPrefix,
    AwaitKeyed,
    ForgedKey,
    Home,
    KeyedReply,
    KeyFailure,
    KeyLimits,
    KeyStanding,
    PrefixReply,
    RunKeyed,
    Witness,
    issue_prefix,
    parse_key,
    request_binding,
)
from egretrail.identity import Incarnation, ServiceName
from egretrail.peer import PeerNetwork
from egretrail.request import Answer, Outcome, Refusal, RefusalCause, RequestEnvelope
from egretrail.runtime._key_generations import KeyGenerations
from egretrail.runtime._key_prefixes import KeyPrefixes
from egretrail.runtime._keyed_home import Drained, Execute, KeyedHome
from egretrail.runtime._keyed_receiver import KeyedReceiver
from egretrail.runtime._keyed_witness import KeyedWitness

#: Outcomes that could not be left with a witness are tried less and less often.
_KEEP_PAUSE_S = 1.0
_KEEP_PAUSE_LIMIT_S = 30.0


class KeyedExecutor:
    """The keyed requests of one instance, in all three roles: receiver, home and witness."""

    def __init__(
        self,
        own: Incarnation,
        fleet_key: bytes,
        network: PeerNetwork,
        view: FleetView,
        execute: Execute,
        limits: KeyLimits | None = None,
        rng: random.Random | None = None,
    ) -> None:
        bounds = limits or KeyLimits()
        self._own = own
        self._fleet_key = fleet_key
        self._network = network
        self._home = Home(own, bounds)
        self._witness = Witness(own, bounds)
        self._generations = KeyGenerations(
            network, view, self._home, bounds, rng or random.Random(own.number)
        )
        self._at_home = KeyedHome(
            network, self._home, execute, self._generations.on_generation_lost
        )
        self._at_witness = KeyedWitness(own, network, self._witness)
        self._receiver = KeyedReceiver(own, network, self._at_home, self._at_witness)
        self._prefixes = KeyPrefixes(network)
        self._tasks: list[asyncio.Task[None]] = []
        #: Refusals given to callers here, for reports.
        self.refusals: Counter[tuple[Outcome, RefusalCause]] = Counter()

    async def start(self) -> None:
        """Answer peers, and open the first generation."""
        self._network.on(RunKeyed, self._on_run)
        self._network.on(AwaitKeyed, self._at_home.on_await)
        self._network.on(AskPrefix, self._on_ask_prefix)
        self._at_witness.start()
        await self._generations.tick()
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._renew()), loop.create_task(self._keep())]

    async def drain(self, deadline_s: float) -> Drained:
        """Prepare a planned stop: take no new keys, finish, leave the outcomes with witnesses.

        Prefixes are no longer given out from the first moment; peers are answered until ``stop``.
        """
        self._at_witness.refuse_new()
        return await self._at_home.drain(deadline_s)

    async def stop(self) -> None:
        """End everything; what still runs ends as unknown."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._prefixes.stop()
        await self._at_home.stop()

    async def run(self, request: RequestEnvelope) -> Answer:
        """Return the answer to a keyed request. Cancelling stops the waiting, not the work."""
        parsed = parse_key(request.key or "", self._fleet_key)
        if isinstance(parsed, Err):
            answer: Answer = _invalid(parsed.err_value)
        else:
            binding = request_binding(request)
            answer = await self._receiver.answer(parsed.ok_value, binding, request)
        if isinstance(answer, Refusal):
            self.refusals[answer.outcome, answer.cause] += 1
        return answer

    def own_prefix(self) -> str | None:
        """Return the prefix of keys to send to this instance; None while it takes no new ones."""
        prefix = self._generations.current(asyncio.get_running_loop().time())
        return issue_prefix(prefix, self._fleet_key) if prefix is not None else None

    def prefix_for(self, member: Member, _service: ServiceName) -> str | None:
        """Return the prefix to name to callers for an instance; None when none is at hand.

        A prefix that is not at hand is asked for in the background, for the next caller.
        """
        if member.incarnation == self._own:
            return self.own_prefix()
        return self._prefixes.known(member.incarnation)

    async def fetch_prefix(self, member: Member) -> str | None:
        """Return the prefix to name for an instance, asking it first if need be."""
        if member.incarnation == self._own:
            return self.own_prefix()
        return await self._prefixes.fetch(member.incarnation)

    async def _renew(self) -> None:
        while True:
            await self._generations.wait()
            await self._generations.tick()
            self._witness.tick(asyncio.get_running_loop().time())

    async def _keep(self) -> None:
        pause_s = _KEEP_PAUSE_S
        while True:
            await asyncio.sleep(pause_s)
            kept = await self._at_home.keep_again()
            pause_s = _KEEP_PAUSE_S if kept else min(pause_s * 2, _KEEP_PAUSE_LIMIT_S)

    async def _on_run(self, _sender: Incarnation, body: RunKeyed) -> KeyedReply:
        parsed = parse_key(body.request.key or "", self._fleet_key)
        if isinstance(parsed, Err):
            return KeyedReply(KeyStanding.ANSWERED, _invalid(parsed.err_value))
        key = parsed.ok_value
        if not self._home.owns(key):
            return KeyedReply(KeyStanding.NOT_HERE)
        binding = request_binding(body.request)
        return await self._at_home.reply(self._at_home.begin(key, binding, body.request))

    async def _on_ask_prefix(self, _sender: Incarnation, _body: AskPrefix) -> PrefixReply:
        return PrefixReply(self.own_prefix())


def _invalid(failure: KeyFailure) -> Refusal:
    """Refuse a text that is no key of this fleet.

    A forged prefix may be one that was issued before the fleet's key was changed, so that its work
    may have run; a text without the form of a key never ran.
    """
    forged = isinstance(failure, ForgedKey)
    return Refusal(Outcome.UNKNOWN if forged else Outcome.NOT_RUN, RefusalCause.KEY_INVALID)
