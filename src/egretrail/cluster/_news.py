"""What an instance observed lately, on its way to the others."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from egretrail.cluster._beat import DropReport, Finding, LimitReport, LossReport

#: Findings and losses are repeated in all beats of this time, so that they survive a lost datagram:
#: the next beat comes within 0.25 s.
_NEWS_S = 0.3
#: Dropped upstreams are told for longer, since an instance that misses the word sends to them on.
_DROPPED_S = 3.0
#: Limits of upstreams are told for this long; the hub tells them for longer.
_LIMITS_S = 1.0
#: Findings, and successes, of one beat: about 10 bytes each, so that a beat is one packet.
_TOLD_MAX = 40


@dataclass(slots=True)
class OwnNews:
    """The findings of one instance, numbered, with the time at which they came."""

    _findings: deque[tuple[float, Finding]] = field(default_factory=deque)
    _losses: deque[tuple[float, LossReport]] = field(default_factory=deque)
    _dropped: deque[tuple[float, DropReport]] = field(default_factory=deque)
    _limits: dict[int, tuple[float, float | None]] = field(default_factory=dict)
    _routine: list[Finding] = field(default_factory=list)
    #: The number of the oldest finding that is still told.
    first_finding: int = 0

    def found(self, finding: Finding, now_s: float) -> None:
        """Take a finding that bears on an upstream's standing."""
        self._findings.append((now_s, finding))

    def succeeded(self, finding: Finding) -> None:
        """Take a success of an upstream in good standing, which is told once."""
        if len(self._routine) < _TOLD_MAX:
            self._routine.append(finding)

    def lost(self, report: LossReport, now_s: float) -> None:
        """Take an upstream that broke off while it ran a request."""
        self._losses.append((now_s, report))

    def dropped(self, reports: Sequence[DropReport], now_s: float) -> None:
        """Take upstreams that this instance dropped."""
        self._dropped.extend((now_s, report) for report in reports)

    def limited(self, upstream_key: int, limit_per_s: float | None, now_s: float) -> None:
        """Take what an upstream said of its limit just now."""
        self._limits[upstream_key] = (now_s, limit_per_s)

    def forget_old(self, now_s: float) -> None:
        """Drop what was told for long enough."""
        while self._findings and self._findings[0][0] < now_s - _NEWS_S:
            self._findings.popleft()
            self.first_finding += 1
        while self._losses and self._losses[0][0] < now_s - _NEWS_S:
            self._losses.popleft()
        while self._dropped and self._dropped[0][0] < now_s - _DROPPED_S:
            self._dropped.popleft()
        for key in [one for one, (at_s, _) in self._limits.items() if at_s < now_s - _LIMITS_S]:
            del self._limits[key]

    def findings(self) -> Sequence[Finding]:
        """Return the findings to be told, the oldest first."""
        return [finding for _, finding in self._findings][:_TOLD_MAX]

    def losses(self) -> Sequence[LossReport]:
        """Return the losses to be told."""
        return [report for _, report in self._losses][:_TOLD_MAX]

    def drops(self) -> Sequence[DropReport]:
        """Return the dropped upstreams to be told."""
        return [report for _, report in self._dropped][:_TOLD_MAX]

    def limits(self, now_s: float) -> Sequence[LimitReport]:
        """Return the limits to be told."""
        return [
            LimitReport(key, limit_per_s, now_s - at_s)
            for key, (at_s, limit_per_s) in list(self._limits.items())[:_TOLD_MAX]
        ]

    def take_successes(self) -> Sequence[Finding]:
        """Return the successes since the last beat."""
        taken, self._routine = self._routine, []
        return taken
