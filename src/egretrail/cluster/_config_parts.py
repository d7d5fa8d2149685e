"""A configuration in parts, so that what changed is told and checked without the rest."""

from array import array
from collections import OrderedDict
from collections.abc import Generator, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

import xxhash

from egretrail.cluster._config_rows import (
    ConfigHead,
    PartContents,
    pack_head,
    pack_part,
    unpack_head,
    unpack_part,
)
from egretrail.traffic import ClientAccount, FleetConfig, Route, Service

T = TypeVar("T")

#: Parts of each configuration. A change of one route moves a part, and their digests take 2 KB
#: where nothing in common is known: 4,000 routes make parts of 1.6 KB.
PART_COUNT = 256
#: Parts that are worked on between two turns of the event loop, some milliseconds at 4,000 routes.
_SLICE_PARTS = 16
#: Routes or accounts that are sorted into parts between two turns.
_SLICE_ROUTES = 500
#: Configurations whose digests are remembered, 2 KB each, for those that have one of them.
_REMEMBERED = 32


@dataclass(frozen=True, slots=True)
class ConfigPart:
    """The services, routes and accounts whose keys fall into one part."""

    #: Their bytes as they are told.
    packed: bytes
    #: The digest of the bytes.
    digest: int
    #: What it holds.
    contents: PartContents

    @classmethod
    def of(cls, contents: PartContents) -> "ConfigPart":
        """Pack contents that are in order."""
        packed = pack_part(contents)
        return cls(packed, part_digest(packed), contents)

    @classmethod
    def read(cls, packed: bytes) -> "ConfigPart":
        """Unpack what a peer told; raises one of ``MALFORMED`` for other bytes."""
        return cls(packed, part_digest(packed), unpack_part(packed))


@dataclass(frozen=True, slots=True)
class PartedConfig:
    """One version of the configuration with its parts."""

    #: The whole configuration.
    config: FleetConfig
    #: The bytes of its version and limits.
    head: bytes
    #: The parts, ``PART_COUNT`` of them.
    parts: tuple[ConfigPart, ...]
    #: The digest of the head and of all parts: instances with the same one have the same state.
    digest: int

    @classmethod
    def of(cls, head: bytes, parts: Sequence[ConfigPart]) -> "PartedConfig":
        """Join parts; raises one of ``MALFORMED`` for a head that is none."""
        unpacked = unpack_head(head)
        contents = [part.contents for part in parts]
        accounts = [account for one in contents for account in one.accounts]
        config = FleetConfig(
            version=unpacked.version,
            routes=[route for one in contents for route in one.routes],
            services={service.name: service for one in contents for service in one.services},
            limits=unpacked.limits,
            accounts=accounts if unpacked.has_accounts else None,
        )
        digest = config_digest(head, [part.digest for part in parts])
        return cls(config, head, tuple(parts), digest)


@dataclass(frozen=True, slots=True)
class ConfigOutline:
    """What a configuration consists of, for those that have to find out what they lack."""

    #: The bytes of its version and limits.
    head: bytes
    #: Its digest.
    digest: int
    #: The digest of the configuration that ``changed`` starts from; 0 for one of empty parts.
    base: int
    #: The digests of the parts that are not as in the base, by number.
    changed: Mapping[int, int]

    @property
    def version(self) -> int:
        """The version that it is of; raises one of ``MALFORMED`` for a head that is none."""
        return unpack_head(self.head).version


def part_digest(packed: bytes) -> int:
    """Return the digest of a part's bytes."""
    return xxhash.xxh3_64_intdigest(packed)


def config_digest(head: bytes, digests: Iterable[int]) -> int:
    """Return the digest of a configuration by its head and the digests of its parts."""
    return xxhash.xxh3_64_intdigest(head + array("Q", digests).tobytes())


EMPTY_PART = ConfigPart.of(PartContents())
_NO_DIGESTS = array("Q", [EMPTY_PART.digest] * PART_COUNT)


def part_config(
    config: FleetConfig, before: PartedConfig | None = None
) -> Generator[None, None, PartedConfig]:
    """Part a configuration in slices: whoever runs this may do other work at each ``yield``.

    Load: parting 4,000 routes at once stops a weak instance for a tenth of a second, in which a
    hub is taken as dead. Parts that are as before are not packed again.
    """
    services: list[list[Service]] = [[] for _ in range(PART_COUNT)]
    routes: list[list[Route]] = [[] for _ in range(PART_COUNT)]
    accounts: list[list[ClientAccount]] = [[] for _ in range(PART_COUNT)]
    for service in config.services.values():
        services[_number(service.name)].append(service)
    for position, route in enumerate(config.routes):
        routes[_number(f"{route.host} {route.prefix}")].append(route)
        if position % _SLICE_ROUTES == _SLICE_ROUTES - 1:
            yield
    for position, account in enumerate(config.accounts or ()):
        accounts[_number(f"account {account.name}")].append(account)
        if position % _SLICE_ROUTES == _SLICE_ROUTES - 1:
            yield
    parts = []
    for number in range(PART_COUNT):
        if number % _SLICE_PARTS == _SLICE_PARTS - 1:
            yield
        kept = before.parts[number] if before is not None else EMPTY_PART
        parts.append(_part(services[number], routes[number], accounts[number], kept))
    yield
    head = ConfigHead(config.version, config.limits, config.accounts is not None)
    return PartedConfig.of(pack_head(head), parts)


def at_once(work: Generator[None, None, T]) -> T:
    """Run work to its end and return its result, where nothing waits meanwhile."""
    while True:
        try:
            next(work)
        except StopIteration as done:
            result: T = done.value
            return result


@dataclass(slots=True)
class KnownOutlines:
    """The digests of the last configurations of an instance, by their digest."""

    _digests: OrderedDict[int, "array[int]"] = field(default_factory=OrderedDict)

    def remember(self, parted_config: PartedConfig) -> None:
        """Take a configuration that others may still have when it is no longer in force here."""
        digests = array("Q", [part.digest for part in parted_config.parts])
        self._digests[parted_config.digest] = digests
        while len(self._digests) > _REMEMBERED:
            self._digests.popitem(last=False)

    def outline(self, parted_config: PartedConfig, base: int) -> ConfigOutline:
        """Return a configuration's outline for an instance that has the one of a digest."""
        known = self._digests.get(base)
        before = _NO_DIGESTS if known is None else known
        changed = {
            number: part.digest
            for number, part in enumerate(parted_config.parts)
            if part.digest != before[number]
        }
        told_base = 0 if known is None else base
        return ConfigOutline(parted_config.head, parted_config.digest, told_base, changed)


@dataclass(slots=True)
class PartsCollection:
    """Parts of newer configurations that have arrived, until one of them is whole.

    Load: versions follow each other faster than a weak link carries one. What arrived stays, by its
    digest, whichever version and whichever peer it came from, so that each try goes on where the
    last one ended.
    """

    _arrived: dict[int, ConfigPart] = field(default_factory=dict)

    def add(self, part: ConfigPart) -> None:
        """Take a part that arrived."""
        self._arrived[part.digest] = part

    def lacking(self, outline: ConfigOutline, own: PartedConfig | None) -> Mapping[int, int]:
        """Return the digests of the parts that are missing for a configuration, by number."""
        digests = _digests_of(outline, own)
        return {
            number: digest
            for number, digest in outline.changed.items()
            if self._find(number, digests[number], own) is None
        }

    def join(self, outline: ConfigOutline, own: PartedConfig | None) -> PartedConfig | None:
        """Return the whole configuration, checked; None where a part is missing or wrong."""
        parts = []
        for number, digest in enumerate(_digests_of(outline, own)):
            part = self._find(number, digest, own)
            if part is None:
                return None
            parts.append(part)
        whole = PartedConfig.of(outline.head, parts)
        return whole if whole.digest == outline.digest else None

    def keep_only(self, outline: ConfigOutline) -> None:
        """Forget parts of versions that were given up for a newer one."""
        wanted = set(outline.changed.values())
        for digest in [one for one in self._arrived if one not in wanted]:
            del self._arrived[digest]

    def clear(self) -> None:
        """Forget all parts: a configuration was joined."""
        self._arrived.clear()

    def _find(self, number: int, digest: int, own: PartedConfig | None) -> ConfigPart | None:
        if digest == EMPTY_PART.digest:
            return EMPTY_PART
        if own is not None and own.parts[number].digest == digest:
            return own.parts[number]
        return self._arrived.get(digest)


def _digests_of(outline: ConfigOutline, own: PartedConfig | None) -> Sequence[int]:
    """Return the digests of all parts that an outline tells of."""
    base: Sequence[int] = _NO_DIGESTS
    if outline.base and own is not None and own.digest == outline.base:
        base = [part.digest for part in own.parts]
    digests = list(base)
    for number, digest in outline.changed.items():
        digests[number] = digest
    return digests


def _part(
    services: list[Service],
    routes: list[Route],
    accounts: list[ClientAccount],
    kept: ConfigPart,
) -> ConfigPart:
    contents = PartContents(
        tuple(sorted(services, key=lambda one: one.name)),
        tuple(sorted(routes, key=lambda one: (one.host, one.prefix))),
        tuple(sorted(accounts, key=lambda one: one.name)),
    )
    return kept if contents == kept.contents else ConfigPart.of(contents)


def _number(key: str) -> int:
    return xxhash.xxh32_intdigest(key.encode(errors="surrogatepass")) % PART_COUNT
