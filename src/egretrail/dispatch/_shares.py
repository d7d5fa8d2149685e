"""Which upstreams an instance prefers, so that those of a zone seldom meet at a slot."""

from collections.abc import Callable

from egretrail.traffic import UpstreamRecord


class SlotShares:
    """Gives each upstream's slots to so many instances of the own zone, which then prefer it.

    Load: 33 instances before 30 upstreams of three slots hear of each other's requests a tenth of a
    second late, and in that time more requests come than slots are free. All choose the same ones,
    and wait while others are idle. What an instance has under way itself it knows at once: with
    its own share of the slots preferred, instances meet less often. A share binds nobody: a request
    goes where the charge is least. In a zone of no more instances than an upstream has slots, each
    has a share of all.
    """

    def __init__(self, rank: Callable[[str], int]) -> None:
        #: This instance's place among the zone's for a task.
        self._rank = rank
        self._owned: dict[str, bool] = {}

    def changed(self) -> None:
        """Share anew: instances or upstreams came or went."""
        self._owned.clear()

    def owns(self, record: UpstreamRecord) -> bool:
        """Return whether one of an upstream's slots is this instance's share."""
        owned = self._owned.get(record.id)
        if owned is None:
            owned = self._rank(f"slots {record.id}") < record.slots
            self._owned[record.id] = owned
        return owned
