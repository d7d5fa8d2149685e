"""Selects the instance addresses that the directory returns to a client."""

from collections.abc import Sequence
from dataclasses import dataclass

from egretrail.cluster import InstanceState

#: How long clients may cache a directory response; some keep it three times as long. All clients
#: thus drop a stopping instance within 4.5 s, before the default stop grace period of 6 s ends.
DIRECTORY_TTL_S = 1.5
#: With fewer serving instances in a zone, its clients get the instances of all zones.
_ZONE_INSTANCES_MIN = 3
#: The largest number of addresses in a response; clients use no more.
_ADDRESSES_MAX = 64


@dataclass(frozen=True, slots=True)
class Candidate:
    """An instance that may be returned to clients."""

    #: Where the instance accepts clients' requests, ``IP:PORT``.
    traffic_address: str
    #: Its availability zone.
    availability_zone: str
    #: Its state; only READY instances are returned.
    state: InstanceState
    #: Whether it reaches no upstream, and serves its clients through other instances.
    is_isolated: bool = False


def directory_addresses(candidates: Sequence[Candidate], client_zone: str) -> Sequence[str]:
    """Return the addresses for a client of a zone: those of its own zone if enough serve there.

    Within a zone the network latency is a tenth of that between zones, and no cross-zone traffic
    arises. Isolated instances are left out while most instances are not isolated: their requests
    take a further hop. If most are, the others could not accept the connections of all clients.
    """
    ready = [candidate for candidate in candidates if candidate.state is InstanceState.READY]
    connected = [candidate for candidate in ready if not candidate.is_isolated]
    serving = connected if len(connected) * 2 > len(ready) else ready
    in_zone = [candidate for candidate in serving if candidate.availability_zone == client_zone]
    chosen = in_zone if len(in_zone) >= _ZONE_INSTANCES_MIN else serving
    return sorted(candidate.traffic_address for candidate in chosen)[:_ADDRESSES_MAX]
