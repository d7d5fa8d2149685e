"""Commands that show an instance's routes, upstreams, fleet members and routing decisions."""

from collections.abc import Sequence
from typing import Any
from urllib.parse import urlsplit

import click

from egretrail.cli._output import Context, json_option, print_json, print_table, unwrap


@click.command()
@json_option
@click.pass_obj
def routes(context: Context) -> None:
    """List the routes in force on the instance."""
    columns = ("route", "host", "path_prefix", "service", "idempotent_methods")
    _print_list(context, "routes", columns)


@click.command()
@json_option
@click.pass_obj
def upstreams(context: Context) -> None:
    """List the upstreams of the services that the instance serves."""
    columns = ("service", "upstream", "state", "weight", "cause", "for_s", "in_flight")
    _print_list(context, "upstreams", columns)


@click.command()
@json_option
@click.pass_obj
def instances(context: Context) -> None:
    """List the fleet as the instance sees it."""
    _print_list(
        context, "instances", ("name", "availability_zone", "state", "ready", "incarnation")
    )


@click.command()
@click.argument("request", metavar="REQUEST")
@click.option("--host", help="The request's Host; taken from a full URL otherwise.")
@json_option
@click.pass_obj
def explain(context: Context, request: str, host: str | None) -> None:
    """Say where REQUEST ("GET /path" or "GET http://host/path") goes, or why it is refused."""
    method, _, target = request.strip().rpartition(" ")
    query = {"method": method.strip().upper() or "GET", "host": host or "", "path": target}
    if "://" in target:
        parts = urlsplit(target)
        query["path"] = (parts.path or "/") + (f"?{parts.query}" if parts.query else "")
        query["host"] = host or parts.netloc
    document = unwrap(context, context.client.call("GET", "/v1/explain", query))
    if context.as_json:
        print_json(document)
        return
    for key, value in document.items():
        click.echo(f"{key.replace('_', ' ')}: {_format_value(value)}")


def _print_list(context: Context, what: str, columns: Sequence[str]) -> None:
    document = unwrap(context, context.client.call("GET", f"/v1/{what}"))
    if context.as_json:
        print_json(document)
        return
    rows = [[_format_value(row.get(column)) for column in columns] for row in document[what]]
    print_table([column.replace("_", " ") for column in columns], rows)


def _format_value(value: Any) -> str:
    if isinstance(value, list):
        return ", ".join(_format_value(item) for item in value) or "-"
    if isinstance(value, dict):
        return " ".join(f"{key}={_format_value(item)}" for key, item in value.items())
    if isinstance(value, bool):
        return "yes" if value else "no"
    return "-" if value in (None, "") else str(value)
