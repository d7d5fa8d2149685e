"""Client accounts, and which of them an API key belongs to."""

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

#: Bytes of a key's digest that are kept.
_DIGEST_BYTES = 16


def key_digest(api_key: bytes) -> bytes:
    """Return the digest that is kept in place of an API key."""
    return hashlib.sha256(api_key).digest()[:_DIGEST_BYTES]


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A customer, identified by its API keys."""

    #: The account's name, unique in its configuration.
    name: str
    #: The digests of its keys; the keys themselves are not kept.
    key_digests: Sequence[bytes]
    #: 0 is the most urgent. Takes precedence over the route's priority; None uses the route's.
    priority: int | None
    #: Requests per second that the whole fleet admits; 0 for no limit.
    rate_per_s: float
    #: Requests beyond the rate that it may send after it sent fewer.
    burst: float

    @property
    def is_limited(self) -> bool:
        """Whether the account has a quota."""
        return self.rate_per_s > 0


class AccountTable:
    """Looks up accounts by API key, in a time that does not depend on their number.

    The time of a lookup by digest reveals nothing about the keys.
    """

    def __init__(self, accounts: Iterable[ClientAccount]) -> None:
        self._by_digest = {
            digest: account for account in accounts for digest in account.key_digests
        }

    def find(self, api_key: bytes) -> ClientAccount | None:
        """Return the account that has a key; None if no account has it."""
        return self._by_digest.get(key_digest(api_key))
