"""Times the decisions of balancing and replays the placement of whole fleets; prints two tables.

Run as ``python -m benchmarks.balancing [LENGTH_S [STEP ...]]``; see ``_STEPS``. All figures are
repeatable except the processor time of a choice.
"""

import sys
import time
from collections.abc import Callable

from egretrail.balancing import EvenSlotAssignment, SlotOwner
from egretrail.balancing.tests.replay import Figures, Replay, Scenario
from egretrail.dispatch import PlacementQuery

_SIZES = ((44, 30, 4), (132, 107, 3), (300, 240, 3))
_USES = (0.6, 0.75, 0.9)
_LENGTH_S = 30.0
_UPSTREAMS, _ZONE_INSTANCES, _REPEATS = 214, 100, 7


def _balance(replay: Replay) -> None:
    replay.use_even_shares()
    replay.balance_zones()


_STEPS: dict[str, Callable[[Replay], None]] = {
    "off": Replay.use_ranked_shares,
    "even shares only": Replay.use_even_shares,
    "zones only": Replay.balance_zones,
    "on": _balance,
}


def _scenarios(length_s: float) -> dict[str, Scenario]:
    scenarios = {
        f"{instances} at {use}": Scenario(instances, upstreams, slots, use, length_s)
        for instances, upstreams, slots in _SIZES
        for use in _USES
    }
    scenarios["132 at 0.75, speeds 1 to 3"] = Scenario(132, 107, 3, 0.75, length_s, speed_max=3.0)
    scenarios["132 at 0.75, slow last slot"] = Scenario(
        132, 107, 3, 0.75, length_s, last_slot_factor=1.6
    )
    return scenarios


def _row(name: str, figures: Figures, best: Figures) -> str:
    waits_s = figures.mean_waits_s().values()
    served = figures.requests - figures.refused
    return (
        f"| {name} | {100 * figures.avoidable_waits / figures.requests:.1f}% "
        f"| {1000 * min(waits_s):.0f} to {1000 * max(waits_s):.0f} "
        f"| {100 * figures.cross_zone / figures.requests:.1f}% "
        f"/ {100 * best.cross_zone / best.requests:.1f}% "
        f"| {figures.time_s / served / (best.time_s / best.requests):.3f} "
        f"| {figures.refused} | {1e6 * figures.choice_cpu_s / figures.requests:.0f} |"
    )


def _microseconds(run: Callable[[], object], count: int) -> float:
    """Return the shortest processor time of a call over some repeats, in microseconds."""
    durations_s = []
    for _ in range(_REPEATS):
        started_s = time.process_time()
        for _ in range(count):
            run()
        durations_s.append(time.process_time() - started_s)
    return 1e6 * min(durations_s) / count


def _decisions() -> dict[str, float]:
    """Return the processor time of each decision, in microseconds."""
    addresses = [f"10.0.0.{n}" for n in range(_ZONE_INSTANCES)]
    owners = [SlotOwner(f"u{n}", 3) for n in range(_UPSTREAMS)]
    known = EvenSlotAssignment()
    known.assign(owners, addresses)
    times = {
        "shares, everything new": _microseconds(
            lambda: EvenSlotAssignment().assign(owners, addresses), 1
        ),
        "shares, an upstream less": _microseconds(lambda: known.assign(owners[1:], addresses), 1),
    }
    for step in ("off", "on"):
        replay = Replay(Scenario(99, _UPSTREAMS, 3, 0.75, 1.0), _STEPS[step])
        replay.run()
        placement = replay.instances[0].placement
        query = PlacementQuery("s", 4.0, 2.0, False)
        record = replay.records[0]
        # The time stands still: neither shares nor demand are computed anew.
        times[f"lookup of a share, {step}"] = _microseconds(
            lambda p=placement, r=record: p.has_slot_share(r), 1000  # type: ignore[misc]
        )
        times[f"choice, {step}"] = _microseconds(
            lambda p=placement, r=replay, q=query: p.choose(q, r.records, 1.0),  # type: ignore
            100,
        )
    return times


def main() -> None:
    """Print the tables."""
    sys.stdout.write(
        f"| decision, {_UPSTREAMS} upstreams, {_ZONE_INSTANCES} instances | us |\n| --- | --- |\n"
    )
    for name, time_us in _decisions().items():
        sys.stdout.write(f"| {name} | {time_us:.2f} |\n")
    sys.stdout.write("\n")
    length_s = float(sys.argv[1]) if len(sys.argv) > 1 else _LENGTH_S
    steps = sys.argv[2:] or list(_STEPS)
    sys.stdout.write(
        "| instances at use | avoidable waits | mean waits by zone, ms | across zones / best "
        "| time / best | refused | choice, us |\n| --- | --- | --- | --- | --- | --- | --- |\n"
    )
    for name, scenario in _scenarios(length_s).items():
        best = Replay(scenario, omniscient=True).run()
        for step in steps:
            figures = Replay(scenario, _STEPS[step]).run()
            sys.stdout.write(_row(f"{name}, {step}", figures, best) + "\n")
            sys.stdout.flush()


if __name__ == "__main__":
    main()
