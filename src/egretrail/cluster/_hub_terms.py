"""Retry counts of a zone's earlier hubs, which its present hub repeats to other zones.

What a hub has counted shortly before it failed may not have reached the other zones. The instances
of its zone know it, since they receive more sections, and one of them is the next hub.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from egretrail.dispatch import RetryCounts

#: How long the counts of a hub are repeated after its last section: longer than the hubs of other
#: zones take to find the next hub.
_REPEAT_S = 3.0
#: Maximum hubs whose counts are repeated.
_TERMS_MAX = 4


@dataclass(frozen=True, slots=True)
class HubTerm:
    """Retry counts of an instance in the time for which it was the hub."""

    #: The address of the hub.
    hub: str
    #: The incarnation of the hub in its sections.
    incarnation: int
    #: Requests and retries by service, since the hub started to count.
    retries: Mapping[str, RetryCounts]
    #: The part of ``retries`` that was counted within the window of the retry budget.
    recent_retries: Mapping[str, RetryCounts]


@dataclass(slots=True)
class HubTerms:
    """The last retry counts of all hubs of the own zone that were heard lately."""

    _heard: dict[tuple[str, int], tuple[float, HubTerm]] = field(default_factory=dict)

    def record(self, term: HubTerm, now_s: float) -> None:
        """Record the counts in a section of a hub of the own zone."""
        key = (term.hub, term.incarnation)
        self._heard.pop(key, None)
        self._heard[key] = (now_s, term)
        for old in [one for one, (at_s, _) in self._heard.items() if now_s - at_s > _REPEAT_S]:
            del self._heard[old]

    def others(self, hub: str, incarnation: int, now_s: float) -> Sequence[HubTerm]:
        """Return the counts of other hub terms, for the hub of a term to repeat."""
        terms = [
            term
            for key, (at_s, term) in self._heard.items()
            if key != (hub, incarnation) and now_s - at_s <= _REPEAT_S
        ]
        return terms[-_TERMS_MAX:]
