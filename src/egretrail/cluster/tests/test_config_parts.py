"""Configurations in parts: what a change moves, and that nothing but a whole version is joined."""

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
from egretrail.cluster._config_parts import PART_COUNT
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
    outline = known.outline(source, own.digest if own is not None else 0)
    while lacking := arrived.lacking(outline, own):
        reply = decode_parts(encode_parts([source.parts[number] for number in lacking]))
        assert isinstance(reply, Ok)
        for part in reply.ok_value:
            arrived.add(part)
    return arrived.join(outline, own)


class PartsTest(EgretrailTestCase):
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
            "a key is taken away": (
                _BASE.routes,
                {"accounts": [replace(_ACCOUNTS[0], key_digests=()), *_ACCOUNTS[1:]]},
                1,
            ),
            "keys are asked for no more": (_BASE.routes, {"accounts": None}, 38),
            "all is removed": ([], {"services": {}, "accounts": []}, PART_COUNT),
        }
    )
    def test_what_changed_is_told(
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
            joined = _fetch(after, known, own, PartsCollection())
            assert joined is not None
            self.assertEqual(_contents(config), _contents(joined.config))
            self.assertEqual(after.digest, joined.digest)

    def test_unchanged_parts_are_kept_as_they_are(self) -> None:
        before = at_once(part_config(_BASE))
        routes = [_route(0, 2.0), *_BASE.routes[1:]]
        after = at_once(part_config(replace(_BASE, version=2, routes=routes), before))
        kept = sum(a is b for a, b in zip(after.parts, before.parts, strict=True))
        self.assertEqual(PART_COUNT - 1, kept)

    def test_work_is_done_in_slices(self) -> None:
        slices = list(part_config(_BASE))
        self.assertGreater(len(slices), PART_COUNT // 16)

    @cases(
        {
            "a part of another configuration": lambda parts: [*parts[1:], parts[0]],
            "one part twice": lambda parts: [parts[1], *parts[1:]],
        }
    )
    def test_parts_that_are_not_the_outlines_are_not_joined(self, mix: object) -> None:
        source = at_once(part_config(_BASE))
        outline = KnownOutlines().outline(source, 0)
        mixed = replace(source, parts=tuple(mix(source.parts)))  # type: ignore[operator]
        wrong = KnownOutlines().outline(mixed, 0)
        arrived = PartsCollection()
        for part in source.parts:
            arrived.add(part)
        self.assertIsNone(arrived.join(replace(wrong, digest=outline.digest), None))

    def test_a_reply_unpacks_to_a_bounded_size(self) -> None:
        big = at_once(part_config(_config(1, [_route(1)], "s" * 17_000_000)))
        part = max(big.parts, key=lambda one: len(one.packed))
        self.assertIsInstance(decode_parts(encode_parts([part])), Err)


class _Exchange(RuleBasedStateMachine):
    """Instances that publish versions, and one that fetches from them with losses.

    Load: versions follow each other while peers are killed, cut off and started again.
    """

    def __init__(self) -> None:
        super().__init__()
        self._published: dict[int, FleetConfig] = {}
        self._peers: list[tuple[PartedConfig, KnownOutlines]] = []
        self._own: PartedConfig | None = None
        self._arrived = PartsCollection()

    @initialize()
    def start(self) -> None:
        """Let two peers have a first version."""
        first = self._publish({1, 2, 3})
        for _ in range(2):
            known = KnownOutlines()
            known.remember(first)
            self._peers.append((first, known))

    @rule(peer=st.integers(0, 1), numbers=st.sets(st.integers(0, 40), max_size=20))
    def change(self, peer: int, numbers: set[int]) -> None:
        """Put a next version in force at one peer."""
        self._take(peer, self._publish(numbers))

    @rule(peer=st.integers(0, 1))
    def restart(self, peer: int) -> None:
        """Start a peer again with what the other one has, and no memory of before."""
        other = self._peers[1 - peer][0]
        known = KnownOutlines()
        known.remember(other)
        self._peers[peer] = (other, known)

    @rule(peer=st.integers(0, 1), arrives=st.integers(0, 12), forgets=st.booleans())
    def fetch(self, peer: int, arrives: int, forgets: bool) -> None:
        """Fetch from a peer; only some of the parts arrive."""
        source, known = self._peers[peer]
        if self._own is not None and source.config.version <= self._own.config.version:
            return
        outline = known.outline(source, self._own.digest if self._own is not None else 0)
        if forgets:
            self._arrived.keep_only(outline)
        lacking = self._arrived.lacking(outline, self._own)
        for number in list(lacking)[:arrives]:
            self._arrived.add(source.parts[number])
        joined = self._arrived.join(outline, self._own)
        if arrives >= len(lacking):
            assert joined is not None
        if joined is not None:
            self._own = joined

    @invariant()
    def what_is_in_force_was_published(self) -> None:
        if self._own is not None:
            config = self._own.config
            assert _contents(config) == _contents(self._published[config.version])

    def _publish(self, numbers: set[int]) -> PartedConfig:
        version = len(self._published) + 1
        config = _config(version, [_route(n, float(version % 3)) for n in sorted(numbers)])
        self._published[version] = config
        return at_once(part_config(config))

    def _take(self, peer: int, parted: PartedConfig) -> None:
        _, known = self._peers[peer]
        known.remember(parted)
        self._peers[peer] = (parted, known)


class ExchangeTest(EgretrailTestCase):
    def test_only_whole_versions_come_in_force(self) -> None:
        run_state_machine_as_test(
            _Exchange,
            settings=settings(
                max_examples=60, stateful_step_count=30, deadline=None, database=None
            ),
        )
