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
    ChunkCollection,
    ChunkedConfig,
    ManifestHistory,
    decode_chunks,
    encode_chunks,
    run_to_completion,
    split_config,
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
    source: ChunkedConfig,
    known: ManifestHistory,
    own: ChunkedConfig | None,
    arrived: ChunkCollection,
) -> ChunkedConfig | None:
    """Fetch a configuration as one peer does from another."""
    manifest = known.manifest(source, own.digest if own is not None else 0)
    while missing := arrived.missing(manifest, own):
        reply = decode_chunks(encode_chunks([source.chunks[number] for number in missing]))
        assert isinstance(reply, Ok)
        for chunk in reply.ok_value:
            arrived.add(chunk)
    return arrived.assemble(manifest, own)


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
        before = run_to_completion(split_config(_BASE))
        config = replace(_BASE, version=2, routes=routes, **others)  # type: ignore[arg-type]
        after = run_to_completion(split_config(config, before))
        known = ManifestHistory()
        known.record(before)
        self.assertEqual(changed, len(known.manifest(after, before.digest).changed_chunks))
        for own in (before, None):
            assembled = _fetch(after, known, own, ChunkCollection())
            assert assembled is not None
            self.assertEqual(_contents(config), _contents(assembled.config))
            self.assertEqual(after.digest, assembled.digest)

    def test_unchanged_chunks_are_reused(self) -> None:
        before = run_to_completion(split_config(_BASE))
        routes = [_route(0, 2.0), *_BASE.routes[1:]]
        after = run_to_completion(split_config(replace(_BASE, version=2, routes=routes), before))
        kept = sum(a is b for a, b in zip(after.chunks, before.chunks, strict=True))
        self.assertEqual(CHUNK_COUNT - 1, kept)

    def test_splitting_yields_between_slices(self) -> None:
        slices = list(split_config(_BASE))
        self.assertGreater(len(slices), CHUNK_COUNT // 16)

    @cases(
        {
            "chunks with other numbers": lambda chunks: [*chunks[1:], chunks[0]],
            "a duplicate chunk": lambda chunks: [chunks[1], *chunks[1:]],
        }
    )
    def test_chunks_that_do_not_match_the_manifest_are_not_assembled(self, mix: object) -> None:
        source = run_to_completion(split_config(_BASE))
        manifest = ManifestHistory().manifest(source, 0)
        mixed = replace(source, chunks=tuple(mix(source.chunks)))  # type: ignore[operator]
        wrong = ManifestHistory().manifest(mixed, 0)
        arrived = ChunkCollection()
        for chunk in source.chunks:
            arrived.add(chunk)
        self.assertIsNone(arrived.assemble(replace(wrong, digest=manifest.digest), None))

    def test_the_decompressed_size_of_a_reply_is_bounded(self) -> None:
        large = run_to_completion(split_config(_config(1, [_route(1)], "s" * 17_000_000)))
        chunk = max(large.chunks, key=lambda one: len(one.packed))
        self.assertIsInstance(decode_chunks(encode_chunks([chunk])), Err)


class _TransferMachine(RuleBasedStateMachine):
    """Two peers that publish versions, and an instance that fetches from them over a lossy link.

    Versions follow each other while peers restart and transfers are interrupted. The instance must
    never assemble a configuration that was not published.
    """

    def __init__(self) -> None:
        super().__init__()
        self._published: dict[int, FleetConfig] = {}
        self._peers: list[tuple[ChunkedConfig, ManifestHistory]] = []
        self._own: ChunkedConfig | None = None
        self._arrived = ChunkCollection()

    @initialize()
    def start(self) -> None:
        """Give two peers a first version."""
        first = self._publish({1, 2, 3})
        for _ in range(2):
            known = ManifestHistory()
            known.record(first)
            self._peers.append((first, known))

    @rule(peer=st.integers(0, 1), numbers=st.sets(st.integers(0, 40), max_size=20))
    def change(self, peer: int, numbers: set[int]) -> None:
        """Put the next version in force at one peer."""
        self._apply(peer, self._publish(numbers))

    @rule(peer=st.integers(0, 1))
    def restart(self, peer: int) -> None:
        """Restart a peer with the other peer's configuration and without its manifest history."""
        other = self._peers[1 - peer][0]
        known = ManifestHistory()
        known.record(other)
        self._peers[peer] = (other, known)

    @rule(peer=st.integers(0, 1), arrives=st.integers(0, 12), discards=st.booleans())
    def fetch(self, peer: int, arrives: int, discards: bool) -> None:
        """Fetch from a peer; only some of the chunks arrive."""
        source, known = self._peers[peer]
        if self._own is not None and source.config.version <= self._own.config.version:
            return
        manifest = known.manifest(source, self._own.digest if self._own is not None else 0)
        if discards:
            self._arrived.discard_unreferenced(manifest)
        missing = self._arrived.missing(manifest, self._own)
        for number in list(missing)[:arrives]:
            self._arrived.add(source.chunks[number])
        assembled = self._arrived.assemble(manifest, self._own)
        if arrives >= len(missing):
            assert assembled is not None
        if assembled is not None:
            self._own = assembled

    @invariant()
    def config_in_force_was_published(self) -> None:
        if self._own is not None:
            config = self._own.config
            assert _contents(config) == _contents(self._published[config.version])

    def _publish(self, numbers: set[int]) -> ChunkedConfig:
        version = len(self._published) + 1
        config = _config(version, [_route(n, float(version % 3)) for n in sorted(numbers)])
        self._published[version] = config
        return run_to_completion(split_config(config))

    def _apply(self, peer: int, parted: ChunkedConfig) -> None:
        _, known = self._peers[peer]
        known.record(parted)
        self._peers[peer] = (parted, known)


class TransferTest(EgretrailTestCase):
    def test_only_complete_versions_take_effect(self) -> None:
        run_state_machine_as_test(
            _TransferMachine,
            settings=settings(
                max_examples=60, stateful_step_count=30, deadline=None, database=None
            ),
        )
