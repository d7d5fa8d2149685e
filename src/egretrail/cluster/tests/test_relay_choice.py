"""Which instance sends the requests of an isolated one."""

import random
from collections.abc import Sequence

from egretrail.cluster import Instance, InstanceState, choose_relay
from egretrail.testing import EgretrailTestCase, cases


def _instances(zone: int, count: int, state: InstanceState = InstanceState.READY) -> list[Instance]:
    return [Instance(f"10.0.{zone}.{number}", f"z{zone}", 1, state, 1.0) for number in range(count)]


class RelayChoiceTest(EgretrailTestCase):
    @cases(
        {
            "few of the zone are isolated": (1, {"z0"}),
            "half of the zone is isolated": (2, {"z0"}),
            "most of the zone are isolated": (3, {"z0", "z1"}),
            "the whole zone is isolated": (5, {"z1"}),
        }
    )
    def test_the_own_zone_is_preferred_while_it_can_carry_the_requests(
        self, case: tuple[int, set[str]]
    ) -> None:
        isolated_count, expected = case
        others = [*_instances(0, 5), *_instances(1, 6)]
        isolated = [one.address for one in others[:isolated_count]]
        rng = random.Random(1)
        chosen = [choose_relay(others, isolated, "z0", {}, rng) for _ in range(200)]
        self.assertEqual(expected, {one.availability_zone for one in chosen if one is not None})
        self.assertFalse({one.address for one in chosen if one is not None} & set(isolated))

    @cases(
        {
            "none": [],
            "only stopping ones": _instances(0, 3, InstanceState.LEAVING),
            "only starting ones": _instances(1, 3, InstanceState.STARTING),
        }
    )
    def test_there_is_no_relay_without_an_instance_that_serves(
        self, instances: Sequence[Instance]
    ) -> None:
        self.assertIsNone(choose_relay(instances, (), "z0", {}, random.Random(1)))

    def test_requests_go_to_instances_with_few_in_flight(self) -> None:
        instances = _instances(0, 2)
        in_flight = {instances[0].address: 3}
        rng = random.Random(1)
        chosen = [choose_relay(instances, (), "z0", in_flight, rng) for _ in range(20)]
        self.assertEqual({instances[1]}, set(chosen))
