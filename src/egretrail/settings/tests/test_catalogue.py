"""The catalogue never returns a path to an older value."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from egretrail.identity import ServiceName
from egretrail.settings import (
    BUCKETS,
    Catalogue,
    ChangeRun,
    Outcome,
    SettingChange,
)
from egretrail.testing import EgretrailTestCase, cases

_PATH = "t/services/a"


def _change(generation: int, floor: int | None, path: str = _PATH) -> SettingChange:
    text = None if floor is None else f"floor = {floor}"
    return SettingChange(path, generation, f"change-{generation}", text)


def _floor(catalogue: Catalogue) -> int | None:
    service = catalogue.in_force.settings().services.get(ServiceName("t/a"))
    return None if service is None else service.floor


class ApplyTest(EgretrailTestCase):
    @cases(
        {
            "newer": (_change(5, 1), _change(6, 2), Outcome.APPLIED, 2),
            "older": (_change(5, 1), _change(4, 2), Outcome.OLDER, 1),
            "doubled": (_change(5, 1), _change(5, 1), Outcome.KNOWN, 1),
            "deletion": (_change(5, 1), _change(6, None), Outcome.APPLIED, None),
            "late_deletion": (_change(5, 1), _change(4, None), Outcome.OLDER, 1),
            "after_a_deletion": (_change(5, None), _change(4, 1), Outcome.OLDER, None),
            "put_again": (_change(5, None), _change(6, 1), Outcome.APPLIED, 1),
        }
    )
    def test_only_a_higher_generation_is_applied(
        self, row: tuple[SettingChange, SettingChange, Outcome, int | None]
    ) -> None:
        first, second, expected, floor = row
        catalogue = Catalogue()
        catalogue.apply(first)
        self.assertIs(expected, catalogue.apply(second))
        self.assertEqual(floor, _floor(catalogue))

    def test_changes_before_a_discarded_deletion_are_ignored(self) -> None:
        catalogue = Catalogue()
        catalogue.apply_run(ChangeRun(0, 7, [_change(5, 1), _change(7, None)]))
        self.assertIsNone(catalogue.held(_PATH))
        self.assertIs(Outcome.OLDER, catalogue.apply(_change(6, 1)))

    def test_an_invalid_text_keeps_the_last_valid_value(self) -> None:
        catalogue = Catalogue()
        catalogue.apply(_change(5, 1))
        catalogue.apply(SettingChange(_PATH, 6, "change-6", "floor = 'many'"))
        self.assertEqual((1, [_PATH]), (_floor(catalogue), list(catalogue.in_force.issues())))
        catalogue.apply(_change(7, 3))
        self.assertEqual((3, {}), (_floor(catalogue), catalogue.in_force.issues()))


class RunTest(EgretrailTestCase):
    @cases(
        {
            "follows": (ChangeRun(4, 6, []), 6, False),
            "overlaps": (ChangeRun(2, 6, []), 6, False),
            "known": (ChangeRun(2, 3, []), 4, False),
            "gap": (ChangeRun(5, 6, []), 4, True),
            "claims_nothing": (ChangeRun(9, 9, []), 4, False),
        }
    )
    def test_a_run_advances_completeness_only_without_a_gap(
        self, row: tuple[ChangeRun, int, bool]
    ) -> None:
        run, complete, gap = row
        catalogue = Catalogue()
        catalogue.complete_upto(4)
        self.assertEqual(gap, catalogue.apply_run(run).gap)
        self.assertEqual(complete, catalogue.complete_revision)


class SnapshotTest(EgretrailTestCase):
    @cases(
        {
            "absent_is_deleted": ([], 9, 5, None, False),
            "newer": ([_change(8, 2)], 9, 5, 2, False),
            "written_since_the_answer": ([], 4, 3, 1, False),
            "restored_store": ([], 4, 5, 1, True),
            "restored_and_overtaken": ([_change(3, 2)], 9, 5, 1, True),
        }
    )
    def test_a_store_that_lost_writes_deletes_nothing(
        self, row: tuple[list[SettingChange], int, int, int | None, bool]
    ) -> None:
        changes, revision, asked_at, floor, behind = row
        catalogue = Catalogue()
        catalogue.apply(_change(5, 1))
        outcome = catalogue.apply_snapshot(changes, revision, asked_at)
        self.assertEqual((floor, behind), (_floor(catalogue), outcome.behind is not None))

    def test_a_restored_store_does_not_restore_deleted_paths(self) -> None:
        catalogue = Catalogue()
        catalogue.apply_run(ChangeRun(0, 7, [_change(5, 1), _change(7, None)]))
        outcome = catalogue.apply_snapshot([_change(5, 1)], 9, 7)
        self.assertEqual((None, True), (_floor(catalogue), outcome.behind is not None))


def exchange(one: Catalogue, other: Catalogue) -> None:
    """Compare two catalogues as two instances do over the network."""
    numbers = one.tree.differing(other.tree.buckets)
    found = other.difference(numbers, one.marks(numbers), 1 << 20)
    for change in found.changes:
        if one.apply(change) is Outcome.OLDER:
            other.apply(one.current(change.path))
    for path in found.wanted:
        other.apply(one.current(path))
    if one.tree.root == other.tree.root:
        one.complete_upto(other.complete_revision)


class CatalogueMachine(RuleBasedStateMachine):
    """Instances that receive runs duplicated, reordered or not at all, and compare their state."""

    def __init__(self) -> None:
        super().__init__()
        self.instances = [Catalogue() for _ in range(3)]
        self.log: list[SettingChange] = []
        self.seen: list[dict[str, int]] = [{} for _ in self.instances]

    @rule(path=st.sampled_from("abc"), floor=st.one_of(st.none(), st.integers(0, 9)))
    def write(self, path: str, floor: int | None) -> None:
        self.log.append(_change(len(self.log) + 1, floor, f"t/services/{path}"))

    @precondition(lambda self: self.log)
    @rule(data=st.data(), who=st.integers(0, 2))
    def deliver(self, data: st.DataObject, who: int) -> None:
        upto = data.draw(st.integers(1, len(self.log)))
        after = data.draw(st.integers(0, upto - 1))
        self.instances[who].apply_run(ChangeRun(after, upto, self.log[after:upto]))

    @precondition(lambda self: self.log)
    @rule(data=st.data(), who=st.integers(0, 2))
    def deliver_one(self, data: st.DataObject, who: int) -> None:
        self.instances[who].apply(data.draw(st.sampled_from(self.log)))

    @rule(who=st.integers(0, 2), other=st.integers(0, 2))
    def compare(self, who: int, other: int) -> None:
        exchange(self.instances[who], self.instances[other])

    @rule(who=st.integers(0, 2))
    def restart(self, who: int) -> None:
        self.instances[who] = Catalogue()
        self.seen[who] = {}

    @rule(who=st.integers(0, 2))
    def snapshot(self, who: int) -> None:
        state = {change.path: change for change in self.log if change.text is not None}
        deleted = {c.path for c in self.log if c.text is None and not self._is_superseded(c)}
        present = [change for path, change in state.items() if path not in deleted]
        instance = self.instances[who]
        instance.apply_snapshot(present, len(self.log), instance.complete_revision)

    def _is_superseded(self, change: SettingChange) -> bool:
        return any(c.path == change.path and c.generation > change.generation for c in self.log)

    @invariant()
    def never_reverts(self) -> None:
        for instance, seen in zip(self.instances, self.seen, strict=True):
            for path in (f"t/services/{name}" for name in "abc"):
                current = instance.current(path)
                assert current.generation >= seen.get(path, 0)
                if current.text is not None:
                    assert current == self.log[current.generation - 1]
                seen[path] = current.generation

    @invariant()
    def complete_means_every_change(self) -> None:
        for instance in self.instances:
            for change in self.log[: instance.complete_revision]:
                assert instance.current(change.path).generation >= change.generation
                if (
                    not any(
                        later.path == change.path and later.generation > change.generation
                        for later in self.log[: instance.complete_revision]
                    )
                    and instance.held(change.path) is None
                ):
                    assert change.text is None

    def teardown(self) -> None:
        run = ChangeRun(0, len(self.log), self.log)
        self.instances[0].apply_run(run)
        for _ in range(2):
            for other in self.instances[1:]:
                exchange(other, self.instances[0])
        assert len({instance.tree.root for instance in self.instances}) == 1
        assert all(i.complete_revision == len(self.log) for i in self.instances)


TestCatalogueMachine = CatalogueMachine.TestCase
TestCatalogueMachine.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=30, deadline=None
)


class DigestTest(EgretrailTestCase):
    def test_digests_do_not_depend_on_the_order_of_changes(self) -> None:
        changes = [_change(i + 1, i, f"t/services/n{i % 300}") for i in range(900)]
        roots = set()
        for seed in range(3):
            random.Random(seed).shuffle(changes)
            catalogue = Catalogue()
            for change in changes:
                catalogue.apply(change)
            roots.add(catalogue.tree.root)
        self.assertEqual(1, len(roots))
        self.assertEqual(300, sum(catalogue.bucket_size(n) for n in range(BUCKETS)))
