"""Idempotency keys: a prefix that the fleet issues, and a suffix that the client chooses."""

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
    """Identifies the processes that are responsible for the keys issued with this prefix."""

    #: The only process that may start the requests of these keys.
    home: Incarnation
    #: The process that records each key before its request starts; None: there is no witness.
    witness: Incarnation | None
    #: Number assigned by the witness, or by a home without a witness; never reused.
    generation: int


@dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """One key: identifies at most one executed request."""

    #: The part issued by the fleet.
    prefix: KeyPrefix
    #: The part chosen by the client.
    suffix: str


@dataclass(frozen=True, slots=True)
class MalformedKey:
    """The text does not have the form of a key; no request can have run with it."""

    #: Length of the text. The text itself is client data and is not echoed.
    size_chars: int

    def __str__(self) -> str:
        return f"a text of {self.size_chars} characters is no PREFIX.SUFFIX"


@dataclass(frozen=True, slots=True)
class InvalidKeySuffix:
    """The suffix is empty, too long, or has characters other than letters, digits, _ and -."""

    #: Length of the suffix.
    size_chars: int

    def __str__(self) -> str:
        return f"a suffix is 1 to 64 of A-Z, a-z, 0-9, _ and -; this one has {self.size_chars}"


@dataclass(frozen=True, slots=True)
class ForgedKey:
    """The prefix was not signed with the fleet's current key."""

    def __str__(self) -> str:
        return "the prefix was not issued by this fleet"


KeyFailure = MalformedKey | InvalidKeySuffix | ForgedKey


def issue_prefix(prefix: KeyPrefix, fleet_key: bytes) -> str:
    """Return the text form of a prefix, safe in a header field or a URL."""
    content = _pack(prefix)
    return base64.urlsafe_b64encode(content + _mac(content, fleet_key)).decode().rstrip("=")


def parse_key(text: str, fleet_key: bytes) -> Result[IdempotencyKey, KeyFailure]:
    """Parse ``PREFIX.SUFFIX`` and verify that the fleet issued the prefix."""
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
    # Only the canonical encoding is accepted: a client would take two encodings of the same bytes
    # for two keys, and they would be one key here.
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
    """Decode authenticated content; None when another version of the software wrote it."""
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
