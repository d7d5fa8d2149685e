"""The packed form of demand reports."""

import struct
from collections.abc import Sequence
from typing import Any

from egretrail.overload import AccountDemandKey, DemandKey, DemandReport, DemandRow

#: Counts of a service and priority: service key, priority, offered, refused, shed, retries wanted.
_ROW = struct.Struct("<IBHHHH")
#: An account: service key, account key, offered.
_ACCOUNT = struct.Struct("<IIH")
_BYTE_MAX, _SHORT_MAX = 0xFF, 0xFFFF


def encode_demand(report: DemandReport) -> list[bytes]:
    """Return the rows of a report; larger numbers than a row can hold are sent as the largest.

    Priorities above 255 are counted together.
    """
    rows: dict[DemandKey, DemandRow] = {}
    for (service, priority), row in report.rows.items():
        key = DemandKey(service, min(max(priority, 0), _BYTE_MAX))
        rows[key] = rows[key].plus(row) if key in rows else row
    return [
        b"".join(
            _ROW.pack(
                service,
                priority,
                min(row.offered, _SHORT_MAX),
                min(row.refused, _SHORT_MAX),
                min(row.shed, _SHORT_MAX),
                min(row.retries_wanted, _SHORT_MAX),
            )
            for (service, priority), row in rows.items()
        ),
        b"".join(
            _ACCOUNT.pack(service, account, min(offered, _SHORT_MAX))
            for (service, account), offered in report.accounts.items()
        ),
    ]


def decode_demand(fields: Sequence[Any]) -> DemandReport:
    """Return the report of rows; raises one of ``MALFORMED`` for invalid rows."""
    packed_rows, packed_accounts = fields
    rows = [
        (DemandKey(service, priority), DemandRow(*counts))
        for service, priority, *counts in _ROW.iter_unpack(packed_rows)
    ]
    accounts = [
        (AccountDemandKey(service, account), offered)
        for service, account, offered in _ACCOUNT.iter_unpack(packed_accounts)
    ]
    report = DemandReport(dict(rows), dict(accounts))
    if len(report.rows) != len(rows) or len(report.accounts) != len(accounts):
        raise ValueError("demand has two rows of the same requests")
    return report
