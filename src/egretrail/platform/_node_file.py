"""Reads the settings file that the platform writes for each process."""

import os
import tomllib
from collections.abc import Hashable
from pathlib import Path

from result import Err, Ok, Result

from egretrail.dispatch import QuotaTerms
from egretrail.gateway import GatewaySettings, InvalidDocument, SettingsFile
from egretrail.platform._field_kinds import (
    Address,
    Duration,
    InstanceIP,
    Integer,
    Number,
    escaped,
)
from egretrail.platform._table_reader import TableReader

#: The environment variable that holds the file's path.
SETTINGS_VARIABLE = "EGRETRAIL_NODE_FILE"
#: A file has some KiB; lists of the zones and seeds of a large fleet may add to it. Decoding it
#: holds up the process that reloads it, by the square of the number of dots in a key.
_FILE_BYTES_MAX = 64 * 1024
_DOTS_MAX = 4_096
#: Together with the type of the error this fits into a log line.
_ERROR_CHARACTERS_MAX = 200

_IP = InstanceIP()
_ADDRESS = Address()
#: The ports of metrics and of the relay follow the peers' port.
_METRICS_OFFSET, _RELAY_OFFSET = 1, 2
_FIRST_PORT = Integer(1, 65_535 - _RELAY_OFFSET)
#: In MiB, up to 1 TiB.
_MEMORY_MB = Integer(1, 2**20)
#: Factors of the capacity, of which neither the product nor its inverse vanishes.
_CAPACITY_FACTOR = Number(0.0001, 10_000.0)
_DAY_S = 86_400.0
_DURATION = Duration(0.0, _DAY_S)
#: Rates are counted over windows; less than the clock of the file's durations is none.
_WINDOW = Duration(0.001, _DAY_S)
#: Up to here a float holds every integer, and sums and products of a few numbers are finite.
_AMOUNT = Number(0.0, 2.0**53)
#: The name of the contract under which services are watched for overload, and client accounts share
#: their capacity fairly.
_PRESSURE = "pressure"


class NodeFile(SettingsFile):
    """The settings file of a running process."""

    def __init__(self, path: Path) -> None:
        self._path = path

    def read(self) -> Result[GatewaySettings, InvalidDocument]:
        """Read and decode the file."""
        return read_node_file(self._path)

    def fingerprint(self) -> Hashable:
        """Return the inode, size and change times, or the error number of a failed stat."""
        try:
            status = self._path.stat()
        except OSError as error:
            return error.errno
        return status.st_ino, status.st_size, status.st_mtime_ns, status.st_ctime_ns


def read_node_file(path: Path) -> Result[GatewaySettings, InvalidDocument]:
    """Read the settings file; ignores unknown fields and reports all faults at once."""
    try:
        document = tomllib.loads(_read_bounded(path).decode())
    except (OSError, ValueError, RecursionError) as error:
        # Unlike its message, the representation of a decoding error holds the whole file.
        cause = escaped(str(error), _ERROR_CHARACTERS_MAX)
        return Err(InvalidDocument(str(path), [f"{type(error).__name__}: {cause}"]))
    faults: list[str] = []
    settings = _decode_settings(TableReader(document, "settings", faults))
    if faults:
        return Err(InvalidDocument(str(path), faults))
    return Ok(settings)


def _read_bounded(path: Path) -> bytes:
    # A pipe without a writer would block the process.
    descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    with open(descriptor, "rb") as file:
        content = file.read(_FILE_BYTES_MAX + 1) or b""
    if len(content) > _FILE_BYTES_MAX:
        raise ValueError(f"more than {_FILE_BYTES_MAX} bytes")
    if content.count(b".") > _DOTS_MAX:
        raise ValueError(f"more than {_DOTS_MAX} dots")
    return content


def _decode_settings(file: TableReader) -> GatewaySettings:
    node = file.table("self")
    network = file.table("network")
    listen = network.table("listen")
    terms = file.table("terms")
    bounds = terms.table("bounds")
    limits = node.table("limits")
    peer_port = _first_internal_port(network)
    contracts = terms.rows("contracts") if terms.is_present("contracts") else ()
    has_pressure = _PRESSURE in contracts
    return GatewaySettings(
        name=node.text("nodeName"),
        ip=node.read("ip", _IP),
        availability_zone=node.text("zone"),
        traffic_address=listen.read("front", _ADDRESS),
        ready_address=listen.read("ready", _ADDRESS),
        directory_address=listen.read("directory", _ADDRESS),
        peer_port=peer_port,
        metrics_port=peer_port + _METRICS_OFFSET,
        relay_port=peer_port + _RELAY_OFFSET,
        # The ports belong to an interface that this program does not serve; only the IPs are used.
        seeds=[
            network.decode("seeds", _ADDRESS, seed).rpartition(":")[0]
            for seed in network.rows("seeds")
        ],
        store_address=file.table("platform").table("platform").read("address", _ADDRESS),
        memory_mb=limits.read("memoryMb", _MEMORY_MB, 300),
        # ``cores`` is the speed of the single core, of which the process gets a share.
        capacity=limits.read("cpuShare", _CAPACITY_FACTOR, 1.0)
        * limits.read("cores", _CAPACITY_FACTOR, 1.0),
        stop_grace_s=bounds.read("grace", _DURATION, 6.0),
        directory_ttl_max_s=bounds.read("ttl_max", _DURATION, 5.0),
        repeat_ratio=bounds.read("retryBudgetRatio", _AMOUNT, 0.1),
        repeat_window_s=bounds.read("budgetWindow", _WINDOW, 10.0),
        repeat_slack=bounds.read("budgetSlack", _AMOUNT, 0.0),
        quota_terms=QuotaTerms(
            window_s=bounds.read("quotaWindow", _WINDOW, 5.0),
            over=bounds.read("quotaOver", _AMOUNT, 0.0),
            slack=bounds.read("quotaSlack", _AMOUNT, 0.0),
        ),
        revocation_s=bounds.read("revoke", _WINDOW) if bounds.boolean("strictRevoke") else None,
        shares_capacity=has_pressure,
        controls_overload=has_pressure,
    )


def _first_internal_port(network: TableReader) -> int:
    """Return the first port of the internal range, which the file gives as first and last port."""
    ports = network.rows("internalPorts")
    if not ports:
        network.check("internalPorts", False, "empty")
        return _FIRST_PORT.empty
    return network.decode("internalPorts", _FIRST_PORT, ports[0])
