"""Checks that the most urgent requests are served at least as often as others in a burst."""

import math
from collections import Counter, defaultdict
from collections.abc import Iterator, Sequence

from scaffolding.soak._sent_attempt import SentAttempt

#: Gateways may take this long to find out that a service is overloaded.
_GRACE_S = 0.5
#: With fewer requests of a priority, the share that is served tells nothing.
_REQUESTS_MIN = 20
#: The shares differ by chance, since faults hit both. A difference counts above as many standard
#: deviations, which one of 700 comparisons without a cause exceeds.
_DEVIATIONS = 3.0


def urgency_violations(sent: Sequence[SentAttempt]) -> Iterator[str]:
    """Describe the bursts in which less urgent requests for a service were served more often.

    Requests without a response are left out: their gateway was killed or did not run.
    """
    bursts: dict[int, list[SentAttempt]] = defaultdict(list)
    for one in sent:
        if one.burst:
            bursts[one.burst].append(one)
    for requests in bursts.values():
        begin_s = min(one.at_s for one in requests)
        counts: Counter[tuple[str, int]] = Counter()
        served: Counter[tuple[str, int]] = Counter()
        for one in requests:
            if one.result.status and one.at_s >= begin_s + _GRACE_S:
                counts[one.service, one.priority] += 1
                served[one.service, one.priority] += one.result.status == 200
        for service in {name for name, _ in counts}:
            urgent, *others = sorted(key for key in counts if key[0] == service)
            for other in others:
                if min(counts[urgent], counts[other]) < _REQUESTS_MIN:
                    continue
                rates = served[urgent] / counts[urgent], served[other] / counts[other]
                if rates[1] - rates[0] > _margin(counts, served, urgent, other):
                    yield (
                        f"priority {urgent[1]} of {service} was served {rates[0]:.2f} of"
                        f" {counts[urgent]} times, priority {other[1]} {rates[1]:.2f} of"
                        f" {counts[other]}, in the burst at {begin_s:.1f} s"
                    )


def _margin(
    counts: Counter[tuple[str, int]],
    served: Counter[tuple[str, int]],
    *keys: tuple[str, int],
) -> float:
    """Return the difference of two shares that chance explains."""
    share = sum(served[key] for key in keys) / sum(counts[key] for key in keys)
    return _DEVIATIONS * math.sqrt(share * (1 - share) * sum(1 / counts[key] for key in keys))
