"""Starts of gateways under conditions that last for some seconds."""

import asyncio
import signal
import socket
from collections.abc import Awaitable, Callable

from egretrail.testing import EgretrailTestCase, cases
from scaffolding.platform import GatewayFleet
from scaffolding.platform.fleet import config
from scaffolding.tests.gateway_harness import ROUTES, FleetHarness

_UDP, _TCP = socket.SOCK_DGRAM, socket.SOCK_STREAM
#: How long the condition lasts: longer than a process takes to start.
_CONDITION_S = 2.0


def _peer_address(fleet: GatewayFleet) -> str:
    return f"{fleet.ip(0)}:{int(fleet.metrics_address(0).rpartition(':')[2]) - 1}"


def _write_settings(fleet: GatewayFleet, text: str) -> None:
    """Start the first gateway beside a settings file with a text."""
    proper = fleet.settings_text
    fleet.settings_text = lambda number: proper(number) if number else text  # type: ignore


class StartConditionTest(EgretrailTestCase):
    @cases(
        {
            "traffic": (_TCP, GatewayFleet.traffic_address),
            "readiness": (_TCP, GatewayFleet.readiness_address),
            "directory": (_TCP, GatewayFleet.directory_address),
            "metrics": (_TCP, GatewayFleet.metrics_address),
            "peer_datagrams": (_UDP, lambda fleet, _: _peer_address(fleet)),
            "peer_streams": (_TCP, lambda fleet, _: _peer_address(fleet)),
        }
    )
    def test_a_process_waits_for_its_ports(
        self, case: tuple[socket.SocketKind, Callable[[GatewayFleet, int], str]]
    ) -> None:
        # A port that the previous process still held ended the next one, again and again.
        kind, address_of = case

        async def scenario(harness: FleetHarness) -> None:
            fleet = harness.fleet
            host, _, port = address_of(fleet, 0).rpartition(":")
            with socket.socket(socket.AF_INET, kind) as holder:
                holder.bind((host, int(port)))
                await fleet.start()
                await asyncio.sleep(_CONDITION_S)
                self.assertTrue(fleet.is_running(0), fleet.log(0))
            await harness.wait_until_ready(0)
            self.assertEqual(200, (await harness.send_read(0)).status)
            self.assertIn("event=listen_failed", fleet.log(0))

        self._run(scenario)

    def test_a_signal_ends_a_process_that_waits_for_a_port(self) -> None:
        # The platform would have had to kill it.
        async def scenario(harness: FleetHarness) -> None:
            fleet = harness.fleet
            host, _, port = fleet.traffic_address(0).rpartition(":")
            with socket.create_server((host, int(port))):
                await fleet.start()
                await asyncio.sleep(_CONDITION_S)
                fleet.signal_gateway(0, signal.SIGTERM)
                async with asyncio.timeout(1.0):
                    self.assertEqual(0, await fleet.exit_code(0))

        self._run(scenario)

    def test_a_signal_lets_requests_finish_while_a_port_is_waited_for(self) -> None:
        # Their connections were reset, though another port was the one that was taken.
        async def scenario(harness: FleetHarness) -> None:
            fleet = harness.fleet
            host, _, port = fleet.directory_address(0).rpartition(":")
            with socket.create_server((host, int(port))):
                await fleet.start()
                await asyncio.sleep(_CONDITION_S)
                reader, writer = await asyncio.open_connection(
                    *fleet.traffic_address(0).rsplit(":", 1)
                )
                writer.write(b"GET /read/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n")
                await asyncio.sleep(0.2)
                fleet.signal_gateway(0, signal.SIGTERM)
                async with asyncio.timeout(3.0):
                    response = await reader.read()
                    self.assertEqual(0, await fleet.exit_code(0))
                writer.close()
            self.assertEqual(b"HTTP/1.1 503", response[:12])
            self.assertIn("event=stopping", fleet.log(0))
            self.assertNotIn("loop_error", fleet.log(0))

        self._run(scenario)

    @cases({"missing": None, "half_written": 0.5, "empty": 0.0})
    def test_a_process_waits_for_its_settings(self, share: float | None) -> None:
        # A start beside a deployment that was writing the file ended with an error.
        async def scenario(harness: FleetHarness) -> None:
            fleet = harness.fleet
            text, path = fleet.settings_text(0), fleet.settings_path(0)
            _write_settings(fleet, text[: int(len(text) * (share or 0.0))])
            start = asyncio.create_task(fleet.start())
            if share is None:
                while not path.exists():
                    await asyncio.sleep(0)
                path.unlink()
            await start
            await asyncio.sleep(_CONDITION_S)
            self.assertTrue(fleet.is_running(0), fleet.log(0))
            path.write_text(text)
            await harness.wait_until_ready(0)

        self._run(scenario)

    def test_a_process_without_settings_ends(self) -> None:
        # An operator is to see a path that is wrong.
        async def scenario(harness: FleetHarness) -> None:
            _write_settings(harness.fleet, "")
            await harness.fleet.start()
            async with asyncio.timeout(20.0):
                self.assertEqual(2, await harness.fleet.exit_code(0))
            self.assertIn("event=settings_refused", harness.fleet.log(0))

        self._run(scenario)

    def test_a_process_that_can_never_listen_ends_with_a_reason(self) -> None:
        # It waited for ever, and an operator saw a process that runs.
        async def scenario(harness: FleetHarness) -> None:
            fleet = harness.fleet
            own = fleet.traffic_address(0)
            _write_settings(fleet, fleet.settings_text(0).replace(own, "fe80::1%nosuch:8000"))
            await fleet.start()
            async with asyncio.timeout(20.0):
                self.assertEqual(1, await fleet.exit_code(0))
            self.assertIn("event=listen_refused", fleet.log(0))

        self._run(scenario)

    def _run(self, scenario: Callable[[FleetHarness], Awaitable[None]]) -> None:
        async def run() -> None:
            fleet = GatewayFleet(2)
            harness = FleetHarness(fleet)
            try:
                fleet.store.write("op/config", config(2, ROUTES))
                await fleet.add_backends("catalogue", 1)
                await fleet.add_backends("orders", 1)
                await scenario(harness)
            finally:
                await fleet.stop()

        self.run_real(run())
