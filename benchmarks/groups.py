"""Measures how many groups change when one member leaves, and the time to choose a group.

Run as ``python -m benchmarks.groups``.
"""

import time
from collections.abc import Sequence

from egretrail.fleet import GroupIndex, Member
from egretrail.identity import AvailabilityZone, Incarnation, InstanceName


def _members(count: int, zones: int) -> list[Member]:
    return [
        Member(
            Incarnation(InstanceName(f"entry-{index}"), 1),
            AvailabilityZone(f"zone-{index % zones}"),
            "10.0.0.1",
            1,
            "10.0.0.1",
            2,
        )
        for index in range(count)
    ]


def _count_changed(
    index: GroupIndex, keys: Sequence[str], size: int, remaining: Sequence[Member]
) -> int:
    before = {key: list(index.choose(key, size)) for key in keys}
    index.update(remaining)
    return sum(before[key] != list(index.choose(key, size)) for key in keys)


def main() -> None:
    """Print one line for each size of the fleet."""
    for count, zones, services, size in ((44, 3, 3, 5), (44, 3, 200, 5), (3500, 11, 3500, 8)):
        members = _members(count, zones)
        keys = [f"service-{service}" for service in range(services)]
        index = GroupIndex()
        index.update(members)
        started_s = time.perf_counter()
        chosen = [index.choose(key, size) for key in keys]
        first_s = (time.perf_counter() - started_s) / services
        load = [sum(member.name in group for group in chosen) for member in members]
        changes = []
        update_s = 0.0
        trials = 20
        for trial in range(trials):
            departed = members[trial * len(members) // trials]
            remaining = [member for member in members if member is not departed]
            started_s = time.perf_counter()
            changes.append(_count_changed(index, keys, size, remaining))
            update_s += time.perf_counter() - started_s
            index.update(members)
        mean = sum(changes) / trials
        print(
            f"{count} members, {services} services, groups of {size}: "
            f"a departure changes {mean:.2f} groups on average ({mean / services:.2%}), "
            f"at most {max(changes)}; groups a member {min(load)} to {max(load)}; "
            f"first choice {first_s * 1e6:.0f} us, all services after one departure "
            f"{update_s / trials * 1e3:.2f} ms"
        )


if __name__ == "__main__":
    main()
