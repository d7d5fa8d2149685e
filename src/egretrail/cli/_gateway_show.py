"""Commands that read the metrics of running gateways."""

import asyncio
import json
import sys
from collections import Counter
from collections.abc import Sequence

import click
from result import Err, Result

from egretrail.cli._client import ExitCode, Unreachable
from egretrail.cli._gateway_figures import GatewayFigures, RouteBurn, read_all, route_burns

#: Columns of ``show``: the title, and the name of the value.
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
    """Show what gateways know, from their metrics addresses (IP:PORT).

    Exits with 1 where gateways differ in their configuration or in whom they know, with 3 where one
    does not answer.
    """
    read = asyncio.run(read_all(addresses))
    answered = _answered(read)
    differences = _differences(answered)
    if as_json:
        click.echo(json.dumps(_document(read, differences)))
    else:
        _print_table(answered)
        for difference in differences:
            click.echo(difference)
        _print_silent(read)
    if len(answered) < len(read):
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
    now, before = asyncio.run(_two_readings(addresses, interval_s))
    answered = _answered(now)
    burns = route_burns(answered, _answered(before), objective)
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
        click.echo(json.dumps({"objective": objective, "routes": rows}))
    else:
        _print_burns(burns)
        _print_silent(now)
    if not answered:
        sys.exit(ExitCode.UNREACHABLE)
    if any(one.rate > 1.0 for one in burns):
        sys.exit(ExitCode.REFUSED)


_Readings = Sequence[Result[GatewayFigures, Unreachable]]


async def _two_readings(addresses: Sequence[str], interval_s: float) -> tuple[_Readings, _Readings]:
    if interval_s <= 0.0:
        return await read_all(addresses), []
    before = await read_all(addresses)
    await asyncio.sleep(interval_s)
    return await read_all(addresses), before


def _answered(read: _Readings) -> list[GatewayFigures]:
    return [one.ok_value for one in read if not isinstance(one, Err)]


def _differences(answered: Sequence[GatewayFigures]) -> list[str]:
    """Name the values that should be the same on all gateways and are not."""
    found = []
    for title, name in (("configuration", "config_version"), ("members", "members")):
        counts = Counter(int(one.values.get(name, 0)) for one in answered)
        if len(counts) > 1:
            parts = ", ".join(f"{value} on {count}" for value, count in sorted(counts.items()))
            found.append(f"gateways differ in {title}: {parts}")
    return found


def _document(read: _Readings, differences: Sequence[str]) -> dict[str, object]:
    gateways = [
        {"address": one.address, "values": dict(one.values), "refusals": dict(one.refusals)}
        for one in _answered(read)
    ]
    silent = [str(one.err_value) for one in read if isinstance(one, Err)]
    return {"gateways": gateways, "differences": list(differences), "silent": silent}


def _print_table(answered: Sequence[GatewayFigures]) -> None:
    click.echo(f"{'address':22}" + "".join(f"{title:>15}" for title, _ in _COLUMNS))
    for one in answered:
        cells = "".join(f"{one.values.get(name, 0):15g}" for _, name in _COLUMNS)
        click.echo(f"{one.address:22}{cells}")
    refusals: Counter[str] = Counter()
    for one in answered:
        refusals.update(one.refusals)
    for reason, count in refusals.most_common():
        click.echo(f"refused {reason}: {count}")


def _print_burns(burns: Sequence[RouteBurn]) -> None:
    click.echo(f"{'route':24}{'asked':>10}{'served':>10}{'burn rate':>11}  not served")
    for one in burns:
        causes = " ".join(f"{outcome}:{count}" for outcome, count in sorted(one.unserved.items()))
        click.echo(f"{one.route:24}{one.asked:10}{one.served:10}{one.rate:11.2f}  {causes}")


def _print_silent(read: _Readings) -> None:
    for one in read:
        if isinstance(one, Err):
            click.echo(str(one.err_value), err=True)
