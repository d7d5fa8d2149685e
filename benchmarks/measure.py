"""Plays the recipes under egretrail and the baselines, and prints one table for each half.

Deterministic: two runs print the same. Other policies than the default ones: ``--orders`` compares
the queue's orders, ``--slots`` the ways to share slots within a group.
"""

import argparse
import itertools
import multiprocessing
import sys
from collections.abc import Sequence

from benchmarks.slack_and_load import SlackAndLoad
from egretrail.service import EarliestDeadline, FairQueueing, Fifo
from egretrail.trace import (
    BASELINES,
    HELD_OUT_SEEDS,
    RECIPES,
    TUNING_SEEDS,
    Deployment,
    EgretrailFactory,
    PolicyFactory,
    Row,
    Unmet,
    Variant,
    play,
    slowdown,
    table,
    targets,
)

_STANDARD: Sequence[PolicyFactory] = (EgretrailFactory(), *BASELINES)
_ORDERS: Sequence[PolicyFactory] = (
    EgretrailFactory(Variant("fair, deadline within")),
    EgretrailFactory(Variant("fair, fifo within", order=lambda: FairQueueing(Fifo))),
    EgretrailFactory(Variant("fifo", order=Fifo)),
    EgretrailFactory(Variant("earliest deadline", order=EarliestDeadline)),
    EgretrailFactory(Variant("slack and load", order=SlackAndLoad)),
)
_SLOTS: Sequence[PolicyFactory] = (
    EgretrailFactory(Variant("own slots, demand told")),
    EgretrailFactory(Variant("own slots only", share_slots=False)),
    EgretrailFactory(Variant("demand told only", home_slots=False)),
    EgretrailFactory(Variant("independent", home_slots=False, share_slots=False)),
    EgretrailFactory(Variant("no shared evidence", share_evidence=False)),
)
_COMPARISONS = {"standard": _STANDARD, "orders": _ORDERS, "slots": _SLOTS}
#: Recipes in which requests wait; the comparisons of orders and slots are played on these.
_LOADED = ("healthy", "overload", "long", "skewed", "burst", "slots", "tight")

#: The recipe whose p99 is compared with that of the same requests without the fault.
_SLOW = "5x-slow"

_Job = tuple[int, Deployment, Sequence[int], str]


def _play(job: _Job) -> tuple[list[Row], list[Unmet]]:
    index, deployment, seeds, comparison = job
    return play(RECIPES[index], deployment, seeds, _COMPARISONS[comparison])


def _slowdown(job: tuple[Deployment, Sequence[int]]) -> float:
    deployment, seeds = job
    (recipe,) = (each for each in RECIPES if each.name == _SLOW)
    return slowdown(recipe, deployment, seeds, _STANDARD[0])


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--comparison", choices=sorted(_COMPARISONS), default="standard")
    parser.add_argument("--recipe", default="", help="only recipes whose name contains this")
    parser.add_argument("--processes", type=int, default=4)
    return parser.parse_args()


def _chosen(arguments: argparse.Namespace) -> list[int]:
    loaded_only = arguments.comparison != "standard"
    return [
        index
        for index, recipe in enumerate(RECIPES)
        if arguments.recipe in recipe.name
        and (not loaded_only or any(word in recipe.name for word in _LOADED))
    ]


def main() -> None:
    """Play what was asked for and print the tables."""
    arguments = _arguments()
    halves = {"Tuned on": TUNING_SEEDS, "Held out": HELD_OUT_SEEDS}
    places = list(itertools.product(_chosen(arguments), Deployment))
    with multiprocessing.Pool(arguments.processes) as pool:
        for title, seeds in halves.items():
            jobs = [(index, each, seeds, arguments.comparison) for index, each in places]
            results = pool.map(_play, jobs, chunksize=1)
            rows = [row for made, _ in results for row in made]
            unmet = [each for _, found in results for each in found]
            lines = [f"## {title}, seeds {', '.join(map(str, seeds))}", "", *table(rows), ""]
            lines += [f"Stated outcomes not met: {len(unmet)}", ""]
            lines += [f"- {each}" for each in unmet]
            if arguments.comparison == "standard" and not arguments.recipe:
                slow = pool.map(_slowdown, [(each, seeds) for each in Deployment])
                found = targets(rows, dict(zip(Deployment, slow, strict=True)))
                lines += ["", "Targets:", "", *(f"- {each}" for each in found)]
            sys.stdout.write("\n".join(lines) + "\n\n")


if __name__ == "__main__":
    main()
