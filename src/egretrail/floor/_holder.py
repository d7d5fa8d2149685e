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
    #: The upstream that it keeps out now, None while it is free.
    upstream: UpstreamName | None = None
    #: The upstream that was last shown to an asker as kept out.
    last_reported: UpstreamName | None = None
    #: Until when some asker may still honour that.
    honoured_until_s: float = float("-inf")
    #: Whether a registration of it is under way whose outcome is not known.
    locked: bool = False


class RightsHolder:
    """Uses, passes on and takes rights; pure, every method takes the time it needs.

    Load: an ejection takes capacity from the service everywhere at once. Whatever fails, the
    rights in use and those that anybody still honours are never more than were issued, so that
    the upstreams that stay are at least as many as the floor.
    """

    def __init__(self, timing: RightsTiming, started_s: float) -> None:
        self._timing = timing
        self._started_s = started_s
        self._held: dict[int, _HeldRight] = {}
        self._refused_epochs: dict[int, int] = {}
        self._latest_epoch: dict[int, int] = {}

    def eject(self, upstream: UpstreamName, allowance: int, now_s: float) -> bool:
        """Cover an upstream by a right, if one is to hand; ``allowance`` counts at this moment."""
        if self.is_ejected(upstream, allowance):
            return True
        for number in sorted(self._held):
            held = self._held[number]
            if number < allowance and self._may_use(held, upstream, now_s):
                held.upstream = upstream
                return True
        return False

    def is_ejected(self, upstream: UpstreamName, allowance: int) -> bool:
        """Return whether a right of this instance keeps the upstream out now."""
        return any(
            held.upstream == upstream and number < allowance for number, held in self._held.items()
        )

    def release(self, upstream: UpstreamName) -> bool:
        """Let the upstream back into service; return whether a right was in use for it."""
        covering = [held for held in self._held.values() if held.upstream == upstream]
        for held in covering:
            held.upstream = None
        return bool(covering)

    def release_all(self) -> None:
        """Let every upstream back into service."""
        for held in self._held.values():
            held.upstream = None

    def answer(self, now_s: float) -> Sequence[Ejection]:
        """Return the ejections to show to an asker, who may honour them from now on."""
        ejections = []
        for number, held in sorted(self._held.items()):
            if held.upstream is not None:
                held.last_reported = held.upstream
                held.honoured_until_s = now_s + self._timing.wait_s
                ejections.append(Ejection(number, held.upstream))
        return ejections

    def free(self, now_s: float) -> Sequence[int]:
        """Return the numbers of the rights that could be passed on now."""
        return [number for number, held in self._held.items() if self._may_transfer(held, now_s)]

    def give(self, to: InstanceName, allowance: int, now_s: float) -> Right | None:
        """Give up a free right for good, to one of its heirs; None when there is none to spare."""
        for number in sorted(self.free(now_s)):
            right = self._held[number].right
            if number < allowance and to in right.heirs:
                del self._held[number]
                return right
        return None

    def accept(self, right: Right, now_s: float) -> bool:
        """Take over a right from a peer that was asked for it; return whether it is held now."""
        if now_s - self._started_s < self._timing.warm_up_s:
            return False
        if self._must_refuse(right):
            return False
        self._hold(right, float("-inf"))
        return True

    def may_accept(self, now_s: float) -> bool:
        """Return whether this process has run long enough to take over rights."""
        return now_s - self._started_s >= self._timing.warm_up_s

    def promise(self, number: int, epoch: int) -> bool:
        """Answer a reissuer: return whether the right is held; if not, refuse it from now on."""
        if number in self._held:
            return True
        self._refused_epochs[number] = max(epoch, self._refused_epochs.get(number, 0))
        return False

    def issue(self, right: Right, now_s: float, *, reissued: bool) -> None:
        """Hold a right that the store has registered for this process.

        A reissued right waits: somebody may still honour what its last holder answered. A
        registration that was learnt of only after it was denied to a reissuer is void.
        """
        if right.epoch <= self._refused_epochs.get(right.number, 0):
            return
        self._hold(right, now_s + self._timing.wait_s if reissued else float("-inf"))

    def renew(self, right: Right) -> None:
        """Replace a held right's registration by a later one of this process."""
        held = self._held.get(right.number)
        if held is not None:
            held.right = right
            self._latest_epoch[right.number] = right.epoch

    def drop(self, number: int) -> None:
        """Give up a right that the store shows as registered by another."""
        self._held.pop(number, None)

    def lock(self, numbers: Iterable[int]) -> None:
        """Keep rights from being passed on while a registration of them may yet take effect.

        A right that left with an earlier registration's heirs would be missed by a reissuer that
        reads the later one's.
        """
        for number in numbers:
            if number in self._held:
                self._held[number].locked = True

    def unlock(self) -> None:
        """Let rights be passed on again: the outcome of every registration is known."""
        for held in self._held.values():
            held.locked = False

    def rights(self) -> Sequence[Right]:
        """Return the rights held, in use or not."""
        return [held.right for _, held in sorted(self._held.items())]

    def ejections(self) -> Mapping[int, UpstreamName]:
        """Return the upstreams kept out by this instance's rights."""
        return {
            number: held.upstream
            for number, held in sorted(self._held.items())
            if held.upstream is not None
        }

    def had(self, number: int, epoch: int) -> bool:
        """Return whether this process ever held a right of this registration or a later one."""
        return self._latest_epoch.get(number, 0) >= epoch

    def _hold(self, right: Right, honoured_until_s: float) -> None:
        self._held[right.number] = _HeldRight(right, honoured_until_s=honoured_until_s)
        self._latest_epoch[right.number] = right.epoch

    def _must_refuse(self, right: Right) -> bool:
        return (
            right.epoch <= self._refused_epochs.get(right.number, 0) or right.number in self._held
        )

    def _may_use(self, held: _HeldRight, upstream: UpstreamName, now_s: float) -> bool:
        """Use a right for another upstream only when nobody honours the last one any more."""
        if held.upstream is not None:
            return False
        return held.last_reported == upstream or now_s > held.honoured_until_s

    def _may_transfer(self, held: _HeldRight, now_s: float) -> bool:
        return held.upstream is None and not held.locked and now_s > held.honoured_until_s
