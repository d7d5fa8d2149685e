"""Checks performance targets against the rows of the summary table."""

import dataclasses
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

from egretrail.trace._figures import figures, quantile
from egretrail.trace._player import Player
from egretrail.trace._policy import PolicyFactory
from egretrail.trace._recipes import Recipe
from egretrail.trace._sites import Deployment
from egretrail.trace._summary import Row

#: Maximum requests to a hard-failing upstream before it is ejected, over all instances.
_MAX_SENT = 5
#: Maximum detection time of an upstream that fails 30% of requests or is 5 times slower.
_MAX_DETECTION_S = 2.0
#: Minimum goodput under overload, as a share of the oracle's.
_MIN_GOODPUT = 0.95
#: Maximum ratio of the p99 latency with one slow upstream to that without.
_MAX_SLOWDOWN = 1.3
#: Maximum retries as a share of first attempts; the traces' retry budget.
_RETRY_BUDGET = 0.1


@dataclass(frozen=True, slots=True)
class Target:
    """One target and its measured value."""

    #: The target's name.
    name: str
    #: The worst measured value, and the best value of the baselines; None without baselines.
    measured: float
    baseline: float | None
    #: Whether the target is met.
    met: bool

    def __str__(self) -> str:
        baseline = "" if self.baseline is None else f", best baseline {self.baseline:.3f}"
        return f"{'met' if self.met else 'NOT MET'}: {self.name}: {self.measured:.3f}{baseline}"


def targets(rows: Sequence[Row], slowdowns: Mapping[Deployment, float]) -> Iterator[Target]:
    """Yield the targets, each judged by its worst deployment and seed."""
    own = [row for row in rows if row.policy == "egretrail"]
    sent = max(
        (float(n) for row in _rows_of(own, "hard-failing") for n in _sent_counts(row)), default=0.0
    )
    yield Target("hard-failing: requests sent", sent, None, sent <= _MAX_SENT)
    for recipe in ("30%-failing", "5x-slow"):
        for row in _rows_of(own, recipe):
            after_s = max(each.after_s for result in row.figures for each in result.detections)
            others = [
                max(each.after_s for result in other.figures for each in result.detections)
                for other in _rows_of(rows, recipe)
                if other.policy != "egretrail" and other.deployment is row.deployment
            ]
            name = f"{recipe}, {row.deployment.value}: detection s"
            yield Target(name, after_s, min(others), after_s <= _MAX_DETECTION_S)
    false_ejections = sum(
        each.false_ejections
        for row in own
        if row.recipe.startswith("healthy")
        for each in row.figures
    )
    yield Target("healthy: false ejections", float(false_ejections), None, false_ejections == 0)
    for recipe in ("overload-2", "overload-5"):
        for row in _rows_of(own, recipe):
            best = max(
                other.goodput
                for other in _rows_of(rows, recipe)
                if other.policy != "egretrail" and other.deployment is row.deployment
            )
            name = f"{recipe}, {row.deployment.value}: goodput"
            yield Target(name, row.goodput, best, row.goodput >= _MIN_GOODPUT)
    for deployment, slowdown in slowdowns.items():
        name = f"5x-slow, {deployment.value}: p99 over that without the fault"
        yield Target(name, slowdown, None, slowdown <= _MAX_SLOWDOWN)
    retries = max((row.retries for row in own), default=0.0)
    yield Target("retries as a share of first tries", retries, None, retries <= _RETRY_BUDGET)


def slowdown(
    recipe: Recipe, deployment: Deployment, seeds: Sequence[int], factory: PolicyFactory
) -> float:
    """Return the ratio of the p99 latency with the recipe's faults to that without them."""
    with_s: list[float] = []
    without_s: list[float] = []
    for seed in seeds:
        trace = recipe.trace(deployment, seed)
        for faults, latencies_s in ((trace.faults, with_s), ((), without_s)):
            variant = dataclasses.replace(trace, faults=faults)
            log = Player(variant, factory, seed).run()
            unknown = [False] * len(variant.requests)
            latencies_s += figures(variant, log, unknown).latency_s
    return quantile(with_s, 0.99) / quantile(without_s, 0.99)


def _rows_of(rows: Sequence[Row], recipe: str) -> list[Row]:
    return [row for row in rows if row.recipe == recipe]


def _sent_counts(row: Row) -> list[int]:
    return [each.requests for result in row.figures for each in result.detections]
