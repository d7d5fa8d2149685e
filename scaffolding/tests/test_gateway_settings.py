"""Tests of settings changes of running gateways, with and without a signal."""

import asyncio
import contextlib
import os
import signal
import sys
import tempfile
import tomllib
from collections.abc import Sequence
from pathlib import Path

from egretrail.http1 import encode_request, open_connection
from egretrail.testing import EgretrailTestCase, cases
from scaffolding.platform import GatewayFleet, LinkFault
from scaffolding.platform.fleet import HOST, config, route
from scaffolding.tests.gateway_harness import ROUTES, FleetHarness, GatewayTest

_ROOT = Path(__file__).resolve().parents[2]
#: Longer than two polls of the settings file, which find a change without a signal.
_TWO_POLLS_S = 5.0
#: Time-out that ends a hanging test; a healthy process needs a fraction of it.
_HANG_TIMEOUT_S = 20.0
_SIGNAL_CASES = {"with_a_signal": True, "without_a_signal": False}


def _change(harness: FleetHarness, number: int, with_signal: bool, **fields: str) -> None:
    harness.fleet.change_settings(number, **fields)
    if with_signal:
        harness.fleet.signal_gateway(number, signal.SIGHUP)


def _events(harness: FleetHarness, number: int, event: str) -> list[str]:
    return [line for line in harness.fleet.log(number).splitlines() if f"event={event} " in line]


class ReloadTest(GatewayTest):
    @cases(_SIGNAL_CASES)
    def test_new_values_apply_without_interrupting_requests(self, with_signal: bool) -> None:
        async def scenario(harness: FleetHarness) -> None:
            for backend in harness.fleet.backends:
                backend.work_s = 1.0
            data = encode_request(b"GET", b"/read/1", [(b"Host", HOST.encode())], b"")
            connection = await open_connection(harness.fleet.traffic_address(0), 1.0)
            self.assertEqual(200, (await connection.exchange(data)).status)
            in_flight = [asyncio.create_task(harness.send_order(0)) for _ in range(4)]
            await asyncio.sleep(0.3)
            bounds = {"ttl_max": '"700ms"', "budgetSlack": "4000"}
            _change(harness, 0, with_signal, memoryMb="200", cpuShare="0.5", **bounds)

            async def is_applied() -> bool:
                name = 'egretrail_repeats_allowed{service="catalogue"}'
                allowed = await harness.client.read_metric(harness.fleet.metrics_address(0), name)
                ttl = await harness.client.resolve_ttl(harness.fleet.directory_address(0), "zone-a")
                return ttl in ("700ms", "0.7s") and allowed is not None and allowed > 500

            await harness.wait_until(is_applied, "applied")
            results = [await task for task in in_flight]
            self.assertEqual(
                [(200, 1)] * 4, [(one.status, harness.run_count(one)) for one in results]
            )
            self.assertEqual(200, (await connection.exchange(data)).status)
            connection.abort()
            [line] = _events(harness, 0, "reload")
            for name in ("directory_ttl_max_s", "repeat_slack", "memory_mb", "capacity"):
                self.assertIn(name, line)

        self.run_scenario(scenario)

    @cases(_SIGNAL_CASES)
    def test_later_calls_go_to_a_new_store_address(self, with_signal: bool) -> None:
        async def scenario(harness: FleetHarness) -> None:
            for link in harness.fleet.store_links:
                link.fault = LinkFault.BLACKHOLED
            for number in range(3):
                _change(harness, number, with_signal, address=f'"{harness.fleet.store_address}"')
            version = config(7, [*ROUTES, route("new", "/new/", "catalogue")])
            harness.fleet.store.write("op/config", version)

            async def in_force_everywhere() -> bool:
                results = [await harness.send_read(n, "/new/1") for n in range(3)]
                return all(result.status == 200 for result in results)

            await harness.wait_until(in_force_everywhere, "in force")

        self.run_scenario(scenario)

    def test_settings_that_need_a_restart_are_logged_and_not_applied(self) -> None:
        async def scenario(harness: FleetHarness) -> None:
            _change(harness, 0, True, zone='"zone-c"', front='"127.0.0.9:1"', ttl_max='"700ms"')

            async def logged() -> bool:
                return bool(_events(harness, 0, "reload"))

            await harness.wait_until(logged, "logged")
            [line] = _events(harness, 0, "reload")
            self.assertIn("availability_zone", line)
            self.assertIn("traffic_address", line)
            self.assertEqual(200, (await harness.send_read(0)).status)
            harness.fleet.signal_gateway(0, signal.SIGTERM)
            self.assertEqual(0, await harness.fleet.exit_code(0))

        self.run_scenario(scenario)

    def test_a_truncated_file_changes_nothing_and_is_logged_once(self) -> None:
        async def scenario(harness: FleetHarness) -> None:
            text = harness.fleet.settings_text(0)
            truncated = text[: text.index("[terms.bounds]") - 10]
            harness.fleet.settings_path(0).write_text(truncated)
            for _ in range(3):
                harness.fleet.signal_gateway(0, signal.SIGHUP)
                await asyncio.sleep(0.2)
            await asyncio.sleep(_TWO_POLLS_S)
            self.assertEqual(1, len(_events(harness, 0, "settings_refused")))
            self.assertEqual(200, (await harness.send_read(0)).status)
            _change(harness, 0, True, ttl_max='"700ms"')

            async def is_applied() -> bool:
                ttl = await harness.client.resolve_ttl(harness.fleet.directory_address(0), "zone-a")
                return ttl in ("700ms", "0.7s")

            await harness.wait_until(is_applied, "applied")

        self.run_scenario(scenario)


class SignalsTest(GatewayTest):
    @cases(
        {
            "right_before_the_end": [signal.SIGHUP, signal.SIGTERM],
            "right_after": [signal.SIGTERM, signal.SIGHUP],
            "in_series": [*[signal.SIGHUP] * 5, signal.SIGTERM, *[signal.SIGHUP] * 5],
        }
    )
    def test_requests_are_finished_and_the_process_exits_normally(
        self, signals: Sequence[signal.Signals]
    ) -> None:
        async def scenario(harness: FleetHarness) -> None:
            for backend in harness.fleet.backends:
                backend.work_s = 0.6
            in_flight = [asyncio.create_task(harness.send_order(0)) for _ in range(4)]
            await asyncio.sleep(0.3)
            harness.fleet.change_settings(0, grace='"5s"', ttl_max='"700ms"')
            for number in signals:
                harness.fleet.signal_gateway(0, number)
            ending = asyncio.create_task(harness.fleet.exit_code(0))
            # Signals go by pidfd, because Process.send_signal may reap the process and thereby take
            # the exit code from the task that waits for it.
            process = os.pidfd_open(harness.fleet.process_id(0))
            while not ending.done():
                with contextlib.suppress(ProcessLookupError):
                    signal.pidfd_send_signal(process, signal.SIGHUP)
                await asyncio.sleep(0.001)
            os.close(process)
            self.assertEqual(0, await ending)
            for task in in_flight:
                self.assertEqual(200, (await task).status)

        self.run_scenario(scenario)


class StoppingTest(GatewayTest):
    def test_a_longer_grace_period_does_not_extend_a_stop_in_progress(self) -> None:
        async def scenario(harness: FleetHarness) -> None:
            for backend in harness.fleet.backends:
                backend.work_s = 60.0
            in_flight = asyncio.create_task(harness.send_read(0, wait_s=60.0))
            await asyncio.sleep(0.3)
            harness.fleet.signal_gateway(0, signal.SIGTERM)
            _change(harness, 0, True, grace='"40s"')

            async def logged() -> bool:
                return bool(_events(harness, 0, "reload"))

            await harness.wait_until(logged, "logged")
            # The grace period was 6 s when the stop began.
            async with asyncio.timeout(_HANG_TIMEOUT_S):
                self.assertEqual(0, await harness.fleet.exit_code(0))
            in_flight.cancel()

        self.run_scenario(scenario)


#: Blocks a process at the import of a module until a pipe is opened for writing and closed.
_BLOCKING_IMPORT = """
import os, sys
class Waiting:
    def find_spec(self, name, path=None, target=None):
        if name == "egretrail.gateway":
            open(os.environ["WAIT_AT"]).close()
sys.meta_path.insert(0, Waiting())
"""


class StartTest(EgretrailTestCase):
    @cases({"while_it_is_loaded": True, "while_it_reads_its_settings": False})
    def test_a_signal_does_not_end_a_starting_process(self, loading: bool) -> None:
        async def run() -> None:
            with tempfile.TemporaryDirectory() as name:
                folder = Path(name)
                process = await _start_blocked_gateway(folder, loading)
                assert process.stdout is not None
                try:
                    async with asyncio.timeout(_HANG_TIMEOUT_S):
                        await self._signal_and_unblock(process, folder)
                        while b"event=start " not in await process.stdout.readline():
                            self.assertIsNone(process.returncode)
                    process.send_signal(signal.SIGTERM)
                    self.assertEqual(0, await process.wait())
                finally:
                    if process.returncode is None:
                        process.kill()
                        await process.wait()

        self.run_real(run())

    @cases({"while_it_is_loaded": True, "while_it_reads_its_settings": False})
    def test_a_stop_before_the_start_is_no_failure(self, loading: bool) -> None:
        # The default action of the signal ended the process with an error.
        async def run() -> None:
            with tempfile.TemporaryDirectory() as name:
                folder = Path(name)
                process = await _start_blocked_gateway(folder, loading)
                try:
                    descriptor = await asyncio.to_thread(os.open, folder / "pipe", os.O_WRONLY)
                    process.send_signal(signal.SIGTERM)
                    async with asyncio.timeout(_HANG_TIMEOUT_S):
                        self.assertEqual(0, await process.wait())
                    os.close(descriptor)
                finally:
                    if process.returncode is None:
                        process.kill()
                        await process.wait()

        self.run_real(run())

    def test_a_closed_standard_output_is_no_place_for_the_log(self) -> None:
        # A socket or file that was given the number 1 got the log lines.
        async def run() -> None:
            with tempfile.TemporaryDirectory() as name:
                settings = Path(name) / "settings"
                settings.write_text(GatewayFleet(2).settings_text(0))
                process = await asyncio.create_subprocess_exec(
                    *("sh", "-c", f'exec "{sys.executable}" -m {_entry_point()} >&- 2>&- <&-'),
                    env={
                        "PATH": os.environ.get("PATH", ""),
                        "PYTHONPATH": str(_ROOT / "src"),
                        "EGRETRAIL_NODE_FILE": str(settings),
                    },
                )
                try:
                    await asyncio.sleep(2.0)
                    self.assertIsNone(process.returncode)
                    opened = [os.readlink(f"/proc/{process.pid}/fd/{n}") for n in range(3)]
                    self.assertEqual([os.devnull] * 3, opened)
                    process.send_signal(signal.SIGTERM)
                    self.assertEqual(0, await process.wait())
                finally:
                    if process.returncode is None:
                        process.kill()
                        await process.wait()

        self.run_real(run())

    async def _signal_and_unblock(self, process: asyncio.subprocess.Process, folder: Path) -> None:
        """Send the signal while the process is blocked at the pipe, then unblock the process."""
        pipe = folder / "pipe"
        settings = GatewayFleet(2).settings_text(0)
        descriptor = await asyncio.to_thread(os.open, pipe, os.O_WRONLY)
        process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.2)
        # Later reads of the path must find an ordinary file.
        ordinary = folder / "new"
        ordinary.write_text(settings)
        ordinary.rename(pipe)
        with contextlib.suppress(BrokenPipeError):
            os.write(descriptor, settings.encode())
        os.close(descriptor)


async def _start_blocked_gateway(folder: Path, loading: bool) -> asyncio.subprocess.Process:
    """Start a gateway that blocks at a pipe: at an import, or at its settings file."""
    pipe = folder / "pipe"
    os.mkfifo(pipe)
    environment = {
        "PATH": os.environ.get("PATH", ""),
        "PYTHONPATH": f"{folder}:{_ROOT / 'src'}",
        "EGRETRAIL_NODE_FILE": str(pipe),
    }
    if loading:
        (folder / "sitecustomize.py").write_text(_BLOCKING_IMPORT)
        environment["WAIT_AT"] = str(pipe)
    return await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", _entry_point()),
        env=environment,
        stdout=asyncio.subprocess.PIPE,
    )


def _entry_point() -> str:
    """Return the module that deployed instances run."""
    deployed = tomllib.loads((_ROOT / "deploy" / "system.toml").read_text())
    return str(deployed["roles"]["gateway"]["run"]).rpartition(" ")[2]
