"""The command ``egretraild``."""

import asyncio
import sys
from pathlib import Path

import click
import structlog
from result import Err

from egretrail.daemon._daemon import Daemon
from egretrail.daemon._log import configure_log
from egretrail.settings import (
    InstanceSettings,
    InvalidSettings,
    SettingsFault,
    parse_instance_settings,
)

_LEAST_KEY_BYTES = 16


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
    read = _read(settings_file)
    if isinstance(read, InvalidSettings):
        click.echo(str(read), err=True)
        sys.exit(2)
    settings, fleet_key = read
    if check:
        click.echo(f"{settings_file}: valid")
        return
    configure_log(settings.log.level)
    cut = asyncio.run(_run(settings, fleet_key))
    sys.exit(1 if cut else 0)


def _read(path: Path) -> tuple[InstanceSettings, bytes] | InvalidSettings:
    """Return the settings and the fleet key, or every fault of the files."""
    try:
        parsed = parse_instance_settings(path.read_text(), str(path))
    except (OSError, UnicodeDecodeError) as error:
        return InvalidSettings(str(path), [SettingsFault("", str(error))])
    if isinstance(parsed, Err):
        return parsed.err_value
    settings = parsed.ok_value
    try:
        fleet_key = Path(settings.fleet_key_file).read_bytes().strip()
    except OSError as error:
        return InvalidSettings(str(path), [SettingsFault("fleet_key_file", str(error))])
    if len(fleet_key) < _LEAST_KEY_BYTES:
        reason = f"the file holds {len(fleet_key)} bytes, fewer than {_LEAST_KEY_BYTES}"
        return InvalidSettings(str(path), [SettingsFault("fleet_key_file", reason)])
    return settings, fleet_key


async def _run(settings: InstanceSettings, fleet_key: bytes) -> bool:
    daemon = Daemon(settings, fleet_key)
    try:
        return await daemon.run()
    except OSError as error:
        structlog.get_logger().error("cannot_start", cause=str(error))
        return True
