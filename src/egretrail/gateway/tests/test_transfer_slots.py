"""Slots for large transfers, and referrals to other sources."""

import asyncio

from egretrail.gateway._transfer_slots import TransferSlots
from egretrail.testing import EgretrailTestCase

_ZONES = {f"10.0.0.{n}": "a" for n in range(20)}


class TransferSlotsTest(EgretrailTestCase):
    def test_a_source_without_the_newest_version_is_not_named(self) -> None:
        """Referrals named instances that had completed only the previous version."""

        async def run() -> str | None:
            digest = 1
            clock = asyncio.get_running_loop().time
            slots = TransferSlots(clock, _ZONES.get, lambda: digest)
            slots.add_source("10.0.0.1")
            digest = 2
            for connection_id in range(3):
                self.assertIsNone(
                    await slots.acquire(connection_id, f"10.0.0.{connection_id + 2}", is_hub=False)
                )
            return await slots.acquire(3, "10.0.0.9", is_hub=False)

        self.assertIn(self.run_paused(run()), ("", None))

    def test_a_complete_source_is_named_while_all_slots_are_taken(self) -> None:
        async def run() -> str | None:
            clock = asyncio.get_running_loop().time
            slots = TransferSlots(clock, _ZONES.get, lambda: 1)
            for connection_id in range(3):
                await slots.acquire(connection_id, f"10.0.0.{connection_id + 2}", is_hub=False)
            slots.add_source("10.0.0.1")
            return await slots.acquire(3, "10.0.0.9", is_hub=False)

        self.assertEqual("10.0.0.1", self.run_paused(run()))
