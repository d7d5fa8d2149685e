"""An in-memory instance list with a configurable lag."""

import asyncio
from collections.abc import Sequence

from result import Err, Ok, Result

from egretrail.identity import AvailabilityZone
from egretrail.store import Endpoint, InstanceList, ListedInstance, StoreUnavailable


class FakeInstanceList(InstanceList):
    """An instance list that returns the rows as they were ``lag_s`` ago."""

    def __init__(self, rows: Sequence[ListedInstance] = (), lag_s: float = 0.0) -> None:
        #: Age of the returned rows, in seconds.
        self.lag_s = lag_s
        #: While set, every read fails.
        self.out = False
        #: Number of reads so far.
        self.reads = 0
        self._history: list[tuple[float, Sequence[ListedInstance]]] = [(float("-inf"), rows)]

    @property
    def rows(self) -> Sequence[ListedInstance]:
        """Return the current rows, without the lag."""
        return self._history[-1][1]

    def set(self, rows: Sequence[ListedInstance]) -> None:
        """Replace the rows; readers see the change after the lag."""
        self._history.append((asyncio.get_running_loop().time(), list(rows)))

    def remove(self, name: str) -> None:
        """Remove one instance from the list."""
        self.set([row for row in self.rows if row.name != name])

    async def read(self) -> Result[Sequence[ListedInstance], StoreUnavailable]:
        """Return the rows as they were ``lag_s`` ago."""
        self.reads += 1
        if self.out:
            return Err(StoreUnavailable("instance list", "outage"))
        as_of_s = asyncio.get_running_loop().time() - self.lag_s
        return Ok([rows for since_s, rows in self._history if since_s <= as_of_s][-1])


def listed(name: str, service: str, zone: str, port: int = 1) -> ListedInstance:
    """Return a row with a loopback address and the given port."""
    endpoint = Endpoint("127.0.0.1", port)
    return ListedInstance(name, service, AvailabilityZone(zone), endpoint, peer_endpoint=endpoint)
