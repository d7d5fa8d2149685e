"""Who is sent much at a time, and whom the others are told to ask."""

import asyncio

from egretrail.gateway._fetch_places import FetchPlaces
from egretrail.testing import EgretrailTestCase

_ZONES = {f"10.0.0.{n}": "a" for n in range(20)}


class FetchPlacesTest(EgretrailTestCase):
    def test_an_instance_without_the_newest_version_is_not_named(self) -> None:
        """Instances were sent on to others that had completed only the version before."""

        async def run() -> str | None:
            digest = 1
            clock = asyncio.get_running_loop().time
            places = FetchPlaces(clock, _ZONES.get, lambda: digest)
            places.completed("10.0.0.1")
            digest = 2
            for visit in range(3):
                self.assertIsNone(await places.admit(visit, f"10.0.0.{visit + 2}", is_hub=False))
            return await places.admit(3, "10.0.0.9", is_hub=False)

        self.assertIn(self.run_paused(run()), ("", None))

    def test_an_instance_that_has_all_is_named_while_the_places_are_taken(self) -> None:
        async def run() -> str | None:
            clock = asyncio.get_running_loop().time
            places = FetchPlaces(clock, _ZONES.get, lambda: 1)
            for visit in range(3):
                await places.admit(visit, f"10.0.0.{visit + 2}", is_hub=False)
            places.completed("10.0.0.1")
            return await places.admit(3, "10.0.0.9", is_hub=False)

        self.assertEqual("10.0.0.1", self.run_paused(run()))
