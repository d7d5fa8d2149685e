"""The configuration in force on one instance, and the newer versions that peers report."""

from collections.abc import Callable
from dataclasses import dataclass

from egretrail.cluster import ChunkedConfig, ManifestHistory
from egretrail.traffic import AccountTable, FleetConfig, ObjectiveTable, RouteTable

#: Hubs report their version several times a second. After this silence, an instance is cut off and
#: its configuration may be out of date.
_REPORT_TIMEOUT_S = 2.0
#: A newer version that no peer has reported for this long is no longer expected: its only holder is
#: gone, or the report was corrupt.
_NEWEST_REPORT_S = 10.0


@dataclass(frozen=True, slots=True)
class ConfigInForce:
    """A configuration with its tables, which take effect together."""

    #: The configuration in chunks, as instances exchange it; None before one is known.
    chunked: ChunkedConfig | None = None
    #: The routes of the configuration.
    routes: RouteTable | None = None
    #: The latency objectives that rank its requests.
    urgency: ObjectiveTable | None = None
    #: The client accounts of the configuration; None if requests need no API key.
    accounts: AccountTable | None = None

    @property
    def version(self) -> int:
        """The version; 0 before a configuration is known."""
        return self.chunked.config.version if self.chunked is not None else 0


class ConfigState:
    """Holds the newest complete configuration; its version only increases."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._in_force = ConfigInForce()
        #: The chunk digests of recent configurations, for peers that still have those.
        self.manifests = ManifestHistory()
        #: Whether the last read of the configuration from the store succeeded.
        self.reaches_store = False
        #: Whether this instance fails to follow the store's configuration.
        self._is_failing = False
        #: The newest version that a peer reported, and when it was last reported.
        self._newest_version = 0
        self._newest_s = float("-inf")
        #: Since when a newer version is known that has not arrived; None if there is none.
        self._behind_since_s: float | None = None
        #: When a peer last reported its version.
        self._reported_s = float("-inf")

    @property
    def in_force(self) -> ConfigInForce:
        """The configuration with its tables."""
        return self._in_force

    @property
    def chunked(self) -> ChunkedConfig | None:
        """The configuration in chunks, as instances exchange it; None before one is known."""
        return self._in_force.chunked

    @property
    def routes(self) -> RouteTable | None:
        """The routes of the configuration."""
        return self._in_force.routes

    @property
    def urgency(self) -> ObjectiveTable | None:
        """The latency objectives that rank its requests."""
        return self._in_force.urgency

    @property
    def accounts(self) -> AccountTable | None:
        """The client accounts of the configuration; None if requests need no API key."""
        return self._in_force.accounts

    @property
    def config(self) -> FleetConfig | None:
        """The configuration in force; None before one is known."""
        return self.chunked.config if self.chunked is not None else None

    @property
    def version(self) -> int:
        """The version in force; 0 before one is known."""
        return self._in_force.version

    @property
    def behind_s(self) -> float:
        """How long a newer version than the one in force has been known; 0 if none is known."""
        self._expire_newest()
        return 0.0 if self._behind_since_s is None else self._clock() - self._behind_since_s

    def is_current(self, others_read: bool, *, fleet_reachable: bool) -> bool:
        """Return whether no newer version is known, and one would have been learned of.

        A configuration of thousands of routes takes a moment to reach all instances. An instance
        that denies a newly added route in that time tells its client that the route does not exist.
        ``others_read`` is True if another instance is in contact with the store.
        ``fleet_reachable`` is False if the peers whose reports arrive may be as cut off as this
        instance. If it fails to apply what it reads, the others may fail alike, so that their
        reports count only if another instance is known to follow the store.
        """
        self._expire_newest()
        if self._newest_version > self.version:
            return False
        others_know = others_read or (fleet_reachable and not self._is_failing)
        return self.reaches_store or (
            others_know and self._clock() - self._reported_s < _REPORT_TIMEOUT_S
        )

    def record_failing(self, is_failing: bool) -> None:
        """Record whether this instance fails to follow the store's configuration."""
        self._is_failing = is_failing
        if is_failing:
            self.reaches_store = False

    def record_peer_version(self, version: int) -> None:
        """Record a peer's version; 0 means that it has none."""
        if version == 0:
            return
        self._reported_s = self._clock()
        if version >= self._newest_version:
            self._newest_version, self._newest_s = version, self._reported_s
        if self._behind_since_s is None and version > self.version:
            self._behind_since_s = self._reported_s

    def apply(self, chunked: ChunkedConfig) -> bool:
        """Put a configuration in force; return False if the one in force is as new or newer."""
        if chunked.config.version <= self.version:
            return False
        accounts = chunked.config.accounts
        self._in_force = ConfigInForce(
            chunked,
            RouteTable(chunked.config),
            ObjectiveTable(chunked.config),
            None if accounts is None else AccountTable(accounts),
        )
        self.manifests.record(chunked)
        if chunked.config.version >= self._newest_version:
            self._newest_version, self._newest_s = chunked.config.version, self._clock()
            self._behind_since_s = None
        return True

    def restore(self, before: ConfigInForce) -> None:
        """Put back what was in force before an ``apply`` that others could not follow.

        The version counts as one that has not arrived, so that it is applied again.
        """
        self._in_force = before
        if self._behind_since_s is None:
            self._behind_since_s = self._clock()

    def _expire_newest(self) -> None:
        is_stale = self._clock() - self._newest_s > _NEWEST_REPORT_S
        if self._newest_version > self.version and is_stale:
            self._newest_version = self.version
            self._behind_since_s = None
