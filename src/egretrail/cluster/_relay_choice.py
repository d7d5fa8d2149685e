"""Chooses the instance through which an isolated instance sends its requests."""

import random
from collections.abc import Collection, Mapping, Sequence

from egretrail.cluster._instance import Instance, InstanceState


def choose_relay(
    instances: Collection[Instance],
    isolated: Collection[str],
    own_zone: str,
    in_flight: Mapping[str, int],
    rng: random.Random,
) -> Instance | None:
    """Return an instance that reaches upstreams, or None if there is none.

    ``isolated`` has the addresses of isolated instances, ``in_flight`` the requests that this
    instance has in flight at others. The less loaded of two random instances is chosen, so that
    isolated instances that decide at the same time spread their requests. An instance of the own
    zone is preferred, unless more instances of the zone are isolated than not: the few others would
    get most of the zone's requests.
    """
    serving = [
        instance
        for instance in instances
        if instance.state is InstanceState.READY and instance.address not in isolated
    ]
    in_zone = [instance for instance in serving if instance.availability_zone == own_zone]
    # This instance is isolated as well.
    isolated_in_zone = 1 + sum(
        instance.availability_zone == own_zone and instance.address in isolated
        for instance in instances
    )
    candidates: Sequence[Instance] = in_zone if len(in_zone) >= isolated_in_zone else serving
    if not candidates:
        return None
    sample = rng.sample(candidates, min(2, len(candidates)))
    return min(sample, key=lambda one: (in_flight.get(one.address, 0) + 1) / (one.capacity or 1.0))
