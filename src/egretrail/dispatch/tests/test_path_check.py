"""Failures without a response: held back until some upstream was reached after them."""

import random

from egretrail.dispatch import Observation, Outcome, PathCheck, choose_probes
from egretrail.testing import EgretrailTestCase, cases
from egretrail.traffic import UpstreamRecord, UpstreamState


def _record(number: int, zone: str, service: str) -> UpstreamRecord:
    return UpstreamRecord(f"u{number}", service, f"10.9.0.{number}:1", zone, 4, UpstreamState.READY)


class PathCheckTest(EgretrailTestCase):
    """Guards against reports of cut instances that take working upstreams out of service."""

    @cases(
        {
            "broken, a response of another": (Outcome.BROKEN, "v", False, 1.1, [1, 0]),
            "broken, a response of the same": (Outcome.BROKEN, "u", False, 1.1, [1, 0]),
            "overdue, a response of another": (Outcome.OVERDUE, "v", False, 1.1, [1, 0]),
            "silent, a connection to another": (Outcome.SILENT, "v", True, 1.1, [1, 0]),
            "unreachable, another connected": (Outcome.UNREACHABLE, "v", True, 1.1, [1, 0]),
            "unreachable, another responds": (Outcome.UNREACHABLE, "v", False, 1.1, [0, 1]),
            "unreachable, then reached": (Outcome.UNREACHABLE, "u", True, 1.1, [0, 0]),
            "broken, explained by nothing for long": (Outcome.BROKEN, "v", False, 4.5, [0, 0]),
        }
    )
    def test_a_failure_is_its_upstreams_once_another_path_works(
        self, case: tuple[Outcome, str, bool, float, list[int]]
    ) -> None:
        outcome, reached, connected, at_s, expected = case
        check = PathCheck()
        check.hold(Observation("u", outcome, 0.1), None, 1.0)
        attributed = [
            len(check.record_contact(reached, at_s, connected=connected)),
            len(check.record_contact("w", at_s, connected=True)),
        ]
        self.assertEqual(expected, attributed)

    def test_an_isolated_instance_attributes_nothing_until_it_recovers(self) -> None:
        check = PathCheck()
        check.hold(Observation("u", Outcome.UNREACHABLE, 0.1), None, 1.0)
        self.assertEqual([], [*check.record_unreached(["u"])])
        self.assertFalse(check.is_isolated)
        self.assertEqual(1, len(check.record_unreached(["v", "w"])))
        check.hold(Observation("v", Outcome.BROKEN, 0.1), None, 1.2)
        self.assertEqual((), tuple(check.record_contact("w", 1.3, connected=True)))
        check.record_recovery()
        check.hold(Observation("v", Outcome.BROKEN, 0.1), None, 2.0)
        self.assertEqual(1, len(check.record_contact("w", 2.1, connected=True)))

    @cases({"a connection": (True, False), "a response": (False, True)})
    def test_a_connection_opened_during_the_probes_shows_that_paths_work(
        self, case: tuple[bool, bool]
    ) -> None:
        connected, isolated = case
        check = PathCheck()
        check.hold(Observation("u", Outcome.UNREACHABLE, 0.1), None, 1.0)
        check.start_probes()
        check.record_contact("x", 1.2, connected=connected)
        check.record_unreached(["v", "w"])
        self.assertEqual(isolated, check.is_isolated)
        check.start_probes()
        check.record_unreached(["v", "w"])
        self.assertTrue(check.is_isolated)

    @cases({"seed 1": 1, "seed 2": 2, "seed 3": 3})
    def test_probes_alternate_between_zones_and_services(self, seed: int) -> None:
        """Guards against taking the failure of a zone or a service for one of all paths."""
        records = [_record(number, f"z{number % 3}", f"s{number // 12}") for number in range(24)]
        avoided = {record.id for record in records[:4]}
        order = choose_probes(records, avoided, 24, random.Random(seed))
        self.assertEqual(len(records), len(order))
        self.assertEqual(3, len({record.availability_zone for record in order[:3]}))
        self.assertEqual(2, len({record.service for record in order[:3]}))
        self.assertEqual(avoided, {record.id for record in order[-4:]})
