"""Synchronisation of an instance's rights with their registrations in the store."""

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass

from egretrail.floor._holder import RightsHolder
from egretrail.floor._record import FloorRecord, RecordedRight
from egretrail.identity import Incarnation, InstanceName

#: Returns whether a process is known to have ended; being unreachable does not prove that.
IsProcessGone = Callable[[Incarnation], bool]
#: Returns whether an instance is known to have had no running process a short time ago.
IsInstanceGone = Callable[[InstanceName], bool]


@dataclass(frozen=True, slots=True)
class Proposal:
    """A record to be written by compare-and-swap, and the rights that the write registers."""

    #: The record to write.
    record: FloorRecord
    #: Numbers of rights that the writer already holds and registers again.
    renewed: Sequence[int]
    #: Numbers of rights that were never registered before.
    fresh: Sequence[int]
    #: Numbers of rights that no instance holds any more.
    reissued: Sequence[int]


def reconcile(record: FloorRecord, holder: RightsHolder, own: Incarnation, now_s: float) -> None:
    """Update the holder according to a record that was just read.

    This also finds this process's registrations whose reply was lost: a registration of this
    process with an epoch that it never held can only be its own write. A right that it did hold may
    have been transferred since.
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
        if recorded.owner == own and not holder.has_ever_held(right.number, right.epoch):
            holder.issue(right, now_s, reissued=True)


def required_promises(
    recorded: RecordedRight, own: Incarnation, is_gone: IsProcessGone, is_name_gone: IsInstanceGone
) -> Sequence[InstanceName]:
    """Return the instances that must promise to refuse a right before the right is reissued.

    Each must also deny that it holds the right. They are the process that registered the right and
    the heirs, except processes that are known to have ended: an unreachable instance blocks the
    reissue. The owner is first: it usually holds the right, and then no other instance is bound by
    a needless promise.
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
    """Return the record to write; None when nothing has to be registered.

    ``promised`` holds the registrations for which all required instances have, within one window,
    denied that they hold the right and promised to refuse it.
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
        changed = changed.with_registration(number, own, heirs)
    return Proposal(changed, renewed, fresh, reissued) if changed is not record else None


def apply_proposal(proposal: Proposal, holder: RightsHolder, now_s: float) -> None:
    """Hold the rights that a successful write of the proposal has registered."""
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
