"""Tests of the hub's aggregates and of the election of the hub."""

import random
from collections.abc import Mapping, Sequence
from typing import Any

from egretrail.cluster import (
    DropReport,
    Heartbeat,
    Hub,
    HubElection,
    HubState,
    LimitReport,
    LossReport,
    OutcomeReport,
    RosterSlice,
    Scope,
    Section,
    encode_sections,
)
from egretrail.cluster._outcome_log import OutcomeLog
from egretrail.cluster.tests.messages import heartbeat
from egretrail.dispatch import Outcome, RequestDigest, RetryCounts
from egretrail.testing import EgretrailTestCase, cases

_STATE = HubState(3, 40)
_HUB = "10.0.0.1"


def _outcome(key: int, outcome: Outcome = Outcome.FAILED) -> OutcomeReport:
    return OutcomeReport(key, outcome, 0.003, "10.0.0.2")


def _hub(*heartbeats: Heartbeat) -> Hub:
    hub = Hub(_HUB, "a", 7, 0.0)
    for one in heartbeats:
        hub.record_heartbeat(one, 0.0, direct=True)
    return hub


def _loads(sections: Sequence[Section]) -> dict[int, int]:
    """Return all loads in the slices of sections."""
    return {
        key: count
        for one in sections
        if one.loads is not None
        for key, count in zip(one.loads.rows.keys, one.loads.rows.counts, strict=True)
    }


def _roster(sections: Sequence[Section]) -> RosterSlice:
    [roster] = [one.roster for one in sections if one.roster is not None]
    return roster


class AggregatesTest(EgretrailTestCase):
    @cases(
        {
            "two instances": ([("2", 1, {5: 1}), ("3", 1, {5: 2, 6: 1})], {5: 3, 6: 1}),
            "a later heartbeat replaces the earlier one": (
                [("2", 1, {5: 1}), ("2", 2, {6: 1})],
                {6: 1},
            ),
            "an older heartbeat that arrives late": ([("2", 2, {5: 1}), ("2", 1, {6: 4})], {5: 1}),
            "the same heartbeat twice": ([("2", 1, {5: 1}), ("2", 1, {5: 1})], {5: 1}),
        }
    )
    def test_loads(
        self, case: tuple[Sequence[tuple[str, int, Mapping[int, int]]], Mapping[int, int]]
    ) -> None:
        sent, expected = case
        hub = _hub(
            *(heartbeat(f"10.0.0.{n}", sequence, loads=loads) for n, sequence, loads in sent)
        )
        self.assertEqual(expected, _loads(list(hub.cross_zone_sections(_STATE, 0.1))))

    def test_changed_loads_are_sent_once_and_all_loads_within_fifteen_sections(self) -> None:
        hub = _hub(heartbeat("10.0.0.2", loads=dict.fromkeys(range(40), 1)))
        first = next(iter(hub.zone_sections(_STATE, 0.1)))
        self.assertEqual(set(range(40)), set(first.changed.keys))
        later = [next(iter(hub.zone_sections(_STATE, 0.2 + n / 10))) for n in range(15)]
        self.assertEqual([()] * 15, [tuple(one.changed.keys) for one in later])
        self.assertEqual(dict.fromkeys(range(40), 1), _loads(later))

    def test_loads_of_a_removed_instance_are_removed(self) -> None:
        hub = _hub(heartbeat("10.0.0.2", loads={5: 1}))
        hub.record_heartbeat(heartbeat("10.0.0.3", loads={5: 2}), 1.0, direct=True)
        self.assertEqual(["10.0.0.2"], [one.address for one in hub.remove_silent(1.5)])
        self.assertEqual({5: 2}, _loads(list(hub.cross_zone_sections(_STATE, 1.5))))

    def test_a_pause_of_the_hub_removes_nobody(self) -> None:
        hub = _hub(heartbeat("10.0.0.2"))
        hub.extend_deadlines(4.0)
        self.assertEqual([], list(hub.remove_silent(5.0)))

    def test_retry_counts_start_from_the_known_counts_and_never_decrease(self) -> None:
        known, first = {"s": RetryCounts(88, 8)}, {"s": RetryCounts(90, 9)}
        hub = _hub(heartbeat("10.0.0.2", 1, retries=first, known_retries=known))
        hub.record_heartbeat(
            heartbeat("10.0.0.2", 2, retries={"s": RetryCounts(95, 10)}), 0.1, direct=True
        )
        restarted = heartbeat("10.0.0.2", 1, incarnation=8, retries={"s": RetryCounts(2, 0)})
        hub.record_heartbeat(restarted, 0.2, direct=True)
        [section, *_] = hub.zone_sections(_STATE, 0.3)
        self.assertEqual({"s": RetryCounts(7, 2)}, section.retries)

    def test_the_last_heartbeat_of_each_instance_is_acknowledged_at_its_index(self) -> None:
        hub = _hub(heartbeat("10.0.0.2", 300), heartbeat("10.0.0.3", 5))
        sections = list(hub.zone_sections(_STATE, 0.1))
        roster = _roster(sections)
        ack_indexes = dict(
            zip((i.address for i in roster.instances), roster.ack_indexes, strict=True)
        )
        row = sections[0].acknowledged
        self.assertEqual(
            (300 & 0xFF, 5), (row[ack_indexes["10.0.0.2"]], row[ack_indexes["10.0.0.3"]])
        )


class UpdatesTest(EgretrailTestCase):
    @cases(
        {
            "a failure": ({"outcomes": [_outcome(5)]}, True),
            "a refusal": ({"outcomes": [_outcome(5, Outcome.SHED)]}, False),
            "a loss": ({"losses": [LossReport(RequestDigest(1), 5)]}, True),
            "a drop": ({"dropped": [DropReport("u", 4)]}, True),
            "a limit": ({"limits": [LimitReport(5, 1.5, 0.0)]}, True),
            "a load": ({"loads": {5: 1}}, False),
            "a success": ({"successes": [_outcome(5, Outcome.SUCCESS)]}, False),
            "nothing": ({}, False),
        }
    )
    def test_which_updates_are_urgent(self, case: tuple[Mapping[str, Any], bool]) -> None:
        fields, urgent = case
        hub = _hub(heartbeat("10.0.0.2", 1))
        self.assertIs(
            urgent, hub.record_heartbeat(heartbeat("10.0.0.2", 2, **fields), 0.1, direct=True)
        )

    def test_an_outdated_limit_in_a_repeated_report_is_ignored(self) -> None:
        hub = _hub(heartbeat("10.0.0.2", 1), heartbeat("10.0.0.3", 1))
        hub.record_heartbeat(
            heartbeat("10.0.0.2", 2, limits=[LimitReport(5, 1.5, 0.0)]), 0.1, direct=True
        )
        hub.record_heartbeat(
            heartbeat("10.0.0.3", 2, limits=[LimitReport(5, None, 0.0)]), 0.5, direct=True
        )
        again = heartbeat("10.0.0.2", 3, limits=[LimitReport(5, 1.5, 0.5)])
        self.assertFalse(hub.record_heartbeat(again, 0.6, direct=True))
        section, *_ = hub.urgent_sections(Scope.CROSS_ZONE, _STATE, 0.6)
        [report] = section.limits
        self.assertIsNone(report.limit_per_s)
        self.assertAlmostEqual(0.1, report.age_s)

    def test_loss_of_the_last_store_contact_is_sent_to_other_zones_at_once(self) -> None:
        hub = _hub(heartbeat("10.0.0.2", 1, store_contact=True))
        list(hub.cross_zone_sections(_STATE, 0.1))
        list(hub.cross_zone_sections(_STATE, 0.2))
        self.assertTrue(
            hub.record_heartbeat(heartbeat("10.0.0.2", 2, store_contact=False), 0.3, direct=True)
        )
        [section] = hub.urgent_sections(Scope.CROSS_ZONE, _STATE, 0.3)
        self.assertEqual(0, section.store_readers)

    def test_limits_that_many_upstreams_advertise_at_once_are_all_sent(self) -> None:
        hub = _hub(heartbeat("10.0.0.2", 1))
        limits = [LimitReport(key, 1.5, 0.0) for key in range(100)]
        hub.record_heartbeat(heartbeat("10.0.0.2", 2, limits=limits), 0.1, direct=True)
        sent = {
            report.upstream_key
            for step in range(10)
            for section in hub.zone_sections(_STATE, 0.2 + step / 10)
            for report in section.limits
        }
        self.assertEqual(set(range(100)), sent)

    def test_an_outcome_is_sent_three_times_to_each_scope_despite_repeated_heartbeats(self) -> None:
        hub = _hub(heartbeat("10.0.0.2", 1))
        for sequence in range(2, 6):
            update = heartbeat("10.0.0.2", sequence, outcomes=[_outcome(5)])
            hub.record_heartbeat(update, sequence / 10, direct=True)
        for scope in Scope:
            sent = [
                (one.first_outcome, [f.upstream_key for f in one.outcomes])
                for _ in range(5)
                for one in hub.urgent_sections(scope, _STATE, 1.0)
                if one.outcomes
            ]
            self.assertEqual([(0, [5])] * 3, sent)

    def test_a_changed_hub_state_is_sent_at_once_and_only_once(self) -> None:
        hub = _hub(heartbeat("10.0.0.2", 1))
        for scope in Scope:
            list(hub.urgent_sections(scope, _STATE, 0.1))
            list(hub.urgent_sections(scope, _STATE, 0.2))
            newer = HubState(4, 40)
            [sent] = hub.urgent_sections(scope, newer, 0.3)
            self.assertEqual(4, sent.config_version)
            self.assertEqual([], list(hub.urgent_sections(scope, newer, 0.4)))

    def test_refusals_of_one_upstream_are_sent_once_every_250_ms(self) -> None:
        hub = _hub(heartbeat("10.0.0.2", 1))
        sent = 0
        for tenth in range(20):
            seen = [_outcome(5, Outcome.SHED)] * 9
            update = heartbeat("10.0.0.2", 2 + tenth, first_outcome=9 * tenth, outcomes=seen)
            hub.record_heartbeat(update, tenth / 10, direct=True)
            sent += sum(len(one.refusals) for one in hub.zone_sections(_STATE, tenth / 10))
        self.assertLessEqual(sent, 8)
        self.assertGreaterEqual(sent, 6)

    def test_durations_of_successes_are_averaged(self) -> None:
        answers = [OutcomeReport(5, Outcome.SUCCESS, duration_s, "") for duration_s in (0.2, 0.4)]
        hub = _hub(heartbeat("10.0.0.2", 1), heartbeat("10.0.0.3", 1, successes=answers))
        [section, *_] = hub.zone_sections(_STATE, 0.1)
        self.assertEqual([5], list(section.changed.keys))
        self.assertAlmostEqual(0.3, section.changed.durations_s[0])

    def test_an_overload_does_not_make_sections_longer_than_a_few_packets(self) -> None:
        hub = Hub(_HUB, "a", 7, 0.0)
        for n in range(300):
            seen = [_outcome(300 * n + m, Outcome.SHED) for m in range(20)]
            failed = [_outcome(300 * n + m) for m in range(20)]
            loads = {300 * n + m: 1 for m in range(40)}
            update = heartbeat(f"10.0.{n // 250}.{n % 250}", outcomes=seen + failed, loads=loads)
            hub.record_heartbeat(update, 0.0, direct=True)
        sections = [next(iter(hub.zone_sections(_STATE, 0.1)))]
        [data] = encode_sections(sections, cross_zone=False)
        self.assertLess(len(data), 8_000)


class RosterTest(EgretrailTestCase):
    def test_a_changed_roster_is_sent_at_once_and_then_rarely(self) -> None:
        hub = _hub(heartbeat("10.0.0.2"))
        times = [
            tenth
            for tenth in range(50)
            for one in hub.zone_sections(_STATE, tenth / 10)
            if one.roster is not None
        ]
        self.assertEqual([0, 1], times[:2])
        self.assertLessEqual(len(times), 7)

    def test_the_roster_of_a_new_hub_is_incomplete(self) -> None:
        hub = _hub(heartbeat("10.0.0.2"))
        self.assertFalse(_roster(list(hub.zone_sections(_STATE, 0.1))).complete)
        hub.record_heartbeat(heartbeat("10.0.0.3"), 2.0, direct=True)
        self.assertTrue(_roster(list(hub.zone_sections(_STATE, 2.0))).complete)

    def test_an_acknowledgement_index_is_not_reused_soon(self) -> None:
        hub = _hub(heartbeat("10.0.0.2"))
        hub.remove_silent(2.0)
        hub.record_heartbeat(heartbeat("10.0.0.3"), 2.1, direct=True)
        self.assertEqual([1], list(_roster(list(hub.zone_sections(_STATE, 2.2))).ack_indexes))
        hub.remove_silent(4.0)
        hub.record_heartbeat(heartbeat("10.0.0.4"), 6.5, direct=True)
        self.assertEqual([0], list(_roster(list(hub.zone_sections(_STATE, 6.6))).ack_indexes))

    def test_sections_are_sent_directly_only_to_direct_members(self) -> None:
        hub = _hub(heartbeat("10.0.0.2"))
        hub.record_heartbeat(heartbeat("10.0.0.3"), 0.0, direct=False)
        self.assertEqual(["10.0.0.2"], list(hub.receivers()))


class OutcomeLogTest(EgretrailTestCase):
    def test_every_outcome_is_in_three_successive_messages(self) -> None:
        log = OutcomeLog()
        sent: dict[int, int] = {}
        for round_ in range(30):
            for n in range(round_ % 4):
                log.add(_outcome(100 * round_ + n))
            first, rows = log.next_batch()
            for n, _ in enumerate(rows):
                sent[first + n] = sent.get(first + n, 0) + 1
        while not log.is_empty:
            first, rows = log.next_batch()
            for n, _ in enumerate(rows):
                sent[first + n] = sent.get(first + n, 0) + 1
        self.assertEqual({3}, set(sent.values()))
        self.assertEqual(sum(n % 4 for n in range(30)), len(sent))


#: The time in which an announcement of a hub reaches the others.
_ANNOUNCED_S = 0.01
_ORDER = ["10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"]


class HubElectionTest(EgretrailTestCase):
    def _election(self, own: str, received: Sequence[tuple[str, str, float]]) -> HubElection:
        election = HubElection(own, 0.0)
        for hub, sender, at_s in received:
            if election.accepts_hub(hub, _ORDER, at_s):
                election.record_section(hub, sender, _ORDER, at_s)
                election.record_acknowledgement(at_s - 0.1)
        return election

    @cases(
        {
            "the first, at once": ("10.0.0.1", [], 0.0, True),
            "the second, at first": ("10.0.0.2", [], 0.1, False),
            "the second, after the time-out": ("10.0.0.2", [], 0.4, True),
            "the third waits for the second": ("10.0.0.3", [], 0.4, False),
            "the third, after a longer time-out": ("10.0.0.3", [], 0.7, True),
            "the second, while it receives sections of the first": (
                "10.0.0.2",
                [("10.0.0.1", "10.0.0.1", 5.0)],
                5.2,
                False,
            ),
            "the second, after the first timed out": (
                "10.0.0.2",
                [("10.0.0.1", "10.0.0.1", 5.0)],
                5.4,
                True,
            ),
            "the second, while it receives sections of the third only": (
                "10.0.0.2",
                [("10.0.0.3", "10.0.0.3", 5.0)],
                5.1,
                True,
            ),
            "the third, while it receives sections of the fourth only": (
                "10.0.0.3",
                [("10.0.0.4", "10.0.0.4", 5.0)],
                5.1,
                False,
            ),
            "the fourth, as soon as the third": ("10.0.0.4", [], 0.7, True),
            "a leaving instance": ("10.0.0.9", [], 9.0, False),
        }
    )
    def test_which_instance_is_the_hub(
        self, case: tuple[str, Sequence[tuple[str, str, float]], float, bool]
    ) -> None:
        own, received, now_s, is_hub = case
        self.assertIs(is_hub, self._election(own, received).is_hub(_ORDER, now_s))

    # Guards against takeovers that all come late, or all at once, if many instances are lost.
    @cases({"one": 1, "ten": 10, "a hundred": 100, "a thousand": 1_000})
    def test_the_first_of_any_number_of_survivors_takes_over_in_time(self, survivors: int) -> None:
        order = [f"10.{n // 62_500}.{n // 250 % 250}.{n % 250}" for n in range(2_000)]
        for seed in range(20):
            due_s = sorted(
                HubElection(one, 0.0, rng=random.Random(f"{seed} {one}")).takeover_due_s(order)
                for one in order[-survivors:]
            )
            self.assertLess(due_s[0], 0.7)
            at_once = sum(one_s < due_s[0] + _ANNOUNCED_S for one_s in due_s)
            self.assertLess(at_once, 10)

    @cases(
        {
            "the hub": ([("10.0.0.1", "10.0.0.1", 1.0)], 1.1, ["10.0.0.1"]),
            "no network path is known": ([], 0.0, ["10.0.0.1", "10.0.0.2", "10.0.0.3"]),
            "the hub timed out": (
                [("10.0.0.1", "10.0.0.1", 1.0)],
                1.5,
                ["10.0.0.1", "10.0.0.2", "10.0.0.3"],
            ),
            "the hub is reached through a relay": (
                [("10.0.0.1", "10.0.0.2", 1.0)],
                1.1,
                ["10.0.0.2", "10.0.0.1"],
            ),
        }
    )
    def test_heartbeat_targets(
        self, case: tuple[Sequence[tuple[str, str, float]], float, Sequence[str]]
    ) -> None:
        received, now_s, targets = case
        election = self._election("10.0.0.4", received)
        self.assertEqual(targets, list(election.heartbeat_targets(_ORDER, now_s)))

    def test_unacknowledged_heartbeats_are_sent_to_fallback_targets(self) -> None:
        election = self._election("10.0.0.4", [("10.0.0.1", "10.0.0.1", 1.0)])
        for tenth in range(11, 20):
            election.record_section("10.0.0.1", "10.0.0.1", _ORDER, tenth / 10)
        self.assertEqual(_ORDER[:3], list(election.heartbeat_targets(_ORDER, 1.95)))

    def test_a_hub_earlier_in_the_order_is_accepted_and_a_later_one_is_not(self) -> None:
        election = self._election("10.0.0.4", [("10.0.0.2", "10.0.0.2", 1.0)])
        self.assertFalse(election.accepts_hub("10.0.0.3", _ORDER, 1.1))
        self.assertTrue(election.accepts_hub("10.0.0.1", _ORDER, 1.1))
        self.assertTrue(election.accepts_hub("10.0.0.3", _ORDER, 1.4))

    def test_the_direct_members_of_a_hub_in_a_large_zone_are_bounded(self) -> None:
        order = [f"10.0.{n // 250}.{n % 250}" for n in range(318)]
        firsts: dict[str, int] = {}
        for address in order[1:]:
            election = HubElection(address, 0.0)
            election.record_section(order[0], order[0], order, 1.0)
            election.next_hop = None
            first = election._preferred_next_hop(order)
            firsts[first] = firsts.get(first, 0) + 1
        self.assertLessEqual(max(firsts.values()), 80)
        self.assertEqual(5, len(firsts))
