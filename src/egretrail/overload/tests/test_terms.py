"""Tests of the services that are watched for overload."""

from collections.abc import Sequence

from egretrail.overload import ServiceTerms, service_terms
from egretrail.testing import EgretrailTestCase, cases
from egretrail.traffic import (
    ClientAccount,
    ClientLimits,
    FleetConfig,
    ObjectiveTable,
    Route,
    RouteKind,
    WeightedService,
)


def _route(service: str, priority: int, objective_s: float, *, public: bool = False) -> Route:
    parts = [WeightedService(service, 1.0)]
    name = f"{service}-{priority}"
    kind = RouteKind.IDEMPOTENT
    return Route(
        name, "h", f"/{name}/", kind, 9.0, objective_s, priority, 2, parts, is_public=public
    )


def _account(priority: int | None) -> ClientAccount:
    return ClientAccount(f"account-{priority}", (), priority, 0.0, 0.0)


_ONE_KIND = [_route("s", 1, 0.8)]
_TWO_KINDS = [_route("s", 1, 0.8), _route("s", 0, 0.4), _route("t", 1, 0.3)]


class ServiceTermsTest(EgretrailTestCase):
    @cases(
        {
            "one kind of request": (_ONE_KIND, None, True, {}),
            "two kinds at one service": (
                _TWO_KINDS,
                None,
                True,
                {"s": ServiceTerms(True, False, {1: 0.8, 0: 0.4}, {1: 0.8, 0: 0.4})},
            ),
            "a rare route with a short objective": (
                [_route("s", 1, 0.4), _route("s", 1, 0.8), _route("s", 0, 0.4)],
                None,
                True,
                {"s": ServiceTerms(True, False, {1: 0.4, 0: 0.4}, {1: 0.8, 0: 0.4})},
            ),
            "accounts without the setting": (_ONE_KIND, [None], False, {}),
            "accounts with the setting": (
                _ONE_KIND,
                [None],
                True,
                {"s": ServiceTerms(False, True, {1: 0.8}, {1: 0.8})},
            ),
            "an account more urgent than the route": (
                _ONE_KIND,
                [None, 0],
                False,
                {"s": ServiceTerms(True, False, {1: 0.8, 0: 0.8}, {1: 0.8, 0: 0.8})},
            ),
            "accounts that all have one priority": (
                _TWO_KINDS,
                [2],
                False,
                {},
            ),
            "a public route": ([_route("s", 1, 0.8, public=True)], [None], True, {}),
            "no accounts in the list": (_ONE_KIND, [], True, {}),
        }
    )
    def test_terms(
        self,
        case: tuple[Sequence[Route], Sequence[int | None] | None, bool, dict[str, ServiceTerms]],
    ) -> None:
        routes, priorities, shares_capacity, expected = case
        accounts = None if priorities is None else [_account(one) for one in priorities]
        config = FleetConfig(1, routes, {}, ClientLimits(), accounts)
        terms = service_terms(config, ObjectiveTable(config), shares_capacity=shares_capacity)
        self.assertEqual(expected, terms)
