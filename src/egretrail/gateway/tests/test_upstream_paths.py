"""Which failures without a response an instance reports, before stand-in backends."""

import asyncio
from collections.abc import Callable, Sequence
from unittest import mock

from egretrail.dispatch import Observation, Outcome, UpstreamHealth
from egretrail.gateway._executor import RequestExecutor
from egretrail.gateway._view import FleetView
from egretrail.gateway.tests.executor import ExecutorTestCase
from egretrail.testing import cases
from scaffolding.platform import StandInBackend

#: Longer than all probes of a failure take on loopback.
_PROBED_S = 0.3
#: The longest wait for what must happen; a few tenths of a second are needed.
_WAIT_S = 5.0


async def _wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(_WAIT_S):
        while not condition():
            await asyncio.sleep(0.01)


def _reported(view: FleetView) -> list[Outcome]:
    return [report.outcome for report in view.next_heartbeat().outcomes]


class UpstreamPathsTest(ExecutorTestCase):
    @cases(
        {
            "unreachable": (Outcome.UNREACHABLE, [Outcome.UNREACHABLE]),
            "broken": (Outcome.BROKEN, [Outcome.BROKEN]),
            "overdue": (Outcome.OVERDUE, [Outcome.OVERDUE]),
            "silent": (Outcome.SILENT, [Outcome.UNREACHABLE]),
        }
    )
    def test_a_failed_upstream_is_reported_while_others_are_reached(
        self, case: tuple[Outcome, list[Outcome]]
    ) -> None:
        outcome, expected = case

        async def scenario(
            executor: RequestExecutor, view: FleetView, backends: Sequence[StandInBackend]
        ) -> None:
            await backends[0].stop()
            executor.paths.record_failure(Observation(backends[0].id, outcome, 0.1))
            await _wait_until(lambda: _reported(view) == expected)
            self.assertFalse(executor.paths.is_isolated)

        self.run_with_backends(3, scenario)

    def test_a_silent_connection_to_a_working_upstream_is_not_reported(self) -> None:
        """Guards against taking upstreams out of service whose open connections went silent."""

        async def scenario(
            executor: RequestExecutor, view: FleetView, backends: Sequence[StandInBackend]
        ) -> None:
            for backend in backends:
                executor.paths.record_failure(Observation(backend.id, Outcome.SILENT, 1.5))
            await asyncio.sleep(_PROBED_S)
            self.assertEqual([], _reported(view))
            now_s = asyncio.get_running_loop().time()
            health = {view.suspicion.health(backend.id, now_s) for backend in backends}
            self.assertEqual({UpstreamHealth.GOOD}, health)

        self.run_with_backends(3, scenario)

    @cases(
        {
            "unreachable": Outcome.UNREACHABLE,
            "broken": Outcome.BROKEN,
            "overdue": Outcome.OVERDUE,
            "silent": Outcome.SILENT,
        }
    )
    def test_an_isolated_instance_reports_nothing_until_it_has_recovered(
        self, outcome: Outcome
    ) -> None:
        async def scenario(
            executor: RequestExecutor, view: FleetView, backends: Sequence[StandInBackend]
        ) -> None:
            for backend in backends:
                await backend.stop()
            executor.paths.record_failure(Observation(backends[0].id, outcome, 0.1))
            await _wait_until(lambda: view.is_isolated)
            executor.paths.record_failure(Observation(backends[1].id, outcome, 0.1))
            self.assertEqual([], _reported(view))
            for backend in backends:
                host, _, port = backend.address.rpartition(":")
                await backend.start(host, int(port))
            await _wait_until(lambda: not view.is_isolated)
            self.assertEqual([], _reported(view))

        self.run_with_backends(3, scenario)


class FailingProbesTest(ExecutorTestCase):
    def test_an_instance_whose_probes_fail_is_not_isolated_for_good(self) -> None:
        """Guards against an instance that sends everything through others until it ends."""

        async def scenario(
            executor: RequestExecutor, view: FleetView, backends: Sequence[StandInBackend]
        ) -> None:
            for backend in backends:
                await backend.stop()
            executor.paths.record_failure(Observation(backends[0].id, Outcome.UNREACHABLE, 0.1))
            await _wait_until(lambda: view.is_isolated)
            with mock.patch.object(executor.paths, "_choose_probes", side_effect=RuntimeError("x")):
                await _wait_until(lambda: not view.is_isolated)
            self.assertFalse(executor.paths.isolation.done())
            # It finds out again.
            executor.paths.record_failure(Observation(backends[0].id, Outcome.UNREACHABLE, 0.1))
            await _wait_until(lambda: view.is_isolated)

        self.run_with_backends(3, scenario)
