"""Real processes under kills, pauses and stops. The tests assert safety and wait for events."""

import asyncio
import itertools
import random
import signal
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from unittest import mock

import aiohttp

from egretrail.testing import EgretrailTestCase
from scaffolding.caller import Client, WorkResult
from scaffolding.demo import put_settings
from scaffolding.demo_trace import Deployment, ServiceLine
from scaffolding.processes import FleetProcesses, Processes, fleet_processes

_ZONES = ("zone-a", "zone-b", "zone-c")
_LINE = ServiceLine("shop", 3, 4, 0.01, 2, 1.0, False)
_DEPLOYMENT = Deployment("team", _ZONES, 3, "patient", (_LINE,))
_PATH = "/shop/orders"
_BODY = b"one board"


class PortsTest(EgretrailTestCase):
    def test_an_incomplete_line_yields_no_ports(self) -> None:
        """Ports read from a partly written line are missing or cut short."""

        async def run() -> dict[str, int]:
            directory = Path(tempfile.mkdtemp())
            log = directory / "upstreams.log"
            log.write_text("listening port0=7001 port1=70")
            running: dict[str, Any] = {"upstreams": mock.Mock(returncode=None)}
            reading = asyncio.create_task(Processes(directory, running).ports("upstreams"))
            await asyncio.sleep(0.1)
            self.assertFalse(reading.done())
            log.write_text("listening port0=7001 port1=7002\n")
            return await reading

        self.assertEqual({"port0": 7001, "port1": 7002}, self.run_real(run()))


class Shop:
    """A fleet of three instances and three upstreams, and one client."""

    def __init__(self, fleet: FleetProcesses) -> None:
        self.fleet = fleet

    async def start(self) -> None:
        """Start all processes and wait until every instance returns key prefixes."""
        fleet = self.fleet
        await fleet.start_platform()
        await fleet.start_upstreams("team/shop", _ZONES, 3, _LINE.slots, _LINE.service_s)
        await fleet.start_instances(_ZONES, 3)
        await fleet.wait_until_ready()
        await put_settings(fleet, _DEPLOYMENT, _LINE)
        for at in range(3):
            # Every instance knows the whole group: losses are reported only to known members.
            while not all(address["key_prefix"] for address in await self.addresses(at)):
                await asyncio.sleep(0.05)

    async def addresses(self, at: int = 0) -> list[dict[str, Any]]:
        """Resolve at one instance; wait until all instances are among the addresses."""
        port = self.fleet.instances[at].caller_port
        while True:
            resolved = await self.fleet.get(port, f"/.well-known/egretrail/resolve?path={_PATH}")
            if len(resolved["addresses"]) == len(self.fleet.instances):
                return list(resolved["addresses"])
            await asyncio.sleep(0.05)

    async def key(self, home: int, suffix: str = "s1") -> str:
        """Return a key whose home is one instance."""
        name = self.fleet.instances[home].name
        found = next(a for a in await self.addresses() if a["instance"] == name)
        return f"{found['key_prefix']}.{suffix}"

    async def order(
        self, at: int, key: str, body: bytes = _BODY, caller: str = "one", path: str = _PATH
    ) -> tuple[int, bytes, str]:
        """Send the order; return status, body and the outcome header (empty if there is none)."""
        headers = {"Idempotency-Key": key, "X-Work": "w", "Authorization": caller}
        url = f"http://127.0.0.1:{self.fleet.instances[at].caller_port}{path}"
        timeout = aiohttp.ClientTimeout(total=30)
        async with self.fleet.session.post(
            url, data=body, headers=headers, timeout=timeout
        ) as response:
            return (
                response.status,
                await response.read(),
                response.headers.get("Egretrail-Outcome", ""),
            )

    async def set_mode(self, **control: object) -> None:
        """Inject a fault at every upstream."""
        for port in self.fleet.upstreams["shop"]:
            await self.fleet.post(port, "/control", control)

    async def runs(self) -> int:
        """Return how often the order ran on all upstreams together."""
        counts = [await self.fleet.get(port, "/runs") for port in self.fleet.upstreams["shop"]]
        return sum(count["runs"].get("w", 0) for count in counts)

    async def wait_until_run(self) -> None:
        """Wait until an upstream has begun the order."""
        while not await self.runs():
            await asyncio.sleep(0.02)

    def signal(self, instance: int, number: signal.Signals) -> None:
        """Send a signal to an instance."""
        self.fleet.processes.signal(self.fleet.instances[instance].name, number)

    async def wait_for_exit(self, instance: int) -> int:
        """Wait for an instance to exit; return its exit code."""
        return await self.fleet.processes.wait(self.fleet.instances[instance].name)

    def log(self, instance: int) -> str:
        """Return an instance's log."""
        name = self.fleet.instances[instance].name
        return (self.fleet.processes.directory / f"{name}.log").read_text()


class ProcessTest(EgretrailTestCase):
    def _with_shop(self, act: Callable[[Shop], Awaitable[None]]) -> None:
        async def run() -> None:
            with tempfile.TemporaryDirectory() as directory:
                async with fleet_processes(Path(directory)) as fleet:
                    shop = Shop(fleet)
                    await shop.start()
                    await act(shop)

        self.run_real(run(), limit_s=45)


class AtMostOnceTest(ProcessTest):
    def test_resends_at_every_instance_get_the_one_recorded_answer(self) -> None:
        async def act(shop: Shop) -> None:
            key = await shop.key(home=0)
            answers = await asyncio.gather(*(shop.order(at, key) for at in (0, 1, 2, 1)))
            self.assertEqual(200, answers[0][0])
            self.assertEqual(1, len({body for _, body, _ in answers}))
            self.assertEqual(1, await shop.runs())

        self._with_shop(act)

    def test_an_answer_outlives_its_home(self) -> None:
        async def act(shop: Shop) -> None:
            key = await shop.key(home=0)
            first = await shop.order(0, key)
            await asyncio.sleep(3.0)  # time for the outcome to reach the witness
            shop.signal(0, signal.SIGKILL)
            await shop.wait_for_exit(0)
            self.assertIn((await shop.order(1, key))[1:], [first[1:], (b"", "unknown")])
            self.assertEqual(1, await shop.runs())

        self._with_shop(act)

    def test_a_home_killed_during_the_work_leaves_it_unknown_and_never_run_again(self) -> None:
        async def act(shop: Shop) -> None:
            await shop.set_mode(mode="silent")
            key = await shop.key(home=0)
            sending = asyncio.create_task(shop.order(0, key))
            await shop.wait_until_run()
            shop.signal(0, signal.SIGKILL)
            await asyncio.gather(sending, return_exceptions=True)
            await shop.set_mode(mode="good")
            replies = [await shop.order(at, key) for at in (1, 2)]
            self.assertEqual(["unknown", "unknown"], [outcome for _, _, outcome in replies])
            self.assertEqual(1, await shop.runs())

        self._with_shop(act)

    def test_a_frozen_home_that_wakes_does_not_run_what_was_said_not_to_have_run(self) -> None:
        async def act(shop: Shop) -> None:
            key = await shop.key(home=0)
            shop.signal(0, signal.SIGSTOP)
            _, _, outcome = await shop.order(1, key)
            self.assertEqual("not-run", outcome)
            shop.signal(0, signal.SIGCONT)
            _, _, outcome = await shop.order(0, key)
            self.assertEqual("not-run", outcome)
            self.assertEqual(0, await shop.runs())

        self._with_shop(act)

    def test_a_home_frozen_during_the_work_runs_it_once(self) -> None:
        async def act(shop: Shop) -> None:
            await shop.set_mode(mode="silent")
            key = await shop.key(home=0)
            sending = asyncio.create_task(shop.order(0, key))
            await shop.wait_until_run()
            shop.signal(0, signal.SIGSTOP)
            _, _, outcome = await shop.order(1, key)
            self.assertEqual("unknown", outcome)
            shop.signal(0, signal.SIGCONT)
            await sending
            self.assertEqual(1, await shop.runs())

        self._with_shop(act)

    def test_the_same_key_with_another_body_or_caller_gets_nothing_of_the_answer(self) -> None:
        async def act(shop: Shop) -> None:
            key = await shop.key(home=0)
            _, body, _ = await shop.order(0, key)
            for at in (0, 1):
                for other in ({"body": b"two boards"}, {"caller": "two"}):
                    status, other_body, _ = await shop.order(at, key, **other)
                    self.assertEqual(422, status)
                    self.assertNotIn(body, other_body)
            self.assertEqual(1, await shop.runs())

        self._with_shop(act)


class StopTest(ProcessTest):
    def test_a_planned_stop_cuts_nothing_and_the_answer_can_be_fetched_after_it(self) -> None:
        async def act(shop: Shop) -> None:
            await shop.set_mode(mode="slow")
            key = await shop.key(home=0)
            sending = asyncio.create_task(shop.order(0, key))
            await shop.wait_until_run()
            shop.signal(0, signal.SIGTERM)
            first = await sending
            self.assertEqual(200, first[0])
            self.assertEqual(0, await shop.wait_for_exit(0))
            self.assertEqual(first, await shop.order(1, key))
            self.assertEqual(1, await shop.runs())

        self._with_shop(act)

    def test_a_second_signal_ends_it_and_lists_what_was_cut(self) -> None:
        async def act(shop: Shop) -> None:
            await shop.set_mode(mode="silent")
            key = await shop.key(home=0)
            sending = asyncio.create_task(shop.order(0, key))
            await shop.wait_until_run()
            shop.signal(0, signal.SIGTERM)
            while "event=leaving" not in shop.log(0):
                await asyncio.sleep(0.02)
            shop.signal(0, signal.SIGTERM)
            self.assertEqual(1, await shop.wait_for_exit(0))
            await asyncio.gather(sending, return_exceptions=True)
            self.assertIn(f'event=request_cut request="POST {_PATH}"', shop.log(0))

        self._with_shop(act)

    def test_an_upload_that_began_before_the_stop_is_answered(self) -> None:
        async def act(shop: Shop) -> None:
            key = await shop.key(home=0)
            port = shop.fleet.instances[0].caller_port
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            head = f"POST {_PATH} HTTP/1.1\r\nHost: x\r\nX-Work: w\r\nIdempotency-Key: {key}\r\n"
            writer.write(f"{head}Content-Length: {len(_BODY)}\r\n\r\n".encode() + _BODY[:3])
            await writer.drain()
            while f"POST {_PATH}" not in await self._in_flight(shop):
                await asyncio.sleep(0.02)
            shop.signal(0, signal.SIGTERM)
            await self._wait_until_refusing(port)
            writer.write(_BODY[3:])
            self.assertIn(b"200", await reader.readline())
            writer.close()
            self.assertEqual(0, await shop.wait_for_exit(0))
            self.assertEqual(1, await shop.runs())

        self._with_shop(act)

    async def _in_flight(self, shop: Shop) -> str:
        """Return the order's name if the instance's gauge shows one request in flight, else ""."""
        port = shop.fleet.instances[0].operator_port
        async with shop.fleet.session.get(f"http://127.0.0.1:{port}/metrics") as response:
            shown = await response.text()
        return f"POST {_PATH}" if "egretrail_requests_in_flight 1.0" in shown else ""

    async def _wait_until_refusing(self, port: int) -> None:
        """Wait until the instance refuses connections."""
        while True:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", port)
            except ConnectionError:
                return
            writer.close()
            await asyncio.sleep(0.05)

    def test_callers_that_kept_their_resolve_answer_are_answered_through_a_stop(self) -> None:
        async def act(shop: Shop) -> None:
            resolvers = [("127.0.0.1", instance.caller_port) for instance in shop.fleet.instances]
            results: list[WorkResult] = []
            stopped = asyncio.Event()

            async def browse(number: int) -> None:
                rng = random.Random(number)
                client = Client(shop.fleet.session, f"caller-{number}", resolvers, rng)
                for item in itertools.count():
                    method = "GET" if number % 2 else "POST"
                    work = f"w{number}-{item}"
                    results.append(await client.send(method, _PATH, work, method == "GET", _BODY))
                    if stopped.is_set():
                        return

            browsing = [asyncio.create_task(browse(number)) for number in range(4)]
            while len(results) < 40:
                await asyncio.sleep(0.02)
            shop.signal(0, signal.SIGTERM)
            self.assertEqual(0, await shop.wait_for_exit(0))
            stopped.set()
            await asyncio.gather(*browsing)
            self.assertEqual({"answered"}, {result.kind for result in results})

        self._with_shop(act)


class CrashingRequestTest(ProcessTest):
    def test_one_request_loses_no_more_upstreams_than_the_limit(self) -> None:
        async def act(shop: Shop) -> None:
            for number in range(9):
                at = number % 3
                if number % 2:
                    url = f"http://127.0.0.1:{shop.fleet.instances[at].caller_port}/shop/poison"
                    async with shop.fleet.session.get(url) as response:
                        self.assertIn(response.status, (422, 502))
                else:
                    await shop.order(at, await shop.key(at, f"p{number}"), path="/shop/poison")
            counts = [await shop.fleet.get(port, "/runs") for port in shop.fleet.upstreams["shop"]]
            # The GET and the POST are two requests; each may lose two upstreams.
            self.assertLessEqual(sum(count["requests"] for count in counts), 4)

        self._with_shop(act)


class StoreTest(ProcessTest):
    def test_requests_make_no_call_to_the_store_and_work_without_it(self) -> None:
        async def act(shop: Shop) -> None:
            await shop.fleet.post(shop.fleet.store_port, "/control", {"out": True})
            before = await shop.fleet.get(shop.fleet.store_port, "/counts")
            for number in range(50):
                status, _, _ = await shop.order(0, await shop.key(0, f"k{number}"))
                self.assertEqual(200, status)
            after = await shop.fleet.get(shop.fleet.store_port, "/counts")
            self.assertEqual(50, await shop.runs())
            # Ejection rights are registered independently of requests, a few times per service.
            kinds = {name for name in after if name.startswith("path ")}
            self.assertLessEqual(kinds, {"path egretrail", "path floors"})
            self.assertEqual(before.get("path egretrail"), after.get("path egretrail"))
            registered = after.get("path floors", 0) - before.get("path floors", 0)
            self.assertLess(registered, 10)

        self._with_shop(act)
