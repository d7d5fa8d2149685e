"""Replies that are well-formed and can't be the store's, as a faulty proxy or store may send."""

import base64
import enum
import json
import random
from typing import Any

_DEPTH = 100_000


class NonsenseReply(enum.Enum):
    """What is wrong with a reply."""

    #: Items of another prefix.
    OTHER_ITEMS = "other items"
    #: Every item and every event is there twice, the second time as removed.
    CONTRADICTION = "contradiction"
    #: No items or events, though there are some.
    NOTHING = "nothing"
    REVISION_TOO_HIGH = "revision too high"
    REVISION_TOO_LOW = "revision too low"
    REVISION_OF_5000_DIGITS = "revision of 5,000 digits"
    REVISION_INFINITE = "revision infinite"
    NO_ERA = "no era"
    ERA_HUGE = "era huge"
    ERA_OF_5000_DIGITS = "era of 5,000 digits"
    #: The same page for ever.
    ENDLESS_PAGES = "endless pages"
    #: A new page for ever, each with another key.
    ENDLESS_KEYS = "endless keys"
    DEEP = "deep"
    NOT_BASE64 = "not base64"
    NO_TEXT = "value is no text"
    WRONG_TYPES = "wrong types"
    NULLS = "nulls"
    LIST = "a list"
    NOT_JSON = "not JSON"
    NOT_UTF8 = "not UTF-8"
    SURROGATE_KEY = "key with a surrogate"
    #: 20 MB of spaces.
    LARGE = "large"
    OTHER_STATUS = "other status"


def nonsense_reply(
    kind: NonsenseReply, document: dict[str, Any], era: int, rng: random.Random
) -> tuple[int, bytes, dict[str, str]]:
    """Return the status, the body and the headers of a reply instead of a proper one."""
    headers = {"Content-Type": "application/json", "Store-Era": str(era)}
    document = json.loads(json.dumps(document))
    rows: list[dict[str, Any]] = document.get("items") or document.get("events") or []
    name = "events" if "events" in document else "items"
    status, body = 200, b""
    match kind:
        case NonsenseReply.OTHER_ITEMS:
            for row in rows:
                row["key"] = f"other/{row['key']}"
            document.setdefault("key", "other")
        case NonsenseReply.CONTRADICTION:
            document[name] = [*rows, *({**row, "removed": True} for row in rows)]
        case NonsenseReply.NOTHING:
            document[name] = []
        case NonsenseReply.REVISION_TOO_HIGH:
            document["currentRev"] = document.get("currentRev", 0) + rng.choice([1_000, 2**50])
        case NonsenseReply.REVISION_TOO_LOW:
            document["currentRev"] = rng.choice([0, 1, -5])
        case NonsenseReply.REVISION_OF_5000_DIGITS:
            document["currentRev"] = "TOKEN"
        case NonsenseReply.REVISION_INFINITE:
            document["currentRev"] = float("inf")
        case NonsenseReply.NO_ERA:
            headers["Store-Era"] = ""
        case NonsenseReply.ERA_HUGE:
            headers["Store-Era"] = str(2**40)
        case NonsenseReply.ERA_OF_5000_DIGITS:
            headers["Store-Era"] = "9" * 5_000
        case NonsenseReply.ENDLESS_PAGES:
            document["hasMore"] = True
        case NonsenseReply.ENDLESS_KEYS:
            document["hasMore"] = True
            for row in rows:
                row["key"] += f"-{rng.getrandbits(40)}"
        case NonsenseReply.DEEP:
            body = b'{"items":' + b"[" * _DEPTH + b"]" * _DEPTH + b"}"
        case NonsenseReply.NOT_BASE64:
            for row in rows:
                row["value"] = "!" * 11
        case NonsenseReply.NO_TEXT:
            for row in rows:
                row["value"] = base64.b64encode(b"\xff\xfe").decode()
        case NonsenseReply.WRONG_TYPES:
            document = {"items": 7, "events": {"a": 1}, "hasMore": "no", "currentRev": [1]}
        case NonsenseReply.NULLS:
            document = dict.fromkeys((*document, "items", "events", "currentRev"))
        case NonsenseReply.LIST:
            body = b"[1, 2]"
        case NonsenseReply.NOT_JSON:
            body = b"<html>"
        case NonsenseReply.NOT_UTF8:
            body = b'{"items": ["\xff\xfe"]}'
        case NonsenseReply.SURROGATE_KEY:
            for row in rows:
                row["key"] += "\udc80"
        case NonsenseReply.LARGE:
            body = b" " * 20_000_000 + b"{}"
        case NonsenseReply.OTHER_STATUS:
            status = rng.choice([204, 206, 299, 302, 400, 404, 412, 500])
    if not body:
        body = json.dumps(document).replace('"TOKEN"', "9" * 5_000).encode()
    return status, body, headers
