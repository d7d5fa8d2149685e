"""Tests of configuration and drains, judged from outside, while the store is in trouble.

With EGRETRAIL_PROVE set, each kind of nonsense and more combinations are tried one by one.
"""

import asyncio
import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from egretrail.testing import cases
from scaffolding.platform import GatewayFleet, LinkFault
from scaffolding.platform.nonsense import NonsenseReply
from scaffolding.platform.odd_entries import ODD_ENTRIES
from scaffolding.platform.store import StoreMode
from scaffolding.tests.fleet_judge import DRAIN_S, STABLE_S, FleetJudge
from scaffolding.tests.gateway_harness import FleetHarness, GatewayTest

_IS_LONG = bool(os.environ.get("EGRETRAIL_PROVE"))
_GATEWAYS = 4
_VERSIONS = 6 if _IS_LONG else 4
_INTERVAL_S = 1.2
_SETTLE_S, _LINGER_S = 0.5, 0.5
#: Orders are served while the store alone is in trouble, up to chance.
_SERVED_MIN = 0.97
#: How long the store is away, and how soon upstreams whose entries expired have written them again.
_OUTAGE_S, _RETURN_S = 3.0, 1.8

#: As the platform's store: with shorter pages, a slow store takes long to list odd entries.
_PAGE_ITEMS = 500

Change = Callable[[GatewayFleet], None]


@dataclass(frozen=True, slots=True)
class _Trouble:
    """Trouble of the store that lasts while versions are written."""

    begin: Change
    #: Extra time that the pages allow for a configuration.
    stretch_s: float = 0.0


def _share(mode: StoreMode, share: float) -> _Trouble:
    return _Trouble(lambda fleet: _set(fleet, mode_shares={mode: share}))


def _set(fleet: GatewayFleet, **fields: object) -> None:
    for name, value in fields.items():
        setattr(fleet.store, name, value)


def _nonsense(*kinds: NonsenseReply, share: float = 0.33) -> _Trouble:
    mode_shares = {StoreMode.TALKING_NONSENSE: share}
    return _Trouble(lambda fleet: _set(fleet, nonsense=kinds, mode_shares=mode_shares))


def _odd_entries(fleet: GatewayFleet) -> None:
    for number, odd in enumerate(list(ODD_ENTRIES.values())[::4]):
        fleet.store.write_bytes(f"servers/odd-{number}", odd.value)


def _turn_away(fleet: GatewayFleet, numbers: range, mode: StoreMode) -> None:
    for number in numbers:
        fleet.store.mode_overrides[fleet.store_host(number)] = mode


def _cut_links(fleet: GatewayFleet, numbers: range, fault: LinkFault) -> None:
    for number in numbers:
        fleet.store_links[number].fault = fault


def _all(*changes: Change) -> _Trouble:
    def begin(fleet: GatewayFleet) -> None:
        for change in changes:
            change(fleet)

    return _Trouble(begin)


_SLOW = (0.4, 0.8)
_SHARES = {
    StoreMode.UNAVAILABLE: 0.2,
    StoreMode.RESETTING: 0.1,
    StoreMode.CUTTING_WATCHES: 0.5,
    StoreMode.FORGETFUL: 0.3,
}
_TROUBLES: Mapping[str, _Trouble] = {
    "none": _Trouble(lambda fleet: None),
    "slow": _Trouble(lambda fleet: _set(fleet, delay_s=_SLOW)),
    "slow, beside odd entries": _all(lambda fleet: _set(fleet, delay_s=_SLOW), _odd_entries),
    "refusals, resets, cuts and 410": _Trouble(lambda fleet: _set(fleet, mode_shares=_SHARES)),
    "nonsense of all kinds": _nonsense(*NonsenseReply),
    "a zone turned away, beside odd entries": _all(
        lambda fleet: _turn_away(fleet, range(0, _GATEWAYS, 2), StoreMode.UNAVAILABLE),
        _odd_entries,
    ),
}
_LONG_TROUBLES: Mapping[str, _Trouble] = {
    "two fifths refused": _share(StoreMode.UNAVAILABLE, 0.4),
    "a third reset": _share(StoreMode.RESETTING, 0.33),
    "watches cut": _share(StoreMode.CUTTING_WATCHES, 0.6),
    "half 410": _share(StoreMode.FORGETFUL, 0.5),
    "a fifth unanswered": _share(StoreMode.UNRESPONSIVE, 0.2),
    "writes lost": _share(StoreMode.LOSING_REPLIES, 1.0),
    **{f"{kind.value}, a third": _nonsense(kind) for kind in NonsenseReply},
    "slow, refusals and odd entries": _all(
        lambda fleet: _set(fleet, delay_s=_SLOW, mode_shares=_SHARES), _odd_entries
    ),
    **{
        f"all but one {fault.value}": _Trouble(
            lambda fleet, fault=fault: _cut_links(  # type: ignore[misc]
                fleet, range(1, _GATEWAYS), fault
            )
        )
        for fault in LinkFault
        if fault is not LinkFault.NONE
    },
    **{
        f"readers {mode.value}": _Trouble(
            lambda fleet, mode=mode: _turn_away(fleet, range(2), mode)  # type: ignore[misc]
        )
        for mode in (StoreMode.UNAVAILABLE, StoreMode.UNRESPONSIVE, StoreMode.RESETTING)
    },
}


class _JudgedTest(GatewayTest):
    def judge(self, judge: FleetJudge) -> None:
        times = " ".join(f"{version}:{s:.2f}" for version, s in judge.apply_times_s().items())
        print(f"known everywhere after, s: {times}; served {judge.served_share():.3f}")
        self.assertEqual([], judge.findings())
        self.assertEqual(0, judge.unanswered())
        self.assertGreaterEqual(judge.served_share(), _SERVED_MIN)


class StoreTroubleTest(_JudgedTest):
    # Guards against a process that acts on a change late, returns to an older configuration, denies
    # a route that is there, or sends requests to an upstream that drains, while the store is slow,
    # fails part of its calls, or answers with nonsense.
    @cases({**_TROUBLES, **(_LONG_TROUBLES if _IS_LONG else {})})
    def test_changes_are_acted_on_in_time(self, trouble: _Trouble) -> None:
        async def scenario(harness: FleetHarness) -> None:
            fleet, judge = harness.fleet, FleetJudge(harness, _GATEWAYS)
            fleet.store.page_items = _PAGE_ITEMS
            async with judge.watching():
                await asyncio.sleep(_SETTLE_S)
                trouble.begin(fleet)
                await asyncio.sleep(_SETTLE_S)
                for number in range(_VERSIONS):
                    judge.add_route(trouble.stretch_s)
                    if number in (1, 2):
                        judge.drain(fleet.backends[-1 if number == 1 else 0])
                    await asyncio.sleep(_INTERVAL_S)
                await asyncio.sleep(DRAIN_S + _LINGER_S - _INTERVAL_S)
                self.judge(judge)

        self.run_scenario(scenario, count=_GATEWAYS)


class StoreOutageTest(_JudgedTest):
    # Guards against a change that is lost, or upstreams that are dropped, when the store was away
    # and their entries have expired meanwhile.
    @cases({mode.value: mode for mode in (StoreMode.UNAVAILABLE, StoreMode.UNRESPONSIVE)})
    def test_changes_around_an_outage(self, mode: StoreMode) -> None:
        async def scenario(harness: FleetHarness) -> None:
            fleet, store = harness.fleet, harness.fleet.store
            judge = FleetJudge(harness, _GATEWAYS)
            async with judge.watching():
                await asyncio.sleep(_SETTLE_S)
                # The store is in trouble until the end of the outage, and then has to be stable.
                judge.add_route(_OUTAGE_S + STABLE_S)
                await asyncio.sleep(0.05)
                store.mode = mode
                for backend in fleet.backends[1::2]:
                    store.remove(f"servers/{backend.id}")
                await asyncio.sleep(_OUTAGE_S)
                store.mode = StoreMode.SERVING
                judge.add_route(STABLE_S)
                judge.drain(fleet.backends[0], STABLE_S)
                await asyncio.sleep(_RETURN_S)
                for backend in fleet.backends[1::2]:
                    store.write(f"servers/{backend.id}", backend.store_entry())
                await asyncio.sleep(STABLE_S + DRAIN_S + _LINGER_S - _RETURN_S)
                self.judge(judge)

        self.run_scenario(scenario, count=_GATEWAYS)

    # Guards against a process that keeps to the revisions of before a restore.
    def test_changes_after_a_restore_from_a_backup(self) -> None:
        async def scenario(harness: FleetHarness) -> None:
            fleet, store = harness.fleet, harness.fleet.store
            judge = FleetJudge(harness, _GATEWAYS)
            async with judge.watching():
                await asyncio.sleep(_SETTLE_S)
                judge.add_route()
                backup = store.take_backup()
                await asyncio.sleep(_SETTLE_S)
                # The backup lacks this version, which the operator writes again after the restore.
                judge.add_route()
                await asyncio.sleep(_SETTLE_S)
                store.restore(backup)
                judge.add_route(STABLE_S)
                judge.drain(fleet.backends[0], STABLE_S)
                await asyncio.sleep(STABLE_S)
                judge.add_route()
                judge.drain(fleet.backends[-1])
                await asyncio.sleep(DRAIN_S + _LINGER_S)
                self.judge(judge)

        self.run_scenario(scenario, count=_GATEWAYS)
