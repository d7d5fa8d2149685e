"""The rights that one instance holds for one service."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from egretrail.floor._messages import Ejection, Right
from egretrail.floor._timing import RightsTiming
from egretrail.identity import InstanceName, UpstreamName


@dataclass(slots=True)
class _HeldRight:
    #: The right.
    right: Right
    #: The upstream that the right keeps out of service, None while the right is free.
    upstream: UpstreamName | None = None
    #: The upstream that was last reported to a requester as ejected.
    last_reported: UpstreamName | None = None
    #: Until when a requester may honour that report.
    honoured_until_s: float = float("-inf")
    #: Whether a registration of the right is in progress whose outcome is unknown.
    is_locked: bool = False


class RightsHolder:
    """One instance's ejection rights of one service.

    Does no I/O and reads no clock: methods that depend on the time receive it as a parameter.

    An ejection removes capacity from the service at all instances at once. Whatever fails, the
    ejections that are in use or still honoured by any instance are never more than the rights
    issued, so that at least the floor's number of upstreams stays in service.
    """

    def __init__(self, timing: RightsTiming, started_s: float) -> None:
        self._timing = timing
        self._started_s = started_s
        self._held: dict[int, _HeldRight] = {}
        self._refused_epochs: dict[int, int] = {}
        self._latest_epoch: dict[int, int] = {}

    def eject(self, upstream: UpstreamName, allowance: int, now_s: float) -> bool:
        """Assign a right to an upstream; return False when no usable right is held.

        Rights whose number is not below ``allowance`` are unusable.
        """
        if self.is_ejected(upstream, allowance):
            return True
        for number in sorted(self._held):
            held = self._held[number]
            if number < allowance and self._may_use(held, upstream, now_s):
                held.upstream = upstream
                return True
        return False

    def is_ejected(self, upstream: UpstreamName, allowance: int) -> bool:
        """Return whether a right of this instance keeps the upstream out of service now."""
        return any(
            held.upstream == upstream and number < allowance for number, held in self._held.items()
        )

    def release(self, upstream: UpstreamName) -> bool:
        """Return the upstream to service; return whether a right was in use for it."""
        covering = [held for held in self._held.values() if held.upstream == upstream]
        for held in covering:
            held.upstream = None
        return bool(covering)

    def release_all(self) -> None:
        """Return every upstream to service."""
        for held in self._held.values():
            held.upstream = None

    def report_ejections(self, now_s: float) -> Sequence[Ejection]:
        """Return the ejections to report to a requester, which may honour them from now on."""
        ejections = []
        for number, held in sorted(self._held.items()):
            if held.upstream is not None:
                held.last_reported = held.upstream
                held.honoured_until_s = now_s + self._timing.wait_s
                ejections.append(Ejection(number, held.upstream))
        return ejections

    def transferable(self, now_s: float) -> Sequence[int]:
        """Return the numbers of the rights that could be transferred now."""
        return [number for number, held in self._held.items() if self._may_transfer(held, now_s)]

    def transfer(self, to: InstanceName, allowance: int, now_s: float) -> Right | None:
        """Give up a free right in favour of one of its heirs; return None when there is none.

        The right is given up even if its new holder never receives it.
        """
        for number in sorted(self.transferable(now_s)):
            right = self._held[number].right
            if number < allowance and to in right.heirs:
                del self._held[number]
                return right
        return None

    def accept(self, right: Right, now_s: float) -> bool:
        """Take over a right that a peer transferred on request; return whether it is held now."""
        if now_s - self._started_s < self._timing.warm_up_s:
            return False
        if self._must_refuse(right):
            return False
        self._hold(right, float("-inf"))
        return True

    def is_warmed_up(self, now_s: float) -> bool:
        """Return whether this process has run for the warm-up time and may take over rights."""
        return now_s - self._started_s >= self._timing.warm_up_s

    def refuse_unless_held(self, number: int, epoch: int) -> bool:
        """Return whether the right is held; if not, refuse its registrations up to ``epoch``.

        Called for an instance that wants to reissue the right.
        """
        if number in self._held:
            return True
        self._refused_epochs[number] = max(epoch, self._refused_epochs.get(number, 0))
        return False

    def issue(self, right: Right, now_s: float, *, reissued: bool) -> None:
        """Hold a right that the store has registered for this process.

        A reissued right is unusable for a waiting time, in which other instances may still honour
        the last holder's report. A registration is void when this process has already promised
        another instance to refuse it.
        """
        if right.epoch <= self._refused_epochs.get(right.number, 0):
            return
        self._hold(right, now_s + self._timing.wait_s if reissued else float("-inf"))

    def renew(self, right: Right) -> None:
        """Replace a held right's registration by this process's later one."""
        held = self._held.get(right.number)
        if held is not None:
            held.right = right
            self._latest_epoch[right.number] = right.epoch

    def drop(self, number: int) -> None:
        """Give up a right that another process has registered in the store."""
        self._held.pop(number, None)

    def lock_transfers(self, numbers: Iterable[int]) -> None:
        """Prevent transfers of rights while a registration of them may still take effect.

        Otherwise a right could be transferred to an heir of the earlier registration. An instance
        that reissues the right asks only the heirs of the later one, and would miss that holder.
        """
        for number in numbers:
            if number in self._held:
                self._held[number].is_locked = True

    def unlock_transfers(self) -> None:
        """Permit transfers again: the outcome of every registration is known."""
        for held in self._held.values():
            held.is_locked = False

    def rights(self) -> Sequence[Right]:
        """Return all rights held, in use or free."""
        return [held.right for _, held in sorted(self._held.items())]

    def ejections(self) -> Mapping[int, UpstreamName]:
        """Return the upstreams that this instance's rights keep out of service, by right number."""
        return {
            number: held.upstream
            for number, held in sorted(self._held.items())
            if held.upstream is not None
        }

    def has_ever_held(self, number: int, epoch: int) -> bool:
        """Return whether this process ever held the right with this or a later registration."""
        return self._latest_epoch.get(number, 0) >= epoch

    def _hold(self, right: Right, honoured_until_s: float) -> None:
        self._held[right.number] = _HeldRight(right, honoured_until_s=honoured_until_s)
        self._latest_epoch[right.number] = right.epoch

    def _must_refuse(self, right: Right) -> bool:
        return (
            right.epoch <= self._refused_epochs.get(right.number, 0) or right.number in self._held
        )

    def _may_use(self, held: _HeldRight, upstream: UpstreamName, now_s: float) -> bool:
        """Return whether a right may be used for an upstream.

        A free right may be used for another upstream only when no instance honours its last one.
        """
        if held.upstream is not None:
            return False
        return held.last_reported == upstream or now_s > held.honoured_until_s

    def _may_transfer(self, held: _HeldRight, now_s: float) -> bool:
        return held.upstream is None and not held.is_locked and now_s > held.honoured_until_s
