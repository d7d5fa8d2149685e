"""Reads metrics from gateways' addresses and aggregates them over the fleet."""

import asyncio
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import aiohttp
from prometheus_client.parser import text_string_to_metric_families
from result import Err, Ok, Result

from egretrail.cli._client import Unreachable

#: A running gateway responds within milliseconds; a paused or partitioned one does not.
_TIMEOUT_S = 2.0
#: Outcomes that count neither for nor against the service: the client disconnected.
_EXCLUDED_OUTCOMES = frozenset({"client_left"})
_SERVED_OUTCOME = "served"


@dataclass(frozen=True, slots=True)
class MetricsReading:
    """The metrics of one gateway at one time."""

    #: The address that the metrics were read from.
    address: str
    #: Gauges and unlabelled counters by name, without the prefix.
    values: Mapping[str, float]
    #: Final responses by route and outcome.
    answers: Mapping[tuple[str, str], int]
    #: Refusals by reason.
    refusals: Mapping[str, int]
    #: Services and states that the gateway takes them to be in.
    service_states: Mapping[str, str] = field(default_factory=dict)
    #: Requests of the last second by kind (``offered``, ``refused``, ``shed``), service and
    #: priority, of the whole fleet as the gateway knows it.
    demand: Mapping[tuple[str, str, str], float] = field(default_factory=dict)
    #: Requests that the heaviest accounts sent in the last second, by service and account.
    account_demand: Mapping[tuple[str, str], float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RouteBurnRate:
    """A route's request counts over all gateways, and the burn rate of its error budget."""

    #: The route.
    route: str
    #: Requests whose clients did not disconnect before the response.
    asked: int
    #: Requests that an upstream served.
    served: int
    #: Requests that were not served, by outcome.
    unserved: Mapping[str, int]
    #: The share of requests that were not served, divided by the share that the objective allows.
    rate: float


@dataclass(slots=True)
class _RouteCounts:
    asked: int = 0
    served: int = 0
    unserved: Counter[str] = field(default_factory=Counter)


def parse_metrics(address: str, text: str) -> MetricsReading:
    """Parse metrics in Prometheus' text format; raises ValueError for any other text."""
    values: dict[str, float] = {}
    answers: dict[tuple[str, str], int] = {}
    refusals: dict[str, int] = {}
    service_states: dict[str, str] = {}
    demand: dict[tuple[str, str, str], float] = {}
    account_demand: dict[tuple[str, str], float] = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            name, labels = sample.name.removeprefix("egretrail_"), sample.labels
            if name == "answers_total":
                answers[labels["route"], labels["outcome"]] = int(sample.value)
            elif name == "refusals_total":
                refusals[labels["reason"]] = int(sample.value)
            elif name == "service_state":
                # A state that a gateway has left may be shown as 0.
                if sample.value > 0:
                    service_states[labels["service"]] = labels["state"]
            elif name == "account_offered":
                account_demand[labels["service"], labels["account"]] = sample.value
            elif name.startswith("demand_") and "priority" in labels:
                kind = name.removeprefix("demand_")
                demand[kind, labels["service"], labels["priority"]] = sample.value
            elif not labels:
                values[name] = sample.value
    return MetricsReading(
        address, values, answers, refusals, service_states, demand, account_demand
    )


def compute_burn_rates(
    readings: Sequence[MetricsReading], earlier_readings: Sequence[MetricsReading], objective: float
) -> list[RouteBurnRate]:
    """Return each route's burn rate between two readings, highest first.

    If a gateway's counters decreased, the gateway was restarted in between, and its counts since
    the start are used. The same applies to a gateway without an earlier reading.
    """
    earlier_by_address = {reading.address: reading.answers for reading in earlier_readings}
    counts: dict[str, _RouteCounts] = {}
    for reading in readings:
        earlier_answers = earlier_by_address.get(reading.address, {})
        restarted = any(
            reading.answers.get(key, 0) < count for key, count in earlier_answers.items()
        )
        for (route, outcome), count in reading.answers.items():
            new = count - (0 if restarted else earlier_answers.get((route, outcome), 0))
            _add_outcome(counts.setdefault(route, _RouteCounts()), outcome, new)
    burns = [_burn_rate(route, one, objective) for route, one in counts.items() if one.asked]
    return sorted(burns, key=lambda burn: -burn.rate)


async def read_all_metrics(addresses: Sequence[str]) -> list[Result[MetricsReading, Unreachable]]:
    """Read the metrics of gateways concurrently; the results are in the order of the addresses."""
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        return list(await asyncio.gather(*(_read_metrics(session, one) for one in addresses)))


async def _read_metrics(
    session: aiohttp.ClientSession, address: str
) -> Result[MetricsReading, Unreachable]:
    url = f"http://{address}/"
    try:
        try:
            text = await _fetch(session, url)
        except TimeoutError:
            # Time also passes while this process is paused, which says nothing about the gateway.
            text = await _fetch(session, url)
        return Ok(parse_metrics(address, text))
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        return Err(Unreachable(url, repr(error)))


async def _fetch(session: aiohttp.ClientSession, url: str) -> str:
    async with session.get(url) as response:
        response.raise_for_status()
        return await response.text()


def _add_outcome(counts: _RouteCounts, outcome: str, count: int) -> None:
    if outcome in _EXCLUDED_OUTCOMES or count <= 0:
        return
    counts.asked += count
    if outcome == _SERVED_OUTCOME:
        counts.served += count
    else:
        counts.unserved[outcome] += count


def _burn_rate(route: str, counts: _RouteCounts, objective: float) -> RouteBurnRate:
    rate = (1.0 - counts.served / counts.asked) / (1.0 - objective)
    return RouteBurnRate(route, counts.asked, counts.served, dict(counts.unserved), rate)
