"""Tests of the soak's parts, a short run, and runs with seeds that once found a fault."""

import asyncio
import itertools
from collections.abc import Sequence
from dataclasses import replace

from egretrail.testing import EgretrailTestCase, cases
from scaffolding.platform import AttemptResult, GatewayFleet, LinkFault, LinkProxy, StandInBackend
from scaffolding.soak import FaultKind, GuaranteeChecker, SoakRun, plan
from scaffolding.soak._client import KeepAliveClient
from scaffolding.soak._disturbances import DisturbanceLog
from scaffolding.soak._sent_attempt import SentAttempt
from scaffolding.soak._urgency import urgency_violations

_LIMIT_S = 180.0
#: Seeds that once violated a guarantee, with the plan's length in seconds, by what was violated and
#: why.
_REGRESSIONS: dict[str, tuple[int, float]] = {}

#: Service of a backend, and the client attempts that the backend ran.
Run = tuple[str, Sequence[str]]


def _sent(
    at_s: float, service: str, status: int, attempt: str = "a", *, is_at_most_once: bool = True
) -> SentAttempt:
    body = b"i-1 POST /x/1" if status == 200 else b""
    result = AttemptResult(attempt, status, body, None)
    return SentAttempt(at_s, 0, 1, is_at_most_once, service, "POST /x/1", result)


def _backends(runs: Sequence[Run]) -> list[StandInBackend]:
    backends = []
    for service, attempts in runs:
        backend = StandInBackend(service, "z")
        for number, attempt in enumerate(attempts):
            backend.runs[attempt] += 1
            backend.arrivals.append((number * 0.01, attempt))
        backends.append(backend)
    return backends


class GuaranteeCheckerTest(EgretrailTestCase):
    @cases(
        {
            "no violation": ([_sent(0.0, "orders", 200)], [("orders", ["a"])], ""),
            "ran twice": (
                [_sent(0.0, "orders", 500)],
                [("orders", ["a"]), ("orders", ["a"])],
                "ran 2 times",
            ),
            "an idempotent request may run twice": (
                [_sent(0.0, "orders", 200, is_at_most_once=False)],
                [("orders", ["a"]), ("orders", ["a"])],
                "",
            ),
            "a refused request that ran": (
                [_sent(0.0, "orders", 503)],
                [("orders", ["a"])],
                "was answered 503 and ran",
            ),
            "a refused idempotent request that ran": (
                [_sent(0.0, "orders", 429, is_at_most_once=False)],
                [("orders", ["a"])],
                "was answered 429 and ran",
            ),
            "a response without a run": ([_sent(0.0, "orders", 200)], [], "never ran"),
            "another service": (
                [_sent(0.0, "orders", 200)],
                [("catalogue", ["a"])],
                "ran at another service",
            ),
            "an older configuration": (
                [
                    _sent(0.0, "", 200, "a", is_at_most_once=False),
                    _sent(1.0, "", 200, "b", is_at_most_once=False),
                    _sent(2.0, "", 200, "c", is_at_most_once=False),
                ],
                [("moving-0", ["a", "c"]), ("moving-1", ["b"])],
                "a version back",
            ),
            "too many retries": (
                [_sent(0.0, "orders", 500, f"a{n}", is_at_most_once=False) for n in range(70)],
                [("orders", [f"a{n}" for n in range(70)])] * 3,
                "repeats at orders",
            ),
        }
    )
    def test_violations(self, case: tuple[Sequence[SentAttempt], Sequence[Run], str]) -> None:
        sent, runs, expected = case
        checker = GuaranteeChecker(list(sent), [(0.0, "moving-0"), (0.5, "moving-1")])
        violations = checker.violations(_backends(runs))
        if not expected:
            self.assertEqual([], violations)
            return
        self.assertTrue(any(expected in one for one in violations), violations)

    def test_a_response_of_another_request_is_found(self) -> None:
        result = AttemptResult("a", 200, b"i-1 POST /x/2", None)
        sent = SentAttempt(0.0, 0, 1, True, "orders", "POST /x/1", result)
        violations = GuaranteeChecker([sent]).violations(_backends([("orders", ["a"])]))
        self.assertIn("got another answer", violations[0])


class NoticesTest(EgretrailTestCase):
    """Client attempts ``a0``, ``a1`` and so on, sent at the given times; all reach one backend."""

    def _violations(
        self,
        sent: Sequence[tuple[float, int, int]],
        backend: StandInBackend,
        disturbances: DisturbanceLog | None = None,
    ) -> list[str]:
        attempts = [
            SentAttempt(
                at_s,
                gateway,
                process_number,
                False,
                "orders",
                "GET /x/1",
                AttemptResult(f"a{number}", 200, f"{backend.id} GET /x/1".encode(), None),
            )
            for number, (at_s, gateway, process_number) in enumerate(sent)
        ]
        for one in attempts:
            backend.runs[one.result.attempt] += 1
            backend.arrivals.append((one.at_s + 0.01, one.result.attempt))
        checker = GuaranteeChecker(attempts, disturbances=disturbances or DisturbanceLog())
        return checker.violations([backend])

    @cases(
        {
            "within the bound": ([(0.0, 0, 1), (1.9, 0, 1)], 0),
            "after the bound": ([(0.0, 0, 1), (2.2, 0, 1), (2.3, 0, 1)], 2),
            "another gateway": ([(0.0, 0, 1), (2.2, 1, 1)], 0),
            "a gateway that started again": ([(0.0, 0, 1), (2.2, 0, 2)], 0),
        }
    )
    def test_requests_after_stated_draining(
        self, case: tuple[Sequence[tuple[float, int, int]], int]
    ) -> None:
        sent, expected = case
        backend = StandInBackend("orders", "z")
        backend.draining_stated = [(0.05, "a0")]
        found = [one for one in self._violations(sent, backend) if "stated draining" in one]
        self.assertEqual(expected, len(found))

    @cases(
        {
            "two after the grace": ([0.0, 0.1, 0.4, 0.6, 0.7], "", 0),
            "three after the grace": ([0.0, 0.6, 0.7, 0.8], "", 1),
            "after its end": ([0.0, 3.1, 3.2, 3.3], "", 0),
            "a frozen gateway": ([0.0, 0.6, 0.7, 0.8], "gateway-0", 0),
            "another frozen gateway": ([0.0, 0.6, 0.7, 0.8], "gateway-1", 1),
            "a cut link": ([0.0, 0.6, 0.7, 0.8], "link-i-x", 0),
        }
    )
    def test_requests_during_backoff(self, case: tuple[Sequence[float], str, int]) -> None:
        times_s, disturbed, expected = case
        backend = StandInBackend("orders", "z", id="i-x")
        backend.backoffs_stated = [(0.02, "a0", 3.0)]
        disturbances = DisturbanceLog()
        disturbances.add_span(disturbed, 0.0, 1.0)
        sent = [(at_s, 0, 1) for at_s in times_s]
        found = self._violations(sent, backend, disturbances)
        self.assertEqual(expected, len([one for one in found if "of backoff" in one]))


class UrgencyTest(EgretrailTestCase):
    """Requests in a burst that began 5 s before, as (priority, status, number)."""

    @cases(
        {
            "alike": ([(0, 200, 40), (0, 503, 10), (2, 200, 40), (2, 503, 10)], False),
            "the most urgent more often": ([(0, 200, 50), (2, 200, 10), (2, 503, 40)], False),
            "the most urgent less often": ([(0, 200, 10), (0, 503, 40), (2, 200, 50)], True),
            "a difference by chance": (
                [(0, 200, 44), (0, 503, 6), (2, 200, 49), (2, 503, 1)],
                False,
            ),
            "too few": ([(0, 503, 19), (2, 200, 50)], False),
            "no response": ([(0, 200, 50), (0, 0, 90), (2, 200, 50)], False),
            "one priority": ([(0, 503, 50)], False),
            "all others": ([(0, 503, 50), (1, 200, 50), (2, 503, 50)], True),
        }
    )
    def test_served_shares(self, case: tuple[Sequence[tuple[int, int, int]], bool]) -> None:
        rows, is_violation = case
        sent = [replace(_sent(0.0, "orders", 200), priority=0, burst=1)]
        sent += [
            replace(_sent(5.0, "orders", status), priority=priority, burst=1)
            for priority, status, number in rows
            for _ in range(number)
        ]
        found = list(urgency_violations(sent))
        self.assertEqual(is_violation, bool(found), str(found))

    @cases({"its first half second": (0.2, 1), "no burst": (5.0, 0), "another burst": (5.0, 2)})
    def test_requests_that_do_not_count(self, case: tuple[float, int]) -> None:
        at_s, burst = case
        urgent = replace(_sent(at_s, "orders", 503), priority=0, burst=burst)
        others = [
            replace(_sent(at_s, "orders", 200), priority=2, burst=1) for at_s in [0.0] + [5.0] * 50
        ]
        self.assertEqual([], list(urgency_violations([urgent] * 50 + others)))


class SlowReaderTest(EgretrailTestCase):
    def test_a_slow_reader_gets_the_whole_response(self) -> None:
        async def run() -> None:
            backend = StandInBackend("catalogue", "z")
            await backend.start()
            client = KeepAliveClient("h", "key")
            result = await client.send(backend.address, "GET", "/read/large-1", 3.0, slowly=True)
            self.assertEqual(200, result.status)
            self.assertTrue(result.body.startswith(backend.id.encode()))
            self.assertTrue(result.body.endswith(b"GET /read/large-1"))
            await backend.stop()
            result = await client.send(backend.address, "GET", "/read/large-1", 3.0, slowly=True)
            self.assertEqual(0, result.status)

        self.run_real(run(), _LIMIT_S)


class PlanTest(EgretrailTestCase):
    def test_a_seed_gives_the_same_plan_and_another_seed_another(self) -> None:
        self.assertEqual(plan(3, 30.0), plan(3, 30.0))
        self.assertNotEqual(plan(3, 30.0), plan(4, 30.0))

    def test_every_load_pattern_occurs(self) -> None:
        kinds = {fault.kind for seed in range(20) for fault in plan(seed, 12.0)}
        self.assertEqual(set(FaultKind), kinds)

    def test_faults_overlap(self) -> None:
        faults = plan(3, 60.0)
        pairs = itertools.pairwise(faults)
        self.assertTrue(any(a.at_s + a.duration_s > b.at_s for a, b in pairs))


class DisturbancesTest(EgretrailTestCase):
    @cases({"before": (0.0, 0.9, False), "during": (1.2, 1.3, True), "after": (2.1, 3.0, False)})
    def test_overlaps(self, case: tuple[float, float, bool]) -> None:
        begin_s, end_s, expected = case
        disturbances = DisturbanceLog()
        disturbances.add_span("store", 1.0, 2.0)
        self.assertIs(expected, disturbances.overlaps("store", begin_s, end_s))
        self.assertFalse(disturbances.overlaps("gateway-1", begin_s, end_s))


class LinkProxyTest(EgretrailTestCase):
    @cases(
        {
            "none": (LinkFault.NONE, b"echo", True),
            "delayed": (LinkFault.DELAYED, b"echo", True),
            "cut to the server": (LinkFault.CUT_TO_SERVER, None, False),
            "cut to the client": (LinkFault.CUT_TO_CLIENT, None, True),
            "blackholed": (LinkFault.BLACKHOLED, None, False),
            "reset": (LinkFault.RESET, b"", False),
        }
    )
    def test_forwarded_bytes(self, case: tuple[LinkFault, bytes | None, bool]) -> None:
        fault, expected, arrives = case
        arrived: list[bytes] = []

        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            arrived.append(await reader.read(100))
            writer.write(arrived[-1])
            await writer.drain()

        async def run() -> None:
            server = await asyncio.start_server(echo, "127.0.0.1", 0)
            proxy = LinkProxy(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
            await proxy.start()
            proxy.fault = fault
            host, _, port = proxy.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"echo")
            received: bytes | None = None
            try:
                async with asyncio.timeout(1.0):
                    received = await reader.read(100)
            except TimeoutError:
                received = None
            except ConnectionError:
                received = b""
            writer.close()
            await proxy.stop()
            server.close()
            self.assertEqual(expected, received)
            self.assertEqual([b"echo"] if arrives else [], [one for one in arrived if one])

        self.run_real(run(), _LIMIT_S)


class FleetTest(EgretrailTestCase):
    def test_a_gateway_that_is_started_twice_at_once_has_one_process(self) -> None:
        async def run() -> None:
            fleet = GatewayFleet(2)
            try:
                await asyncio.gather(fleet.start_gateway(0), fleet.start_gateway(0))
                self.assertEqual(1, fleet.start_counts[0])
            finally:
                await fleet.stop()

        self.run_real(run(), _LIMIT_S)


class SeededRunTest(EgretrailTestCase):
    def test_a_short_run_violates_no_guarantee(self) -> None:
        async def run() -> None:
            report = await SoakRun(5, 8.0, gateways=4, clients=6).run()
            self.assertEqual([], list(report.violations))
            self.assertGreater(report.statuses[200], 100)

        self.run_real(run(), _LIMIT_S)

    @cases(_REGRESSIONS or {"none yet": (1, 4.0)})
    def test_seeds_that_once_found_a_fault(self, case: tuple[int, float]) -> None:
        seed, length_s = case

        async def run() -> None:
            report = await SoakRun(seed, length_s, gateways=6, clients=12).run()
            self.assertEqual([], list(report.violations))

        self.run_real(run(), _LIMIT_S)
