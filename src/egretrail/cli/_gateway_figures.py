"""What gateways' metrics say, read from their addresses and summed over the fleet."""

import asyncio
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import aiohttp
from prometheus_client.parser import text_string_to_metric_families
from result import Err, Ok, Result

from egretrail.cli._client import Unreachable

#: A gateway answers within milliseconds; one that is stopped or cut off does not.
_TIMEOUT_S = 2.0
#: Outcomes that are no failure of the service: the client went away by itself.
_NOT_ASKED_FOR = frozenset({"client_left"})
_SERVED = "served"


@dataclass(frozen=True, slots=True)
class GatewayFigures:
    """The metrics of one gateway at one moment."""

    #: Where they were read.
    address: str
    #: Gauges and unlabelled counters by name, without the prefix.
    values: Mapping[str, float]
    #: Final answers by route and outcome.
    answers: Mapping[tuple[str, str], int]
    #: Refusals by reason.
    refusals: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class RouteBurn:
    """How a route's requests ended, over all gateways, and what that does to its budget."""

    #: The route.
    route: str
    #: Requests whose clients waited for the answer.
    asked: int
    #: Those that an upstream answered.
    served: int
    #: Unserved ones by outcome.
    unserved: Mapping[str, int]
    #: The share that was not served, over the share that the objective allows.
    rate: float


@dataclass(slots=True)
class _Sums:
    asked: int = 0
    served: int = 0
    unserved: Counter[str] = field(default_factory=Counter)


def parse_figures(address: str, text: str) -> GatewayFigures:
    """Read metrics in the text format; raises ValueError for another text."""
    values: dict[str, float] = {}
    answers: dict[tuple[str, str], int] = {}
    refusals: dict[str, int] = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            name = sample.name.removeprefix("egretrail_")
            if name == "answers_total":
                key = (sample.labels["route"], sample.labels["outcome"])
                answers[key] = int(sample.value)
            elif name == "refusals_total":
                refusals[sample.labels["reason"]] = int(sample.value)
            elif not sample.labels:
                values[name] = sample.value
    return GatewayFigures(address, values, answers, refusals)


def route_burns(
    now: Sequence[GatewayFigures], before: Sequence[GatewayFigures], objective: float
) -> list[RouteBurn]:
    """Return each route's burn between two readings, most burnt first.

    A gateway whose counts fell was started anew in between, and counts from its start; one that
    was not read before counts from its start as well.
    """
    earlier = {figures.address: figures.answers for figures in before}
    sums: dict[str, _Sums] = {}
    for figures in now:
        held = earlier.get(figures.address, {})
        restarted = any(figures.answers.get(key, 0) < count for key, count in held.items())
        for (route, outcome), count in figures.answers.items():
            new = count - (0 if restarted else held.get((route, outcome), 0))
            _add(sums.setdefault(route, _Sums()), outcome, new)
    burns = [_burn(route, one, objective) for route, one in sums.items() if one.asked]
    return sorted(burns, key=lambda burn: -burn.rate)


async def read_all(addresses: Sequence[str]) -> list[Result[GatewayFigures, Unreachable]]:
    """Read the metrics of gateways, all at the same time."""
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        return list(await asyncio.gather(*(_read(session, one) for one in addresses)))


async def _read(
    session: aiohttp.ClientSession, address: str
) -> Result[GatewayFigures, Unreachable]:
    url = f"http://{address}/"
    try:
        async with session.get(url) as response:
            response.raise_for_status()
            return Ok(parse_figures(address, await response.text()))
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        return Err(Unreachable(url, repr(error)))


def _add(sums: _Sums, outcome: str, count: int) -> None:
    if outcome in _NOT_ASKED_FOR or count <= 0:
        return
    sums.asked += count
    if outcome == _SERVED:
        sums.served += count
    else:
        sums.unserved[outcome] += count


def _burn(route: str, sums: _Sums, objective: float) -> RouteBurn:
    rate = (1.0 - sums.served / sums.asked) / (1.0 - objective)
    return RouteBurn(route, sums.asked, sums.served, dict(sums.unserved), rate)
