"""``egretrail settings``: the fleet's settings under their paths."""

import secrets
import sys
import time
from collections.abc import Mapping
from typing import IO, Any

import click
from result import Err, Result

from egretrail.cli._client import CallFailure, ExitCode, Unreachable
from egretrail.cli._output import Context, json_option, print_json, print_table, unwrap

#: A write that nobody answered is sent again with the same change id, so that it counts once.
_WRITE_TRIES = 3
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
    document = _get(context, path)
    if context.as_json:
        print_json(document)
        return
    text = _text(document)
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
    seen = _get(context, path)["revision"] if revision is None else revision
    query = _query(seen, change_id, author)
    accepted = unwrap(context, _written(context, "PUT", path, query, file.read()))
    _finish(context, accepted, wait_limit_s if wait else 0.0)


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
    seen = _get(context, path)["revision"] if revision is None else revision
    query = _query(seen, change_id, author)
    accepted = unwrap(context, _written(context, "DELETE", path, query, ""))
    _finish(context, accepted, wait_limit_s if wait else 0.0)


@settings.command()
@_path
@click.option("--from", "start", type=int, help="Revision; 0: the empty text.")
@click.option("--to", type=int, help="Revision; the latest by default.")
@json_option
@click.pass_obj
def diff(context: Context, path: str, start: int | None, to: int | None) -> None:
    """Show the difference between two changes, by default the last two."""
    given = {"from": start, "to": to}
    query = {key: str(value) for key, value in given.items() if value is not None}
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


def _get(context: Context, path: str) -> Any:
    document = unwrap(context, context.client.call("GET", f"/v1/settings/{path}"))
    # While the store is out the revision of what is in force is the best that can be told.
    if document["revision"] is None:
        document["revision"] = document["in_force_here"]["generation"]
    return document


def _text(document: Any) -> str | None:
    source = document["in_force_here"] if document["store_out"] else document["latest"]
    text: str | None = source["text"]
    return text


def _query(revision: int, change_id: str | None, author: str | None) -> Mapping[str, str]:
    query = {"revision": str(revision), "change_id": change_id or secrets.token_hex(8)}
    return query if author is None else {**query, "author": author}


def _written(
    context: Context, method: str, path: str, query: Mapping[str, str], text: str
) -> Result[Any, CallFailure]:
    answer = context.client.call(method, f"/v1/settings/{path}", query, text)
    for _ in range(_WRITE_TRIES - 1):
        if not (isinstance(answer, Err) and isinstance(answer.err_value, Unreachable)):
            break
        answer = context.client.call(method, f"/v1/settings/{path}", query, text)
    if isinstance(answer, Err) and isinstance(answer.err_value, Unreachable):
        click.echo(f"egretrail: send it again with --change-id {query['change_id']}", err=True)
    return answer


def _finish(context: Context, accepted: Any, wait_limit_s: float) -> None:
    """Print what was accepted, after waiting until it is in force everywhere."""
    found = _wait(context, accepted, wait_limit_s) if wait_limit_s else None
    if context.as_json:
        print_json(accepted if found is None else {**accepted, "in_force": found})
    else:
        click.echo(f"{accepted['path']} accepted as revision {accepted['revision']}")
        for fault in accepted["conflicts"]:
            click.echo(f"conflict: {fault['key']}: {fault['reason']}", err=True)
        if found is not None:
            click.echo(_in_force_text(found))
    if found is not None and found["lack"] + found["silent"]:
        sys.exit(ExitCode.REFUSED)


def _wait(context: Context, accepted: Any, wait_limit_s: float) -> Any:
    until_s = time.monotonic() + wait_limit_s
    path = f"/v1/settings/{accepted['path']}/in-force"
    query = {"generation": str(accepted["revision"])}
    while True:
        found = unwrap(context, context.client.call("GET", path, query))
        if not found["lack"] + found["silent"] or time.monotonic() > until_s:
            return found
        time.sleep(_POLL_S)


def _in_force_text(found: Any) -> str:
    total = len(found["have"]) + len(found["lack"]) + len(found["silent"])
    text = f"revision {found['generation']} is in force on {len(found['have'])} of {total}"
    if found["lack"]:
        text += f"\nnot yet on: {', '.join(found['lack'])}"
    if found["silent"]:
        text += f"\ndid not answer: {', '.join(found['silent'])}"
    return text
