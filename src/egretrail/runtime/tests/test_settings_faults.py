"""Random faults in a whole fleet: no instance reverts to older settings, and all converge."""

import asyncio
import random
from collections.abc import Sequence

from egretrail.identity import InstanceName
from egretrail.runtime import SettingsDriver
from egretrail.runtime.tests.settings_fleet import SERVICE, SettingsFleet
from egretrail.settings import SettingPath
from egretrail.testing import EgretrailTestCase, cases

_STEPS = 60
_ZONES = 3


class _FaultInjector:
    """Injects faults and operators' changes, and checks every instance's generations."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.fleet = SettingsFleet(6, _ZONES, seed)
        self.reverted: list[str] = []
        self.restarts = 0

    def watch(self, name: InstanceName, driver: SettingsDriver) -> None:
        seen = 0

        def check(paths: Sequence[SettingPath]) -> None:
            nonlocal seen
            generation = driver.catalogue.current(str(SERVICE)).generation
            if generation < seen:
                self.reverted.append(f"{name}: {seen} to {generation}")
            seen = generation

        driver.subscribe(check)

    async def step(self, number: int) -> None:
        fleet, rng = self.fleet, self.rng
        name = rng.choice(list(fleet.drivers))
        match rng.randrange(8):
            case 0 | 1:
                await self.change(number, fleet.drivers[name])
            case 2:
                fleet.isolate(name, cut=rng.random() < 0.5)
            case 3:
                other = rng.choice(list(fleet.members))
                fleet.network.cut = fleet.network.cut ^ {(name, other)}
            case 4:
                paused = fleet.network.frozen.pop(name, None)
                if paused is not None:
                    paused.set()
                else:
                    fleet.network.frozen[name] = asyncio.Event()
            case 5:
                fleet.store.set_out(rng.random() < 0.5)
                fleet.store.lose_replies = rng.randrange(3)
            case 6:
                fleet.network.loss_share = rng.choice([0.0, 0.3])
                fleet.network.double_share = rng.choice([0.0, 0.5])
                fleet.network.latency_s = lambda _from, _to: rng.uniform(0.0, 0.5)
            case 7:
                await self.restart(name)
        await asyncio.sleep(rng.uniform(0.0, 3.0))

    async def change(self, number: int, driver: SettingsDriver) -> None:
        held = driver.catalogue.current(str(SERVICE))
        seen = held.generation if held.text is not None else 0
        change_id = f"change-{number:04}"
        if self.rng.random() < 0.3:
            await driver.delete(SERVICE, seen, change_id, "t")
        else:
            await driver.put(SERVICE, f"floor = {number}", seen, change_id, "t")

    async def restart(self, name: InstanceName) -> None:
        self.restarts += 1
        zone = self.fleet.members[name].availability_zone
        await self.fleet.drivers[name].stop()
        driver = self.fleet.add(name, zone)
        self.watch(name, driver)
        await driver.start()

    def heal(self) -> None:
        network = self.fleet.network
        network.cut, network.loss_share, network.double_share = set(), 0.0, 0.0
        for paused in network.frozen.values():
            paused.set()
        network.frozen.clear()
        self.fleet.store.lose_replies = 0
        self.fleet.store.set_out(False)


class FaultsTest(EgretrailTestCase):
    @cases({f"seed_{seed}": seed for seed in range(8)})
    def test_no_instance_reverts_and_all_converge(self, seed: int) -> None:
        async def run() -> None:
            injector = _FaultInjector(seed)
            fleet = injector.fleet
            await fleet.start()
            for name, driver in fleet.drivers.items():
                injector.watch(name, driver)
            for number in range(_STEPS):
                await injector.step(number)
            injector.heal()
            await asyncio.sleep(30.0)
            self.assertEqual([], injector.reverted)
            entry = fleet.store.entries.get(f"egretrail/settings/{SERVICE}")
            roots = {driver.catalogue.tree.root for driver in fleet.drivers.values()}
            self.assertEqual(1, len(roots))
            if entry is not None:
                for driver in fleet.drivers.values():
                    self.assertTrue(driver.catalogue.has_in_force(str(SERVICE), entry.revision))
            self.assertTrue(all(driver.caught_up for driver in fleet.drivers.values()))
            await fleet.stop()

        self.run_paused(run())
