"""Runs requests with idempotency keys at most once, whichever instance a resend reaches."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass

from result import Err

from egretrail.fleet import FleetView
from egretrail.idempotency import (
    AwaitKeyed,
    FetchPrefix,
    ForgedKey,
    Home,
    KeyedReply,
    KeyFailure,
    KeyLimits,
    KeyStatus,
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
from egretrail.runtime._keyed_home import DrainResult, Execute, KeyedHome
from egretrail.runtime._keyed_receiver import KeyedReceiver
from egretrail.runtime._keyed_witness import KeyedWitness

#: Pause between attempts to store outcomes at their witnesses; it doubles after each failure.
_STORE_PAUSE_S = 1.0
_STORE_PAUSE_LIMIT_S = 30.0


@dataclass(frozen=True, slots=True)
class KeyedState:
    """Counts of the keys that an instance holds, for reports."""

    #: Keys of this home that wait for their witness or for their response.
    unsettled_count: int
    #: Records held as home, and as witness of other homes.
    home_records_count: int
    witness_records_count: int
    #: Memory taken by complete responses in both roles.
    answers_size_bytes: int
    #: Whether the keys issued now have a witness.
    has_witness: bool


class KeyedExecutor:
    """Handles the keyed requests of one instance in its roles as receiver, home and witness."""

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
        key_limits = limits or KeyLimits()
        self._own = own
        self._fleet_key = fleet_key
        self._network = network
        self._view = view
        self._home = Home(own, key_limits)
        self._witness = Witness(own, key_limits)
        generator = rng or random.Random(own.number)
        self._generations = KeyGenerations(network, view, self._home, key_limits, generator)
        self._at_home = KeyedHome(
            network, self._home, execute, self._generations.on_generation_lost
        )
        self._at_witness = KeyedWitness(own, network, self._witness)
        self._receiver = KeyedReceiver(
            own, network, view, generator, self._at_home, self._at_witness
        )
        self._prefixes = KeyPrefixes(network)
        self._tasks: list[asyncio.Task[None]] = []
        #: Refusals sent to clients by this instance, for reports.
        self.refusals: Counter[tuple[Outcome, RefusalCause]] = Counter()

    async def start(self) -> None:
        """Start handling messages of peers, and open the first generation."""
        self._network.on(RunKeyed, self._on_run_keyed)
        self._network.on(RelayKeyed, self._on_relay_keyed)
        self._network.on(AwaitKeyed, self._at_home.on_await)
        self._network.on(FetchPrefix, self._on_fetch_prefix)
        self._at_witness.start()
        await self._generations.tick()
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._renew_generations_forever()),
            loop.create_task(self._store_outcomes_forever()),
        ]

    async def drain(self, until_s: float) -> DrainResult:
        """Prepare a planned stop: accept no new keys, finish, store the outcomes at witnesses.

        Return at ``until_s`` on the loop's clock at the latest, with the counts of what is left.
        Prefixes are no longer issued from the start; peers are answered until ``stop``.
        """
        self._at_witness.refuse_new()
        return await self._at_home.drain(until_s)

    async def stop(self) -> None:
        """Stop all work; the outcome of requests still running is unknown."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._prefixes.stop()
        await self._at_home.stop()

    async def run(self, request: RequestEnvelope) -> Answer:
        """Return the answer to a keyed request. Cancelling ends only the wait, not the work."""
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
        """Return the current counts."""
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
        """Return the prefix of keys for this instance; None while it accepts no new keys."""
        prefix = self._generations.current(asyncio.get_running_loop().time())
        return issue_prefix(prefix, self._fleet_key) if prefix is not None else None

    async def prefix_for(self, home: InstanceName) -> str | None:
        """Return the prefix to issue to clients for an instance; None when it issues none now."""
        if home == self._own.instance:
            return self.own_prefix()
        member = self._view.member(home)
        return await self._prefixes.fetch(member.incarnation) if member is not None else None

    async def _renew_generations_forever(self) -> None:
        while True:
            await self._generations.wait()
            await self._generations.tick()
            self._witness.tick(asyncio.get_running_loop().time())

    async def _store_outcomes_forever(self) -> None:
        pause_s = _STORE_PAUSE_S
        while True:
            await asyncio.sleep(pause_s)
            stored = await self._at_home.store_outcomes_again()
            pause_s = _STORE_PAUSE_S if stored else min(pause_s * 2, _STORE_PAUSE_LIMIT_S)

    async def _on_run_keyed(self, _sender: Incarnation, body: RunKeyed) -> KeyedReply:
        parsed = parse_key(body.request.key or "", self._fleet_key)
        if isinstance(parsed, Err):
            return KeyedReply(KeyStatus.ANSWERED, _invalid(parsed.err_value))
        key = parsed.ok_value
        if not self._home.owns(key):
            return KeyedReply(KeyStatus.NOT_HERE)
        binding = request_binding(body.request)
        return await self._at_home.wait_and_reply(
            self._at_home.start_request(key, binding, body.request)
        )

    async def _on_relay_keyed(self, _sender: Incarnation, body: RelayKeyed) -> KeyedReply:
        parsed = parse_key(body.request.key or "", self._fleet_key)
        if isinstance(parsed, Err):
            return KeyedReply(KeyStatus.ANSWERED, _invalid(parsed.err_value))
        binding = request_binding(body.request)
        answer = await self._receiver.find_answer(parsed.ok_value, binding, body.request)
        return KeyedReply(KeyStatus.ANSWERED, answer)

    async def _on_fetch_prefix(self, _sender: Incarnation, _body: FetchPrefix) -> PrefixReply:
        return PrefixReply(self.own_prefix())


def _invalid(failure: KeyFailure) -> Refusal:
    """Return the refusal of a text that is not a valid key of this fleet.

    A prefix whose signature does not match may have been issued before the fleet key was changed,
    so the outcome of its work is unknown. A text without the form of a key never ran.
    """
    forged = isinstance(failure, ForgedKey)
    return Refusal(Outcome.UNKNOWN if forged else Outcome.NOT_RUN, RefusalCause.KEY_INVALID)
