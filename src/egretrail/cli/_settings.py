"""The ``egretrail settings`` commands, which read and change the fleet's settings."""

import secrets
import sys
import time
from collections.abc import Mapping
from typing import IO, Any

import click
from result import Err, Result

from egretrail.cli._client import CallFailure, ExitCode, Unreachable
from egretrail.cli._output import Context, json_option, print_json, print_table, unwrap

#: A write without a response is retried with the same change id, so that it is applied once.
_WRITE_ATTEMPTS = 3
_POLL_S = 0.2

_path = click.argument("path", metavar="TEAM/KIND/NAME")


@click.group()
def settings() -> None:
    """Read and change the fleet's settings."""


@settings.command("list")
@click.argument("team", required=False)
@json_option
@click.pass_obj
def list_paths(context: Context, team: str | None) -> None:
    """List the paths in force on the instance, of one TEAM or of all."""
    query = {"team": team} if team else {}
    document = unwrap(context, context.client.call("GET", "/v1/settings", query))
    if context.as_json:
        print_json(document)
        return
    rows = [(one["path"], one["generation"], one["change_id"]) for one in document["settings"]]
    print_table(("path", "revision", "change"), rows)
    for fault in document["status"]["conflicts"]:
        click.echo(f"conflict: {fault['key']}: {fault['reason']}", err=True)
    for issue in document["status"]["issues"]:
        click.echo(f"unreadable, the value before stays in force: {issue['source']}", err=True)


@settings.command()
@_path
@json_option
@click.pass_obj
def get(context: Context, path: str) -> None:
    """Print a path's TOML text."""
    document = _fetch_setting(context, path)
    if context.as_json:
        print_json(document)
        return
    text = _current_text(document)
    if text is None:
        click.echo(f"egretrail: {path} does not exist", err=True)
        sys.exit(ExitCode.REFUSED)
    if document["store_out"]:
        click.echo("egretrail: the store is out; this is in force on the instance", err=True)
    click.echo(text, nl=not text.endswith("\n"))


@settings.command()
@_path
@click.argument("file", type=click.File("r", encoding="utf-8"))
@click.option("--revision", type=click.IntRange(min=0), help="The revision you saw; 0: absent.")
@click.option("--change-id", help="Unique id of the change; repeat it to send a change again.")
@click.option("--author", help="Who makes the change; the team by default.")
@click.option("--wait", is_flag=True, help="Return once it is in force on every instance.")
@click.option("--wait-limit-s", type=float, default=30.0, show_default=True, help="Longest wait.")
@json_option
@click.pass_obj
def put(
    context: Context,
    path: str,
    file: IO[str],
    revision: int | None,
    change_id: str | None,
    author: str | None,
    wait: bool,
    wait_limit_s: float,
) -> None:
    """Put the TOML text in FILE (-: standard input) under a path."""
    expected_revision = _fetch_setting(context, path)["revision"] if revision is None else revision
    query = _change_query(expected_revision, change_id, author)
    accepted = unwrap(context, _send_write(context, "PUT", path, query, file.read()))
    _report_accepted(context, accepted, wait_limit_s if wait else 0.0)


@settings.command()
@_path
@click.option("--revision", type=click.IntRange(min=0), help="The revision you saw.")
@click.option("--change-id", help="Unique id of the change; repeat it to send a change again.")
@click.option("--author", help="Who makes the change; the team by default.")
@click.option("--wait", is_flag=True, help="Return once it is in force on every instance.")
@click.option("--wait-limit-s", type=float, default=30.0, show_default=True, help="Longest wait.")
@json_option
@click.pass_obj
def delete(
    context: Context,
    path: str,
    revision: int | None,
    change_id: str | None,
    author: str | None,
    wait: bool,
    wait_limit_s: float,
) -> None:
    """Delete a path; a service that a route uses stays."""
    expected_revision = _fetch_setting(context, path)["revision"] if revision is None else revision
    query = _change_query(expected_revision, change_id, author)
    accepted = unwrap(context, _send_write(context, "DELETE", path, query, ""))
    _report_accepted(context, accepted, wait_limit_s if wait else 0.0)


@settings.command()
@_path
@click.option("--from", "start", type=int, help="Revision; 0: the empty text.")
@click.option("--to", type=int, help="Revision; the latest by default.")
@json_option
@click.pass_obj
def diff(context: Context, path: str, start: int | None, to: int | None) -> None:
    """Show the difference between two changes, by default the last two."""
    bounds = {"from": start, "to": to}
    query = {key: str(value) for key, value in bounds.items() if value is not None}
    document = unwrap(context, context.client.call("GET", f"/v1/settings/{path}/diff", query))
    if context.as_json:
        print_json(document)
    else:
        click.echo(document["diff"])


@settings.command()
@_path
@json_option
@click.pass_obj
def history(context: Context, path: str) -> None:
    """List the changes of a path that are kept, newest first."""
    document = unwrap(context, context.client.call("GET", f"/v1/settings/{path}/history"))
    if context.as_json:
        print_json(document)
        return
    rows = [
        (
            one["revision"],
            time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(one["changed_at_s"])),
            one["author"] or "-",
            one["change_id"] or "-",
            "deleted" if one["text"] is None else f"{len(one['text'].encode())} bytes",
        )
        for one in document["changes"]
    ]
    print_table(("revision", "time", "author", "change", "text"), rows)


@settings.command("in-force")
@_path
@click.option("--generation", type=int, help="Revision; the one in force here by default.")
@json_option
@click.pass_obj
def in_force(context: Context, path: str, generation: int | None) -> None:
    """Show on which instances a change is in force."""
    query = {} if generation is None else {"generation": str(generation)}
    document = unwrap(context, context.client.call("GET", f"/v1/settings/{path}/in-force", query))
    if context.as_json:
        print_json(document)
    else:
        click.echo(_in_force_text(document))
    sys.exit(ExitCode.OK if not document["lack"] + document["silent"] else ExitCode.REFUSED)


def _fetch_setting(context: Context, path: str) -> Any:
    document = unwrap(context, context.client.call("GET", f"/v1/settings/{path}"))
    # While the store is unreachable, the latest revision is unknown; the revision in force on the
    # instance is used instead.
    if document["revision"] is None:
        document["revision"] = document["in_force_here"]["generation"]
    return document


def _current_text(document: Any) -> str | None:
    source = document["in_force_here"] if document["store_out"] else document["latest"]
    text: str | None = source["text"]
    return text


def _change_query(revision: int, change_id: str | None, author: str | None) -> Mapping[str, str]:
    query = {"revision": str(revision), "change_id": change_id or secrets.token_hex(8)}
    return query if author is None else {**query, "author": author}


def _send_write(
    context: Context, method: str, path: str, query: Mapping[str, str], text: str
) -> Result[Any, CallFailure]:
    response = context.client.call(method, f"/v1/settings/{path}", query, text)
    for _ in range(_WRITE_ATTEMPTS - 1):
        if not (isinstance(response, Err) and isinstance(response.err_value, Unreachable)):
            break
        response = context.client.call(method, f"/v1/settings/{path}", query, text)
    if isinstance(response, Err) and isinstance(response.err_value, Unreachable):
        click.echo(f"egretrail: send it again with --change-id {query['change_id']}", err=True)
    return response


def _report_accepted(context: Context, accepted: Any, wait_limit_s: float) -> None:
    """Wait until an accepted change is in force, if a wait limit is given, and print the result."""
    status = _wait_until_in_force(context, accepted, wait_limit_s) if wait_limit_s else None
    if context.as_json:
        print_json(accepted if status is None else {**accepted, "in_force": status})
    else:
        click.echo(f"{accepted['path']} accepted as revision {accepted['revision']}")
        for fault in accepted["conflicts"]:
            click.echo(f"conflict: {fault['key']}: {fault['reason']}", err=True)
        if status is not None:
            click.echo(_in_force_text(status))
    if status is not None and status["lack"] + status["silent"]:
        sys.exit(ExitCode.REFUSED)


def _wait_until_in_force(context: Context, accepted: Any, wait_limit_s: float) -> Any:
    deadline_s = time.monotonic() + wait_limit_s
    path = f"/v1/settings/{accepted['path']}/in-force"
    query = {"generation": str(accepted["revision"])}
    while True:
        status = unwrap(context, context.client.call("GET", path, query))
        if not status["lack"] + status["silent"] or time.monotonic() > deadline_s:
            return status
        time.sleep(_POLL_S)


def _in_force_text(status: Any) -> str:
    total = len(status["have"]) + len(status["lack"]) + len(status["silent"])
    text = f"revision {status['generation']} is in force on {len(status['have'])} of {total}"
    if status["lack"]:
        text += f"\nnot yet on: {', '.join(status['lack'])}"
    if status["silent"]:
        text += f"\ndid not answer: {', '.join(status['silent'])}"
    return text
