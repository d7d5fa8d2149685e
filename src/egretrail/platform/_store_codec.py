"""Decodes what the store's responses state; raises KeyError, TypeError or ValueError if invalid."""

import base64
from typing import Any

from egretrail.platform import _store_fields as store_fields
from egretrail.store import Entry, Snapshot, WatchEvents
from egretrail.traffic import store_revision

#: Bounds of what a response states: numbers of revisions have 40 bits, and revisions with their era
#: fit into the 62 bits of messages between instances.
_REVISION_MAX, _ERA_MAX = 2**40 - 1, 2**22 - 1
#: Leases are numbers of 64 bits.
LEASE_MAX = 2**64 - 1


def decode_era(stated: bytes) -> int:
    """Return the era that a header states; raises ValueError for any other value."""
    era = int(stated) if stated.isdigit() else -1
    if not 0 <= era <= _ERA_MAX:
        raise ValueError("no era of a store")
    return era


def decode_integer(value: object, maximum: int) -> int:
    """Return a decoded integer within 0 and a maximum; raises ValueError for anything else."""
    if type(value) is not int or not 0 <= value <= maximum:
        raise ValueError(f"no number up to {maximum}")
    return value


def decode_revision(era: int, value: object) -> int:
    """Return a revision of an era; raises ValueError for a number that no store has."""
    return store_revision(era, decode_integer(value, _REVISION_MAX))


def decode_entry(row: dict[str, Any], era: int, path: str) -> Entry:
    """Decode the item of a path; another path's would be the response to another call."""
    if row["key"] != path:
        raise ValueError(f"an item of {row['key']!r}")
    revision = decode_revision(era, row["revision"])
    return Entry(path, None if row.get("removed") else _decode_value(row, path), revision)


def _decode_entries(rows: list[dict[str, Any]], era: int, prefix: str) -> list[Entry]:
    """Decode the items under a prefix; others would be the response to another call."""
    for row in rows:
        if not isinstance(row["key"], str) or not row["key"].startswith(prefix):
            raise ValueError(f"an item of {row['key']!r}")
    return [decode_entry(row, era, row["key"]) for row in rows]


def _decode_value(row: dict[str, Any], path: str) -> str:
    """Return an entry's text; an undecodable entry must not hide the others of its page.

    Bytes that are not UTF-8 become lone surrogates, and a value that is not valid base64 becomes an
    empty text. A value beyond the size of its kind is cut behind that size, since a list of such
    values would not fit into memory. The decoder of the entry rejects all of these and logs the
    rejection.
    """
    is_upstream = path.startswith(store_fields.UPSTREAMS_PREFIX)
    max_bytes = store_fields.UPSTREAM_BYTES_MAX if is_upstream else store_fields.CONFIG_BYTES_MAX
    # Four characters hold three bytes.
    max_characters = 4 * (max_bytes // 3 + 1)
    try:
        value = base64.b64decode(row["value"][:max_characters], validate=True)
        return value.decode(errors="surrogateescape")
    except (KeyError, TypeError, ValueError):
        return ""


def decode_snapshot(document: dict[str, Any], era: int, prefix: str) -> Snapshot:
    """Decode a page of the items under a prefix."""
    entries = _decode_entries(document["items"], era, prefix)
    return Snapshot(entries, decode_revision(era, document["currentRev"]))


def decode_events(document: dict[str, Any], era: int, prefix: str) -> WatchEvents:
    """Decode the changes under a prefix."""
    entries = _decode_entries(document["events"], era, prefix)
    return WatchEvents(entries, decode_revision(era, document["currentRev"]))
