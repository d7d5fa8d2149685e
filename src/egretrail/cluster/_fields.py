"""Checked values of the fields of peers' messages; each raises one of ``MALFORMED`` if invalid.

A value that is decoded must fit into every message in which it may be passed on: a hub that failed
to pack one would send nothing to its zone.
"""

import ipaddress
import math
from functools import lru_cache
from typing import Any

#: Numbers have at most this value, which msgpack and later sums can hold.
_COUNT_MAX = 2**62
#: Texts are names, zones and addresses.
_TEXT_MAX = 1_000
#: Addresses are checked once while they are among so many, about 200 bytes each.
_ADDRESS_MAX, _ADDRESSES_KEPT = 64, 2_048
_NUMBERS = (int, float)
#: Longer durations and ages say nothing more.
_SECONDS_MAX = 86_400.0 * 365
_PORT_DIGITS_MAX, _PORT_MAX = 5, 65_535


def decode_count(value: Any, maximum: int = _COUNT_MAX) -> int:
    """Return an integer from 0 to a maximum."""
    if type(value) is not int or not 0 <= value <= maximum:
        raise ValueError(f"no number up to {maximum}")
    return value


def decode_text(value: Any, max_characters: int = _TEXT_MAX) -> str:
    """Return a text of bounded length; msgpack has refused texts that cannot be encoded."""
    if type(value) is not str or len(value) > max_characters:
        raise ValueError(f"no text up to {max_characters} characters")
    return value


def decode_bytes(value: Any) -> bytes:
    """Return bytes; ``bytes`` of a number would be as many zeros."""
    if type(value) is not bytes:
        raise ValueError("no bytes")
    return value


def decode_seconds(value: Any, factor: float = 1.0) -> float:
    """Return a duration in seconds, from a number in units of a factor; a longer one is cut off."""
    if type(value) not in _NUMBERS or not value >= 0:
        raise ValueError("no duration")
    return float(min(value, _SECONDS_MAX / factor) * factor)


def decode_ratio(value: Any, maximum: float) -> float:
    """Return a finite number from 0 on; a larger one than the maximum is cut off."""
    if type(value) not in _NUMBERS or not 0 <= value < math.inf:
        raise ValueError("no finite number from 0 on")
    return float(min(value, maximum))


def decode_address(value: Any) -> str:
    """Return an address, ``IP:PORT``."""
    address = decode_text(value, _ADDRESS_MAX)
    _check_address(address)
    return address


@lru_cache(maxsize=_ADDRESSES_KEPT)
def _check_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    ipaddress.ip_address(host)
    is_number = port.isascii() and port.isdigit() and len(port) <= _PORT_DIGITS_MAX
    if not is_number or not 0 < int(port) <= _PORT_MAX:
        raise ValueError("no port")
