"""The ``egretrail gateway`` commands."""

import json
import sys
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import IO

import click
from result import Err

from egretrail.cli._gateway_losses import losses_document, losses_text
from egretrail.cli._gateway_show import burn, show
from egretrail.diagnosis import (
    CauseKind,
    LogLine,
    build_timeline,
    find_cause,
    find_losses,
    parse_lines,
)
from egretrail.platform import PlatformLayout, read_node_file

_logs = click.option(
    "--logs",
    "logs",
    type=click.File(errors="replace"),
    multiple=True,
    required=True,
    help="A log file of any instance; - for standard input. Repeat it for more files.",
)
_as_json = click.option("--json", "as_json", is_flag=True, help="Print one JSON document.")


@click.group()
def gateway() -> None:
    """Explain, check and show gateways, from their logs, files and metrics."""


gateway.add_command(show)
gateway.add_command(burn)


@gateway.command()
@click.argument("attempt_id")
@_logs
@_as_json
def explain(attempt_id: str, logs: Sequence[IO[str]], as_json: bool) -> None:
    """Tell the story of one client attempt and why it ended as it did.

    Exits with 1 where no line names the attempt.
    """
    timeline = build_timeline(attempt_id, _lines(logs))
    cause = find_cause(timeline)
    if as_json:
        document = {
            "id": attempt_id,
            "kind": cause.kind.value,
            "cause": cause.text,
            "lines": [str(line) for line in timeline.merged_lines()],
        }
        click.echo(json.dumps(document))
    else:
        for line in timeline.merged_lines():
            click.echo(str(line))
        click.echo(f"cause ({cause.kind.value}): {cause.text}")
    if cause.kind is CauseKind.UNKNOWN:
        sys.exit(1)


@gateway.command()
@_logs
@click.option("--seconds", is_flag=True, help="Show each second of the logs as well.")
@_as_json
def losses(logs: Sequence[IO[str]], seconds: bool, as_json: bool) -> None:
    """Count requests, and those that were lost or late, by route, reason and other properties.

    Exits with 1 where the logs name no request.
    """
    report = find_losses(_lines(logs))
    if as_json:
        click.echo(json.dumps(losses_document(report)))
    else:
        for line in losses_text(report, seconds=seconds):
            click.echo(line)
    if not report.requests:
        sys.exit(1)


@gateway.command()
@click.option("--settings", "settings_path", type=Path, help="A settings file of an instance.")
@click.option("--config", "config_path", type=Path, help="A configuration as operators write it.")
def check(settings_path: Path | None, config_path: Path | None) -> None:
    """Check files and print every fault at once; exits with 1 where there is one."""
    faults: list[str] = []
    if settings_path is not None:
        read = read_node_file(settings_path)
        if isinstance(read, Err):
            faults += [f"{settings_path}: {fault}" for fault in read.err_value.faults]
    if config_path is not None:
        faults += _config_faults(config_path)
    for fault in faults:
        click.echo(fault)
    if faults:
        sys.exit(1)
    click.echo("no faults")


def _config_faults(path: Path) -> list[str]:
    try:
        value = path.read_bytes()
    except OSError as error:
        return [f"{path}: {error}"]
    decoded = PlatformLayout().decode_config(value)
    if isinstance(decoded, Err):
        return [f"{path}: {fault}" for fault in decoded.err_value.faults]
    return []


def _lines(logs: Sequence[IO[str]]) -> Iterator[LogLine]:
    for log in logs:
        yield from parse_lines(log)
