"""The summary table: the metrics of several seeds in one row."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from egretrail.trace._figures import Figures, figures, quantile
from egretrail.trace._oracle import Oracle
from egretrail.trace._player import Player
from egretrail.trace._policy import PolicyFactory
from egretrail.trace._recipes import Recipe
from egretrail.trace._sites import Deployment

#: Seeds on which the decisions may be tuned, and seeds held out from tuning.
TUNING_SEEDS = (1, 2)
HELD_OUT_SEEDS = (3,)

#: The table's header.
HEAD = (
    "recipe",
    "deployment",
    "policy",
    "detection s p50/p99/max",
    "sent p50/max",
    "undetected",
    "false ejections",
    "goodput",
    "missed",
    "refused",
    "failed",
    "added ms p50/p99",
    "latency ms p99",
    "least share",
    "retries",
)


@dataclass(frozen=True, slots=True)
class UnmetExpectation:
    """An expectation that egretrail did not meet."""

    #: The trace, the metric, its measured value and the accepted range.
    trace: str
    figure: str
    value: float
    least: float
    most: float

    def __str__(self) -> str:
        return f"{self.trace}: {self.figure} {self.value:.3f}, not in {self.least}..{self.most}"


@dataclass(frozen=True, slots=True)
class Row:
    """The results of one recipe, deployment and policy over all seeds."""

    #: The recipe, deployment and policy.
    recipe: str
    deployment: Deployment
    policy: str
    #: The metrics of each seed.
    figures: Sequence[Figures]

    def cells(self) -> Sequence[str]:
        """Return the row's cells under ``HEAD``."""
        detections = [each for result in self.figures for each in result.detections]
        after_s = [each.after_s for each in detections]
        sent = [float(each.requests) for each in detections]
        added_s = [each for result in self.figures for each in result.added_s]
        times = "-"
        counts = "-"
        if detections:
            times = f"{quantile(after_s, 0.5):.2f}/{quantile(after_s, 0.99):.2f}/{max(after_s):.2f}"
            counts = f"{quantile(sent, 0.5):.0f}/{max(sent):.0f}"
        return (
            self.recipe,
            self.deployment.value,
            self.policy,
            times,
            counts,
            str(sum(each.undetected for each in self.figures)) if detections else "-",
            str(sum(each.false_ejections for each in self.figures)),
            f"{self.goodput:.3f}",
            self._share([each.missed for each in self.figures]),
            self._share([each.refused for each in self.figures]),
            self._share([each.failed for each in self.figures]),
            f"{1e3 * quantile(added_s, 0.5):.1f}/{1e3 * quantile(added_s, 0.99):.1f}",
            f"{1e3 * self.latency_p99_s:.0f}",
            f"{min(each.least_share for each in self.figures):.2f}",
            f"{self.retries:.3f}",
        )

    @property
    def goodput(self) -> float:
        """Return requests answered in time as a share of the oracle's, over all seeds."""
        answered = sum(each.answered for each in self.figures)
        return answered / max(1, sum(each.oracle_answered for each in self.figures))

    @property
    def latency_p99_s(self) -> float:
        """Return the 99th percentile latency of answered requests, in seconds."""
        return quantile([each for result in self.figures for each in result.latency_s], 0.99)

    @property
    def retries(self) -> float:
        """Return the largest share of retries in any seed."""
        return max(each.retry_share for each in self.figures)

    def _share(self, counts: Sequence[int]) -> str:
        return f"{100.0 * sum(counts) / sum(each.requests for each in self.figures):.2f}%"


def play(
    recipe: Recipe, deployment: Deployment, seeds: Sequence[int], factories: Sequence[PolicyFactory]
) -> tuple[list[Row], list[UnmetExpectation]]:
    """Replay a recipe's seeds under each policy; check expectations for the first policy only."""
    results: dict[str, list[Figures]] = {factory.name: [] for factory in factories}
    unmet: list[UnmetExpectation] = []
    for seed in seeds:
        trace = recipe.trace(deployment, seed)
        oracle = Oracle(trace).run()
        for factory in factories:
            result = figures(trace, Player(trace, factory, seed).run(), oracle)
            results[factory.name].append(result)
            if factory is not factories[0]:
                continue
            for each in trace.expectations:
                value = float(getattr(result, each.figure))
                if not each.least <= value <= each.most:
                    name = trace.header.name
                    unmet.append(UnmetExpectation(name, each.figure, value, each.least, each.most))
    rows = [Row(recipe.name, deployment, name, each) for name, each in results.items()]
    return rows, unmet


def table(rows: Sequence[Row]) -> Iterator[str]:
    """Yield the lines of a Markdown table."""
    yield "| " + " | ".join(HEAD) + " |"
    yield "|" + " --- |" * len(HEAD)
    for row in rows:
        yield "| " + " | ".join(row.cells()) + " |"
