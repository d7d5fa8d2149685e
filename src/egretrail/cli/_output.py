"""Prints responses as tables or as JSON, and exits with the matching exit code."""

import json
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, NoReturn

import click
from result import Err, Result

from egretrail.cli._client import CallFailure, ExitCode, OperatorClient, Refused

_LOST_RACE_TYPE = "urn:egretrail:problem:lost-race"


@dataclass(slots=True)
class Context:
    """State that all commands share."""

    #: Client of the instance that is queried.
    client: OperatorClient
    #: Whether responses are printed as JSON.
    as_json: bool = False


def _set_json(context: click.Context, _: click.Parameter, value: bool) -> None:
    context.obj.as_json = value


#: The ``--json`` option of every command that prints a response.
json_option = click.option(
    "--json",
    is_flag=True,
    expose_value=False,
    callback=_set_json,
    help="Print the answer, or the problem, as JSON.",
)


def fail(context: Context, failure: CallFailure) -> NoReturn:
    """Print a failure and exit."""
    if not isinstance(failure, Refused):
        _print_failure(context, {"title": str(failure)}, str(failure))
        sys.exit(ExitCode.UNREACHABLE)
    problem = failure.problem
    text = str(failure)
    lost_race = problem.get("type") == _LOST_RACE_TYPE
    if lost_race:
        text += _conflict_text(problem)
    _print_failure(context, problem, text)
    sys.exit(ExitCode.LOST_RACE if lost_race else ExitCode.REFUSED)


def unwrap(context: Context, response: Result[Any, CallFailure]) -> Any:
    """Return the document of a successful call, or print the failure and exit."""
    if isinstance(response, Err):
        fail(context, response.err_value)
    return response.ok_value


def print_json(document: object) -> None:
    """Print a document as JSON."""
    click.echo(json.dumps(document, indent=2, ensure_ascii=False))


def print_table(head: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print rows under a header, in columns as wide as their widest cell."""
    cells = [list(head), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(head))]
    for row in cells:
        padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        click.echo("  ".join(padded).rstrip())


def _print_failure(context: Context, document: object, text: str) -> None:
    if context.as_json:
        print_json(document)
    else:
        click.echo(f"egretrail: {text}", err=True)


def _conflict_text(problem: Any) -> str:
    yours, theirs = problem["yours"], problem["theirs"]
    return (
        f"\n--- yours ({yours['change_id']}), not accepted\n{yours['text'] or '(deletion)'}"
        f"\n--- theirs ({theirs['change_id']} by {theirs['author'] or 'unknown'}), revision "
        f"{problem['actual_revision']}\n{theirs['text'] or '(deletion)'}"
    )
