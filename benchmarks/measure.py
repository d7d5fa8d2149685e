"""Replays the recipes under egretrail and the baselines; prints a table for each set of seeds.

The output is deterministic. ``--comparison orders`` compares queue orders instead, and
``--comparison slots`` the ways to share slots within a group.
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
    UnmetExpectation,
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
    EgretrailFactory(Variant("demand told only", assigned_slots=False)),
    EgretrailFactory(Variant("independent", assigned_slots=False, share_slots=False)),
    EgretrailFactory(Variant("no shared evidence", share_evidence=False)),
)
_COMPARISONS = {"standard": _STANDARD, "orders": _ORDERS, "slots": _SLOTS}
#: Recipes in which requests queue, by parts of their names; orders and slots are compared on these.
_QUEUEING_RECIPES = ("healthy", "overload", "long", "skewed", "burst", "slots", "tight")

#: The recipe whose p99 latency is compared with and without its fault.
_SLOWDOWN_RECIPE = "5x-slow"

_Job = tuple[int, Deployment, Sequence[int], str]


def _play_job(job: _Job) -> tuple[list[Row], list[UnmetExpectation]]:
    index, deployment, seeds, comparison = job
    return play(RECIPES[index], deployment, seeds, _COMPARISONS[comparison])


def _slowdown_job(job: tuple[Deployment, Sequence[int]]) -> float:
    deployment, seeds = job
    (recipe,) = (each for each in RECIPES if each.name == _SLOWDOWN_RECIPE)
    return slowdown(recipe, deployment, seeds, _STANDARD[0])


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--comparison", choices=sorted(_COMPARISONS), default="standard")
    parser.add_argument("--recipe", default="", help="only recipes whose name contains this")
    parser.add_argument("--processes", type=int, default=4)
    return parser.parse_args()


def _recipe_indexes(arguments: argparse.Namespace) -> list[int]:
    queueing_only = arguments.comparison != "standard"
    return [
        index
        for index, recipe in enumerate(RECIPES)
        if arguments.recipe in recipe.name
        and (not queueing_only or any(word in recipe.name for word in _QUEUEING_RECIPES))
    ]


def main() -> None:
    """Replay the chosen recipes and print the tables."""
    arguments = _arguments()
    seed_sets = {"Tuned on": TUNING_SEEDS, "Held out": HELD_OUT_SEEDS}
    cells = list(itertools.product(_recipe_indexes(arguments), Deployment))
    with multiprocessing.Pool(arguments.processes) as pool:
        for title, seeds in seed_sets.items():
            jobs = [(index, each, seeds, arguments.comparison) for index, each in cells]
            results = pool.map(_play_job, jobs, chunksize=1)
            rows = [row for result_rows, _ in results for row in result_rows]
            unmet = [each for _, missed in results for each in missed]
            lines = [f"## {title}, seeds {', '.join(map(str, seeds))}", "", *table(rows), ""]
            lines += [f"Stated outcomes not met: {len(unmet)}", ""]
            lines += [f"- {each}" for each in unmet]
            if arguments.comparison == "standard" and not arguments.recipe:
                slowdowns = pool.map(_slowdown_job, [(each, seeds) for each in Deployment])
                checked = targets(rows, dict(zip(Deployment, slowdowns, strict=True)))
                lines += ["", "Targets:", "", *(f"- {each}" for each in checked)]
            sys.stdout.write("\n".join(lines) + "\n\n")


if __name__ == "__main__":
    main()
