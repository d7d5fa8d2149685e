"""Client accounts, and whose API key a request carries."""

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

#: Bytes of a digest that are kept.
_DIGEST_BYTES = 16


def key_digest(api_key: bytes) -> bytes:
    """Return what is kept of an API key; the key cannot be found from it."""
    return hashlib.sha256(api_key).digest()[:_DIGEST_BYTES]


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """One customer whose requests are told apart by its API keys."""

    #: The account's name, unique in its configuration.
    name: str
    #: The digests of its keys; the keys themselves are not kept.
    key_digests: Sequence[bytes]
    #: 0 is the most urgent; goes before that of the route. None leaves it to the route.
    priority: int | None
    #: Requests a second that the whole fleet takes of it; 0 for no limit.
    rate_per_s: float
    #: Requests beyond the rate that it may send after it sent fewer.
    burst: float

    @property
    def is_limited(self) -> bool:
        """Whether the account has a quota."""
        return self.rate_per_s > 0


class AccountTable:
    """Looks up accounts by API key, in a time that does not depend on their number.

    A lookup by digest tells nothing about the keys by the time that it takes.
    """

    def __init__(self, accounts: Iterable[ClientAccount]) -> None:
        self._by_digest = {
            digest: account for account in accounts for digest in account.key_digests
        }

    def find(self, api_key: bytes) -> ClientAccount | None:
        """Return the account that holds a key; None for a key of nobody."""
        return self._by_digest.get(key_digest(api_key))
