"""Responses that disprove a suspicion reach the instances of all zones."""

import asyncio

from egretrail.dispatch import Observation, Outcome, UpstreamHealth
from egretrail.gateway.tests.fleet import Fleet
from egretrail.testing import EgretrailTestCase, cases


class PathReportsTest(EgretrailTestCase):
    @cases({"no loss": 0.0, "datagrams lost": 0.1})
    def test_a_response_in_one_zone_ends_a_wrong_suspicion_in_all(self, loss: float) -> None:
        """Guards against suspicions in zones that hear failures but not the responses.

        Successes of upstreams in good health are known only in the zone that observed them.
        """

        async def run() -> list[set[UpstreamHealth]]:
            fleet = Fleet([6, 6, 6])
            for address in fleet.addresses:
                fleet.start(address, fleet.addresses[:2])
            await asyncio.sleep(4.0)
            fleet.network.loss = loss
            loop = asyncio.get_running_loop()
            seen = []
            for responds in (False, True):
                if responds:
                    view = fleet.views[fleet.addresses[1]]
                    view.record_outcome(Observation("u", Outcome.SUCCESS, 0.2))
                else:
                    for address in fleet.addresses[-2:]:
                        failure = Observation("u", Outcome.UNREACHABLE, 0.35)
                        fleet.views[address].record_outcome(failure)
                await asyncio.sleep(1.0)
                seen.append(
                    {
                        fleet.views[address].suspicion.health("u", loop.time())
                        for address in fleet.addresses[:-2]
                    }
                )
            fleet.stop()
            return seen

        self.assertEqual([{UpstreamHealth.SUSPECT}, {UpstreamHealth.GOOD}], self.run_paused(run()))

    def test_a_response_is_reported_to_other_zones_after_a_single_failure(self) -> None:
        """Guards against a quorum in other zones while each zone hears its own responses."""

        async def run() -> set[UpstreamHealth]:
            fleet = Fleet([6, 6, 6])
            for address in fleet.addresses:
                fleet.start(address, fleet.addresses[:2])
            await asyncio.sleep(4.0)
            loop = asyncio.get_running_loop()
            for observer in (fleet.addresses[-1], fleet.addresses[-2]):
                failure = Observation("u", Outcome.UNREACHABLE, 0.35)
                fleet.views[observer].record_outcome(failure)
                await asyncio.sleep(0.5)
                view = fleet.views[fleet.addresses[1]]
                view.record_outcome(Observation("u", Outcome.SUCCESS, 0.2))
                await asyncio.sleep(0.5)
            seen = {view.suspicion.health("u", loop.time()) for view in fleet.views.values()}
            fleet.stop()
            return seen

        self.assertNotIn(UpstreamHealth.SUSPECT, self.run_paused(run()))
