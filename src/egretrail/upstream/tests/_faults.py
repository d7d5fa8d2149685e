"""The faults that the simulation injects; each starts at ``ONSET_S``."""

import random
from collections.abc import Mapping

from egretrail.upstream import AttemptOutcome
from egretrail.upstream.tests._simulation import Fault, Plan, Request

ONSET_S = 10.0


def _on_upstream(request: Request, upstreams: int = 1) -> bool:
    return request.at_s >= ONSET_S and request.upstream < upstreams


def hard(request: Request, rng: random.Random) -> None:
    """Upstream 0 fails all requests, quickly."""
    if _on_upstream(request):
        request.outcome = AttemptOutcome.FAILED
        request.work_s = 0.005


def refused(request: Request, rng: random.Random) -> None:
    """Upstream 0 refuses connections."""
    if _on_upstream(request):
        request.outcome = AttemptOutcome.REFUSED


def failing_share(share: float) -> Fault:
    """Return the fault of upstream 0 failing a share of its requests."""

    def fault(request: Request, rng: random.Random) -> None:
        if _on_upstream(request) and rng.random() < share:
            request.outcome = AttemptOutcome.FAILED

    return fault


def slow(request: Request, rng: random.Random) -> None:
    """Upstream 0 is five times as slow."""
    if _on_upstream(request):
        request.work_s *= 5


def hanging(request: Request, rng: random.Random) -> None:
    """Upstream 0 sends no response before the deadline."""
    if _on_upstream(request):
        request.work_s = 10.0
        request.outcome = AttemptOutcome.TIMED_OUT


def kind_fails(request: Request, rng: random.Random) -> None:
    """Upstream 0 fails one kind of request."""
    if _on_upstream(request) and request.kind == "GET a":
        request.outcome = AttemptOutcome.FAILED


def large_cut(request: Request, rng: random.Random) -> None:
    """Upstream 0 truncates responses above a size, about every sixth."""
    if _on_upstream(request) and request.size_bytes > 4000:
        request.outcome = AttemptOutcome.TRUNCATED


def two_hard(request: Request, rng: random.Random) -> None:
    """Upstreams 0 and 1 fail all requests."""
    if _on_upstream(request, 2):
        request.outcome = AttemptOutcome.FAILED


def all_fail(request: Request, rng: random.Random) -> None:
    """Every upstream fails all requests, as after a bad release."""
    if request.at_s >= ONSET_S:
        request.outcome = AttemptOutcome.FAILED


def all_fail_partly(request: Request, rng: random.Random) -> None:
    """Every upstream fails three of ten requests."""
    if request.at_s >= ONSET_S and rng.random() < 0.3:
        request.outcome = AttemptOutcome.FAILED


def all_slow(request: Request, rng: random.Random) -> None:
    """Every upstream is five times as slow."""
    if request.at_s >= ONSET_S:
        request.work_s *= 5


def kind_fails_everywhere(request: Request, rng: random.Random) -> None:
    """One kind of request fails at every upstream."""
    if request.at_s >= ONSET_S and request.kind == "GET a":
        request.outcome = AttemptOutcome.FAILED


def caller_fails(request: Request, rng: random.Random) -> None:
    """One client's requests fail at every upstream."""
    if request.at_s >= ONSET_S and request.caller == "c1":
        request.outcome = AttemptOutcome.FAILED


def bad_path(request: Request, rng: random.Random) -> None:
    """Member 1 cannot connect to upstream 0; the others can."""
    if _on_upstream(request) and request.member == 1:
        request.outcome = AttemptOutcome.REFUSED


def cut_off_member(request: Request, rng: random.Random) -> None:
    """Member 1 cannot connect to any upstream."""
    if request.at_s >= ONSET_S and request.member == 1:
        request.outcome = AttemptOutcome.REFUSED


def bursts(at_s: float) -> float:
    """Return the request rate at a time: a burst above capacity in every seventh second."""
    return 700.0 if int(at_s) % 7 == 3 else 60.0


#: Faults of upstream 0 alone: this upstream must be ejected, and no other.
MUST_EJECT: Mapping[str, Plan] = {
    "hard": Plan(fault=hard),
    "refused": Plan(fault=refused),
    "failing_30": Plan(fault=failing_share(0.3)),
    "failing_10": Plan(fault=failing_share(0.1)),
    "slow_5x": Plan(fault=slow),
    "slow_5x_heavy_tail": Plan(fault=slow, spread=1.0),
    "hanging": Plan(fault=hanging),
    "kind_fails": Plan(fault=kind_fails),
    "large_cut": Plan(fault=large_cut),
}

#: Faults that are not an upstream's own, or none: no upstream may be ejected.
MUST_NOT_EJECT: Mapping[str, Plan] = {
    "healthy": Plan(),
    "heavy_tail": Plan(spread=1.0),
    "heavy_tail_long": Plan(spread=1.0, seconds=300.0),
    "failing_background": Plan(background_failures=0.005),
    "bursts": Plan(rate_per_s=bursts, spread=1.0),
    "all_fail": Plan(fault=all_fail),
    "all_fail_partly": Plan(fault=all_fail_partly),
    "all_slow": Plan(fault=all_slow),
    "kind_fails_everywhere": Plan(fault=kind_fails_everywhere),
    "caller_fails": Plan(fault=caller_fails),
    "bad_path": Plan(fault=bad_path),
    "cut_off_member": Plan(fault=cut_off_member),
}
