"""Routes, weighted services, objectives and the table of upstreams."""

import random
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from egretrail.testing import EgretrailTestCase, cases
from egretrail.traffic import (
    ClientAccount,
    ClientLimits,
    FleetConfig,
    ObjectiveTable,
    Route,
    RouteKind,
    RouteTable,
    UpstreamRecord,
    UpstreamState,
    UpstreamTable,
    WeightedService,
    choose_service,
    request_priority,
)


def _route(name: str, prefix: str, host: str = "shop.example", *weights: float) -> Route:
    parts = [WeightedService(f"s{n}", weight) for n, weight in enumerate(weights or (1.0,))]
    return Route(name, host, prefix, RouteKind.IDEMPOTENT, 1.0, 0.5, 0, 2, parts)


_TABLE = RouteTable(
    FleetConfig(
        1,
        [_route("all", "/"), _route("a", "/a/"), _route("a-b", "/a/b/"), _route("x", "/x/", "o")],
        {},
        ClientLimits(),
    )
)


class RouteTableTest(EgretrailTestCase):
    @cases(
        {
            "longest prefix": ("shop.example", "/a/b/c", "a-b"),
            "shorter prefix": ("shop.example", "/a/c", "a"),
            "the prefix itself": ("shop.example", "/a/b/", "a-b"),
            "without the last slash": ("shop.example", "/a/b", "a"),
            "root": ("shop.example", "/zz", "all"),
            "port and case of the host": ("Shop.Example:80", "/a/c", "a"),
            "other host": ("other", "/a/c", None),
            "no prefix of the host": ("o", "/a/c", None),
            "no path": ("shop.example", "", None),
            "incomplete path segment": ("o", "/xy", None),
        }
    )
    def test_find(self, case: tuple[str, str, str | None]) -> None:
        host, path, expected = case
        route = _TABLE.find(host, path)
        self.assertEqual(expected, route.name if route is not None else None)


class ObjectiveTableTest(EgretrailTestCase):
    def test_the_shortest_objective_of_more_urgent_requests(self) -> None:
        urgent = replace(_route("u", "/u/"), priority=0, objective_s=0.5)
        normal = replace(_route("v", "/v/"), priority=2, objective_s=0.2)
        table = ObjectiveTable(FleetConfig(1, [urgent, normal], {}, ClientLimits()))
        found = [table.shortest_objective_s("s0", priority) for priority in (0, 1, 2, 3)]
        self.assertEqual([None, 0.5, 0.5, 0.2], found)
        self.assertIsNone(table.shortest_objective_s("other", 3))

    def test_the_priority_of_an_account_takes_precedence(self) -> None:
        route = replace(_route("u", "/u/"), priority=0, objective_s=0.5)
        accounts = [ClientAccount("a", (), 1, 0.0, 0.0), ClientAccount("b", (), None, 0.0, 0.0)]
        self.assertEqual([1, 0, 0], [request_priority(route, one) for one in [*accounts, None]])
        config = FleetConfig(1, [route], {}, ClientLimits(), accounts[:1])
        self.assertIsNone(ObjectiveTable(config).shortest_objective_s("s0", 1))
        public = replace(config, routes=[replace(route, is_public=True)])
        self.assertEqual(0.5, ObjectiveTable(public).shortest_objective_s("s0", 1))

    def test_accounts_are_not_read_again_for_each_route(self) -> None:
        """A thousand accounts and 4,000 routes blocked a process for half a second."""
        accounts = _CountedList([ClientAccount("a", (), one, 0.0, 0.0) for one in (1, None, 3)])
        routes = [replace(_route(str(n), f"/{n}/"), priority=n, objective_s=n + 1) for n in (0, 2)]
        table = ObjectiveTable(FleetConfig(1, routes, {}, ClientLimits(), accounts))
        self.assertEqual({0: 1, 1: 1, 2: 3, 3: 1}, table.by_service()["s0"])
        self.assertEqual({0: 1, 1: 3, 2: 3, 3: 3}, table.longest_by_service()["s0"])
        self.assertEqual(1, accounts.reads)


class _CountedList(list[ClientAccount]):
    """A list that counts how often it is read."""

    reads = 0

    def __iter__(self) -> Iterator[ClientAccount]:
        self.reads += 1
        return super().__iter__()


class WeightedServicesTest(EgretrailTestCase):
    @cases({"even": (1.0, 1.0), "one in ten": (90.0, 10.0), "three": (5.0, 3.0, 2.0)})
    def test_shares_follow_the_weights(self, weights: tuple[float, ...]) -> None:
        route = _route("r", "/", "shop.example", *weights)
        rng = random.Random(1)
        drawn = Counter(choose_service(route, rng) for _ in range(3000))
        for number, weight in enumerate(weights):
            expected = weight / sum(weights)
            self.assertAlmostEqual(expected, drawn[f"s{number}"] / 3000, delta=0.03)


def _record(
    name: str, state: UpstreamState = UpstreamState.READY, started_ms: int = 0
) -> UpstreamRecord:
    return UpstreamRecord(name, "s", "10.0.0.1:1", "a", 4, state, started_ms=started_ms)


class LifetimeIdTest(EgretrailTestCase):
    def test_no_two_lifetimes_share_an_id(self) -> None:
        """An entry named like another's lifetime took its place in the list."""
        names = ("", "a", "a~1", "a~1~1", "~", "~1", "a~", "a~~1")
        ids = [_record(name, started_ms=n).id for name in names for n in (0, 1, 0x11)]
        self.assertEqual(len(ids), len(set(ids)))


class UpstreamTableTest(EgretrailTestCase):
    def _ready(self, table: UpstreamTable) -> set[str]:
        return {record.id for record in table.ready("s")}

    def test_an_older_list_is_ignored(self) -> None:
        table = UpstreamTable()
        self.assertTrue(table.replace([_record("u1")], 10))
        self.assertFalse(table.replace([_record("u2")], 9))
        self.assertEqual({"u1"}, self._ready(table))

    def test_a_drained_upstream_never_becomes_ready_again(self) -> None:
        table = UpstreamTable()
        table.replace([_record("u1"), _record("u2")], 10)
        table.apply_changes({"u1": _record("u1", UpstreamState.DRAINING)}, 11)
        table.replace([_record("u1"), _record("u2")], 12)
        self.assertEqual({"u2"}, self._ready(table))

    def test_an_upstream_whose_address_responds_for_another_is_not_ready(self) -> None:
        table = UpstreamTable()
        table.replace([_record("u1")], 10)
        table.mark_draining("u1")
        table.replace([_record("u1")], 12)
        self.assertEqual(set(), self._ready(table))

    def test_removed_upstreams_may_be_listed_again(self) -> None:
        table = UpstreamTable()
        table.replace([_record("u1")], 10)
        table.apply_changes({"u1": None}, 11)
        self.assertEqual(set(), self._ready(table))
        table.apply_changes({"u1": _record("u1")}, 12)
        self.assertEqual({"u1"}, self._ready(table))


#: A change of the store: a name with the start of its lifetime, None for a removal.
Change = tuple[str, int | None, UpstreamState]
_READY, _DRAINING = UpstreamState.READY, UpstreamState.DRAINING


class LifetimesTest(EgretrailTestCase):
    """An upstream that restarts under its name is another lifetime."""

    @cases(
        {
            "a start after a drain": ([("u", 5, _DRAINING), ("u", 9, _READY)], {9}),
            "a start after a removal": (
                [("u", 5, _READY), ("u", None, _READY), ("u", 9, _READY)],
                {9},
            ),
            "a start in place of another": ([("u", 5, _READY), ("u", 9, _READY)], {9}),
            "a late record of the old one": ([("u", 9, _READY), ("u", 5, _READY)], {9}),
            "a late drain of the old one": ([("u", 9, _READY), ("u", 5, _DRAINING)], {9}),
            "a late record after both are gone": (
                [("u", 9, _READY), ("u", None, _READY), ("u", 5, _READY)],
                set(),
            ),
            "the drained one reports ready": ([("u", 9, _DRAINING), ("u", 9, _READY)], set()),
            "a removal after a new start": (
                [("u", 5, _READY), ("u", 9, _READY), ("u", None, _READY)],
                set(),
            ),
            "two names": ([("u", 5, _READY), ("v", 4, _READY), ("u", 9, _READY)], {4, 9}),
        }
    )
    def test_which_lifetimes_are_ready(self, case: tuple[Sequence[Change], set[int]]) -> None:
        changes, expected = case
        for whole in (False, True):
            table = UpstreamTable()
            for revision, (name, started_ms, state) in enumerate(changes, start=1):
                record = None if started_ms is None else _record(name, state, started_ms)
                if whole:
                    kept = {held.name: held for held in table if held.name != name}
                    table.replace([*kept.values(), *([record] if record else [])], revision)
                else:
                    table.apply_changes({name: record}, revision)
            self.assertEqual(expected, {record.started_ms for record in table.ready("s")})

    def test_a_response_for_another_lifetime_drains_only_the_addressed_one(self) -> None:
        table = UpstreamTable()
        old, new = _record("u", started_ms=5), _record("u", started_ms=9)
        table.apply_changes({"u": old}, 1)
        self.assertTrue(table.mark_draining(old.id))
        table.apply_changes({"u": new}, 2)
        self.assertFalse(table.mark_draining(old.id))
        self.assertEqual([new.id], [record.id for record in table.ready("s")])


class LifetimeMachine(RuleBasedStateMachine):
    """Records of lifetimes in any order, against a model of the store.

    The store's revisions increase, and its writers may be late: a lifetime's record can be stored
    after that of the next one. The table applies single changes or complete lists, also old ones.
    """

    def __init__(self) -> None:
        super().__init__()
        self.table = UpstreamTable()
        self.revision = 0
        self.entries: dict[str, UpstreamRecord] = {}
        self.lists: list[tuple[int, list[UpstreamRecord]]] = []
        self.newest: dict[str, int] = {}
        self.ended: set[str] = set()

    def _store(self, name: str, record: UpstreamRecord | None) -> None:
        self.revision += 1
        if record is None:
            self.entries.pop(name, None)
        else:
            self.entries[name] = record
        self.lists.append((self.revision, list(self.entries.values())))

    @rule(name=st.sampled_from("uv"), started_ms=st.integers(1, 4), draining=st.booleans())
    def write(self, name: str, started_ms: int, draining: bool) -> None:
        record = _record(name, _DRAINING if draining else _READY, started_ms)
        self._store(name, record)
        self.table.apply_changes({name: record}, self.revision)
        self.newest[name] = max(self.newest.get(name, 0), started_ms)
        if draining:
            self.ended.add(record.id)

    @rule(name=st.sampled_from("uv"))
    def remove(self, name: str) -> None:
        self._store(name, None)
        self.table.apply_changes({name: None}, self.revision)

    @rule(back=st.integers(0, 5))
    def replace_list(self, back: int) -> None:
        if len(self.lists) > back:
            revision, records = self.lists[-1 - back]
            self.table.replace(records, revision)

    @rule(name=st.sampled_from("uv"), started_ms=st.integers(1, 4))
    def respond_that_it_ended(self, name: str, started_ms: int) -> None:
        # A response may arrive after the lifetime's entry vanished, and the entry may return.
        upstream_id = _record(name, started_ms=started_ms).id
        self.ended.add(upstream_id)
        self.table.mark_draining(upstream_id)

    @invariant()
    def no_ended_or_older_lifetime_is_ready(self) -> None:
        ready = self.table.ready("s")
        assert len({record.name for record in ready}) == len(ready)
        for record in ready:
            assert record.id not in self.ended
            assert record.started_ms == self.newest[record.name]

    @invariant()
    def the_newest_lifetime_is_ready_if_the_store_lists_it(self) -> None:
        ready = {record.id for record in self.table.ready("s")}
        for record in self.entries.values():
            if record.started_ms == self.newest[record.name] and record.id not in self.ended:
                assert record.id in ready


class LifetimeMachineTest(EgretrailTestCase):
    def test_records_in_any_order(self) -> None:
        run_state_machine_as_test(
            LifetimeMachine, settings=settings(max_examples=150, deadline=None, derandomize=True)
        )


class ChangesTest(EgretrailTestCase):
    """A table that applies another's changes equals the table that reads all of them."""

    def _record(self, name: str, started_ms: int = 0) -> UpstreamRecord:
        state = UpstreamState.READY
        return UpstreamRecord(name, "s", "10.0.0.1:1", "a", 4, state, started_ms=started_ms)

    @cases(
        {
            "nothing newer": (7, {}),
            "the last batch": (6, {"c": None}),
            "between two batches": (5, {"c": None}),
            "all batches": (3, {"a": None, "c": None, "d": "d"}),
            "before the complete list": (2, None),
        }
    )
    def test_changes_since(self, case: tuple[int, dict[str, str | None] | None]) -> None:
        revision, expected = case
        table = UpstreamTable()
        table.replace([self._record("a"), self._record("b")], 3)
        table.apply_changes({"a": None, "c": self._record("c"), "d": self._record("d")}, 5)
        table.apply_changes({"c": None}, 7)
        self.assertEqual(expected, self._changes_since(table, revision))

    @cases(
        {
            "a_newer_list_which_hides_the_changes": (9, 8, None),
            "a_newer_list_for_a_reader_of_all_earlier_changes": (9, 7, None),
            "another_list_of_the_same_revision": (7, 6, {"c": None, "d": "d"}),
            "another_list_for_a_reader_of_the_same_revision": (7, 7, {"d": "d"}),
        }
    )
    def test_changes_after_a_complete_list(
        self, case: tuple[int, int, dict[str, str | None] | None]
    ) -> None:
        revision, known, expected = case
        table = UpstreamTable()
        table.replace([self._record("a"), self._record("c")], 6)
        table.apply_changes({"c": None}, 7)
        table.replace([self._record("a"), self._record("d")], revision)
        self.assertEqual(expected, self._changes_since(table, known))

    def test_changes_include_a_removal_after_the_same_list_was_read_again(self) -> None:
        table = UpstreamTable()
        table.replace([self._record("a"), self._record("c")], 6)
        table.remove(["c"])
        table.replace([self._record("a")], 6)
        self.assertEqual({"c": None}, self._changes_since(table, 6))

    @cases(
        {
            # The complete list, read later, holds a late record of the previous lifetime.
            "a listed name": (["x"], True),
            "a name that is not listed any more": ([], False),
        }
    )
    def test_a_newer_lifetime_is_applied_also_from_an_older_change(
        self, case: tuple[Sequence[str], bool]
    ) -> None:
        names, expected = case
        table = UpstreamTable()
        old = self._record("x", started_ms=1_000)
        table.replace([old], 18)
        table.replace([replace(old, state=UpstreamState.DRAINING) for _ in names], 20)
        new = self._record("x", started_ms=2_000)
        table.apply_changes({"x": replace(new, revision=19)}, 20)
        self.assertEqual(expected, bool(table.ready("s")))

    def _changes_since(self, table: UpstreamTable, known: int) -> dict[str, str | None] | None:
        changes = table.changes_since(known)
        if changes is None:
            return None
        return {name: record.name if record else None for name, record in changes.items()}

    def test_a_follower_equals_the_reader_after_any_number_of_changes(self) -> None:
        rng = random.Random(3)
        reader, follower = UpstreamTable(), UpstreamTable()
        reader.replace([self._record(f"u{n}") for n in range(30)], 1)
        complete_lists = 0
        for revision in range(2, 1500):
            name = f"u{rng.randrange(60)}"
            record = self._record(name, revision) if rng.random() < 0.6 else None
            reader.apply_changes({name: record}, revision)
            if rng.random() > (0.02 if revision % 600 < 450 else 0.5):
                continue
            changes = reader.changes_since(follower.revision)
            if changes is None:
                complete_lists += 1
                follower.replace(list(reader), reader.revision)
            else:
                follower.apply_changes(changes, reader.revision)
            self.assertEqual(reader.records, follower.records)
        self.assertLess(complete_lists, 4)
