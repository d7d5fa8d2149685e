"""Settings of running gateways change, with a signal and without, while requests are under way."""

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
from scaffolding.tests.gateway_stage import ROUTES, GatewayTest, Stage

_ROOT = Path(__file__).resolve().parents[2]
#: Longer than two looks at a file of which no signal tells.
_LOOKS_S = 5.0
#: A bound that a healthy process passes in a small part of; it only ends a test that hangs.
_SOON_S = 20.0
_TOLD = {"with_a_signal": True, "without_a_signal": False}


def _change(stage: Stage, number: int, told: bool, **fields: str) -> None:
    stage.fleet.change_settings(number, **fields)
    if told:
        stage.fleet.kill(number, signal.SIGHUP)


def _events(stage: Stage, number: int, event: str) -> list[str]:
    return [line for line in stage.fleet.log(number).splitlines() if f"event={event} " in line]


class TakeOverTest(GatewayTest):
    @cases(_TOLD)
    def test_new_values_hold_and_nothing_under_way_is_cut(self, told: bool) -> None:
        async def act(stage: Stage) -> None:
            for backend in stage.fleet.backends:
                backend.work_s = 1.0
            data = encode_request(b"GET", b"/read/1", [(b"Host", HOST.encode())], b"")
            kept = await open_connection(stage.fleet.traffic(0), 1.0)
            self.assertEqual(200, (await kept.exchange(data)).status)
            under_way = [asyncio.create_task(stage.order(0)) for _ in range(4)]
            await asyncio.sleep(0.3)
            bounds = {"ttl_max": '"700ms"', "budgetSlack": "4000"}
            _change(stage, 0, told, memoryMb="200", cpuShare="0.5", **bounds)

            async def holds() -> bool:
                name = 'egretrail_repeats_allowed{service="catalogue"}'
                allowed = await stage.caller.metric(stage.fleet.metrics(0), name)
                lifetime = await stage.caller.ask_lifetime(stage.fleet.directory(0), "zone-a")
                return lifetime in ("700ms", "0.7s") and allowed is not None and allowed > 500

            await stage.until(holds, "taken over")
            replies = [await task for task in under_way]
            self.assertEqual([(200, 1)] * 4, [(one.status, stage.runs(one)) for one in replies])
            self.assertEqual(200, (await kept.exchange(data)).status)
            kept.abort()
            [line] = _events(stage, 0, "reload")
            for name in ("directory_ttl_max_s", "repeat_slack", "memory_mb", "capacity"):
                self.assertIn(name, line)

        self.play(act)

    @cases(_TOLD)
    def test_the_next_call_goes_to_a_new_address_of_the_store(self, told: bool) -> None:
        async def act(stage: Stage) -> None:
            for link in stage.fleet.store_links:
                link.fault = LinkFault.SILENT
            for number in range(3):
                _change(stage, number, told, address=f'"{stage.fleet.store_address}"')
            version = config(7, [*ROUTES, route("new", "/new/", "catalogue")])
            stage.fleet.store.write("op/config", version)

            async def everywhere() -> bool:
                replies = [await stage.read(n, "/new/1") for n in range(3)]
                return all(reply.status == 200 for reply in replies)

            await stage.until(everywhere, "in force")

        self.play(act)

    def test_what_only_a_start_takes_over_is_told_and_harms_nothing(self) -> None:
        async def act(stage: Stage) -> None:
            _change(stage, 0, True, zone='"zone-c"', front='"127.0.0.9:1"', ttl_max='"700ms"')

            async def told() -> bool:
                return bool(_events(stage, 0, "reload"))

            await stage.until(told, "told")
            [line] = _events(stage, 0, "reload")
            self.assertIn("availability_zone", line)
            self.assertIn("traffic_address", line)
            self.assertEqual(200, (await stage.read(0)).status)
            stage.fleet.kill(0, signal.SIGTERM)
            self.assertEqual(0, await stage.fleet.exit_code(0))

        self.play(act)

    def test_a_file_that_is_half_written_changes_nothing_and_is_told_once(self) -> None:
        async def act(stage: Stage) -> None:
            whole = stage.fleet.settings(0)
            half = whole[: whole.index("[terms.bounds]") - 10]
            stage.fleet.settings_file(0).write_text(half)
            for _ in range(3):
                stage.fleet.kill(0, signal.SIGHUP)
                await asyncio.sleep(0.2)
            await asyncio.sleep(_LOOKS_S)
            self.assertEqual(1, len(_events(stage, 0, "settings_refused")))
            self.assertEqual(200, (await stage.read(0)).status)
            _change(stage, 0, True, ttl_max='"700ms"')

            async def holds() -> bool:
                lifetime = await stage.caller.ask_lifetime(stage.fleet.directory(0), "zone-a")
                return lifetime in ("700ms", "0.7s")

            await stage.until(holds, "taken over")

        self.play(act)


class SignalsTest(GatewayTest):
    @cases(
        {
            "right_before_the_end": [signal.SIGHUP, signal.SIGTERM],
            "right_after": [signal.SIGTERM, signal.SIGHUP],
            "in_series": [*[signal.SIGHUP] * 5, signal.SIGTERM, *[signal.SIGHUP] * 5],
        }
    )
    def test_work_is_finished_and_the_process_ends_well(
        self, signals: Sequence[signal.Signals]
    ) -> None:
        async def act(stage: Stage) -> None:
            for backend in stage.fleet.backends:
                backend.work_s = 0.6
            under_way = [asyncio.create_task(stage.order(0)) for _ in range(4)]
            await asyncio.sleep(0.3)
            stage.fleet.change_settings(0, grace='"5s"', ttl_max='"700ms"')
            for number in signals:
                stage.fleet.kill(0, number)
            ending = asyncio.create_task(stage.fleet.exit_code(0))
            # The process's own method would take the exit code from whoever waits for it.
            process = os.pidfd_open(stage.fleet.process_id(0))
            while not ending.done():
                with contextlib.suppress(ProcessLookupError):
                    signal.pidfd_send_signal(process, signal.SIGHUP)
                await asyncio.sleep(0.001)
            os.close(process)
            self.assertEqual(0, await ending)
            for task in under_way:
                self.assertEqual(200, (await task).status)

        self.play(act)


class StoppingTest(GatewayTest):
    def test_a_longer_grace_keeps_no_stopping_process_past_the_one_it_had(self) -> None:
        async def act(stage: Stage) -> None:
            for backend in stage.fleet.backends:
                backend.work_s = 60.0
            under_way = asyncio.create_task(stage.read(0, wait_s=60.0))
            await asyncio.sleep(0.3)
            stage.fleet.kill(0, signal.SIGTERM)
            _change(stage, 0, True, grace='"40s"')

            async def told() -> bool:
                return bool(_events(stage, 0, "reload"))

            await stage.until(told, "told")
            # The grace was 6 s.
            async with asyncio.timeout(_SOON_S):
                self.assertEqual(0, await stage.fleet.exit_code(0))
            under_way.cancel()

        self.play(act)


#: Stops a process at the import of a module until a pipe is written to.
_WAITING_IMPORT = """
import os, sys
class Waiting:
    def find_spec(self, name, path=None, target=None):
        if name == "egretrail.gateway":
            open(os.environ["WAIT_AT"]).close()
sys.meta_path.insert(0, Waiting())
"""


class StartTest(EgretrailTestCase):
    @cases({"while_it_is_loaded": True, "while_it_reads_its_settings": False})
    def test_a_signal_does_not_end_a_process_that_starts(self, loading: bool) -> None:
        async def run() -> None:
            with tempfile.TemporaryDirectory() as name:
                folder = Path(name)
                process = await _spawn(folder, loading)
                assert process.stdout is not None
                try:
                    async with asyncio.timeout(_SOON_S):
                        await self._disturb(process, folder)
                        while b"event=start " not in await process.stdout.readline():
                            self.assertIsNone(process.returncode)
                    process.send_signal(signal.SIGTERM)
                    self.assertEqual(0, await process.wait())
                finally:
                    if process.returncode is None:
                        process.kill()
                        await process.wait()

        self.run_real(run())

    async def _disturb(self, process: asyncio.subprocess.Process, folder: Path) -> None:
        """Send the signal while the process waits at the pipe, then let it go on."""
        pipe = folder / "pipe"
        settings = GatewayFleet(2).settings(0)
        descriptor = await asyncio.to_thread(os.open, pipe, os.O_WRONLY)
        process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.2)
        # What is read later is an ordinary file.
        ordinary = folder / "new"
        ordinary.write_text(settings)
        ordinary.rename(pipe)
        with contextlib.suppress(BrokenPipeError):
            os.write(descriptor, settings.encode())
        os.close(descriptor)


async def _spawn(folder: Path, loading: bool) -> asyncio.subprocess.Process:
    """Start a gateway that waits at a pipe, which is its settings file or stops an import."""
    pipe = folder / "pipe"
    os.mkfifo(pipe)
    environment = {
        "PATH": os.environ.get("PATH", ""),
        "PYTHONPATH": f"{folder}:{_ROOT / 'src'}",
        "EGRETRAIL_NODE_FILE": str(pipe),
    }
    if loading:
        (folder / "sitecustomize.py").write_text(_WAITING_IMPORT)
        environment["WAIT_AT"] = str(pipe)
    return await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", _entry_point()),
        env=environment,
        stdout=asyncio.subprocess.PIPE,
    )


def _entry_point() -> str:
    """Return the module that instances run."""
    deployed = tomllib.loads((_ROOT / "deploy" / "system.toml").read_text())
    return str(deployed["roles"]["gateway"]["run"]).rpartition(" ")[2]
