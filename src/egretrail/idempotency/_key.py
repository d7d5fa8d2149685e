"""Idempotency keys: a prefix that the fleet issues, and the caller's own suffix."""

import base64
import binascii
import hashlib
import hmac
import re
from dataclasses import dataclass

import msgpack
from result import Err, Ok, Result

from egretrail.identity import Incarnation, InstanceName

_MAC_BYTES = 10
_PERSON = b"egretrail-key"
_SUFFIX = re.compile(r"[A-Za-z0-9_-]{1,64}")
_PREFIX = re.compile(r"[A-Za-z0-9_-]{1,512}")


@dataclass(frozen=True, slots=True)
class KeyPrefix:
    """Names the processes that answer for the keys issued under it."""

    #: The only process that may start the work of these keys.
    home: Incarnation
    #: The process that records each key before its work starts; None: the home is alone.
    witness: Incarnation | None
    #: Numbered by the witness, or by a home without one; never used again.
    generation: int


@dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """One key: the work of at most one request."""

    #: What the fleet issued.
    prefix: KeyPrefix
    #: What the caller chose.
    suffix: str


@dataclass(frozen=True, slots=True)
class MalformedKey:
    """The text has not the form of a key; nothing can have run under it."""

    #: How long the text is; the text itself is the caller's and is not repeated.
    size_chars: int

    def __str__(self) -> str:
        return f"a text of {self.size_chars} characters is no PREFIX.SUFFIX"


@dataclass(frozen=True, slots=True)
class InvalidKeySuffix:
    """The caller's part is empty, too long or has characters other than letters, digits, _, -."""

    #: How long the suffix is.
    size_chars: int

    def __str__(self) -> str:
        return f"a suffix is 1 to 64 of A-Z, a-z, 0-9, _ and -; this one has {self.size_chars}"


@dataclass(frozen=True, slots=True)
class ForgedKey:
    """The prefix was not issued under this fleet's present key."""

    def __str__(self) -> str:
        return "the prefix was not issued by this fleet"


KeyFailure = MalformedKey | InvalidKeySuffix | ForgedKey


def issue_prefix(prefix: KeyPrefix, fleet_key: bytes) -> str:
    """Return the text of a prefix, fit for a header field or a URL."""
    content = _pack(prefix)
    return base64.urlsafe_b64encode(content + _mac(content, fleet_key)).decode().rstrip("=")


def parse_key(text: str, fleet_key: bytes) -> Result[IdempotencyKey, KeyFailure]:
    """Read ``PREFIX.SUFFIX`` and check that the fleet issued the prefix."""
    issued, separator, suffix = text.partition(".")
    if not separator or not _PREFIX.fullmatch(issued):
        return Err(MalformedKey(len(text)))
    if not _SUFFIX.fullmatch(suffix):
        return Err(InvalidKeySuffix(len(suffix)))
    try:
        data = base64.urlsafe_b64decode(issued + "=" * (-len(issued) % 4))
    except binascii.Error:
        return Err(MalformedKey(len(text)))
    content, mac = data[:-_MAC_BYTES], data[-_MAC_BYTES:]
    if not hmac.compare_digest(mac, _mac(content, fleet_key)):
        return Err(ForgedKey())
    prefix = _unpack(content)
    # A second spelling of the same bytes would be a second key to the caller and one key here.
    if prefix is None or issue_prefix(prefix, fleet_key) != issued:
        return Err(MalformedKey(len(text)))
    return Ok(IdempotencyKey(prefix, suffix))


def _mac(content: bytes, fleet_key: bytes) -> bytes:
    secret = hashlib.blake2b(fleet_key, person=_PERSON).digest()
    return hashlib.blake2b(content, key=secret, digest_size=_MAC_BYTES).digest()


def _pack(prefix: KeyPrefix) -> bytes:
    fields: list[object] = [prefix.home.instance, prefix.home.number, prefix.generation]
    if prefix.witness is not None:
        fields += [prefix.witness.instance, prefix.witness.number]
    packed: bytes = msgpack.packb(fields)
    return packed


def _unpack(content: bytes) -> KeyPrefix | None:
    """Read what this fleet's key has vouched for; None when another version wrote it."""
    try:
        fields = msgpack.unpackb(content)
    except (ValueError, msgpack.UnpackException):
        return None
    match fields:
        case [str(home), int(number), int(generation)]:
            return KeyPrefix(Incarnation(InstanceName(home), number), None, generation)
        case [str(home), int(number), int(generation), str(witness), int(witness_number)]:
            return KeyPrefix(
                Incarnation(InstanceName(home), number),
                Incarnation(InstanceName(witness), witness_number),
                generation,
            )
    return None
