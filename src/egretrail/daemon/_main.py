"""The command ``egretraild``."""

import asyncio
import sys
from dataclasses import dataclass
from pathlib import Path

import click
import structlog
from result import Err, Ok, Result

from egretrail.daemon._daemon import Daemon
from egretrail.daemon._log import configure_log
from egretrail.settings import (
    InstanceSettings,
    InvalidSettings,
    OperatorTokens,
    SettingsFault,
    parse_instance_settings,
    parse_operator_tokens,
)

_MIN_KEY_BYTES = 16


@click.command()
@click.option(
    "--settings",
    "settings_file",
    required=True,
    type=click.Path(path_type=Path),
    help="The instance's settings, a TOML file.",
)
@click.option("--check", is_flag=True, help="Only check the settings.")
def main(settings_file: Path, check: bool) -> None:
    """Run an entry instance of egretrail until it is told to stop.

    SIGTERM or SIGINT begins a planned stop: callers are no longer told of this instance, and it
    ends when nothing is in flight. A second signal, or stop.deadline_s, ends it at once and lists
    what was cut. Exit codes: 0 stopped, 1 requests were cut, 2 invalid settings.
    """
    result = _read_files(settings_file)
    if isinstance(result, Err):
        click.echo(str(result.err_value), err=True)
        sys.exit(2)
    files = result.ok_value
    if check:
        click.echo(f"{settings_file}: valid")
        return
    configure_log(files.settings.log.level)
    aborted = asyncio.run(_run(files))
    sys.exit(1 if aborted else 0)


@dataclass(frozen=True, slots=True)
class _StartupFiles:
    """The contents of the files that an instance reads at start."""

    settings: InstanceSettings
    fleet_key: bytes
    tokens: OperatorTokens | None


def _read_files(path: Path) -> Result[_StartupFiles, InvalidSettings]:
    """Read the settings and the files that they name; an error lists all faults of one file."""
    try:
        parsed = parse_instance_settings(path.read_text(), str(path))
    except (OSError, UnicodeDecodeError) as error:
        return Err(InvalidSettings(str(path), [SettingsFault("", str(error))]))
    if isinstance(parsed, Err):
        return parsed
    settings = parsed.ok_value
    try:
        fleet_key = Path(settings.fleet_key_file).read_bytes().strip()
    except OSError as error:
        return Err(InvalidSettings(str(path), [SettingsFault("fleet_key_file", str(error))]))
    if len(fleet_key) < _MIN_KEY_BYTES:
        reason = f"the file holds {len(fleet_key)} bytes, fewer than {_MIN_KEY_BYTES}"
        return Err(InvalidSettings(str(path), [SettingsFault("fleet_key_file", reason)]))
    if settings.operator_tokens_file is None:
        return Ok(_StartupFiles(settings, fleet_key, None))
    try:
        text = Path(settings.operator_tokens_file).read_text()
    except (OSError, UnicodeDecodeError) as error:
        return Err(InvalidSettings(str(path), [SettingsFault("operator_tokens_file", str(error))]))
    tokens = parse_operator_tokens(text, settings.operator_tokens_file)
    return tokens.map(lambda parsed_tokens: _StartupFiles(settings, fleet_key, parsed_tokens))


async def _run(files: _StartupFiles) -> bool:
    daemon = Daemon(files.settings, files.fleet_key, files.tokens)
    try:
        return await daemon.run()
    except OSError as error:
        structlog.get_logger().error("cannot_start", cause=str(error))
        return True
