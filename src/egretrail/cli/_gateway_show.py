"""Commands that read the metrics of running gateways."""

import asyncio
import json
import sys
from collections import Counter
from collections.abc import Sequence

import click
from result import Err, Result

from egretrail.cli._client import ExitCode, Unreachable
from egretrail.cli._gateway_metrics import (
    MetricsReading,
    RouteBurnRate,
    compute_burn_rates,
    read_all_metrics,
)
from egretrail.cli._service_overload import find_overloads, overload_document, overloads_text

#: Columns of ``show``: the title, and the name of the metric.
_COLUMNS = (
    ("members", "members"),
    ("upstreams", "upstreams"),
    ("config", "config_version"),
    ("store", "store_contact"),
    ("opened", "upstream_connections_opened_total"),
    ("dropped-lines", "log_lines_suppressed_total"),
)

_addresses = click.argument("addresses", nargs=-1, required=True)
_as_json = click.option("--json", "as_json", is_flag=True, help="Print one JSON document.")


@click.command()
@_addresses
@_as_json
def show(addresses: Sequence[str], as_json: bool) -> None:
    """Show what gateways know, and services that are overloaded, from metrics (IP:PORT).

    Exits with 1 where gateways differ in their configuration or in whom they know, with 3 where one
    does not answer.
    """
    results = asyncio.run(read_all_metrics(addresses))
    readings = _successful_readings(results)
    differences = _differences(readings)
    overloads = find_overloads(readings)
    if as_json:
        document = _show_document(results, differences)
        document["services"] = [overload_document(one) for one in overloads]
        click.echo(json.dumps(document))
    else:
        _print_table(readings)
        for line in overloads_text(overloads):
            click.echo(line)
        for difference in differences:
            click.echo(difference)
        for failure in _failures(results):
            click.echo(failure, err=True)
    if len(readings) < len(results):
        sys.exit(ExitCode.UNREACHABLE)
    if differences:
        sys.exit(ExitCode.REFUSED)


@click.command()
@_addresses
@click.option(
    "--objective",
    type=click.FloatRange(0.0, 1.0, max_open=True),
    default=0.99,
    show_default=True,
    help="The share of requests that is to be served.",
)
@click.option(
    "--interval",
    "interval_s",
    type=click.FloatRange(0.0),
    default=0.0,
    show_default=True,
    help="Seconds between two readings; 0 counts from the gateways' start.",
)
@_as_json
def burn(addresses: Sequence[str], objective: float, interval_s: float, as_json: bool) -> None:
    """Report how fast each route's error budget burns, over all gateways named.

    A rate of 1 uses up the budget exactly. Exits with 1 where a route burns faster, with 3 where no
    gateway answers.
    """
    now, before = asyncio.run(_read_twice(addresses, interval_s))
    readings, earlier = _successful_readings(now), _successful_readings(before)
    if interval_s > 0.0:
        # All counts of a gateway without a first reading would seem to belong to the interval.
        known = {reading.address for reading in earlier}
        readings = [reading for reading in readings if reading.address in known]
    burns = compute_burn_rates(readings, earlier, objective)
    silent = list(dict.fromkeys([*_failures(before), *_failures(now)]))
    if as_json:
        rows = [
            {
                "route": one.route,
                "asked": one.asked,
                "served": one.served,
                "unserved": dict(one.unserved),
                "rate": round(one.rate, 3),
            }
            for one in burns
        ]
        click.echo(json.dumps({"objective": objective, "routes": rows, "silent": silent}))
    else:
        _print_burns(burns)
        for failure in silent:
            click.echo(failure, err=True)
    if not readings:
        sys.exit(ExitCode.UNREACHABLE)
    if any(one.rate > 1.0 for one in burns):
        sys.exit(ExitCode.REFUSED)


_ReadResults = Sequence[Result[MetricsReading, Unreachable]]


async def _read_twice(
    addresses: Sequence[str], interval_s: float
) -> tuple[_ReadResults, _ReadResults]:
    if interval_s <= 0.0:
        return await read_all_metrics(addresses), []
    before = await read_all_metrics(addresses)
    await asyncio.sleep(interval_s)
    return await read_all_metrics(addresses), before


def _successful_readings(results: _ReadResults) -> list[MetricsReading]:
    return [one.ok_value for one in results if not isinstance(one, Err)]


def _failures(results: _ReadResults) -> list[str]:
    return [str(one.err_value) for one in results if isinstance(one, Err)]


def _differences(readings: Sequence[MetricsReading]) -> list[str]:
    """Describe the values that differ between gateways although they should be equal."""
    found = []
    for title, name in (("configuration", "config_version"), ("members", "members")):
        counts = Counter(int(one.values.get(name, 0)) for one in readings)
        if len(counts) > 1:
            parts = ", ".join(f"{value} on {count}" for value, count in sorted(counts.items()))
            found.append(f"gateways differ in {title}: {parts}")
    return found


def _show_document(results: _ReadResults, differences: Sequence[str]) -> dict[str, object]:
    gateways = [
        {"address": one.address, "values": dict(one.values), "refusals": dict(one.refusals)}
        for one in _successful_readings(results)
    ]
    return {
        "gateways": gateways,
        "differences": list(differences),
        "silent": _failures(results),
    }


def _print_table(readings: Sequence[MetricsReading]) -> None:
    click.echo(f"{'address':22}" + "".join(f"{title:>15}" for title, _ in _COLUMNS))
    for one in readings:
        cells = "".join(f"{one.values.get(name, 0):15g}" for _, name in _COLUMNS)
        click.echo(f"{one.address:22}{cells}")
    refusals: Counter[str] = Counter()
    for one in readings:
        refusals.update(one.refusals)
    for reason, count in refusals.most_common():
        click.echo(f"refused {reason}: {count}")


def _print_burns(burns: Sequence[RouteBurnRate]) -> None:
    click.echo(f"{'route':24}{'asked':>10}{'served':>10}{'burn rate':>11}  not served")
    for one in burns:
        causes = " ".join(f"{outcome}:{count}" for outcome, count in sorted(one.unserved.items()))
        click.echo(f"{one.route:24}{one.asked:10}{one.served:10}{one.rate:11.2f}  {causes}")
