"""Measures how costs grow with size, for ``docs/CAPACITY.md``: three sizes and the marginal cost.

Memory is measured by tracemalloc after a garbage collection; CPU time is that of this process.
Nothing is asserted.
"""

import gc
import random
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import click

from egretrail.fleet import (
    GroupIndex,
    Member,
    MembershipTable,
    MembershipTuning,
    Ping,
    Rumour,
    RumourState,
    Slowness,
)
from egretrail.floor import EjectionsReply, FetchEjections
from egretrail.identity import (
    AvailabilityZone,
    CallerId,
    Incarnation,
    InstanceName,
    ServiceName,
    UpstreamName,
)
from egretrail.route import RouteTable
from egretrail.service import DemandReport
from egretrail.settings import Catalogue, Detection, SettingChange
from egretrail.upstream import Attempt, AttemptOutcome, NoRights, ServiceHealth
from egretrail.wire import Frame, FrameKind, Message, decode_frame, encode_frame

_ZONES = tuple(AvailabilityZone(f"zone-{number}") for number in range(11))
_ROUTE = 'service = "shop"\npath_prefix = "/team-{n}/shop"\n'
_SERVICE = "floor = 20\n"
_IMPORTS = {
    "python alone": "pass",
    "egretraild": "import egretrail.daemon",
    "egretrail (tool)": "import egretrail.cli",
}


@dataclass(frozen=True, slots=True)
class Slope:
    """One cost at several sizes, with its growth."""

    #: What is measured, its unit, the sizes and the value at each size.
    name: str
    unit: str
    sizes: Sequence[int]
    values: Sequence[float]

    @property
    def per_unit(self) -> float:
        """Return the cost per additional unit, between the smallest and the largest size."""
        return (self.values[-1] - self.values[0]) / (self.sizes[-1] - self.sizes[0])


def _memory_bytes(build: Callable[[], Any]) -> float:
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(used)


def _cpu_us(action: Callable[[], Any], rounds: int) -> float:
    action()
    best = float("inf")
    for _ in range(3):
        started_s = time.process_time()
        for _ in range(rounds):
            action()
        best = min(best, (time.process_time() - started_s) / rounds)
    return best * 1e6


def _resident_mb(code: str) -> float:
    script = f"{code}\nprint(open('/proc/self/status').read())"
    completed = subprocess.run([sys.executable, "-c", script], capture_output=True, check=True)
    line = next(line for line in completed.stdout.decode().splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def _member(number: int) -> Member:
    return Member(
        Incarnation(InstanceName(f"entry-{number}"), 1 << 60 | number),
        _ZONES[number % len(_ZONES)],
        f"10.0.{number % 256}.{number // 256}",
        8080,
        f"10.0.{number % 256}.{number // 256}",
        8081,
    )


def _table(size: int) -> MembershipTable:
    tuning = MembershipTuning()
    table = MembershipTable(_member(0), tuning, Slowness(tuning))
    table.apply_list([_member(number) for number in range(1, size)], 0.0)
    return table


def _catalogue(routes: int) -> tuple[Catalogue, RouteTable]:
    catalogue = Catalogue()
    for number in range(routes):
        team = f"team-{number}"
        catalogue.apply(SettingChange(f"{team}/services/shop", 2 * number + 1, "c" * 16, _SERVICE))
        text = _ROUTE.replace("{n}", str(number))
        catalogue.apply(SettingChange(f"{team}/routes/shop", 2 * number + 2, "c" * 16, text))
    return catalogue, RouteTable.from_settings(catalogue.in_force.settings())


def _health(upstreams: int) -> ServiceHealth:
    service = ServiceName("team/shop")
    health = ServiceHealth(service, Detection.PATIENT, 10.0, NoRights(), random.Random(1))
    health.set_upstreams([UpstreamName(f"shop-{n}") for n in range(upstreams)], 0.0)
    for number in range(upstreams * 20):
        health.record_outcome(_attempt(number, upstreams), 0.1 + number * 0.001)
    return health


def _attempt(number: int, upstreams: int) -> Attempt:
    return Attempt(
        UpstreamName(f"shop-{number % upstreams}"),
        AttemptOutcome.ANSWERED,
        0.02 + (number % 7) * 0.001,
        number * 0.001,
        number,
        "team/shop GET",
        CallerId(f"c{number % 9}"),
    )


def _evidence_bytes(upstreams: int) -> float:
    evidence = _health(upstreams).own_evidence(1.0)
    return float(len(encode_frame(Frame(FrameKind.NOTIFY, 0, evidence))))


def _merge_us(upstreams: int) -> float:
    health, evidence = _health(upstreams), _health(upstreams).own_evidence(1.0)
    return _cpu_us(lambda: health.apply_evidence(InstanceName("other"), evidence, 1.0), 200)


def _record_us(upstreams: int) -> float:
    health = _health(upstreams)
    return _cpu_us(lambda: health.record_outcome(_attempt(5, upstreams), 2.0), 500)


def _verdicts_us(upstreams: int) -> float:
    health = _health(upstreams)
    return _cpu_us(lambda: health.verdicts(2.0), 100)


def _apply_us(routes: int) -> float:
    catalogue, _ = _catalogue(routes)
    generation = iter(range(10_000_000, 20_000_000))

    def apply_change() -> None:
        text = _ROUTE.replace("{n}", "0") + "queue_s = 1.0\n"
        catalogue.apply(SettingChange("team-0/routes/shop", next(generation), "c" * 16, text))

    return _cpu_us(apply_change, 200)


def _choice_us(members: int) -> float:
    index = GroupIndex()
    index.update([_member(number) for number in range(members)])
    numbers = iter(range(10_000_000))
    return _cpu_us(lambda: index.choose(f"service-{next(numbers)}", 8), 30)


def _rumour(number: int) -> Rumour:
    member = _member(number)
    return Rumour(
        member.name,
        member.incarnation.number,
        3,
        RumourState.ALIVE,
        True,
        member.availability_zone,
        member.caller_host,
        member.caller_port,
        member.peer_host,
        member.peer_port,
    )


def _messages() -> dict[str, Message]:
    service = ServiceName("team-1234/service-1234")
    rumours = tuple(_rumour(number) for number in range(7))
    return {
        "heartbeat, no rumours": Ping(rumours[0], ()),
        "heartbeat, 6 rumours": Ping(rumours[0], rumours[1:]),
        "question for ejections": FetchEjections(service),
        "answer, none ejected": EjectionsReply(service, (), (1,)),
        "demand": DemandReport(service, 17),
    }


def _wire_bytes(body: Message) -> int:
    return len(encode_frame(Frame(FrameKind.ASK, 123456, body))) + 4


def _wire_us(body: Message) -> float:
    data = encode_frame(Frame(FrameKind.ASK, 123456, body))
    encoding = _cpu_us(lambda: encode_frame(Frame(FrameKind.ASK, 123456, body)), 2000)
    return encoding + _cpu_us(lambda: decode_frame(data), 2000)


def _slope(name: str, unit: str, sizes: Sequence[int], measure: Callable[[int], float]) -> Slope:
    return Slope(name, unit, sizes, [measure(size) for size in sizes])


def measure_all() -> Sequence[Slope]:
    """Measure all costs."""
    upstreams, members, routes = (10, 31, 200), (44, 500, 3500), (1000, 4000, 16000)
    return [
        _slope("membership: memory", "bytes", members, lambda n: _memory_bytes(lambda: _table(n))),
        _slope("membership: first choice of a group", "us", members, _choice_us),
        _slope(
            "settings: memory, a service and a route",
            "bytes",
            routes,
            lambda n: _memory_bytes(lambda: _catalogue(n)),
        ),
        _slope("settings: one change applied", "us", routes, _apply_us),
        _slope("health: memory", "bytes", upstreams, lambda n: _memory_bytes(lambda: _health(n))),
        _slope("health: evidence on the wire", "bytes", upstreams, _evidence_bytes),
        _slope("health: evidence merged", "us", upstreams, _merge_us),
        _slope("health: attempt recorded", "us", upstreams, _record_us),
        _slope("health: all verdicts", "us", upstreams, _verdicts_us),
    ]


@click.command()
def main() -> None:
    """Measure and print one line for each slope."""
    for name, code in _IMPORTS.items():
        click.echo(f"resident, {name:<20}{_resident_mb(code):>8.1f} MB")
    for name, body in _messages().items():
        click.echo(f"on the wire, {name:<24}{_wire_bytes(body):>6} bytes{_wire_us(body):>8.1f} us")
    click.echo(f"{'slope':<42}{'unit':>6}  {'sizes':<20}{'values':<34}{'one more':>12}")
    for slope in measure_all():
        sizes = ", ".join(map(str, slope.sizes))
        values = ", ".join(f"{value:,.1f}" for value in slope.values)
        click.echo(
            f"{slope.name:<42}{slope.unit:>6}  {sizes:<20}{values:<34}{slope.per_unit:>12,.3f}"
        )


if __name__ == "__main__":
    main()
