"""The configuration in force on one instance, and what it knows of newer ones."""

from collections.abc import Callable

from egretrail.cluster import KnownOutlines, PartedConfig
from egretrail.traffic import AccountTable, FleetConfig, RouteTable, UrgencyTable

#: Hubs name their version several times a second. After this silence an instance is cut off, and
#: what it knows may be old.
_WORD_S = 2.0
#: A version that nobody has named for this long is not waited for: its only holder is gone, or it
#: was a garbled word.
_NEWEST_KEPT_S = 10.0


class ConfigState:
    """Holds the newest configuration that arrived whole; versions only rise."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        #: The configuration in its parts, as instances tell each other; None before one is known.
        self.parted: PartedConfig | None = None
        #: Its routes.
        self.routes: RouteTable | None = None
        #: Which of its requests are more urgent.
        self.urgency: UrgencyTable | None = None
        #: Its client accounts; None where requests need no API key.
        self.accounts: AccountTable | None = None
        #: What the last configurations consisted of, for instances that still have them.
        self.outlines = KnownOutlines()
        #: Whether the last reading of the configuration from the store succeeded.
        self.reaches_store = False
        #: The newest version that was named, and when last.
        self._newest_version = 0
        self._newest_s = float("-inf")
        #: Since when a version is known of that has not arrived.
        self._behind_since_s: float | None = None
        #: When a peer last said which version it has.
        self._heard_s = float("-inf")

    @property
    def config(self) -> FleetConfig | None:
        """The configuration in force; None before one is known."""
        return self.parted.config if self.parted is not None else None

    @property
    def version(self) -> int:
        """The version in force; 0 before one is known."""
        return self.parted.config.version if self.parted is not None else 0

    @property
    def behind_s(self) -> float:
        """For how long a newer version than the one in force has been known of; 0 for none."""
        self._forget_newest()
        return 0.0 if self._behind_since_s is None else self._clock() - self._behind_since_s

    def is_current(self, *, hears_fleet: bool) -> bool:
        """Return whether no newer version is known of, and one would be heard of.

        Load: a configuration of thousands of routes takes a moment on its way. Who denies a route
        meanwhile that the operators have just added tells its caller that it will never be there.
        ``hears_fleet`` is False where peers that are heard may be as cut off as this one.
        """
        self._forget_newest()
        if self._newest_version > self.version:
            return False
        return self.reaches_store or (hears_fleet and self._clock() - self._heard_s < _WORD_S)

    def heard_of(self, version: int) -> None:
        """Take which version a peer has; 0 says nothing."""
        if version == 0:
            return
        self._heard_s = self._clock()
        if version >= self._newest_version:
            self._newest_version, self._newest_s = version, self._heard_s
        if self._behind_since_s is None and version > self.version:
            self._behind_since_s = self._heard_s

    def take(self, parted: PartedConfig) -> bool:
        """Put a configuration in force, unless the one in force is as new."""
        if parted.config.version <= self.version:
            return False
        self.parted = parted
        self.routes = RouteTable(parted.config)
        self.urgency = UrgencyTable(parted.config)
        accounts = parted.config.accounts
        self.accounts = None if accounts is None else AccountTable(accounts)
        self.outlines.remember(parted)
        if parted.config.version >= self._newest_version:
            self._newest_version, self._newest_s = parted.config.version, self._clock()
            self._behind_since_s = None
        return True

    def _forget_newest(self) -> None:
        late = self._clock() - self._newest_s > _NEWEST_KEPT_S
        if self._newest_version > self.version and late:
            self._newest_version = self.version
            self._behind_since_s = None
