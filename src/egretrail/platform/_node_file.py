"""Reads the settings file that the platform writes for each process."""

import ipaddress
import math
import tomllib
from collections.abc import Hashable
from pathlib import Path

from result import Err, Ok, Result

from egretrail.dispatch import QuotaTerms
from egretrail.gateway import GatewaySettings, InvalidDocument, SettingsFile
from egretrail.platform._table_reader import TableReader

#: The environment variable that holds the file's path.
SETTINGS_VARIABLE = "EGRETRAIL_NODE_FILE"
_PORT_MAX, _PORT_DIGITS_MAX = 65_535, 5
#: The platform fills in a template of less than 64 KiB.
_FILE_BYTES_MAX = 1024 * 1024
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
        with path.open("rb") as file:
            data = file.read(_FILE_BYTES_MAX + 1)
        if len(data) > _FILE_BYTES_MAX:
            raise ValueError(f"more than {_FILE_BYTES_MAX} bytes")
        document = tomllib.loads(data.decode())
    except (OSError, ValueError, RecursionError) as error:
        return Err(InvalidDocument(str(path), [repr(error)]))
    faults: list[str] = []
    settings = _decode_settings(TableReader(document, "settings", faults))
    if faults:
        return Err(InvalidDocument(str(path), faults))
    return Ok(settings)


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
    settings = GatewaySettings(
        name=node.text("nodeName"),
        ip=node.text("ip"),
        availability_zone=node.text("zone"),
        traffic_address=listen.text("front"),
        ready_address=listen.text("ready"),
        directory_address=listen.text("directory"),
        peer_port=peer_port,
        metrics_port=peer_port + 1,
        relay_port=peer_port + 2,
        # The ports belong to an interface that this program does not serve; only the IPs are used.
        seeds=[str(seed).rpartition(":")[0] for seed in network.rows("seeds")],
        store_address=file.table("platform").table("platform").text("address"),
        memory_mb=limits.integer("memoryMb", 300),
        # ``cores`` is the speed of the single core, of which the process gets a share.
        capacity=limits.number("cpuShare", 1.0) * limits.number("cores", 1.0),
        stop_grace_s=bounds.duration_s("grace", "6s"),
        directory_ttl_max_s=bounds.duration_s("ttl_max", "5s"),
        repeat_ratio=bounds.number("retryBudgetRatio", 0.1),
        repeat_window_s=bounds.duration_s("budgetWindow", "10s"),
        repeat_slack=bounds.number("budgetSlack", 0.0),
        quota_terms=QuotaTerms(
            window_s=bounds.duration_s("quotaWindow", "5s"),
            over=bounds.number("quotaOver", 0.0),
            slack=bounds.number("quotaSlack", 0.0),
        ),
        revocation_s=bounds.duration_s("revoke") if bounds.boolean("strictRevoke") else None,
        shares_capacity=has_pressure,
        controls_overload=has_pressure,
    )
    network.check("seeds", all(_is_ip(seed) for seed in settings.seeds), "not all are IP:PORT")
    store = file.table("platform").table("platform")
    store.check("address", _is_ip_port(settings.store_address), "not IP:PORT")
    limits.check("memoryMb", settings.memory_mb > 0, "not above 0")
    is_valid_capacity = 0 < settings.capacity < math.inf
    limits.check("cpuShare", is_valid_capacity, "times cores is not above 0 and finite")
    bounds.check("budgetWindow", settings.repeat_window_s > 0, "not above 0")
    bounds.check("retryBudgetRatio", settings.repeat_ratio >= 0, "below 0")
    is_valid_revocation = settings.revocation_s is None or settings.revocation_s > 0
    quota = settings.quota_terms
    bounds.check("quotaWindow", quota.window_s > 0, "not above 0")
    bounds.check("quotaOver", quota.over >= 0, "below 0")
    bounds.check("quotaSlack", quota.slack >= 0, "below 0")
    bounds.check("revoke", is_valid_revocation, "not above 0")
    bounds.check("budgetSlack", settings.repeat_slack >= 0, "below 0")
    return settings


def _first_internal_port(network: TableReader) -> int:
    """Return the first port of the internal range, which the file gives as first and last port."""
    ports = network.rows("internalPorts")
    first = ports[0] if ports else None
    if type(first) is int and 0 < first < _PORT_MAX:
        return first
    network.check("internalPorts", False, f"does not begin with a port: {ports!r}")
    return 0


def _is_ip_port(text: str) -> bool:
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdecimal() and len(port) <= _PORT_DIGITS_MAX
    return _is_ip(host) and is_number and 0 < int(port) <= _PORT_MAX


def _is_ip(text: str) -> bool:
    try:
        return bool(ipaddress.ip_address(text))
    except ValueError:
        return False
