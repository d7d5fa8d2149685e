"""Tells failures of this instance's own network paths from failures of upstreams."""

import random
from collections import Counter
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, replace

from egretrail.dispatch._crashing_requests import RequestDigest
from egretrail.dispatch._observation import Observation, Outcome
from egretrail.traffic import UpstreamRecord

#: Outcomes without any response. The upstream may have failed, or the observer's network paths to
#: all upstreams.
PATH_OUTCOMES = frozenset({Outcome.UNREACHABLE, Outcome.SILENT, Outcome.BROKEN, Outcome.OVERDUE})
#: A failure that nothing has explained for this long is discarded: evidence counts for as long.
_HOLD_S = 3.0
#: An instance is isolated if it cannot connect to at least this many upstreams.
_ISOLATED_QUORUM = 2


@dataclass(frozen=True, slots=True)
class HeldFailure:
    """A failure without a response that is not yet attributed to its upstream."""

    #: What this instance observed.
    observation: Observation
    #: The digest of the request, if its upstream may have crashed; else None.
    digest: RequestDigest | None
    #: When it was observed.
    at_s: float


class PathCheck:
    """Holds back failures without a response until a network path is known to work.

    An instance that is cut off from all upstreams observes the same as one whose upstreams have all
    failed. As a report to the fleet, each such observation would take a working upstream out of
    service. A failure is therefore attributed to its upstream only once this instance has reached
    some upstream after it. If it reaches none of those that it tries, the instance is isolated and
    its failures say nothing about upstreams.
    """

    def __init__(self) -> None:
        self._held: list[HeldFailure] = []
        #: Whether a connection to any upstream was opened since the last series of probes began.
        self._has_connected = False
        #: Whether this instance has found that it reaches no upstream.
        self.is_isolated = False

    @property
    def has_held_failures(self) -> bool:
        """Whether there are failures that are not yet attributed."""
        return bool(self._held)

    def hold(self, observation: Observation, digest: RequestDigest | None, now_s: float) -> None:
        """Hold back a failure; it is discarded if this instance is isolated."""
        if not self.is_isolated:
            self._held.append(HeldFailure(observation, digest, now_s))

    def record_contact(
        self, upstream_id: str, now_s: float, *, connected: bool
    ) -> Sequence[HeldFailure]:
        """Record that an upstream was reached; return the failures that upstreams caused.

        ``connected`` is True for a new connection and False for a response on any connection. Open
        connections may work while new ones fail, so a response says nothing about failures to
        connect.
        """
        self._has_connected = self._has_connected or connected
        if not self._held:
            return ()
        attributed: list[HeldFailure] = []
        kept: list[HeldFailure] = []
        for failure in self._held:
            if now_s - failure.at_s > _HOLD_S:
                continue
            is_connect_failure = failure.observation.outcome is Outcome.UNREACHABLE
            if is_connect_failure and not connected:
                kept.append(failure)
            elif not is_connect_failure or failure.observation.upstream_id != upstream_id:
                attributed.append(_with_time_held(failure, now_s))
        self._held = kept
        return attributed

    def start_probes(self) -> None:
        """Record that a series of probes begins."""
        self._has_connected = False

    def record_unreached(self, upstream_ids: Iterable[str]) -> Sequence[HeldFailure]:
        """Record the upstreams of a series of probes if none of them accepted a connection.

        Returns the failures that this instance's own paths caused, if it is isolated. It is not if
        a request opened a connection meanwhile.
        """
        if self._has_connected:
            return ()
        unreached = {failure.observation.upstream_id for failure in self._held}
        unreached.update(upstream_ids)
        if len(unreached) < _ISOLATED_QUORUM:
            return ()
        self.is_isolated = True
        own, self._held = self._held, []
        return own

    def record_recovery(self) -> None:
        """Record that this instance reaches upstreams again."""
        self.is_isolated = False


def _with_time_held(failure: HeldFailure, now_s: float) -> HeldFailure:
    """Return a failure with the duration until its report, where its beginning is evidence.

    Failures to connect, and overdue requests, are compared with the responses since then.
    """
    observation = failure.observation
    if observation.outcome not in (Outcome.UNREACHABLE, Outcome.OVERDUE):
        return failure
    duration_s = observation.duration_s + now_s - failure.at_s
    return replace(failure, observation=replace(observation, duration_s=duration_s))


def choose_probes(
    records: Collection[UpstreamRecord],
    avoided: Collection[str],
    count: int,
    rng: random.Random,
) -> Sequence[UpstreamRecord]:
    """Return the upstreams to probe, in this order.

    Successive ones are of different availability zones and services: a zone or a service that has
    failed as a whole must not look like a failure of all paths. ``avoided`` come last: the ids of
    upstreams that are known to fail.
    """
    remaining = rng.sample(list(records), len(records))
    chosen: list[UpstreamRecord] = []
    zones: Counter[str] = Counter()
    services: Counter[str] = Counter()
    while remaining and len(chosen) < count:
        record = min(
            remaining,
            key=lambda one: (
                one.id in avoided,
                zones[one.availability_zone],
                services[one.service],
            ),
        )
        remaining.remove(record)
        chosen.append(record)
        zones[record.availability_zone] += 1
        services[record.service] += 1
    return chosen
