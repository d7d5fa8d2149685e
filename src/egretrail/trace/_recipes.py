"""Recipes that generate a complete trace from a seed, deterministically."""

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
    ServiceProfile,
    capacity_per_s,
    constant_rate,
    generate_requests,
    make_header,
)

#: When the fault of a recipe begins.
_FAULT_AT_S = 6.0


@dataclass(frozen=True, slots=True)
class Recipe:
    """Generates a trace for a deployment from a seed."""

    #: The recipe's name in tables.
    name: str
    #: Generates the trace with a random generator.
    make: Callable[[Deployment, random.Random], Trace]

    def trace(self, deployment: Deployment, seed: int) -> Trace:
        """Generate the trace of a seed."""
        name = f"{self.name} {deployment.value} {seed}"
        trace = self.make(deployment, random.Random(name))
        return dataclasses.replace(trace, header=dataclasses.replace(trace.header, name=name))


_FaultFactory = Callable[[ServiceProfile, random.Random], Sequence[Fault]]


def steady_with_faults(
    name: str,
    make_faults: _FaultFactory,
    expectations: Sequence[Expectation],
    rate_per_s: float = 50.0,
    duration_s: float = 24.0,
    hedge: bool = False,
) -> Recipe:
    """Return a recipe with a constant request rate and faults."""

    def make(deployment: Deployment, rng: random.Random) -> Trace:
        site = READS[deployment]
        load = Load(constant_rate(rate_per_s), duration_s, hedge=hedge)
        requests = generate_requests(site, load, rng)
        faults = make_faults(site, rng)
        return Trace(make_header(name, site, duration_s), requests, faults, (), expectations)

    return Recipe(name, make)


def single_fault(
    kind: FaultKind, until_s: float = 24.0, **values: float | int | str
) -> _FaultFactory:
    """Return a function that creates one fault at a random upstream."""

    def make(site: ServiceProfile, rng: random.Random) -> Sequence[Fault]:
        upstream = UpstreamName(f"u{rng.randrange(site.upstream_count):02}")
        fault = Fault(kind, upstream, _FAULT_AT_S, until_s)
        return [dataclasses.replace(fault, **values)]  # type: ignore[arg-type]

    return make


def flapping(site: ServiceProfile, rng: random.Random) -> Sequence[Fault]:
    """Return a fault that is active for 4 of every 10 seconds."""
    upstream = UpstreamName(f"u{rng.randrange(site.upstream_count):02}")
    return [
        Fault(FaultKind.FAILS, upstream, at_s, at_s + 4.0, share=0.6)
        for at_s in (8.0, 18.0, 28.0, 38.0)
    ]


def all_alike(site: ServiceProfile, _rng: random.Random) -> Sequence[Fault]:
    """Return the same fault at every upstream, as after a faulty release."""
    return [
        Fault(FaultKind.FAILS, UpstreamName(f"u{index:02}"), _FAULT_AT_S, 20.0, share=0.3)
        for index in range(site.upstream_count)
    ]


def zone_lost(deployment: Deployment, rng: random.Random) -> Trace:
    """Return a trace in which one availability zone is lost with its upstreams and instances."""
    site = READS[deployment]
    requests = generate_requests(site, Load(constant_rate(80.0), 30.0), rng)
    header = make_header("zone-lost", site, 30.0)
    zone = rng.choice(site.zones)
    faults = [
        Fault(FaultKind.UNREACHABLE, each.name, _FAULT_AT_S, 30.0)
        for each in header.upstreams
        if each.availability_zone == zone
    ]
    lost_members = [i for i, each in enumerate(header.members) if each.availability_zone == zone]
    remaining = [i for i in range(len(header.members)) if i not in lost_members]
    rerouted = [
        (
            dataclasses.replace(each, member=remaining[number % len(remaining)])
            if each.at_s >= _FAULT_AT_S and each.member in lost_members
            else each
        )
        for number, each in enumerate(requests)
    ]
    lost = [MemberLost(index, _FAULT_AT_S) for index in lost_members]
    return Trace(header, rerouted, faults, lost, [Expectation("false_ejections", most=0)])


def crashing(deployment: Deployment, rng: random.Random) -> Trace:
    """Return a trace with a request that crashes upstreams, resent every second to any instance."""
    site = READS[deployment]
    requests = generate_requests(site, Load(constant_rate(50.0), 30.0), rng)
    digest = 4242
    crashing_requests = [
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
    requests = sorted([*requests, *crashing_requests], key=lambda each: each.at_s)
    header = make_header("crashing-request", site, 30.0)
    faults = [
        Fault(FaultKind.CRASHES, each.name, _FAULT_AT_S, 30.0, factor=3.0, digest=digest)
        for each in header.upstreams
    ]
    return Trace(header, requests, faults, (), [Expectation("false_ejections", most=0)])


def slots_misreported(deployment: Deployment, rng: random.Random) -> Trace:
    """Return a trace at 80% load; upstreams have half of the stated slots and shed the rest."""
    site = dataclasses.replace(READS[deployment], work_s=0.08)
    header = make_header("slots-misreported", site, 12.0)
    real_slots = max(1, site.slots // 2)
    upstreams = [
        dataclasses.replace(each, slots=real_slots, connections=2 * real_slots)
        for each in header.upstreams
    ]
    rate_per_s = 0.8 * site.upstream_count * real_slots / site.work_s
    requests = generate_requests(site, Load(constant_rate(rate_per_s), 12.0), rng)
    header = dataclasses.replace(header, upstreams=upstreams)
    return Trace(header, requests, (), (), [Expectation("false_ejections", most=0)])


def healthy(detection: Detection) -> Recipe:
    """Return a recipe of normal operation: heavy-tailed work, bursts, few failures everywhere."""

    def make(deployment: Deployment, rng: random.Random) -> Trace:
        site = dataclasses.replace(READS[deployment], detection=detection)
        bursts = [rng.uniform(5.0, 25.0) for _ in range(2)]

        def rate_per_s(now_s: float) -> float:
            is_burst = any(at_s <= now_s < at_s + 1.5 for at_s in bursts)
            return 300.0 if is_burst else 60.0

        requests = generate_requests(site, Load(rate_per_s, 30.0, work_spread=1.0), rng)
        header = make_header("healthy", site, 30.0)
        faults = [
            Fault(FaultKind.FAILS, each.name, 0.0, 30.0, share=0.001) for each in header.upstreams
        ]
        expected = [Expectation("false_ejections", most=0), Expectation("goodput", least=0.99)]
        return Trace(header, requests, faults, (), expected)

    return Recipe(f"healthy-{detection.value}", make)


def overload(load_factor: float, duration_s: float) -> Recipe:
    """Return a recipe with more load than the slots can serve; one client sends half of it."""

    def make(deployment: Deployment, rng: random.Random) -> Trace:
        site = WRITES[deployment]
        length_s = duration_s
        if deployment is Deployment.LAATTANAYTE:
            # Its deadline is three times as long, so a growing queue takes longer to cause misses.
            site = dataclasses.replace(site, work_s=0.8)
            length_s = 1.6 * duration_s
        rate_per_s = load_factor * capacity_per_s(site)
        load = Load(constant_rate(rate_per_s), length_s, idempotent_share=0.5, greedy_share=0.5)
        requests = generate_requests(site, load, rng)
        expected = [Expectation("goodput", least=0.95), Expectation("false_ejections", most=0)]
        return Trace(make_header("overload", site, length_s), requests, (), (), expected)

    return Recipe(f"overload-{load_factor:g}", make)


def mixed(name: str, load: Callable[[ServiceProfile], Load]) -> Recipe:
    """Return a recipe with a given load and no faults."""

    def make(deployment: Deployment, rng: random.Random) -> Trace:
        site = WRITES[deployment]
        if deployment is Deployment.LAATTANAYTE:
            site = dataclasses.replace(site, work_s=0.3)
        workload = load(site)
        requests = generate_requests(site, workload, rng)
        expected = [Expectation("false_ejections", most=0)]
        return Trace(make_header(name, site, workload.duration_s), requests, (), (), expected)

    return Recipe(name, make)


def _long_and_short(site: ServiceProfile) -> Load:
    # A tenth of the requests takes ten times as long: the mean is 1.9 times that of short ones.
    return Load(
        constant_rate(0.9 * capacity_per_s(site) / 1.9), 20.0, long_share=0.1, long_factor=10.0
    )


def _tight_deadlines(site: ServiceProfile) -> Load:
    rate = constant_rate(1.1 * capacity_per_s(site))
    return Load(rate, 15.0, tight_share=0.3, idempotent_share=0.4)


def _skewed_members(site: ServiceProfile) -> Load:
    return Load(constant_rate(0.85 * capacity_per_s(site)), 10.0, member_skew=4.0)


def _cold_starts(site: ServiceProfile, rng: random.Random) -> Sequence[Fault]:
    chosen = rng.sample(range(site.upstream_count), 2)
    return [
        Fault(FaultKind.STARTS, UpstreamName(f"u{index:02}"), _FAULT_AT_S, 30.0, factor=5.0)
        for index in chosen
    ]


_NO_FALSE_EJECTIONS = Expectation("false_ejections", most=0)
_ALL_DETECTED = Expectation("undetected", most=0)

#: All recipes, in the order of the table.
RECIPES: Sequence[Recipe] = (
    healthy(Detection.PROMPT),
    healthy(Detection.PATIENT),
    steady_with_faults(
        "hard-failing", single_fault(FaultKind.FAILS), (_NO_FALSE_EJECTIONS, _ALL_DETECTED)
    ),
    steady_with_faults(
        "unreachable", single_fault(FaultKind.UNREACHABLE), (_NO_FALSE_EJECTIONS, _ALL_DETECTED)
    ),
    steady_with_faults(
        "30%-failing",
        single_fault(FaultKind.FAILS, share=0.3),
        (_NO_FALSE_EJECTIONS, _ALL_DETECTED),
    ),
    steady_with_faults(
        "tenth-fails", single_fault(FaultKind.FAILS, share=0.1), (_NO_FALSE_EJECTIONS,)
    ),
    steady_with_faults(
        "5x-slow", single_fault(FaultKind.SLOW, factor=5.0), (_NO_FALSE_EJECTIONS, _ALL_DETECTED)
    ),
    steady_with_faults(
        "5x-slow-hedged",
        single_fault(FaultKind.SLOW, factor=5.0),
        (_NO_FALSE_EJECTIONS, _ALL_DETECTED),
        hedge=True,
    ),
    steady_with_faults(
        "one-kind-fails",
        single_fault(FaultKind.FAILS, request_kind="item GET"),
        (_NO_FALSE_EJECTIONS, _ALL_DETECTED),
    ),
    steady_with_faults(
        "large-cut",
        single_fault(FaultKind.CUTS_LARGE, least_size_bytes=4000),
        (_NO_FALSE_EJECTIONS, _ALL_DETECTED),
    ),
    steady_with_faults("flapping", flapping, (_NO_FALSE_EJECTIONS,), duration_s=48.0),
    steady_with_faults(
        "one-path-bad", single_fault(FaultKind.PATH, member=0), (_NO_FALSE_EJECTIONS,)
    ),
    steady_with_faults(
        "lying-endpoint",
        single_fault(FaultKind.SLOW, factor=20.0),
        (_NO_FALSE_EJECTIONS, _ALL_DETECTED),
    ),
    Recipe("slots-misreported", slots_misreported),
    steady_with_faults("all-alike", all_alike, (_NO_FALSE_EJECTIONS,)),
    overload(1.2, 12.0),
    overload(2.0, 10.0),
    overload(5.0, 6.0),
    mixed("long-and-short", _long_and_short),
    mixed("tight-deadlines", _tight_deadlines),
    mixed("skewed-members", _skewed_members),
    Recipe("crashing-request", crashing),
    Recipe("zone-lost", zone_lost),
    steady_with_faults(
        "leaving", single_fault(FaultKind.LEAVES, factor=15.0), (_NO_FALSE_EJECTIONS, _ALL_DETECTED)
    ),
    steady_with_faults("cold-start", _cold_starts, (_NO_FALSE_EJECTIONS,)),
)
