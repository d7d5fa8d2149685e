"""What the view gives to balancing, and the argument that switches it off."""

import os
import random

from egretrail.dispatch import Observation, Outcome
from egretrail.gateway._log import EventLog
from egretrail.gateway._view import FleetView
from egretrail.gateway.tests.settings import gateway_settings
from egretrail.testing import EgretrailTestCase
from egretrail.traffic import UpstreamRecord, UpstreamState


class BalancingTest(EgretrailTestCase):
    def _view(self, now_s: list[float], *, balancing: bool) -> FleetView:
        log = EventLog("me", descriptor=os.open(os.devnull, os.O_WRONLY))
        view = FleetView(
            gateway_settings(zone="z0"),
            1,
            lambda: now_s[0],
            log,
            random.Random(1),
            balancing=balancing,
        )
        view.replace_upstreams(
            [
                UpstreamRecord(name, "s", "10.9.0.1:1", "z0", 4, state)
                for name, state in (
                    ("u", UpstreamState.READY),
                    ("v", UpstreamState.READY),
                    ("draining", UpstreamState.DRAINING),
                )
            ],
            5,
            "test",
        )
        return view

    def test_slots_out_of_service_are_not_shared(self) -> None:
        """Guards against shares of upstreams that fail or drain."""
        now_s = [10.0]
        view = self._view(now_s, balancing=True)
        records = view.upstreams.records
        shares = {name: view.placement.has_slot_share(records[name]) for name in sorted(records)}
        self.assertEqual({"draining": False, "u": True, "v": True}, shares)
        view.record_outcome(Observation("u", Outcome.FAILED, 0.001))
        now_s[0] += 0.3
        self.assertFalse(view.placement.has_slot_share(records["u"]))
        self.assertTrue(view.placement.has_slot_share(records["v"]))

    def test_one_argument_switches_balancing_off(self) -> None:
        """Guards against comparisons in which a part of balancing stays on."""
        view = self._view([10.0], balancing=False)
        self.assertIsNone(view.placement.zone_balancer)
        self.assertEqual(view.shares.has_share, view.placement.has_slot_share)
        self.assertIsNotNone(self._view([10.0], balancing=True).placement.zone_balancer)
