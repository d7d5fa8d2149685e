"""Decides whether requests without a response for a long time are many at an upstream."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

#: Overdue requests count together within this time.
_WINDOW_S = 3.0
#: Number of instances with an overdue request, and the share of the overdue among the overdue and
#: answered requests. Long work is 3 in 100 requests; an upstream of which 0.47 hang is far above
#: the share even after a few answers.
_QUORUM = 2
_SHARE = 0.35
#: Answers are kept for this long: the window, and the time after which a request is overdue.
_ANSWERS_S = 6.0
#: Maximum number of answers that are kept for an upstream; more of them outweigh all overdue ones.
_ANSWERS_MAX = 200
#: An answer to this instance returns in its zone's aggregates within this time. Counted twice in a
#: small fleet, answers would hide an upstream that hangs.
_ECHO_S = 0.6


@dataclass(frozen=True, slots=True)
class _OverdueRequest:
    """An overdue request."""

    #: When it was sent.
    sent_s: float
    #: When it was reported.
    at_s: float


@dataclass(slots=True)
class _Observed:
    """What an upstream answered lately, and what it did not."""

    #: The last overdue request of each observer.
    overdue: dict[str, _OverdueRequest] = field(default_factory=dict)
    #: When answers were reported, oldest first.
    answers_s: deque[float] = field(default_factory=lambda: deque(maxlen=_ANSWERS_MAX))
    #: When this instance last got an answer.
    own_answer_s: float = float("-inf")


class OverdueTable:
    """Overdue and answered requests of upstreams, as far as the own zone observes them.

    Three requests in a hundred take seven times as long as the others, so that nearly every
    upstream has an overdue request now and then. Two of them within 3 s, whatever else it answered,
    put 24 of 107 upstreams behind the others at any time, most of them healthy. An upstream that
    hangs answers few requests meanwhile.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._observed: dict[str, _Observed] = {}

    def record_answer(self, upstream_id: str, observer: str, now_s: float) -> None:
        """Record an answer; ``observer`` is empty for the zone's aggregates."""
        observed = self._observed.setdefault(upstream_id, _Observed())
        if observer == self._own_name:
            observed.own_answer_s = now_s
        elif not observer and now_s - observed.own_answer_s < _ECHO_S:
            return
        observed.answers_s.append(now_s)
        while observed.answers_s[0] < now_s - _ANSWERS_S:
            observed.answers_s.popleft()

    def record_overdue(self, upstream_id: str, observer: str, sent_s: float, now_s: float) -> bool:
        """Record an overdue request; return whether too many of the upstream's requests are.

        Requests of one instance count once: its own network path may be the cause.
        """
        observed = self._observed.setdefault(upstream_id, _Observed())
        overdue = observed.overdue
        overdue[observer] = _OverdueRequest(sent_s, now_s)
        for name in [name for name, one in overdue.items() if now_s - one.at_s >= _WINDOW_S]:
            del overdue[name]
        if len(overdue) < _QUORUM:
            return False
        sent_times_s = [one.sent_s for one in overdue.values()]
        first_s, last_s = min(sent_times_s), max(sent_times_s)
        # Of the requests that were sent after the last of these, answers are known already, and
        # those that hang are not. Compared with all answers, an upstream of which 0.47 hang was
        # found after 1.6 s instead of 1.0 s at 20 requests a second.
        answered = sum(first_s <= at_s <= last_s for at_s in observed.answers_s)
        return len(overdue) >= _SHARE * (len(overdue) + answered)

    def keep_only(self, upstream_ids: Iterable[str]) -> None:
        """Remove upstreams that are no longer listed."""
        for upstream_id in self._observed.keys() - set(upstream_ids):
            del self._observed[upstream_id]
