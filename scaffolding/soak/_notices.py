"""Finds requests that gateways sent against what a backend had stated in a response."""

from collections.abc import Iterable, Iterator, Mapping, Sequence

from scaffolding.platform import StandInBackend
from scaffolding.soak._disturbances import DisturbanceLog
from scaffolding.soak._sent_attempt import SentAttempt

#: A gateway may send a backend requests that clients sent until this long after it passed on a
#: response that stated draining.
_DRAIN_S = 2.0
#: From this long after a refusal until its Retry-After, a gateway may send this many requests.
_BACKOFF_GRACE_S, _BACKOFF_REQUESTS_MAX = 0.5, 2

_Process = tuple[int, int]


def requests_after_stated_draining(
    sent: Sequence[SentAttempt], backends: Iterable[StandInBackend]
) -> Iterator[str]:
    """Describe requests that a process sent to a backend after it had passed on its draining.

    Nothing but the end of the process excuses them.
    """
    by_attempt = {one.result.attempt: one for one in sent}
    for backend in backends:
        bounds_s: dict[_Process, float] = {}
        for stated_s, attempt in backend.draining_stated:
            one = by_attempt.get(attempt)
            if one is not None and one.result.body.startswith(f"{backend.id} ".encode()):
                bound_s = stated_s + _DRAIN_S
                process = _process(one)
                bounds_s[process] = min(bounds_s.get(process, bound_s), bound_s)
        for _, attempt in backend.arrivals:
            one = by_attempt.get(attempt)
            if one is not None and one.at_s > bounds_s.get(_process(one), one.at_s):
                yield f"{attempt} to {backend.id}, which had stated draining"


def requests_during_backoff(
    sent: Sequence[SentAttempt], backends: Iterable[StandInBackend], disturbances: DisturbanceLog
) -> Iterator[str]:
    """Describe backoffs in which a process sent a backend more requests than allowed."""
    by_attempt = {one.result.attempt: one for one in sent}
    for backend in backends:
        for stated_s, attempt, backoff_s in backend.backoffs_stated:
            one = by_attempt.get(attempt)
            if one is None:
                continue
            # The refusal may not have reached the gateway, or late.
            subjects = ("machine", f"gateway-{one.gateway}", f"link-{backend.id}")
            end_s = stated_s + backoff_s
            if any(disturbances.overlaps(subject, stated_s, end_s) for subject in subjects):
                continue
            begin_s = stated_s + _BACKOFF_GRACE_S
            count = _arrival_count(backend, by_attempt, _process(one), begin_s, end_s)
            if count > _BACKOFF_REQUESTS_MAX:
                yield f"{count} requests to {backend.id} within {backoff_s} s of backoff"


def _arrival_count(
    backend: StandInBackend,
    by_attempt: Mapping[str, SentAttempt],
    process: _Process,
    begin_s: float,
    end_s: float,
) -> int:
    arrived = [by_attempt.get(name) for at_s, name in backend.arrivals if begin_s < at_s < end_s]
    return sum(one is not None and _process(one) == process for one in arrived)


def _process(one: SentAttempt) -> _Process:
    return one.gateway, one.process_number
