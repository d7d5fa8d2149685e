"""The ejections of others that one instance honours for one service."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from egretrail.floor._messages import Ejection
from egretrail.floor._timing import RightsTiming
from egretrail.identity import InstanceName, UpstreamName


@dataclass(slots=True)
class _Reply:
    #: When this instance sent the question.
    asked_s: float
    #: What the holder ejects.
    ejections: Sequence[Ejection]


class HonouredEjections:
    """Honours answers to this instance's own questions, from when it sent them.

    A pushed word would be honoured from its receipt, however long it lay in a socket; an answer
    cannot be older than its question. The clock is compared at each placement, so that an
    instance that was paused honours nothing that ran out meanwhile.
    """

    def __init__(self, timing: RightsTiming) -> None:
        self._timing = timing
        self._replies: dict[InstanceName, _Reply] = {}

    def note(self, holder: InstanceName, ejections: Sequence[Ejection], asked_s: float) -> None:
        """Take in the answer to a question that was sent at ``asked_s``."""
        known = self._replies.get(holder)
        if known is not None and known.asked_s >= asked_s:
            return
        self._replies[holder] = _Reply(asked_s, ejections)

    def is_ejected(self, upstream: UpstreamName, allowance: int, now_s: float) -> bool:
        """Return whether some holder's ejection of the upstream counts at this moment."""
        return any(
            ejection.upstream == upstream and ejection.number < allowance
            for answer in self._replies.values()
            if self._is_valid(answer, now_s)
            for ejection in answer.ejections
        )

    def ejections(self, now_s: float) -> Mapping[UpstreamName, InstanceName]:
        """Return the ejections that count now, with their holders."""
        return {
            ejection.upstream: holder
            for holder, answer in self._replies.items()
            if self._is_valid(answer, now_s)
            for ejection in answer.ejections
        }

    def forget_expired(self, now_s: float) -> None:
        """Drop answers that ran out."""
        for name, answer in list(self._replies.items()):
            if not self._is_valid(answer, now_s):
                del self._replies[name]

    def _is_valid(self, answer: _Reply, now_s: float) -> bool:
        return now_s - answer.asked_s <= self._timing.validity_s
