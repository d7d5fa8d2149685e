"""Tests of starts, restarts and standstills of whole processes beside trouble around them."""

import asyncio
import signal
from collections.abc import Sequence
from pathlib import Path

from egretrail.testing import cases
from scaffolding.platform import LinkFault
from scaffolding.platform.store import StoreMode
from scaffolding.tests.fleet_judge import CONFIG_APPLY_S, DRAIN_S, STABLE_S, FleetJudge
from scaffolding.tests.gateway_harness import FleetHarness, GatewayTest

_GATEWAYS = 4
_SERVED_MIN = 0.97
_SETTLE_S, _LINGER_S = 0.5, 0.5
#: The time between a termination signal and the kill, as in the settings files of the fleet.
_GRACE_S = 6.0
#: By this much an unstable core stretches the bound of a configuration.
_MAX_SKEW_S = 5.0
_SLOW = (0.4, 0.8)


async def _statuses(harness: FleetHarness, numbers: Sequence[int]) -> set[int]:
    results = await asyncio.gather(*(harness.send_order(number) for number in numbers))
    return {one.status for one in results}


class StoreAwayAtStartTest(GatewayTest):
    # Guards against processes that end, deny routes or never become ready when the store, which
    # alone has the configuration, is away at their start.
    @cases(
        {
            "busy": StoreMode.UNAVAILABLE,
            "silent": StoreMode.UNRESPONSIVE,
            "resetting": StoreMode.RESETTING,
        }
    )
    def test_a_fleet_that_starts_without_the_store_serves_when_it_is_back(
        self, mode: StoreMode
    ) -> None:
        async def scenario(harness: FleetHarness) -> None:
            fleet, numbers = harness.fleet, range(_GATEWAYS)
            fleet.store.mode = mode
            for number in numbers:
                fleet.signal_gateway(number)
                await fleet.exit_code(number)
            for number in numbers:
                await fleet.start_gateway(number)
            loop = asyncio.get_running_loop()
            end_s = loop.time() + 2.0
            while loop.time() < end_s:
                self.assertLessEqual(await _statuses(harness, numbers), {0, 503})
                await asyncio.sleep(0.05)
            fleet.store.mode = StoreMode.SERVING
            async with asyncio.timeout(STABLE_S):
                for number in numbers:
                    await harness.wait_until_ready(number)
            self.assertEqual({200}, await _statuses(harness, numbers))
            self.assertTrue(all(fleet.is_running(number) for number in numbers))

        self.run_scenario(scenario, count=_GATEWAYS)


class PredecessorTest(GatewayTest):
    # Guards against a process that ends by itself because its predecessor is still leaving.
    def test_a_process_starts_beside_its_stopping_predecessor(self) -> None:
        async def scenario(harness: FleetHarness) -> None:
            fleet = harness.fleet
            for backend in fleet.backends:
                backend.work_s = 1.0
            in_flight = [asyncio.create_task(harness.send_order(0)) for _ in range(4)]
            await asyncio.sleep(_SETTLE_S)
            fleet.signal_gateway(0, signal.SIGTERM)
            await asyncio.sleep(0.05)
            await fleet.start_successor(0)
            self.assertEqual([200] * 4, [(await one).status for one in in_flight])
            await asyncio.sleep(_GRACE_S)
            self.assertTrue(fleet.is_running(0), fleet.log(0)[-300:])
            await harness.wait_until_ready(0)
            self.assertEqual({200}, await _statuses(harness, [0]))

        self.run_scenario(scenario, count=2)


class EarlySignalTest(GatewayTest):
    # Guards against a signal in the first moments that hangs a process, or ends it as if it failed.
    def test_signals_in_the_first_moments(self) -> None:
        async def scenario(harness: FleetHarness) -> None:
            fleet = harness.fleet
            for delay_s in (0.0, 0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4):
                fleet.signal_gateway(0)
                await fleet.exit_code(0)
                await fleet.start_gateway(0)
                await asyncio.sleep(delay_s)
                fleet.signal_gateway(0, signal.SIGTERM)
                async with asyncio.timeout(_GRACE_S):
                    code = await fleet.exit_code(0)
                self.assertIn(code, (0, -signal.SIGTERM), f"after {delay_s} s")
                await fleet.start_gateway(0)
                # An interpreter that has only begun to start can't take a signal.
                await harness.wait_until(lambda: _ignores_reload(fleet.process_id(0)), "ignores it")
                await asyncio.sleep(delay_s)
                for _ in range(3):
                    fleet.signal_gateway(0, signal.SIGHUP)
                await harness.wait_until_ready(0)
            self.assertEqual({200}, await _statuses(harness, [0]))

        self.run_scenario(scenario, count=2)


async def _ignores_reload(process_id: int) -> bool:
    """Return whether a process ignores or handles the signal for a reload."""
    status = Path(f"/proc/{process_id}/status").read_text().splitlines()
    masks = [int(row.split()[1], 16) for row in status if row.startswith(("SigIgn", "SigCgt"))]
    return any(mask >> (signal.SIGHUP - 1) & 1 for mask in masks)


class PartialSettingsTest(GatewayTest):
    # Guards against a process that ends for good since its settings file was just being written.
    def test_a_process_starts_with_the_last_lines_of_the_file(self) -> None:
        async def scenario(harness: FleetHarness) -> None:
            fleet = harness.fleet
            fleet.signal_gateway(0)
            await fleet.exit_code(0)
            text = fleet.settings_text(0)
            fleet.keeps_settings_file.add(0)
            fleet.settings_path(0).write_text(text[: int(len(text) * 0.95)])
            await fleet.start_gateway(0)
            await asyncio.sleep(0.8)
            fleet.settings_path(0).write_text(text)
            await asyncio.sleep(0.5)
            self.assertTrue(fleet.is_running(0), fleet.log(0)[-300:])
            await harness.wait_until_ready(0)

        self.run_scenario(scenario, count=2)


class RestartSeriesTest(GatewayTest):
    # Guards against a process that denies a route that is there, or sends to an upstream that
    # drains, in its first seconds.
    @cases({"calm": False, "with a slow store": True})
    def test_killed_processes_act_on_what_was_known(self, is_slow: bool) -> None:
        async def scenario(harness: FleetHarness) -> None:
            fleet, judge = harness.fleet, FleetJudge(harness, _GATEWAYS)
            async with judge.watching():
                await asyncio.sleep(_SETTLE_S)
                fleet.store.delay_s = _SLOW if is_slow else (0.0, 0.0)
                for number in range(_GATEWAYS):
                    judge.add_route()
                    if number in (1, 2):
                        judge.drain(fleet.backends[-1 if number == 1 else 0])
                    await judge.kill_and_start(number)
                    await asyncio.sleep(_SETTLE_S)
                await asyncio.sleep(DRAIN_S + _LINGER_S)
                _judge(self, judge)

        self.run_scenario(scenario, count=_GATEWAYS)

    # Guards against a hub or reader whose standstill keeps changes from the others, and against
    # processes that keep to what they knew before theirs.
    @cases({"one": [0], "the first two": [0, 1], "all but one": [0, 1, 2]})
    def test_frozen_processes(self, numbers: Sequence[int]) -> None:
        async def scenario(harness: FleetHarness) -> None:
            fleet, judge = harness.fleet, FleetJudge(harness, _GATEWAYS)
            async with judge.watching():
                await asyncio.sleep(_SETTLE_S)
                frozen = asyncio.create_task(judge.freeze(numbers, 1.5))
                await asyncio.sleep(0.1)
                judge.add_route()
                judge.drain(fleet.backends[0])
                await frozen
                judge.add_route()
                judge.drain(fleet.backends[-1])
                await asyncio.sleep(CONFIG_APPLY_S + _LINGER_S)
                # Beyond the page: those that stood still know everything in that time as well.
                judge.out_of_touch = [
                    (number, begin_s, end_s - STABLE_S + CONFIG_APPLY_S)
                    for number, begin_s, end_s in judge.out_of_touch
                ]
                _judge(self, judge, judges_share=False)

        self.run_scenario(scenario, count=_GATEWAYS)

    # Guards against changes that do not reach a process that is cut from the store, while others
    # start again or stand still.
    def test_cuts_from_the_store_with_restarts_and_standstills(self) -> None:
        async def scenario(harness: FleetHarness) -> None:
            fleet, judge = harness.fleet, FleetJudge(harness, _GATEWAYS)
            async with judge.watching():
                await asyncio.sleep(_SETTLE_S)
                for number in range(_GATEWAYS):
                    fleet.store_links[number].fault = LinkFault.BLACKHOLED
                    judge.add_route()
                    await judge.kill_and_start((number + 1) % _GATEWAYS)
                    judge.add_route()
                    if number == 2:
                        judge.drain(fleet.backends[0])
                    await judge.freeze([(number + 2) % _GATEWAYS], 0.5)
                    fleet.store_links[number].fault = LinkFault.NONE
                await asyncio.sleep(DRAIN_S + _LINGER_S)
                _judge(self, judge, judges_share=False)

        self.run_scenario(scenario, count=_GATEWAYS)


class PeerCutTest(GatewayTest):
    # Guards against changes that do not reach processes that are cut from the store, or from the
    # processes that read it, or both in turn.
    @cases(
        {
            "the halves from each other": ([0, 1], [2, 3], []),
            "the zones from each other": ([0, 2], [1, 3], []),
            "one from all others": ([0], [1, 2, 3], []),
            "the halves from each other, one of each from the store": ([0, 1], [2, 3], [0, 3]),
            "two from two peers and the store": ([0, 1], [2], [0, 1]),
        }
    )
    def test_cuts_between_processes(
        self, case: tuple[Sequence[int], Sequence[int], Sequence[int]]
    ) -> None:
        ones, others, without_store = case

        async def scenario(harness: FleetHarness) -> None:
            fleet, judge = harness.fleet, FleetJudge(harness, _GATEWAYS)
            async with judge.watching():
                await asyncio.sleep(_SETTLE_S)
                # The bounds hold for processes in touch; a cut from peers alone costs no touch with
                # the platform, and the core is stable.
                fleet.cut_peers(ones, others)
                for number in without_store:
                    fleet.store_links[number].fault = LinkFault.BLACKHOLED
                judge.add_route(_MAX_SKEW_S)
                await asyncio.sleep(1.2)
                judge.drain(fleet.backends[0], _MAX_SKEW_S)
                judge.add_route(_MAX_SKEW_S)
                await asyncio.sleep(3.0)
                judge.drain(fleet.backends[-1], _MAX_SKEW_S)
                judge.add_route(_MAX_SKEW_S)
                await asyncio.sleep(2.0)
                fleet.restore_peers()
                for link in fleet.store_links:
                    link.fault = LinkFault.NONE
                await asyncio.sleep(STABLE_S)
                judge.add_route()
                await asyncio.sleep(DRAIN_S + _LINGER_S)
                _judge(self, judge, judges_share=False)

        self.run_scenario(scenario, count=_GATEWAYS, with_backend_cuts=True)


def _judge(test: GatewayTest, judge: FleetJudge, *, judges_share: bool = True) -> None:
    times = " ".join(f"{version}:{s:.2f}" for version, s in judge.apply_times_s().items())
    print(f"known everywhere after, s: {times}; served {judge.served_share():.3f}")
    test.assertEqual([], judge.findings())
    if judges_share:
        test.assertEqual(0, judge.unanswered())
        test.assertGreaterEqual(judge.served_share(), _SERVED_MIN)
