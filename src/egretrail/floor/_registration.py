"""How an instance brings what it holds and what the store has registered together."""

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass

from egretrail.floor._holder import RightsHolder
from egretrail.floor._record import FloorRecord, RecordedRight
from egretrail.identity import Incarnation, InstanceName

#: Tells whether a process is proved to have ended; being unreachable is no proof.
GoneProof = Callable[[Incarnation], bool]
#: Tells whether it is proved that no process of an instance was running a while ago.
NameProof = Callable[[InstanceName], bool]


@dataclass(frozen=True, slots=True)
class Proposal:
    """A record to be written by compare-and-swap, and what it means for the writer."""

    #: The record to write.
    record: FloorRecord
    #: Rights that the writer holds already and registers anew.
    renewed: Sequence[int]
    #: Rights that were never registered before.
    fresh: Sequence[int]
    #: Rights that nobody holds any more.
    reissued: Sequence[int]


def reconcile(record: FloorRecord, holder: RightsHolder, own: Incarnation, now_s: float) -> None:
    """Bring what is held in line with a record just read.

    An own registration whose reply was lost is found here: one of this process, of an epoch that
    it never held, can only be its own write. One that it did hold it may have passed on since.
    """
    for right in holder.rights():
        recorded = record.find(right.number)
        if recorded is None or recorded.right.epoch <= right.epoch:
            continue
        if recorded.owner == own:
            holder.renew(recorded.right)
        else:
            holder.drop(right.number)
    for recorded in record.rights:
        right = recorded.right
        if recorded.owner == own and not holder.had(right.number, right.epoch):
            holder.issue(right, now_s, reissued=True)


def must_promise(
    recorded: RecordedRight, own: Incarnation, is_gone: GoneProof, is_name_gone: NameProof
) -> Sequence[InstanceName]:
    """Return who must deny to hold a right and promise to refuse it before it is reissued.

    Those are the process that registered it and the heirs, but for processes that are proved to
    have ended: an instance that merely cannot be reached blocks the reissue. The owner comes
    first: usually it holds the right, and then nobody else is bound by a promise for nothing.
    """
    owner = recorded.owner
    first = [] if is_gone(owner) else [owner.instance]
    heirs = [name for name in recorded.right.heirs if not is_name_gone(name)]
    return [name for name in dict.fromkeys([*first, *heirs]) if name != own.instance]


def propose(
    record: FloorRecord,
    holder: RightsHolder,
    own: Incarnation,
    heirs: Sequence[InstanceName],
    wanted: Collection[int],
    promised: Collection[RecordedRight],
) -> Proposal | None:
    """Return what to write; None when the record is as it should be.

    ``promised`` holds the registrations for which all that must have, within one window, denied
    to hold the right and promised to refuse it.
    """
    renewed = [
        right.number
        for right in holder.rights()
        if _needs_renewal(record.find(right.number), right.epoch, own, heirs)
    ]
    fresh = [number for number in sorted(wanted) if record.find(number) is None]
    reissued = [recorded.right.number for recorded in promised]
    changed = record
    for number in [*renewed, *fresh, *reissued]:
        changed = changed.registered(number, own, heirs)
    return Proposal(changed, renewed, fresh, reissued) if changed is not record else None


def apply(proposal: Proposal, holder: RightsHolder, now_s: float) -> None:
    """Hold what a successful write has registered."""
    for recorded in proposal.record.rights:
        right = recorded.right
        if right.number in proposal.renewed:
            holder.renew(right)
        elif right.number in proposal.fresh:
            holder.issue(right, now_s, reissued=False)
        elif right.number in proposal.reissued:
            holder.issue(right, now_s, reissued=True)


def _needs_renewal(
    recorded: RecordedRight | None, epoch: int, own: Incarnation, heirs: Sequence[InstanceName]
) -> bool:
    if recorded is None or recorded.right.epoch != epoch:
        return False
    return recorded.owner != own or set(recorded.right.heirs) != set(heirs)
