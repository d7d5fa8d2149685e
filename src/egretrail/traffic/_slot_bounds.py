"""How many of the slots that an upstream states count."""

from collections.abc import Sequence

#: An upstream counts for at most this multiple of the median of its service's upstreams. Those of
#: one service are built alike; a larger number is a slip of the pen more often than a machine.
SLOTS_MULTIPLE = 4
#: The bound where the connections of a service's upstreams are not known to be limited lower: ports
#: have 16 bits.
SLOTS_MAX = 65_535


def slot_bound(stated: Sequence[int], max_connections: int = SLOTS_MAX) -> int:
    """Return how many slots an upstream of a service counts for at most.

    ``stated`` are the slots of all listed upstreams of the service. An upstream runs one request on
    a connection, so more slots than connections can never be taken. The lower median is used: of
    two upstreams that differ, the smaller one bounds the other.
    """
    limit = max(min(max_connections, SLOTS_MAX), 1)
    if not stated:
        return limit
    median = sorted(stated)[(len(stated) - 1) // 2]
    return min(max(median, 1) * SLOTS_MULTIPLE, limit)
