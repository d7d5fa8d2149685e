"""Settings changes in real processes: racing operators, a paused instance, a store outage."""

import asyncio
import signal
from typing import Any

from scaffolding.processes import OPERATOR_TOKEN
from scaffolding.tests.test_processes import ProcessTest, Shop

_PATH = "/v1/settings/team/services/shop"
_AUTHORIZATION = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}


async def _get(shop: Shop, at: int) -> Any:
    """Return the setting as one instance reports it."""
    url = f"http://127.0.0.1:{shop.fleet.instances[at].operator_port}{_PATH}"
    async with shop.fleet.session.get(url, headers=_AUTHORIZATION) as response:
        return await response.json()


async def _put(shop: Shop, at: int, floor: int, revision: int) -> int:
    """Change the floor at one instance; return the status."""
    port = shop.fleet.instances[at].operator_port
    url = f"http://127.0.0.1:{port}{_PATH}?revision={revision}"
    text = f"floor = {floor}\nslots = 4\n"
    async with shop.fleet.session.put(url, data=text, headers=_AUTHORIZATION) as response:
        return response.status


class SettingsTest(ProcessTest):
    def test_of_two_operators_one_wins_and_a_woken_instance_never_goes_back(self) -> None:
        async def act(shop: Shop) -> None:
            revision = (await _get(shop, 0))["revision"]
            shop.signal(2, signal.SIGSTOP)
            statuses = await asyncio.gather(_put(shop, 0, 1, revision), _put(shop, 1, 0, revision))
            self.assertEqual([200, 409], sorted(statuses))
            newest = (await _get(shop, 0))["revision"]
            self.assertEqual(200, await _put(shop, 1, 1, newest))
            newest = (await _get(shop, 0))["revision"]
            shop.signal(2, signal.SIGCONT)
            seen = [0]
            while seen[-1] != newest:
                seen.append((await _get(shop, 2))["in_force_here"]["generation"])
                await asyncio.sleep(0.02)
            self.assertEqual(sorted(seen), seen)

        self._with_shop(act)

    def test_while_the_store_is_out_changes_are_refused_and_requests_go_on(self) -> None:
        async def act(shop: Shop) -> None:
            revision = (await _get(shop, 0))["revision"]
            await shop.fleet.post(shop.fleet.store_port, "/control", {"out": True})
            self.assertEqual(503, await _put(shop, 0, 1, revision))
            status, _, _ = await shop.order(1, await shop.key(home=1))
            self.assertEqual(200, status)
            self.assertEqual(revision, (await _get(shop, 0))["in_force_here"]["generation"])

        self._with_shop(act)
