"""Tests of chunked configurations.

A change moves few chunks, and only complete versions are assembled.
"""

from collections.abc import Mapping, Sequence
from dataclasses import replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from result import Err, Ok

from egretrail.cluster import (
    KnownOutlines,
    PartedConfig,
    PartsCollection,
    at_once,
    decode_parts,
    encode_parts,
    part_config,
)
from egretrail.cluster._config_chunks import CHUNK_COUNT
from egretrail.testing import EgretrailTestCase, cases
from egretrail.traffic import (
    ClientAccount,
    ClientLimits,
    FleetConfig,
    Route,
    RouteKind,
    Service,
    WeightedService,
)


def _route(number: int, timeout_s: float = 1.0) -> Route:
    return Route(
        f"r{number}",
        f"h{number % 3}.example",
        f"/p{number}/",
        RouteKind.IDEMPOTENT if number % 2 else RouteKind.AT_MOST_ONCE,
        timeout_s,
        0.5,
        number % 3,
        2,
        (WeightedService("s", 1.0), WeightedService("t", 0.25)),
    )


_ACCOUNTS = [
    ClientAccount(f"account-{n}", (bytes([n]) * 16,), n % 3 or None, n * 1.5, 10.0)
    for n in range(40)
]


def _config(version: int, routes: Sequence[Route], *services: str) -> FleetConfig:
    table = {name: Service(name, "/health", 300) for name in services or ("s", "t")}
    return FleetConfig(version, routes, table, ClientLimits(), _ACCOUNTS)


_BASE = _config(1, [_route(n) for n in range(2_000)])


def _contents(config: FleetConfig) -> tuple[object, ...]:
    routes = {(route.host, route.prefix): route for route in config.routes}
    accounts = {account.name: account for account in config.accounts or ()}
    return config.version, routes, dict(config.services), config.limits, accounts


def _fetch(
    source: PartedConfig, known: KnownOutlines, own: PartedConfig | None, arrived: PartsCollection
) -> PartedConfig | None:
    """Fetch a configuration as one peer does from another."""
    manifest = known.outline(source, own.digest if own is not None else 0)
    while missing := arrived.lacking(manifest, own):
        reply = decode_parts(encode_parts([source.parts[number] for number in missing]))
        assert isinstance(reply, Ok)
        for chunk in reply.ok_value:
            arrived.add(chunk)
    return arrived.join(manifest, own)


class ChunksTest(EgretrailTestCase):
    @cases(
        {
            "a route is changed": ([_route(0, 2.0), *_BASE.routes[1:]], {}, 1),
            "a route is added": ([*_BASE.routes, _route(5_000)], {}, 1),
            "a route is removed": (_BASE.routes[1:], {}, 1),
            "routes come in another order": (_BASE.routes[::-1], {}, 0),
            "the limits change": (_BASE.routes, {"limits": ClientLimits(header_bytes=1)}, 0),
            "a service is added": (
                _BASE.routes,
                {"services": {**_BASE.services, "u": Service("u", "/h", 1)}},
                1,
            ),
            "an API key is revoked": (
                _BASE.routes,
                {"accounts": [replace(_ACCOUNTS[0], key_digests=()), *_ACCOUNTS[1:]]},
                1,
            ),
            "API keys are no longer required": (_BASE.routes, {"accounts": None}, 38),
            "everything is removed": ([], {"services": {}, "accounts": []}, CHUNK_COUNT),
        }
    )
    def test_only_changed_chunks_are_transferred(
        self, case: tuple[Sequence[Route], Mapping[str, object], int]
    ) -> None:
        routes, others, changed = case
        before = at_once(part_config(_BASE))
        config = replace(_BASE, version=2, routes=routes, **others)  # type: ignore[arg-type]
        after = at_once(part_config(config, before))
        known = KnownOutlines()
        known.remember(before)
        self.assertEqual(changed, len(known.outline(after, before.digest).changed))
        for own in (before, None):
            assembled = _fetch(after, known, own, PartsCollection())
            assert assembled is not None
            self.assertEqual(_contents(config), _contents(assembled.config))
            self.assertEqual(after.digest, assembled.digest)

    def test_unchanged_chunks_are_reused(self) -> None:
        before = at_once(part_config(_BASE))
        routes = [_route(0, 2.0), *_BASE.routes[1:]]
        after = at_once(part_config(replace(_BASE, version=2, routes=routes), before))
        kept = sum(a is b for a, b in zip(after.parts, before.parts, strict=True))
        self.assertEqual(CHUNK_COUNT - 1, kept)

    def test_splitting_yields_between_slices(self) -> None:
        slices = list(part_config(_BASE))
        self.assertGreater(len(slices), CHUNK_COUNT // 16)

    @cases(
        {
            "chunks with other numbers": lambda chunks: [*chunks[1:], chunks[0]],
            "a duplicate chunk": lambda chunks: [chunks[1], *chunks[1:]],
        }
    )
    def test_chunks_that_do_not_match_the_manifest_are_not_assembled(self, mix: object) -> None:
        source = at_once(part_config(_BASE))
        manifest = KnownOutlines().outline(source, 0)
        mixed = replace(source, parts=tuple(mix(source.parts)))  # type: ignore[operator]
        wrong = KnownOutlines().outline(mixed, 0)
        arrived = PartsCollection()
        for chunk in source.parts:
            arrived.add(chunk)
        self.assertIsNone(arrived.join(replace(wrong, digest=manifest.digest), None))

    def test_the_decompressed_size_of_a_reply_is_bounded(self) -> None:
        large = at_once(part_config(_config(1, [_route(1)], "s" * 17_000_000)))
        chunk = max(large.parts, key=lambda one: len(one.packed))
        self.assertIsInstance(decode_parts(encode_parts([chunk])), Err)


class _TransferMachine(RuleBasedStateMachine):
    """Two peers that publish versions, and an instance that fetches from them over a lossy link.

    Versions follow each other while peers restart and transfers are interrupted. The instance must
    never assemble a configuration that was not published.
    """

    def __init__(self) -> None:
        super().__init__()
        self._published: dict[int, FleetConfig] = {}
        self._peers: list[tuple[PartedConfig, KnownOutlines]] = []
        self._own: PartedConfig | None = None
        self._arrived = PartsCollection()

    @initialize()
    def start(self) -> None:
        """Give two peers a first version."""
        first = self._publish({1, 2, 3})
        for _ in range(2):
            known = KnownOutlines()
            known.remember(first)
            self._peers.append((first, known))

    @rule(peer=st.integers(0, 1), numbers=st.sets(st.integers(0, 40), max_size=20))
    def change(self, peer: int, numbers: set[int]) -> None:
        """Put the next version in force at one peer."""
        self._apply(peer, self._publish(numbers))

    @rule(peer=st.integers(0, 1))
    def restart(self, peer: int) -> None:
        """Restart a peer with the other peer's configuration and without its manifest history."""
        other = self._peers[1 - peer][0]
        known = KnownOutlines()
        known.remember(other)
        self._peers[peer] = (other, known)

    @rule(peer=st.integers(0, 1), arrives=st.integers(0, 12), discards=st.booleans())
    def fetch(self, peer: int, arrives: int, discards: bool) -> None:
        """Fetch from a peer; only some of the chunks arrive."""
        source, known = self._peers[peer]
        if self._own is not None and source.config.version <= self._own.config.version:
            return
        manifest = known.outline(source, self._own.digest if self._own is not None else 0)
        if discards:
            self._arrived.keep_only(manifest)
        missing = self._arrived.lacking(manifest, self._own)
        for number in list(missing)[:arrives]:
            self._arrived.add(source.parts[number])
        assembled = self._arrived.join(manifest, self._own)
        if arrives >= len(missing):
            assert assembled is not None
        if assembled is not None:
            self._own = assembled

    @invariant()
    def config_in_force_was_published(self) -> None:
        if self._own is not None:
            config = self._own.config
            assert _contents(config) == _contents(self._published[config.version])

    def _publish(self, numbers: set[int]) -> PartedConfig:
        version = len(self._published) + 1
        config = _config(version, [_route(n, float(version % 3)) for n in sorted(numbers)])
        self._published[version] = config
        return at_once(part_config(config))

    def _apply(self, peer: int, parted: PartedConfig) -> None:
        _, known = self._peers[peer]
        known.remember(parted)
        self._peers[peer] = (parted, known)


class TransferTest(EgretrailTestCase):
    def test_only_complete_versions_take_effect(self) -> None:
        run_state_machine_as_test(
            _TransferMachine,
            settings=settings(
                max_examples=60, stateful_step_count=30, deadline=None, database=None
            ),
        )
