"""What a hub sums up, and whom an instance follows."""

from collections.abc import Mapping, Sequence
from typing import Any

from egretrail.cluster import (
    Beat,
    DropReport,
    Finding,
    Following,
    Hub,
    HubState,
    LimitReport,
    LossReport,
    RosterSlice,
    Scope,
    Section,
    encode_sections,
)
from egretrail.cluster._finding_log import FindingLog
from egretrail.cluster.tests.messages import beat
from egretrail.dispatch import Outcome, RepeatCounts, RequestDigest
from egretrail.testing import EgretrailTestCase, cases

_STATE = HubState(3, 40)
_HUB = "10.0.0.1"


def _finding(key: int, outcome: Outcome = Outcome.FAILED) -> Finding:
    return Finding(key, outcome, 0.003, "10.0.0.2")


def _hub(*beats: Beat) -> Hub:
    hub = Hub(_HUB, "a", 7, 0.0)
    for one in beats:
        hub.hear(one, 0.0, direct=True)
    return hub


def _loads(sections: Sequence[Section]) -> dict[int, int]:
    """Return all loads that sections hold as parts."""
    return {
        key: count
        for one in sections
        if one.loads is not None
        for key, count in zip(one.loads.rows.keys, one.loads.rows.counts, strict=True)
    }


def _roster(sections: Sequence[Section]) -> RosterSlice:
    [roster] = [one.roster for one in sections if one.roster is not None]
    return roster


class SumsTest(EgretrailTestCase):
    @cases(
        {
            "two instances": ([("2", 1, {5: 1}), ("3", 1, {5: 2, 6: 1})], {5: 3, 6: 1}),
            "a later word replaces the earlier": ([("2", 1, {5: 1}), ("2", 2, {6: 1})], {6: 1}),
            "an older word that comes late": ([("2", 2, {5: 1}), ("2", 1, {6: 4})], {5: 1}),
            "the same word twice": ([("2", 1, {5: 1}), ("2", 1, {5: 1})], {5: 1}),
        }
    )
    def test_loads(
        self, case: tuple[Sequence[tuple[str, int, Mapping[int, int]]], Mapping[int, int]]
    ) -> None:
        told, expected = case
        hub = _hub(*(beat(f"10.0.0.{n}", sequence, loads=loads) for n, sequence, loads in told))
        self.assertEqual(expected, _loads(list(hub.across_sections(_STATE, 0.1))))

    def test_changed_loads_are_told_once_and_all_loads_within_fifteen_sections(self) -> None:
        hub = _hub(beat("10.0.0.2", loads=dict.fromkeys(range(40), 1)))
        first = next(iter(hub.zone_sections(_STATE, 0.1)))
        self.assertEqual(set(range(40)), set(first.changed.keys))
        later = [next(iter(hub.zone_sections(_STATE, 0.2 + n / 10))) for n in range(15)]
        self.assertEqual([()] * 15, [tuple(one.changed.keys) for one in later])
        self.assertEqual(dict.fromkeys(range(40), 1), _loads(later))

    def test_a_silent_instances_loads_end_with_it(self) -> None:
        hub = _hub(beat("10.0.0.2", loads={5: 1}))
        hub.hear(beat("10.0.0.3", loads={5: 2}), 1.0, direct=True)
        self.assertEqual(["10.0.0.2"], [one.address for one in hub.expire(1.5)])
        self.assertEqual({5: 2}, _loads(list(hub.across_sections(_STATE, 1.5))))

    def test_a_pause_of_the_hub_makes_nobody_silent(self) -> None:
        hub = _hub(beat("10.0.0.2"))
        hub.postpone(4.0)
        self.assertEqual([], list(hub.expire(5.0)))

    def test_counts_of_repeats_begin_with_what_the_zone_had_not_heard_and_never_fall(self) -> None:
        known, first = {"s": RepeatCounts(88, 8)}, {"s": RepeatCounts(90, 9)}
        hub = _hub(beat("10.0.0.2", 1, repeats=first, told_repeats=known))
        hub.hear(beat("10.0.0.2", 2, repeats={"s": RepeatCounts(95, 10)}), 0.1, direct=True)
        restarted = beat("10.0.0.2", 1, incarnation=8, repeats={"s": RepeatCounts(2, 0)})
        hub.hear(restarted, 0.2, direct=True)
        [section, *_] = hub.zone_sections(_STATE, 0.3)
        self.assertEqual({"s": RepeatCounts(7, 2)}, section.repeats)

    def test_the_last_beat_of_each_is_acknowledged_at_its_place(self) -> None:
        hub = _hub(beat("10.0.0.2", 300), beat("10.0.0.3", 5))
        sections = list(hub.zone_sections(_STATE, 0.1))
        roster = _roster(sections)
        places = dict(zip((i.address for i in roster.instances), roster.places, strict=True))
        row = sections[0].acknowledged
        self.assertEqual((300 & 0xFF, 5), (row[places["10.0.0.2"]], row[places["10.0.0.3"]]))


class NewsTest(EgretrailTestCase):
    @cases(
        {
            "a failure": ({"findings": [_finding(5)]}, True),
            "a refusal": ({"findings": [_finding(5, Outcome.SHED)]}, False),
            "a loss": ({"losses": [LossReport(RequestDigest(1), 5)]}, True),
            "a drop": ({"dropped": [DropReport("u", 4)]}, True),
            "a limit": ({"limits": [LimitReport(5, 1.5, 0.0)]}, True),
            "a load": ({"loads": {5: 1}}, False),
            "an answer": ({"routine": [_finding(5, Outcome.SUCCESS)]}, False),
            "nothing": ({}, False),
        }
    )
    def test_what_is_told_at_once(self, case: tuple[Mapping[str, Any], bool]) -> None:
        parts, urgent = case
        hub = _hub(beat("10.0.0.2", 1))
        self.assertIs(urgent, hub.hear(beat("10.0.0.2", 2, **parts), 0.1, direct=True))

    def test_an_older_word_of_a_limit_that_a_beat_repeats_is_not_told(self) -> None:
        hub = _hub(beat("10.0.0.2", 1), beat("10.0.0.3", 1))
        hub.hear(beat("10.0.0.2", 2, limits=[LimitReport(5, 1.5, 0.0)]), 0.1, direct=True)
        hub.hear(beat("10.0.0.3", 2, limits=[LimitReport(5, None, 0.0)]), 0.5, direct=True)
        again = beat("10.0.0.2", 3, limits=[LimitReport(5, 1.5, 0.5)])
        self.assertFalse(hub.hear(again, 0.6, direct=True))
        section, *_ = hub.urgent_sections(Scope.ACROSS, _STATE, 0.6)
        [report] = section.limits
        self.assertIsNone(report.limit_per_s)
        self.assertAlmostEqual(0.1, report.age_s)

    def test_the_other_zones_hear_at_once_that_nobody_is_in_contact_with_the_store(self) -> None:
        hub = _hub(beat("10.0.0.2", 1, store_contact=True))
        list(hub.across_sections(_STATE, 0.1))
        list(hub.across_sections(_STATE, 0.2))
        self.assertTrue(hub.hear(beat("10.0.0.2", 2, store_contact=False), 0.3, direct=True))
        [section] = hub.urgent_sections(Scope.ACROSS, _STATE, 0.3)
        self.assertEqual(0, section.store_readers)

    def test_limits_that_many_upstreams_name_at_once_are_all_told(self) -> None:
        hub = _hub(beat("10.0.0.2", 1))
        limits = [LimitReport(key, 1.5, 0.0) for key in range(100)]
        hub.hear(beat("10.0.0.2", 2, limits=limits), 0.1, direct=True)
        told = {
            report.upstream_key
            for step in range(10)
            for section in hub.zone_sections(_STATE, 0.2 + step / 10)
            for report in section.limits
        }
        self.assertEqual(set(range(100)), told)

    def test_a_finding_is_told_thrice_to_each_scope_however_often_beats_repeat_it(self) -> None:
        hub = _hub(beat("10.0.0.2", 1))
        for sequence in range(2, 6):
            news = beat("10.0.0.2", sequence, findings=[_finding(5)])
            hub.hear(news, sequence / 10, direct=True)
        for scope in Scope:
            told = [
                (one.first_finding, [f.upstream_key for f in one.findings])
                for _ in range(5)
                for one in hub.urgent_sections(scope, _STATE, 1.0)
                if one.findings
            ]
            self.assertEqual([(0, [5])] * 3, told)

    def test_a_newer_state_of_the_hub_is_told_at_once_and_once(self) -> None:
        hub = _hub(beat("10.0.0.2", 1))
        for scope in Scope:
            list(hub.urgent_sections(scope, _STATE, 0.1))
            list(hub.urgent_sections(scope, _STATE, 0.2))
            newer = HubState(4, 40)
            [told] = hub.urgent_sections(scope, newer, 0.3)
            self.assertEqual(4, told.config_version)
            self.assertEqual([], list(hub.urgent_sections(scope, newer, 0.4)))

    def test_refusals_of_one_upstream_are_told_once_in_a_quarter_of_a_second(self) -> None:
        hub = _hub(beat("10.0.0.2", 1))
        told = 0
        for tenth in range(20):
            seen = [_finding(5, Outcome.SHED)] * 9
            news = beat("10.0.0.2", 2 + tenth, first_finding=9 * tenth, findings=seen)
            hub.hear(news, tenth / 10, direct=True)
            told += sum(len(one.refusals) for one in hub.zone_sections(_STATE, tenth / 10))
        self.assertLessEqual(told, 8)
        self.assertGreaterEqual(told, 6)

    def test_answers_are_told_as_their_mean(self) -> None:
        answers = [Finding(5, Outcome.SUCCESS, duration_s, "") for duration_s in (0.2, 0.4)]
        hub = _hub(beat("10.0.0.2", 1), beat("10.0.0.3", 1, routine=answers))
        [section, *_] = hub.zone_sections(_STATE, 0.1)
        self.assertEqual([5], list(section.changed.keys))
        self.assertAlmostEqual(0.3, section.changed.durations_s[0])

    def test_an_overload_does_not_make_sections_longer_than_a_few_packets(self) -> None:
        hub = Hub(_HUB, "a", 7, 0.0)
        for n in range(300):
            seen = [_finding(300 * n + m, Outcome.SHED) for m in range(20)]
            failed = [_finding(300 * n + m) for m in range(20)]
            loads = {300 * n + m: 1 for m in range(40)}
            news = beat(f"10.0.{n // 250}.{n % 250}", findings=seen + failed, loads=loads)
            hub.hear(news, 0.0, direct=True)
        sections = [next(iter(hub.zone_sections(_STATE, 0.1)))]
        [data] = encode_sections(sections, across=False)
        self.assertLess(len(data), 8_000)


class RosterTest(EgretrailTestCase):
    def test_the_list_is_told_at_once_when_it_changes_and_seldom_after(self) -> None:
        hub = _hub(beat("10.0.0.2"))
        times = [
            tenth
            for tenth in range(50)
            for one in hub.zone_sections(_STATE, tenth / 10)
            if one.roster is not None
        ]
        self.assertEqual([0, 1], times[:2])
        self.assertLessEqual(len(times), 7)

    def test_a_new_hub_drops_nobody_whom_it_has_not_heard_of_yet(self) -> None:
        hub = _hub(beat("10.0.0.2"))
        self.assertFalse(_roster(list(hub.zone_sections(_STATE, 0.1))).complete)
        hub.hear(beat("10.0.0.3"), 2.0, direct=True)
        self.assertTrue(_roster(list(hub.zone_sections(_STATE, 2.0))).complete)

    def test_a_place_is_not_given_to_another_instance_soon(self) -> None:
        hub = _hub(beat("10.0.0.2"))
        hub.expire(2.0)
        hub.hear(beat("10.0.0.3"), 2.1, direct=True)
        self.assertEqual([1], list(_roster(list(hub.zone_sections(_STATE, 2.2))).places))
        hub.expire(4.0)
        hub.hear(beat("10.0.0.4"), 6.5, direct=True)
        self.assertEqual([0], list(_roster(list(hub.zone_sections(_STATE, 6.6))).places))

    def test_only_those_that_the_hub_hears_itself_are_told_by_it(self) -> None:
        hub = _hub(beat("10.0.0.2"))
        hub.hear(beat("10.0.0.3"), 0.0, direct=False)
        self.assertEqual(["10.0.0.2"], list(hub.receivers()))


class FindingLogTest(EgretrailTestCase):
    def test_every_finding_is_in_three_messages_in_a_row(self) -> None:
        log = FindingLog()
        told: dict[int, int] = {}
        for round_ in range(30):
            for n in range(round_ % 4):
                log.add(_finding(100 * round_ + n))
            first, rows = log.take()
            for n, _ in enumerate(rows):
                told[first + n] = told.get(first + n, 0) + 1
        while not log.is_empty:
            first, rows = log.take()
            for n, _ in enumerate(rows):
                told[first + n] = told.get(first + n, 0) + 1
        self.assertEqual({3}, set(told.values()))
        self.assertEqual(sum(n % 4 for n in range(30)), len(told))


_ORDER = ["10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"]


class FollowingTest(EgretrailTestCase):
    def _following(self, own: str, heard: Sequence[tuple[str, str, float]]) -> Following:
        following = Following(own, 0.0)
        for hub, sender, at_s in heard:
            if following.accepts(hub, _ORDER, at_s):
                following.heard(hub, sender, _ORDER, at_s)
                following.acknowledged(at_s - 0.1)
        return following

    @cases(
        {
            "the first, at once": ("10.0.0.1", [], 0.0, True),
            "the second, at first": ("10.0.0.2", [], 0.1, False),
            "the second, after silence": ("10.0.0.2", [], 0.4, True),
            "the third waits for the second": ("10.0.0.3", [], 0.4, False),
            "the third, after more silence": ("10.0.0.3", [], 0.7, True),
            "the second, while it hears the first": (
                "10.0.0.2",
                [("10.0.0.1", "10.0.0.1", 5.0)],
                5.2,
                False,
            ),
            "the second, after the first fell silent": (
                "10.0.0.2",
                [("10.0.0.1", "10.0.0.1", 5.0)],
                5.4,
                True,
            ),
            "the second, while it hears the third only": (
                "10.0.0.2",
                [("10.0.0.3", "10.0.0.3", 5.0)],
                5.1,
                True,
            ),
            "one that leaves": ("10.0.0.9", [], 9.0, False),
        }
    )
    def test_who_acts(
        self, case: tuple[str, Sequence[tuple[str, str, float]], float, bool]
    ) -> None:
        own, heard, now_s, acts = case
        self.assertIs(acts, self._following(own, heard).acts(_ORDER, now_s))

    @cases(
        {
            "the hub": ([("10.0.0.1", "10.0.0.1", 1.0)], 1.1, ["10.0.0.1"]),
            "nobody is known to hear": ([], 0.0, ["10.0.0.1", "10.0.0.2", "10.0.0.3"]),
            "the hub fell silent": (
                [("10.0.0.1", "10.0.0.1", 1.0)],
                1.5,
                ["10.0.0.1", "10.0.0.2", "10.0.0.3"],
            ),
            "the hub is heard by another": (
                [("10.0.0.1", "10.0.0.2", 1.0)],
                1.1,
                ["10.0.0.2", "10.0.0.1"],
            ),
        }
    )
    def test_where_beats_go(
        self, case: tuple[Sequence[tuple[str, str, float]], float, Sequence[str]]
    ) -> None:
        heard, now_s, targets = case
        following = self._following("10.0.0.4", heard)
        self.assertEqual(targets, list(following.targets(_ORDER, now_s)))

    def test_beats_that_the_hub_does_not_acknowledge_take_further_ways(self) -> None:
        following = self._following("10.0.0.4", [("10.0.0.1", "10.0.0.1", 1.0)])
        for tenth in range(11, 20):
            following.heard("10.0.0.1", "10.0.0.1", _ORDER, tenth / 10)
        self.assertEqual(_ORDER[:3], list(following.targets(_ORDER, 1.95)))

    def test_an_earlier_hub_is_taken_and_a_later_one_is_not(self) -> None:
        following = self._following("10.0.0.4", [("10.0.0.2", "10.0.0.2", 1.0)])
        self.assertFalse(following.accepts("10.0.0.3", _ORDER, 1.1))
        self.assertTrue(following.accepts("10.0.0.1", _ORDER, 1.1))
        self.assertTrue(following.accepts("10.0.0.3", _ORDER, 1.4))

    def test_a_hub_of_a_large_zone_hears_a_bounded_number_itself(self) -> None:
        order = [f"10.0.{n // 250}.{n % 250}" for n in range(318)]
        firsts: dict[str, int] = {}
        for address in order[1:]:
            following = Following(address, 0.0)
            following.heard(order[0], order[0], order, 1.0)
            following.way = None
            first = following._first(order)
            firsts[first] = firsts.get(first, 0) + 1
        self.assertLessEqual(max(firsts.values()), 80)
        self.assertEqual(5, len(firsts))
