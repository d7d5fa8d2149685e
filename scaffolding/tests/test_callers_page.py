"""Runs the examples of ``docs/callers.md`` unchanged against real processes."""

import re
import shlex
import tempfile
from pathlib import Path
from typing import Any

from egretrail.testing import EgretrailTestCase
from scaffolding.demo import put_settings
from scaffolding.demo_trace import Deployment, ServiceLine
from scaffolding.processes import FleetProcesses, fleet_processes

_PAGE = Path(__file__).resolve().parents[2] / "docs" / "callers.md"
_ZONES = ("vantaa-a", "espoo-b", "kerava-c")
_LINE = ServiceLine("varaus", 3, 4, 0.01, 2, 1.0, False)
_DEPLOYMENT = Deployment("laattanayte", _ZONES, 3, "patient", (_LINE,))


def _examples() -> list[list[str]]:
    """Return the arguments of each curl command on the page."""
    page = _PAGE.read_text().replace("\\\n", " ")
    return [shlex.split(line) for line in re.findall(r"^    (curl .*)$", page, re.MULTILINE)]


async def _send(
    fleet: FleetProcesses, words: list[str], placeholders: dict[str, str]
) -> tuple[int, Any]:
    """Send one example with its placeholders replaced; return the status and the JSON or body."""
    method, url, body, headers = "GET", "", None, {}
    rest = iter(words[1:])
    for word in rest:
        match word:
            case "-X":
                method = next(rest)
            case "-d":
                body = next(rest)
            case "-H":
                name, _, value = next(rest).partition(": ")
                headers[name] = value.replace("PREFIX", placeholders.get("PREFIX", ""))
            case _:
                url = word.replace("HOST:PORT", placeholders["HOST:PORT"])
    async with fleet.session.request(method, url, data=body, headers=headers) as response:
        if response.content_type == "application/json":
            return response.status, await response.json()
        return response.status, await response.read()


class CallersPageTest(EgretrailTestCase):
    def test_the_examples_work_unchanged(self) -> None:
        async def run() -> None:
            with tempfile.TemporaryDirectory() as directory:
                async with fleet_processes(Path(directory)) as fleet:
                    fleet.teams = (_DEPLOYMENT.team,)
                    await fleet.start_platform()
                    await fleet.start_upstreams("laattanayte/varaus", _ZONES, 3, 4, 0.01)
                    await fleet.start_instances(_ZONES, 3)
                    await fleet.wait_until_ready()
                    await put_settings(fleet, _DEPLOYMENT, _LINE)
                    await self._send_examples(fleet)

        self.run_real(run())

    async def _send_examples(self, fleet: FleetProcesses) -> None:
        resolve, order = _examples()
        placeholders = {"HOST:PORT": f"127.0.0.1:{fleet.instances[0].caller_port}"}
        status, resolved = await _send(fleet, resolve, placeholders)
        self.assertEqual((200, "laattanayte/varaus"), (status, resolved["service"]))
        address = resolved["addresses"][0]
        placeholders = {
            "HOST:PORT": f"{address['host']}:{address['port']}",
            "PREFIX": address["key_prefix"],
        }
        first = await _send(fleet, order, placeholders)
        self.assertEqual(200, first[0])
        self.assertIn(b"POST /varaus/boards/17", first[1])
        self.assertEqual(first, await _send(fleet, order, placeholders))
