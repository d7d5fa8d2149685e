"""Keyed requests: responses to clients, issued key prefixes, and planned stops."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

from egretrail.idempotency import KeyLimits
from egretrail.identity import CallerId, InstanceName
from egretrail.request import (
    Answer,
    Outcome,
    RecordedAnswer,
    Refusal,
    RefusalCause,
    RequestEnvelope,
)
from egretrail.runtime.tests.keyed_fleet import KeyedFleet, keyed_fleet
from egretrail.testing import EgretrailTestCase, cases

Test = Callable[[KeyedFleet], Awaitable[None]]


class _FleetTest(EgretrailTestCase):
    def run_fleet(self, test: Test, names: str = "abc", limits: KeyLimits | None = None) -> None:
        async def run() -> None:
            fleet = await keyed_fleet(list(names), limits=limits)
            await test(fleet)
            self.assertEqual([], fleet.faults())
            await fleet.end()

        self.run_paused(run())

    def assert_refused(self, answer: Answer, outcome: Outcome, cause: RefusalCause) -> None:
        self.assertIsInstance(answer, Refusal)
        assert isinstance(answer, Refusal)
        self.assertEqual((outcome, cause), (answer.outcome, answer.cause))


class ClientTest(_FleetTest):
    @cases({"home": "a", "others": "bc"})
    def test_resends_during_the_run_join_it(self, receivers: str) -> None:
        async def test(fleet: KeyedFleet) -> None:
            request = _request(fleet)
            answers = await asyncio.gather(*(fleet.send(at, request) for at in receivers * 3))
            self.assertEqual([RecordedAnswer(200, (), request.body)], _distinct(answers))

        self.run_fleet(test)

    def test_the_request_continues_when_its_client_disconnects(self) -> None:
        async def test(fleet: KeyedFleet) -> None:
            for at in ("a", "b"):
                request = fleet.request("a", f"order-{at}")
                assert request is not None
                disconnected, waiting = fleet.send(at, request), fleet.send(at, request)
                await asyncio.sleep(0.1)
                disconnected.cancel()
                whole = RecordedAnswer(200, (), request.body)
                self.assertEqual(whole, await fleet.send("c", request))
                self.assertEqual(whole, await waiting)

        self.run_fleet(test)

    @cases({"another_caller": "caller_id", "another_body": "body", "another_target": "target"})
    def test_a_key_is_valid_for_one_request_of_one_account(self, field: str) -> None:
        other: dict[str, object] = {"caller_id": CallerId("z"), "body": b"z", "target": "/z"}

        async def test(fleet: KeyedFleet) -> None:
            request = _request(fleet)
            await fleet.send("b", request)
            reused = replace(request, **{field: other[field]})  # type: ignore[arg-type]
            for at in "abc":
                answer = await fleet.send(at, reused)
                self.assert_refused(answer, Outcome.UNKNOWN, RefusalCause.KEY_REUSED)
            await fleet.kill("a")
            answer = await fleet.send(fleet.witness_of(request), reused)
            self.assert_refused(answer, Outcome.UNKNOWN, RefusalCause.KEY_REUSED)

        self.run_fleet(test)

    def test_a_run_past_its_deadline_is_unknown_and_its_answer_available_later(self) -> None:
        async def test(fleet: KeyedFleet) -> None:
            fleet.work_s = 8.0
            request = _request(fleet)
            for at in "ab":
                answer = await fleet.send(at, request)
                self.assert_refused(answer, Outcome.UNKNOWN, RefusalCause.DEADLINE)
            await asyncio.sleep(2.0)
            self.assertIsInstance(await fleet.send("c", request), RecordedAnswer)

        self.run_fleet(test)

    @cases(
        {
            "no_key_of_the_fleet": ("order-1", Outcome.NOT_RUN),
            "forged": ("AAAAAAAAAAAAAAAAAAAAAAAA.order-1", Outcome.UNKNOWN),
        }
    )
    def test_a_foreign_key_is_refused(self, row: tuple[str, Outcome]) -> None:
        async def test(fleet: KeyedFleet) -> None:
            answer = await fleet.send("b", replace(_request(fleet), key=row[0]))
            self.assert_refused(answer, row[1], RefusalCause.KEY_INVALID)

        self.run_fleet(test)

    def test_an_answer_too_large_to_retain_is_reported_as_ran(self) -> None:
        async def test(fleet: KeyedFleet) -> None:
            request = _request(fleet)
            first = await fleet.send("b", request)
            self.assertIsInstance(first, RecordedAnswer)
            for at in "abc":
                answer = await fleet.send(at, request)
                self.assert_refused(answer, Outcome.RAN, RefusalCause.ANSWER_DROPPED)

        self.run_fleet(test, limits=KeyLimits(answer_size_bytes=10))

    def test_a_failing_dispatcher_is_unknown_and_not_retried(self) -> None:
        async def test(fleet: KeyedFleet) -> None:
            fleet.work_s = -1.0
            fleet.endings = ()
            request = _request(fleet)
            for at in "ab":
                answer = await fleet.send(at, request)
                self.assert_refused(answer, Outcome.UNKNOWN, RefusalCause.UPSTREAM_LOST)
            self.assertEqual(1, fleet.dispatched[request.key or ""])

        self.run_fleet(test)


class PrefixTest(_FleetTest):
    def test_a_single_instance_serves_without_a_witness(self) -> None:
        async def test(fleet: KeyedFleet) -> None:
            request = _request(fleet)
            self.assertIsInstance(await fleet.send("a", request), RecordedAnswer)
            self.assertFalse(fleet.processes[InstanceName("a")].executor.state().has_witness)
            await fleet.start("b")
            await asyncio.sleep(1.0)
            self.assertTrue(fleet.processes[InstanceName("a")].executor.state().has_witness)
            await fleet.kill("a")
            answer = await fleet.send("b", request)
            self.assert_refused(answer, Outcome.UNKNOWN, RefusalCause.HOME_UNREACHABLE)

        self.run_fleet(test, names="a")

    def test_a_lost_witness_is_replaced_at_the_first_refusal(self) -> None:
        async def test(fleet: KeyedFleet) -> None:
            request = _request(fleet)
            lost = fleet.witness_of(request)
            await fleet.kill(lost)
            answer = await fleet.send("a", request)
            self.assert_refused(answer, Outcome.NOT_RUN, RefusalCause.WITNESS_UNREACHABLE)
            await asyncio.sleep(0.1)
            again = _request(fleet)
            self.assertNotEqual(lost, fleet.witness_of(again))
            self.assertIsInstance(await fleet.send("a", again), RecordedAnswer)

        self.run_fleet(test)

    def test_generations_are_renewed_and_memory_is_freed(self) -> None:
        async def test(fleet: KeyedFleet) -> None:
            executor = fleet.processes[InstanceName("a")].executor
            old = _request(fleet)
            first = executor.own_prefix()
            await fleet.send("a", old)
            await asyncio.sleep(100.0)
            self.assertNotIn(executor.own_prefix(), (first, None))
            self.assertIsInstance(await fleet.send("b", old), RecordedAnswer)
            unseen = replace(old, key=f"{first}.unseen")
            await asyncio.sleep(100.0)
            answer = await fleet.send("b", unseen)
            self.assert_refused(answer, Outcome.NOT_RUN, RefusalCause.KEY_EXPIRED)
            await asyncio.sleep(300.0)
            self.assertEqual(0, executor.state().home_records_count)
            answer = await fleet.send("b", old)
            self.assert_refused(answer, Outcome.UNKNOWN, RefusalCause.KEY_EXPIRED)

        self.run_fleet(test)

    def test_prefixes_of_other_homes_are_cached(self) -> None:
        async def test(fleet: KeyedFleet) -> None:
            asker = fleet.processes[InstanceName("b")].executor
            home = InstanceName("a")
            for _ in range(100):
                expected = fleet.processes[home].executor.own_prefix()
                self.assertEqual(expected, await asker.prefix_for(home))
            self.assertEqual(1, fleet.network.delivered["FetchPrefix"])

        self.run_fleet(test)

    def test_a_starting_home_issues_no_keys_before_it_has_a_witness(self) -> None:
        async def test(fleet: KeyedFleet) -> None:
            await fleet.kill("a")
            fleet.network.cut_both(InstanceName("a"), InstanceName("b"))
            fleet.network.cut_both(InstanceName("a"), InstanceName("c"))
            await fleet.start("a")
            executor = fleet.processes[InstanceName("a")].executor
            await asyncio.sleep(2.0)
            self.assertIs(None, executor.own_prefix())
            fleet.network.cut.clear()
            await asyncio.sleep(11.0)
            self.assertTrue(executor.state().has_witness)

        self.run_fleet(test)


class FloodTest(_FleetTest):
    def test_many_new_keys_stay_within_the_limits_and_none_runs_twice(self) -> None:
        limits = KeyLimits(records_count=60, generation_keys=40, answers_size_bytes=2000)

        async def test(fleet: KeyedFleet) -> None:
            fleet.work_s = 0.01
            sent = []
            for number in range(200):
                request = fleet.request("a", f"order-{number}")
                if request is not None:
                    sent.append(request)
                    fleet.send("abc"[number % 3], request)
                await asyncio.sleep(0.02)
                for process in fleet.processes.values():
                    state = process.executor.state()
                    self.assertTrue(state.home_records_count <= 60)
                    self.assertTrue(state.witness_records_count <= 60)
                    self.assertTrue(state.answers_size_bytes <= 2 * 2000)
            await asyncio.gather(*(fleet.send("b", request) for request in sent))
            ran = sum(fleet.dispatched.values())
            self.assertTrue(ran > 100, f"only {ran} ran")

        self.run_fleet(test, limits=limits)


class PlannedStopTest(_FleetTest):
    def test_a_stop_finishes_and_stores_every_outcome_at_the_witness(self) -> None:
        async def test(fleet: KeyedFleet) -> None:
            executor = fleet.processes[InstanceName("a")].executor
            request = _request(fleet)
            unseen = fleet.request("a", "unseen")
            assert unseen is not None
            waiting = fleet.send("a", request)
            await asyncio.sleep(0.1)
            draining = asyncio.ensure_future(executor.drain(10.0))
            await asyncio.sleep(0.01)
            self.assertIs(None, executor.own_prefix())
            answer = await fleet.send("b", unseen)
            self.assert_refused(answer, Outcome.NOT_RUN, RefusalCause.KEY_EXPIRED)
            drained = await draining
            self.assertEqual((0, 0), (drained.unsettled_count, drained.unkept_count))
            self.assertIsInstance(await waiting, RecordedAnswer)
            await fleet.kill("a")
            for at in "bc":
                self.assertIsInstance(await fleet.send(at, request), RecordedAnswer)

        self.run_fleet(test)

    def test_a_stop_while_partitioned_reports_unstored_outcomes(self) -> None:
        async def test(fleet: KeyedFleet) -> None:
            executor = fleet.processes[InstanceName("a")].executor
            request = _request(fleet)
            fleet.send("a", request)
            await asyncio.sleep(0.1)
            fleet.network.cut_both(InstanceName("a"), InstanceName("b"))
            fleet.network.cut_both(InstanceName("a"), InstanceName("c"))
            drained = await executor.drain(4.0)
            self.assertEqual((0, 1), (drained.unsettled_count, drained.unkept_count))

        self.run_fleet(test)

    def test_an_outcome_reaches_the_witness_when_the_partition_heals(self) -> None:
        async def test(fleet: KeyedFleet) -> None:
            request = _request(fleet)
            witness = InstanceName(fleet.witness_of(request))
            first = fleet.send("a", request)
            await asyncio.sleep(0.1)
            fleet.network.cut_both(InstanceName("a"), witness)
            await first
            await asyncio.sleep(20.0)
            fleet.network.cut.clear()
            await asyncio.sleep(40.0)
            await fleet.kill("a")
            self.assertIsInstance(await fleet.send(witness, request), RecordedAnswer)

        self.run_fleet(test)


def _request(fleet: KeyedFleet) -> RequestEnvelope:
    request = fleet.request("a", "order-1")
    assert request is not None
    return request


def _distinct(answers: list[Answer]) -> list[Answer]:
    return list(dict.fromkeys(answers))
