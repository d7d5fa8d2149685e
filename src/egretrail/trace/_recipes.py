"""Recipes: a seed makes a whole trace, always the same."""

import dataclasses
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from egretrail.identity import CallerId, UpstreamName
from egretrail.settings import Detection
from egretrail.trace._records import Expectation, Fault, FaultKind, MemberLost, Trace
from egretrail.trace._sites import (
    READS,
    WRITES,
    Deployment,
    Load,
    Site,
    capacity_per_s,
    header_of,
    requests_of,
    steady,
)

#: When the fault of a recipe begins.
_FAULT_AT_S = 6.0


@dataclass(frozen=True, slots=True)
class Recipe:
    """Makes a trace for a deployment from a seed."""

    #: Names it in tables.
    name: str
    #: Draws the trace.
    make: Callable[[Deployment, random.Random], Trace]

    def trace(self, deployment: Deployment, seed: int) -> Trace:
        """Return the trace of a seed."""
        name = f"{self.name} {deployment.value} {seed}"
        trace = self.make(deployment, random.Random(name))
        return dataclasses.replace(trace, header=dataclasses.replace(trace.header, name=name))


_FaultMaker = Callable[[Site, random.Random], Sequence[Fault]]


def gray(
    name: str,
    make_faults: _FaultMaker,
    expectations: Sequence[Expectation],
    rate_per_s: float = 50.0,
    duration_s: float = 24.0,
    hedge: bool = False,
) -> Recipe:
    """Return a recipe with a steady load and faults."""

    def make(deployment: Deployment, rng: random.Random) -> Trace:
        site = READS[deployment]
        load = Load(steady(rate_per_s), duration_s, hedge=hedge)
        requests = requests_of(site, load, rng)
        faults = make_faults(site, rng)
        return Trace(header_of(name, site, duration_s), requests, faults, (), expectations)

    return Recipe(name, make)


def one(kind: FaultKind, until_s: float = 24.0, **values: float | int | str) -> _FaultMaker:
    """Return a maker of one fault at a random upstream."""

    def make(site: Site, rng: random.Random) -> Sequence[Fault]:
        upstream = UpstreamName(f"u{rng.randrange(site.upstream_count):02}")
        fault = Fault(kind, upstream, _FAULT_AT_S, until_s)
        return [dataclasses.replace(fault, **values)]  # type: ignore[arg-type]

    return make


def flapping(site: Site, rng: random.Random) -> Sequence[Fault]:
    """Return a fault that comes and goes every few seconds."""
    upstream = UpstreamName(f"u{rng.randrange(site.upstream_count):02}")
    return [
        Fault(FaultKind.FAILS, upstream, at_s, at_s + 4.0, share=0.6)
        for at_s in (8.0, 18.0, 28.0, 38.0)
    ]


def all_alike(site: Site, _rng: random.Random) -> Sequence[Fault]:
    """Return the same fault at every upstream: a bad release."""
    return [
        Fault(FaultKind.FAILS, UpstreamName(f"u{index:02}"), _FAULT_AT_S, 20.0, share=0.3)
        for index in range(site.upstream_count)
    ]


def zone_lost(deployment: Deployment, rng: random.Random) -> Trace:
    """Return the loss of one availability zone with its upstreams and instances."""
    site = READS[deployment]
    requests = requests_of(site, Load(steady(80.0), 30.0), rng)
    header = header_of("zone-lost", site, 30.0)
    zone = rng.choice(site.zones)
    faults = [
        Fault(FaultKind.UNREACHABLE, each.name, _FAULT_AT_S, 30.0)
        for each in header.upstreams
        if each.availability_zone == zone
    ]
    gone = [i for i, each in enumerate(header.members) if each.availability_zone == zone]
    left = [i for i in range(len(header.members)) if i not in gone]
    moved = [
        (
            dataclasses.replace(each, member=left[number % len(left)])
            if each.at_s >= _FAULT_AT_S and each.member in gone
            else each
        )
        for number, each in enumerate(requests)
    ]
    lost = [MemberLost(index, _FAULT_AT_S) for index in gone]
    return Trace(header, moved, faults, lost, [Expectation("false_ejections", most=0)])


def crashing(deployment: Deployment, rng: random.Random) -> Trace:
    """Return a request that crashes each upstream, sent again every second to any instance."""
    site = READS[deployment]
    requests = requests_of(site, Load(steady(50.0), 30.0), rng)
    digest = 4242
    bad = [
        dataclasses.replace(
            requests[0],
            at_s=_FAULT_AT_S + number,
            member=rng.randrange(site.member_count),
            caller=CallerId("resender"),
            digest=digest,
            work_s=site.work_s,
        )
        for number in range(12)
    ]
    requests = sorted([*requests, *bad], key=lambda each: each.at_s)
    header = header_of("crashing-request", site, 30.0)
    faults = [
        Fault(FaultKind.CRASHES, each.name, _FAULT_AT_S, 30.0, factor=3.0, digest=digest)
        for each in header.upstreams
    ]
    return Trace(header, requests, faults, (), [Expectation("false_ejections", most=0)])


def slots_misreported(deployment: Deployment, rng: random.Random) -> Trace:
    """Return a service at 80% load with half of the stated slots, which sheds what exceeds them."""
    site = dataclasses.replace(READS[deployment], work_s=0.08)
    header = header_of("slots-misreported", site, 12.0)
    real = max(1, site.slots // 2)
    upstreams = [
        dataclasses.replace(each, slots=real, connections=2 * real) for each in header.upstreams
    ]
    rate_per_s = 0.8 * site.upstream_count * real / site.work_s
    requests = requests_of(site, Load(steady(rate_per_s), 12.0), rng)
    header = dataclasses.replace(header, upstreams=upstreams)
    return Trace(header, requests, (), (), [Expectation("false_ejections", most=0)])


def healthy(detection: Detection) -> Recipe:
    """Return a day without faults: heavy tails, bursts, a few failures everywhere."""

    def make(deployment: Deployment, rng: random.Random) -> Trace:
        site = dataclasses.replace(READS[deployment], detection=detection)
        bursts = [rng.uniform(5.0, 25.0) for _ in range(2)]

        def rate_per_s(now_s: float) -> float:
            bursting = any(at_s <= now_s < at_s + 1.5 for at_s in bursts)
            return 300.0 if bursting else 60.0

        requests = requests_of(site, Load(rate_per_s, 30.0, work_spread=1.0), rng)
        header = header_of("healthy", site, 30.0)
        faults = [
            Fault(FaultKind.FAILS, each.name, 0.0, 30.0, share=0.001) for each in header.upstreams
        ]
        expected = [Expectation("false_ejections", most=0), Expectation("goodput", least=0.99)]
        return Trace(header, requests, faults, (), expected)

    return Recipe(f"healthy-{detection.value}", make)


def overload(times: float, duration_s: float) -> Recipe:
    """Return more load than the slots can carry, with one caller that sends half of it."""

    def make(deployment: Deployment, rng: random.Random) -> Trace:
        site = WRITES[deployment]
        length_s = duration_s
        if deployment is Deployment.LAATTANAYTE:
            # Its deadline is three times as long, so that a queue takes longer to do its harm.
            site = dataclasses.replace(site, work_s=0.8)
            length_s = 1.6 * duration_s
        rate_per_s = times * capacity_per_s(site)
        load = Load(steady(rate_per_s), length_s, idempotent_share=0.5, greedy_share=0.5)
        requests = requests_of(site, load, rng)
        expected = [Expectation("goodput", least=0.95), Expectation("false_ejections", most=0)]
        return Trace(header_of("overload", site, length_s), requests, (), (), expected)

    return Recipe(f"overload-{times:g}", make)


def mixed(name: str, load: Callable[[Site], Load]) -> Recipe:
    """Return a recipe without faults and a load of its own."""

    def make(deployment: Deployment, rng: random.Random) -> Trace:
        site = WRITES[deployment]
        if deployment is Deployment.LAATTANAYTE:
            site = dataclasses.replace(site, work_s=0.3)
        made = load(site)
        requests = requests_of(site, made, rng)
        expected = [Expectation("false_ejections", most=0)]
        return Trace(header_of(name, site, made.duration_s), requests, (), (), expected)

    return Recipe(name, make)


def _long_and_short(site: Site) -> Load:
    # A tenth of the requests takes ten times as long, so the mean is 1.9 times the short ones'.
    return Load(steady(0.9 * capacity_per_s(site) / 1.9), 20.0, long_share=0.1, long_factor=10.0)


def _tight(site: Site) -> Load:
    rate = steady(1.1 * capacity_per_s(site))
    return Load(rate, 15.0, tight_share=0.3, idempotent_share=0.4)


def _skewed(site: Site) -> Load:
    return Load(steady(0.85 * capacity_per_s(site)), 10.0, member_skew=4.0)


def _starts(site: Site, rng: random.Random) -> Sequence[Fault]:
    chosen = rng.sample(range(site.upstream_count), 2)
    return [
        Fault(FaultKind.STARTS, UpstreamName(f"u{index:02}"), _FAULT_AT_S, 30.0, factor=5.0)
        for index in chosen
    ]


_NO_FALSE = Expectation("false_ejections", most=0)
_STOPS = Expectation("undetected", most=0)

#: All recipes, in the order of the table.
RECIPES: Sequence[Recipe] = (
    healthy(Detection.PROMPT),
    healthy(Detection.PATIENT),
    gray("hard-failing", one(FaultKind.FAILS), (_NO_FALSE, _STOPS)),
    gray("unreachable", one(FaultKind.UNREACHABLE), (_NO_FALSE, _STOPS)),
    gray("30%-failing", one(FaultKind.FAILS, share=0.3), (_NO_FALSE, _STOPS)),
    gray("tenth-fails", one(FaultKind.FAILS, share=0.1), (_NO_FALSE,)),
    gray("5x-slow", one(FaultKind.SLOW, factor=5.0), (_NO_FALSE, _STOPS)),
    gray("5x-slow-hedged", one(FaultKind.SLOW, factor=5.0), (_NO_FALSE, _STOPS), hedge=True),
    gray("one-kind-fails", one(FaultKind.FAILS, request_kind="item GET"), (_NO_FALSE, _STOPS)),
    gray("large-cut", one(FaultKind.CUTS_LARGE, least_size_bytes=4000), (_NO_FALSE, _STOPS)),
    gray("flapping", flapping, (_NO_FALSE,), duration_s=48.0),
    gray("one-path-bad", one(FaultKind.PATH, member=0), (_NO_FALSE,)),
    gray("lying-endpoint", one(FaultKind.SLOW, factor=20.0), (_NO_FALSE, _STOPS)),
    Recipe("slots-misreported", slots_misreported),
    gray("all-alike", all_alike, (_NO_FALSE,)),
    overload(1.2, 12.0),
    overload(2.0, 10.0),
    overload(5.0, 6.0),
    mixed("long-and-short", _long_and_short),
    mixed("tight-deadlines", _tight),
    mixed("skewed-members", _skewed),
    Recipe("crashing-request", crashing),
    Recipe("zone-lost", zone_lost),
    gray("leaving", one(FaultKind.LEAVES, factor=15.0), (_NO_FALSE, _STOPS)),
    gray("cold-start", _starts, (_NO_FALSE,)),
)
