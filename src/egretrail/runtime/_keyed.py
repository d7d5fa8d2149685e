"""Runs requests under idempotency keys: at most once, wherever their resends arrive."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass

from result import Err

from egretrail.fleet import FleetView
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
    RelayKeyed,
    RunKeyed,
    Witness,
    issue_prefix,
    parse_key,
    request_binding,
)
from egretrail.identity import Incarnation, InstanceName
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


@dataclass(frozen=True, slots=True)
class KeyedState:
    """What an instance holds for keys, for reports."""

    #: Keys that wait for their witness or their answer here.
    unsettled_count: int
    #: Records held as home, and as witness of others.
    home_records_count: int
    witness_records_count: int
    #: Memory taken by whole answers in both roles.
    answers_size_bytes: int
    #: Whether the keys given out now have a witness.
    has_witness: bool


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
        self._view = view
        self._home = Home(own, bounds)
        self._witness = Witness(own, bounds)
        chance = rng or random.Random(own.number)
        self._generations = KeyGenerations(network, view, self._home, bounds, chance)
        self._at_home = KeyedHome(
            network, self._home, execute, self._generations.on_generation_lost
        )
        self._at_witness = KeyedWitness(own, network, self._witness)
        self._receiver = KeyedReceiver(own, network, view, chance, self._at_home, self._at_witness)
        self._prefixes = KeyPrefixes(network)
        self._tasks: list[asyncio.Task[None]] = []
        #: Refusals given to callers here, for reports.
        self.refusals: Counter[tuple[Outcome, RefusalCause]] = Counter()

    async def start(self) -> None:
        """Answer peers, and open the first generation."""
        self._network.on(RunKeyed, self._on_run)
        self._network.on(RelayKeyed, self._on_relay)
        self._network.on(AwaitKeyed, self._at_home.on_await)
        self._network.on(AskPrefix, self._on_ask_prefix)
        self._at_witness.start()
        await self._generations.tick()
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._renew()), loop.create_task(self._keep())]

    async def drain(self, until_s: float) -> Drained:
        """Prepare a planned stop: take no new keys, finish, leave the outcomes with witnesses.

        Ends at ``until_s`` on the loop's clock at the latest, and says what is left then.
        Prefixes are no longer given out from the first moment; peers are answered until ``stop``.
        """
        self._at_witness.refuse_new()
        return await self._at_home.drain(until_s)

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

    def state(self) -> KeyedState:
        """Return what is held now."""
        at_home, at_witness = self._home.records, self._witness.records
        prefix = self._generations.current(asyncio.get_running_loop().time())
        return KeyedState(
            self._home.unsettled_count(),
            at_home.records_count,
            at_witness.records_count,
            at_home.answers_bytes + at_witness.answers_bytes,
            prefix is not None and prefix.witness is not None,
        )

    def own_prefix(self) -> str | None:
        """Return the prefix of keys to send to this instance; None while it takes no new ones."""
        prefix = self._generations.current(asyncio.get_running_loop().time())
        return issue_prefix(prefix, self._fleet_key) if prefix is not None else None

    async def prefix_for(self, home: InstanceName) -> str | None:
        """Return the prefix to name to callers for an instance; None when it gives none now."""
        if home == self._own.instance:
            return self.own_prefix()
        member = self._view.member(home)
        return await self._prefixes.fetch(member.incarnation) if member is not None else None

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

    async def _on_relay(self, _sender: Incarnation, body: RelayKeyed) -> KeyedReply:
        parsed = parse_key(body.request.key or "", self._fleet_key)
        if isinstance(parsed, Err):
            return KeyedReply(KeyStanding.ANSWERED, _invalid(parsed.err_value))
        binding = request_binding(body.request)
        answer = await self._receiver.find(parsed.ok_value, binding, body.request)
        return KeyedReply(KeyStanding.ANSWERED, answer)

    async def _on_ask_prefix(self, _sender: Incarnation, _body: AskPrefix) -> PrefixReply:
        return PrefixReply(self.own_prefix())


def _invalid(failure: KeyFailure) -> Refusal:
    """Refuse a text that is no key of this fleet.

    A forged prefix may be one that was issued before the fleet's key was changed, so that its work
    may have run; a text without the form of a key never ran.
    """
    forged = isinstance(failure, ForgedKey)
    return Refusal(Outcome.UNKNOWN if forged else Outcome.NOT_RUN, RefusalCause.KEY_INVALID)
