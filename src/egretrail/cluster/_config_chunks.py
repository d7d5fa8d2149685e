"""Chunked configurations: a change is transferred and verified without the unchanged chunks."""

from array import array
from collections import OrderedDict
from collections.abc import Generator, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

import xxhash

from egretrail.cluster._config_codec import (
    ChunkContents,
    ConfigHead,
    pack_chunk,
    pack_head,
    unpack_chunk,
    unpack_head,
)
from egretrail.traffic import ClientAccount, FleetConfig, Route, Service

T = TypeVar("T")

#: The number of chunks of each configuration. A change of one route moves one chunk. The digests of
#: all chunks take 2 KB, which are sent when the two peers have no configuration in common. 4,000
#: routes make chunks of 1.6 KB.
CHUNK_COUNT = 256
#: Chunks that are packed before the generator yields to the event loop: some milliseconds at 4,000
#: routes.
_CHUNKS_PER_SLICE = 16
#: Routes or accounts that are assigned to chunks before the generator yields to the event loop.
_ROUTES_PER_SLICE = 500
#: Configurations whose chunk digests are remembered, 2 KB each. They serve as bases for peers that
#: still have one of them.
_HISTORY_MAX = 32


@dataclass(frozen=True, slots=True)
class ConfigChunk:
    """The services, routes and client accounts whose keys hash to the same chunk number."""

    #: The packed form, as sent to peers.
    packed: bytes
    #: The digest of the packed form.
    digest: int
    #: The services, routes and client accounts.
    contents: ChunkContents

    @classmethod
    def from_contents(cls, contents: ChunkContents) -> "ConfigChunk":
        """Pack contents that are already sorted."""
        packed = pack_chunk(contents)
        return cls(packed, chunk_digest(packed), contents)

    @classmethod
    def unpack(cls, packed: bytes) -> "ConfigChunk":
        """Unpack a chunk from a peer; raises one of ``MALFORMED`` for invalid bytes."""
        return cls(packed, chunk_digest(packed), unpack_chunk(packed))


@dataclass(frozen=True, slots=True)
class ChunkedConfig:
    """One version of the configuration with its chunks."""

    #: The complete configuration.
    config: FleetConfig
    #: The packed version and limits of the configuration.
    head: bytes
    #: The chunks, one for each chunk number.
    chunks: tuple[ConfigChunk, ...]
    #: The digest of the head and of all chunks. Instances with the same digest have the same
    #: configuration.
    digest: int

    @classmethod
    def from_chunks(cls, head: bytes, chunks: Sequence[ConfigChunk]) -> "ChunkedConfig":
        """Build a configuration from chunks; raises one of ``MALFORMED`` for an invalid head."""
        unpacked = unpack_head(head)
        contents = [chunk.contents for chunk in chunks]
        accounts = [account for chunk_contents in contents for account in chunk_contents.accounts]
        config = FleetConfig(
            version=unpacked.version,
            routes=[route for chunk_contents in contents for route in chunk_contents.routes],
            services={
                service.name: service
                for chunk_contents in contents
                for service in chunk_contents.services
            },
            limits=unpacked.limits,
            accounts=accounts if unpacked.has_accounts else None,
        )
        digest = config_digest(head, [chunk.digest for chunk in chunks])
        return cls(config, head, tuple(chunks), digest)


@dataclass(frozen=True, slots=True)
class ConfigManifest:
    """The digests of a configuration's chunks, from which a peer learns which chunks it lacks."""

    #: The packed version and limits of the configuration.
    head: bytes
    #: The digest of the configuration.
    digest: int
    #: The digest of the base configuration; 0 for a configuration whose chunks are all empty.
    base_digest: int
    #: The digests of the chunks that differ from the base, by chunk number.
    changed_chunks: Mapping[int, int]

    @property
    def version(self) -> int:
        """The version of the configuration; raises one of ``MALFORMED`` for an invalid head."""
        return unpack_head(self.head).version


def chunk_digest(packed: bytes) -> int:
    """Return the digest of a packed chunk."""
    return xxhash.xxh3_64_intdigest(packed)


def config_digest(head: bytes, digests: Iterable[int]) -> int:
    """Return the digest of a configuration from its head and the digests of its chunks."""
    return xxhash.xxh3_64_intdigest(head + array("Q", digests).tobytes())


EMPTY_CHUNK = ConfigChunk.from_contents(ChunkContents())
_EMPTY_DIGESTS = array("Q", [EMPTY_CHUNK.digest] * CHUNK_COUNT)


def split_config(
    config: FleetConfig, before: ChunkedConfig | None = None
) -> Generator[None, None, ChunkedConfig]:
    """Split a configuration into chunks, in slices of work that are separated by ``yield``.

    The caller may do other work at each ``yield``. Splitting 4,000 routes in one go blocks the
    event loop of a weak instance for a tenth of a second, and peers then take a hub as failed.
    Chunks that are equal to those of ``before`` are not packed again.
    """
    services: list[list[Service]] = [[] for _ in range(CHUNK_COUNT)]
    routes: list[list[Route]] = [[] for _ in range(CHUNK_COUNT)]
    accounts: list[list[ClientAccount]] = [[] for _ in range(CHUNK_COUNT)]
    for service in config.services.values():
        services[_chunk_number(service.name)].append(service)
    for position, route in enumerate(config.routes):
        routes[_chunk_number(f"{route.host} {route.prefix}")].append(route)
        if position % _ROUTES_PER_SLICE == _ROUTES_PER_SLICE - 1:
            yield
    for position, account in enumerate(config.accounts or ()):
        accounts[_chunk_number(f"account {account.name}")].append(account)
        if position % _ROUTES_PER_SLICE == _ROUTES_PER_SLICE - 1:
            yield
    chunks = []
    for number in range(CHUNK_COUNT):
        if number % _CHUNKS_PER_SLICE == _CHUNKS_PER_SLICE - 1:
            yield
        previous = before.chunks[number] if before is not None else EMPTY_CHUNK
        chunks.append(_make_chunk(services[number], routes[number], accounts[number], previous))
    yield
    head = ConfigHead(config.version, config.limits, config.accounts is not None)
    return ChunkedConfig.from_chunks(pack_head(head), chunks)


def run_to_completion(work: Generator[None, None, T]) -> T:
    """Run a generator to its end without yielding to other work, and return its result."""
    while True:
        try:
            next(work)
        except StopIteration as done:
            result: T = done.value
            return result


@dataclass(slots=True)
class ManifestHistory:
    """The chunk digests of an instance's recent configurations, by the configuration's digest."""

    _digests: OrderedDict[int, "array[int]"] = field(default_factory=OrderedDict)

    def record(self, chunked_config: ChunkedConfig) -> None:
        """Record a configuration. Peers may still have it when it is no longer in force here."""
        digests = array("Q", [chunk.digest for chunk in chunked_config.chunks])
        self._digests[chunked_config.digest] = digests
        while len(self._digests) > _HISTORY_MAX:
            self._digests.popitem(last=False)

    def manifest(self, chunked_config: ChunkedConfig, base: int) -> ConfigManifest:
        """Return the manifest relative to the configuration with the digest ``base``."""
        known = self._digests.get(base)
        base_digests = _EMPTY_DIGESTS if known is None else known
        changed = {
            number: chunk.digest
            for number, chunk in enumerate(chunked_config.chunks)
            if chunk.digest != base_digests[number]
        }
        base_digest = 0 if known is None else base
        return ConfigManifest(chunked_config.head, chunked_config.digest, base_digest, changed)


@dataclass(slots=True)
class ChunkCollection:
    """Received chunks of newer configurations, until one configuration is complete.

    Versions may follow each other faster than a weak link can transfer one. Received chunks are
    kept by their digest, whichever version and peer they came from, so that each attempt continues
    where the previous one ended.
    """

    _received: dict[int, ConfigChunk] = field(default_factory=dict)

    def add(self, chunk: ConfigChunk) -> None:
        """Add a received chunk."""
        self._received[chunk.digest] = chunk

    def missing(self, manifest: ConfigManifest, own: ChunkedConfig | None) -> Mapping[int, int]:
        """Return the digests of the chunks that a configuration still lacks, by chunk number."""
        digests = _digests_of(manifest, own)
        return {
            number: digest
            for number, digest in manifest.changed_chunks.items()
            if self._find_chunk(number, digests[number], own) is None
        }

    def assemble(self, manifest: ConfigManifest, own: ChunkedConfig | None) -> ChunkedConfig | None:
        """Return the complete, verified configuration; None when a chunk is missing or wrong."""
        chunks = []
        for number, digest in enumerate(_digests_of(manifest, own)):
            chunk = self._find_chunk(number, digest, own)
            if chunk is None:
                return None
            chunks.append(chunk)
        assembled = ChunkedConfig.from_chunks(manifest.head, chunks)
        return assembled if assembled.digest == manifest.digest else None

    def discard_unreferenced(self, manifest: ConfigManifest) -> None:
        """Discard the chunks that a manifest does not name: their versions were superseded."""
        referenced = set(manifest.changed_chunks.values())
        for digest in [digest for digest in self._received if digest not in referenced]:
            del self._received[digest]

    def clear(self) -> None:
        """Discard all chunks: a configuration was assembled."""
        self._received.clear()

    def _find_chunk(
        self, number: int, digest: int, own: ChunkedConfig | None
    ) -> ConfigChunk | None:
        if digest == EMPTY_CHUNK.digest:
            return EMPTY_CHUNK
        if own is not None and own.chunks[number].digest == digest:
            return own.chunks[number]
        return self._received.get(digest)


def _digests_of(manifest: ConfigManifest, own: ChunkedConfig | None) -> Sequence[int]:
    """Return the digests of all chunks of a manifest's configuration, by chunk number."""
    base_digests: Sequence[int] = _EMPTY_DIGESTS
    if manifest.base_digest and own is not None and own.digest == manifest.base_digest:
        base_digests = [chunk.digest for chunk in own.chunks]
    digests = list(base_digests)
    for number, digest in manifest.changed_chunks.items():
        digests[number] = digest
    return digests


def _make_chunk(
    services: list[Service],
    routes: list[Route],
    accounts: list[ClientAccount],
    previous: ConfigChunk,
) -> ConfigChunk:
    contents = ChunkContents(
        tuple(sorted(services, key=lambda item: item.name)),
        tuple(sorted(routes, key=lambda route: (route.host, route.prefix))),
        tuple(sorted(accounts, key=lambda item: item.name)),
    )
    return previous if contents == previous.contents else ConfigChunk.from_contents(contents)


def _chunk_number(key: str) -> int:
    return xxhash.xxh32_intdigest(key.encode(errors="surrogatepass")) % CHUNK_COUNT
