"""Replays the placement of whole fleets and prints their figures as a table.

Run as ``python -m benchmarks.balancing [LENGTH_S [STEP ...]]``; see ``_STEPS``. All figures are
repeatable except the processor time of a choice.
"""

import sys
from collections.abc import Callable

from egretrail.balancing.tests.replay import Figures, Replay, Scenario

_SIZES = ((44, 30, 4), (132, 107, 3), (300, 240, 3))
_USES = (0.6, 0.75, 0.9)
_LENGTH_S = 30.0


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


def main() -> None:
    """Print the table."""
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
