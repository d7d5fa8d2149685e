"""How an instance connects its overload policy with capacity, zones and requests."""

import asyncio
import os
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any
from unittest import mock

from egretrail.cluster.tests.messages import section
from egretrail.dispatch import Observation, Outcome
from egretrail.gateway._executor import RequestExecutor
from egretrail.gateway._log import EventLog
from egretrail.gateway._metrics import GatewayMetrics
from egretrail.gateway._view import FleetView
from egretrail.gateway.tests.demand import SummingPolicy, ranked_config
from egretrail.gateway.tests.executor import ExecutorTestCase, make_request
from egretrail.gateway.tests.settings import gateway_settings
from egretrail.overload import (
    AccountDemandKey,
    DemandKey,
    DemandReport,
    DemandRow,
    NoOverloadPolicy,
    ServiceRoom,
    ServiceState,
    service_key,
)
from egretrail.platform.tests.requests import client_request
from egretrail.testing import EgretrailTestCase, cases
from egretrail.traffic import UpstreamRecord, UpstreamState
from scaffolding.platform import Behaviour, StandInBackend
from scaffolding.platform.fleet import HOST, account

_S = service_key("s")
_ACCOUNTS = {AccountDemandKey(_S, 5): 9}
_ROWS = {DemandKey(_S, 1): DemandRow(30, 4, 2)}


class _Instance:
    """A view on a clock that the test sets, with the events that it logs."""

    def __init__(self, **settings: Any) -> None:
        self.now_s = 100.0
        self.events: list[tuple[str, dict[str, Any]]] = []
        log = EventLog("test", descriptor=os.open(os.devnull, os.O_WRONLY))
        mock.patch.object(log, "event", lambda name, **f: self.events.append((name, f))).start()
        self.settings = replace(gateway_settings(), **settings)
        self.view = FleetView(self.settings, 1, lambda: self.now_s, log, random.Random(1))
        self.view.overload.make_policy = lambda terms, rng: SummingPolicy(terms)
        self.view.replace_upstreams(
            [
                UpstreamRecord(name, "s", "10.9.0.1:1", "zone-a", 4, UpstreamState.READY)
                for name in "uvw"
            ],
            5,
            "test",
        )

    @property
    def policy(self) -> SummingPolicy:
        """The policy in force."""
        assert isinstance(self.view.overload.policy, SummingPolicy)
        return self.view.overload.policy

    def room(self) -> ServiceRoom:
        """Return the capacity of the service as seen now."""
        return self.view.overload.room("s", self.now_s)


class PolicyChoiceTest(EgretrailTestCase):
    @cases(
        {
            "one kind of request": ((1,), None, True, False),
            "two kinds": ((0, 1), None, False, True),
            "accounts without the setting": ((1,), [account("a", "k", priority=1)], False, False),
            "accounts with the setting": ((1,), [account("a", "k", priority=1)], True, True),
        }
    )
    def test_a_policy_is_in_force_only_where_terms_call_for_it(
        self, case: tuple[tuple[int, ...], list[dict[str, object]] | None, bool, bool]
    ) -> None:
        priorities, accounts, shares_capacity, expected = case
        instance = _Instance(shares_capacity=shares_capacity)
        self.assertIs(NoOverloadPolicy, type(instance.view.overload.policy))
        instance.view.apply_config(ranked_config({"s": priorities}, accounts), "test")
        self.assertIs(expected, isinstance(instance.view.overload.policy, SummingPolicy))
        self.assertEqual(["s"] if expected else [], list(instance.view.overload.services))

    def test_changed_settings_start_and_end_it(self) -> None:
        instance = _Instance()
        accounts = [account("a", "k", priority=1)]
        instance.view.apply_config(ranked_config({"s": (1,)}, accounts), "test")
        kinds = []
        for shares_capacity in (True, True, False):
            settings = replace(instance.settings, shares_capacity=shares_capacity)
            instance.view.apply_settings(settings)
            kinds.append(type(instance.view.overload.policy))
        self.assertEqual([SummingPolicy, SummingPolicy, NoOverloadPolicy], kinds)
        self.assertTrue(instance.view.next_heartbeat().demand.is_empty)


class RoomTest(EgretrailTestCase):
    def test_slots_of_suspects_and_draining_upstreams_do_not_count(self) -> None:
        instance = _Instance()
        instance.view.record_request_start("u", trial=False)
        self.assertEqual(ServiceRoom(12, 1, 0.3), instance.room())
        for _ in range(3):
            instance.view.record_outcome(Observation("v", Outcome.FAILED, 0.01))
        instance.view.upstreams.mark_draining("w")
        instance.now_s += 0.06
        self.assertEqual(ServiceRoom(4, 1, 0.3), instance.room())

    def test_an_upstream_that_only_this_instance_does_not_reach_counts(self) -> None:
        """Guards against instances that base their decisions on different capacities."""
        instance = _Instance()
        instance.view.avoid_path("u")
        self.assertEqual(12, instance.room().slots)

    def test_it_is_computed_at_most_every_50_ms(self) -> None:
        instance = _Instance()
        self.assertEqual(0, instance.room().in_flight)
        instance.view.record_request_start("u", trial=False)
        instance.now_s += 0.04
        self.assertEqual(0, instance.room().in_flight)
        instance.now_s += 0.02
        self.assertEqual(1, instance.room().in_flight)

    @cases({"0.66 of the slots": (8, False), "0.75 of the slots": (9, True)})
    def test_a_service_is_busy_when_most_slots_are_taken(self, case: tuple[int, bool]) -> None:
        in_flight, expected = case
        instance = _Instance()
        instance.view.apply_config(ranked_config({"s": (0, 1)}), "test")
        instance.now_s += 0.06
        for number in range(in_flight):
            instance.view.record_request_start("uvw"[number % 3], trial=False)
        busy = instance.view.overload.busy_services(instance.now_s)
        self.assertEqual({_S} if expected else set(), busy)


class ZoneReportsTest(EgretrailTestCase):
    def _offered(self, instance: _Instance) -> tuple[dict[int, int], dict[str, int]]:
        snapshot = instance.view.overload.snapshots(instance.now_s)["s"]
        rows = {priority: counts[0] for priority, counts in snapshot.by_priority.items()}
        return rows, dict(snapshot.accounts)

    @cases(
        {
            "rows without accounts leave the accounts": (0.5, DemandReport(_ROWS), True),
            "rows without accounts, long after": (6.0, DemandReport(_ROWS), False),
            "accounts of another service": (
                0.5,
                DemandReport({DemandKey(service_key("t"), 1): DemandRow(1, 1)}),
                False,
            ),
            "the end of the demand": (0.5, DemandReport(), False),
            "no news": (0.5, None, True),
        }
    )
    def test_accounts_stay_until_they_are_old_or_ended(
        self, case: tuple[float, DemandReport | None, bool]
    ) -> None:
        later_s, report, expected = case
        instance = _Instance()
        instance.view.apply_config(ranked_config({"s": (0, 1)}), "test")
        for sequence, demand in enumerate([DemandReport(_ROWS, _ACCOUNTS), report], 1):
            zone = section(availability_zone="zone-a", sequence=sequence, demand=demand)
            instance.view.apply_section(zone, followed=True)
            instance.now_s += later_s if sequence == 1 else 0.0
        self.assertEqual({"00000005": 9} if expected else {}, self._offered(instance)[1])

    def test_a_heartbeat_has_the_24_heaviest_accounts(self) -> None:
        """Guards against a heartbeat that does not fit into one datagram."""
        instance = _Instance()
        instance.view.apply_config(ranked_config({"s": (0, 1)}), "test")
        accounts = {AccountDemandKey(_S, n): n for n in range(1, 60)}
        with mock.patch.object(
            instance.policy, "own_report", return_value=DemandReport(_ROWS, accounts)
        ):
            report = instance.view.next_heartbeat().demand
        self.assertEqual({*range(36, 60)}, {key.account for key in report.accounts})

    def test_sections_of_a_hub_that_is_not_followed_are_ignored(self) -> None:
        instance = _Instance()
        instance.view.apply_config(ranked_config({"s": (0, 1)}), "test")
        other = section(availability_zone="zone-a", demand=DemandReport(_ROWS))
        instance.view.apply_section(other, followed=False)
        self.assertEqual({}, self._offered(instance)[0])

    def test_changes_of_the_state_are_logged_once(self) -> None:
        instance = _Instance()
        instance.view.apply_config(ranked_config({"s": (0, 1)}), "test")
        for state in (ServiceState.FULL, ServiceState.FULL, ServiceState.NORMAL):
            instance.policy.state = state
            instance.now_s += 0.2
            zone = section(
                availability_zone="zone-a",
                sequence=int(instance.now_s * 10),
                demand=DemandReport(_ROWS),
            )
            instance.view.apply_section(zone, followed=True)
        fields = [one for name, one in instance.events if name == "service_state"]
        self.assertEqual(
            [("normal", "full"), ("full", "normal")],
            [(one["before"], one["after"]) for one in fields],
        )
        expected = {
            "service": "s",
            "before": "normal",
            "after": "full",
            "in_flight": 0,
            "slots": 12,
            "shed": 2,
            "offered": 30,
            "age_s": 0.1,
        }
        self.assertEqual(expected, fields[0])

    def test_metrics_name_the_ten_heaviest_accounts(self) -> None:
        instance = _Instance()
        instance.view.apply_config(ranked_config({"s": (0, 1)}), "test")
        accounts = {AccountDemandKey(_S, n): n for n in range(1, 21)}
        zone = section(availability_zone="zone-a", demand=DemandReport(_ROWS, accounts))
        instance.view.apply_section(zone, followed=True)
        gauges = dict(instance.view.overload.metrics(instance.now_s))
        lines = GatewayMetrics().render(gauges).decode().splitlines()
        self.assertIn('egretrail_service_state{service="s",state="normal"} 1', lines)
        self.assertIn('egretrail_service_state{service="s",state="full"} 0', lines)
        self.assertIn('egretrail_demand_offered{service="s",priority="1"} 30', lines)
        self.assertIn('egretrail_demand_refused{service="s",priority="1"} 4', lines)
        self.assertIn('egretrail_demand_shed{service="s",priority="1"} 2', lines)
        self.assertEqual(10, sum(name.startswith("account_offered") for name in gauges))
        self.assertIn('account_offered{service="s",account="00000014"}', gauges)


class ExecutorPolicyTest(ExecutorTestCase):
    """The executor asks the policy of one service, to which the stand-in's routes go."""

    def _run(
        self,
        scenario: Callable[[RequestExecutor, SummingPolicy, StandInBackend], Any],
        accounts: list[dict[str, object]] | None = None,
    ) -> list[tuple[str, dict[str, Any]]]:
        """Run a scenario with a policy that watches the service; return the logged events."""
        events: list[tuple[str, dict[str, Any]]] = []

        async def run(executor: RequestExecutor, view: FleetView, backend: StandInBackend) -> None:
            config = view.configs.config
            assert config is not None
            policy = SummingPolicy({})
            with (
                mock.patch.object(policy, "watches", lambda service: service == "s"),
                mock.patch.object(view.overload, "policy", policy),
                mock.patch.object(
                    EventLog, "event", lambda log, name, **f: events.append((name, f))
                ),
            ):
                await scenario(executor, policy, backend)

        self.run_with_backend(run, accounts)
        return events

    def test_a_request_over_its_share_is_refused_before_any_attempt(self) -> None:
        async def scenario(
            executor: RequestExecutor, policy: SummingPolicy, backend: StandInBackend
        ) -> None:
            policy.refuses = lambda arrival: arrival.account == "acme"
            request = client_request(HOST, b"GET", b"/read/1", api_key=b"k1")
            response = await executor.serve(request)
            self.assertEqual(503, response.status)
            self.assertEqual([(b"Retry-After", b"0.07")], list(response.headers))
            self.assertEqual(0, sum(backend.runs.values()))

        [(name, fields)] = self._run(scenario, [account("acme", "k1", priority=2)])
        self.assertEqual("refused", name)
        fields.pop("id")
        expected = {
            "route": "read",
            "reason": "over_share",
            "retry_after_s": 0.07,
            "priority": 2,
            "account": "acme",
            "service": "s",
            "state": "full",
            "level": 0.25,
            "offered_per_s": 90.0,
            "room_per_s": 40.0,
            "age_s": 0.1,
        }
        self.assertEqual(expected, fields)

    def test_the_route_stands_in_for_no_account(self) -> None:
        async def scenario(
            executor: RequestExecutor, policy: SummingPolicy, backend: StandInBackend
        ) -> None:
            policy.refuses = lambda arrival: (arrival.account, arrival.priority) == ("open", 1)
            response = await executor.serve(make_request(b"GET", b"/open/1"))
            self.assertEqual(503, response.status)
            self.assertEqual(200, (await executor.serve(make_request(b"GET", b"/read/1"))).status)

        events = self._run(scenario)
        logged = [(name, f["priority"], f["account"]) for name, f in events if "priority" in f]
        self.assertEqual([("refused", 1, ""), ("attempt", 1, "")], logged)

    @cases({"permitted": True, "refused": False})
    def test_a_retry_is_ranked_after_an_upstream_refused(self, permits: bool) -> None:
        async def scenario(
            executor: RequestExecutor, policy: SummingPolicy, backend: StandInBackend
        ) -> None:
            policy.permits, policy.return_s = permits, 0.06
            backend.behaviour = Behaviour.SHEDDING
            response = await executor.serve(make_request(b"POST", b"/order/1"))
            self.assertEqual([(b"Retry-After", b"0.06")], list(response.headers))
            self.assertEqual([("s", 1)], policy.wanted)
            self.assertEqual([("s", 1)], policy.shed)

        events = self._run(scenario)
        self.assertEqual(["refused"], [name for name, _ in events if name == "refused"])

    def test_a_request_is_hedged_only_if_the_policy_permits_it(self) -> None:
        for permits, expected in ((True, 2), (False, 1)):

            async def scenario(
                executor: RequestExecutor,
                view: FleetView,
                backends: Any,
                permits: bool = permits,
                expected: int = expected,
            ) -> None:
                policy = SummingPolicy({})
                policy.permits = permits
                for backend in backends:
                    backend.behaviour = Behaviour.HANGING
                with (
                    mock.patch.object(policy, "watches", return_value=True),
                    mock.patch.object(view.overload, "policy", policy),
                ):
                    task = asyncio.create_task(executor.serve(make_request(b"GET", b"/read/1")))
                    await asyncio.sleep(1.2)
                    self.assertEqual(expected, sum(view.load.own_counts().values()))
                    task.cancel()
                    await asyncio.gather(task, return_exceptions=True)
                self.assertEqual([], policy.wanted)

            self.run_with_backends(2, scenario)
