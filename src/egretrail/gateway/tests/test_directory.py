"""Which instances the directory returns to clients."""

from egretrail.cluster import InstanceState
from egretrail.gateway._directory import Candidate, directory_addresses
from egretrail.testing import EgretrailTestCase, cases


class DirectoryTest(EgretrailTestCase):
    @cases(
        {
            "none": (set(), {0, 1, 2, 3}),
            "one of the zone": ({1}, {0, 2, 3}),
            "most of the zone": ({0, 1, 2}, {3, 4, 5, 6, 7}),
            "the whole zone": ({0, 1, 2, 3}, {0, 1, 2, 3}),
            "all but one": ({0, 1, 2, 3, 4, 5, 6}, {0, 1, 2, 3}),
            "all": (set(range(8)), {0, 1, 2, 3}),
        }
    )
    def test_clients_are_directed_to_isolated_instances_only_if_most_are(
        self, case: tuple[set[int], set[int]]
    ) -> None:
        isolated, expected = case
        candidates = [
            Candidate(
                f"n{number}",
                "z0" if number < 4 else "z1",
                InstanceState.READY,
                is_isolated=number in isolated,
            )
            for number in range(8)
        ]
        addresses = directory_addresses(candidates, "z0")
        self.assertEqual({f"n{number}" for number in expected}, set(addresses))
