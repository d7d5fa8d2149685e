"""The targets that the measure is held against, worked out from the rows of the table."""

import dataclasses
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

from egretrail.trace._figures import figures, quantile
from egretrail.trace._player import Player
from egretrail.trace._policy import PolicyFactory
from egretrail.trace._recipes import Recipe
from egretrail.trace._sites import Deployment
from egretrail.trace._summary import Row

#: Requests to a hard-failing upstream before it stops, over all instances together.
_MOST_SENT = 5
#: Detection time of an upstream that fails 30% or is 5 times slower.
_MOST_DETECTION_S = 2.0
#: Share of the oracle's goodput under overload.
_LEAST_GOODPUT = 0.95
#: p99 latency with one slow upstream over that without it.
_MOST_SLOWDOWN = 1.3
#: The traces' retry budget.
_BUDGET = 0.1


@dataclass(frozen=True, slots=True)
class Target:
    """One target and what was measured."""

    #: What is asked for.
    name: str
    #: The worst measured value, and the best of the baselines where there is one.
    measured: float
    baseline: float | None
    #: Whether the target is met.
    met: bool

    def __str__(self) -> str:
        beside = "" if self.baseline is None else f", best baseline {self.baseline:.3f}"
        return f"{'met' if self.met else 'NOT MET'}: {self.name}: {self.measured:.3f}{beside}"


def targets(rows: Sequence[Row], slowdowns: Mapping[Deployment, float]) -> Iterator[Target]:
    """Yield the targets; the worst deployment and seed counts."""
    own = [row for row in rows if row.policy == "egretrail"]
    sent = max((float(n) for row in _of(own, "hard-failing") for n in _sent(row)), default=0.0)
    yield Target("hard-failing: requests sent", sent, None, sent <= _MOST_SENT)
    for recipe in ("30%-failing", "5x-slow"):
        for row in _of(own, recipe):
            after_s = max(each.after_s for one in row.figures for each in one.detections)
            others = [
                max(each.after_s for one in other.figures for each in one.detections)
                for other in _of(rows, recipe)
                if other.policy != "egretrail" and other.deployment is row.deployment
            ]
            name = f"{recipe}, {row.deployment.value}: detection s"
            yield Target(name, after_s, min(others), after_s <= _MOST_DETECTION_S)
    false = sum(
        each.false_ejections
        for row in own
        if row.recipe.startswith("healthy")
        for each in row.figures
    )
    yield Target("healthy: false ejections", float(false), None, false == 0)
    for recipe in ("overload-2", "overload-5"):
        for row in _of(own, recipe):
            best = max(
                other.goodput
                for other in _of(rows, recipe)
                if other.policy != "egretrail" and other.deployment is row.deployment
            )
            name = f"{recipe}, {row.deployment.value}: goodput"
            yield Target(name, row.goodput, best, row.goodput >= _LEAST_GOODPUT)
    for deployment, slowdown in slowdowns.items():
        name = f"5x-slow, {deployment.value}: p99 over that without the fault"
        yield Target(name, slowdown, None, slowdown <= _MOST_SLOWDOWN)
    retries = max((row.retries for row in own), default=0.0)
    yield Target("retries as a share of first tries", retries, None, retries <= _BUDGET)


def slowdown(
    recipe: Recipe, deployment: Deployment, seeds: Sequence[int], factory: PolicyFactory
) -> float:
    """Return p99 latency under the recipe's faults over p99 of the same requests without them."""
    with_s: list[float] = []
    without_s: list[float] = []
    for seed in seeds:
        trace = recipe.trace(deployment, seed)
        for faults, latencies_s in ((trace.faults, with_s), ((), without_s)):
            played = dataclasses.replace(trace, faults=faults)
            log = Player(played, factory, seed).run()
            unknown = [False] * len(played.requests)
            latencies_s += figures(played, log, unknown).latency_s
    return quantile(with_s, 0.99) / quantile(without_s, 0.99)


def _of(rows: Sequence[Row], recipe: str) -> list[Row]:
    return [row for row in rows if row.recipe == recipe]


def _sent(row: Row) -> list[int]:
    return [each.requests for one in row.figures for each in one.detections]
