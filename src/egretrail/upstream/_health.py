"""The health of one service's upstreams as one instance judges it."""

import random
from collections.abc import Mapping, Sequence

from egretrail.identity import InstanceName, ServiceName, UpstreamName
from egretrail.settings import Detection
from egretrail.upstream._attempt import Attempt
from egretrail.upstream._evidence import Evidence
from egretrail.upstream._rights import EjectionRights
from egretrail.upstream._verdict import Cause, UpstreamState, Verdict


class ServiceHealth:
    """Judges the upstreams of one service from real work, its own and its group's."""

    def __init__(
        self,
        service: ServiceName,
        detection: Detection,
        ramp_s: float,
        rights: EjectionRights,
        rng: random.Random,
    ) -> None:
        self.service = service
        self._upstreams: dict[UpstreamName, float] = {}

    def set_upstreams(self, names: Sequence[UpstreamName], now_s: float) -> None:
        """Take over the service's upstreams; ones that join later than the first call ramp."""
        self._upstreams = {name: self._upstreams.get(name, now_s) for name in names}

    def begin(self, upstream: UpstreamName, request_kind: str, now_s: float) -> int:
        """Note an attempt that begins; return its ticket for ``end``."""
        return 0

    def end(self, ticket: int) -> None:
        """Note that the attempt with this ticket has ended; call ``record`` with its outcome."""

    def record(self, attempt: Attempt, now_s: float, suspect: bool = False) -> None:
        """Take a finished attempt as evidence; ``suspect``: upstreams were lost with it before."""

    def merge(self, sender: InstanceName, evidence: Evidence, now_s: float) -> None:
        """Take another member's observations."""

    def forget_member(self, sender: InstanceName) -> None:
        """Drop the observations of a member that has left the group."""

    def own_evidence(self, now_s: float) -> Evidence:
        """Return this instance's observations of all upstreams."""
        raise NotImplementedError

    def urgent_evidence(self, now_s: float) -> Evidence | None:
        """Return observations that the group should have at once, None when there are none."""
        return None

    def tick(self, now_s: float) -> None:
        """Let time pass: overdue attempts, ends of ejections, ramps."""

    def verdict(self, upstream: UpstreamName, now_s: float) -> Verdict:
        """Return the decision on one upstream."""
        return Verdict(UpstreamState.HEALTHY, 1.0, Cause.NONE, self._upstreams.get(upstream, now_s))

    def verdicts(self, now_s: float) -> Mapping[UpstreamName, Verdict]:
        """Return the decisions on all upstreams."""
        return {name: self.verdict(name, now_s) for name in self._upstreams}

    def peer_in_flight(self, upstream: UpstreamName) -> int:
        """Return the attempts that the group's other members last said they have under way."""
        return 0

    def own_in_flight(self, upstream: UpstreamName) -> int:
        """Return the attempts that this instance has under way."""
        return 0
