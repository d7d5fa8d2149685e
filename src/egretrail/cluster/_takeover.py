"""How soon the tasks of lost instances pass to others, whatever the size of the fleet.

A change in the store is to be in force on every instance within ``CHANGE_IN_FORCE_S`` of its
confirmation, also if the hubs and the readers of the store are lost at that moment. The steps of
``TAKEOVER_STEPS_S`` share this time. None of them depends on the number of instances or of losses.
"""

import math
import random

__all__ = [
    "CHANGE_IN_FORCE_S",
    "HUB_TIMEOUT_S",
    "READER_CHECK_S",
    "SUCCESSOR_LEAD_S",
    "TAKEOVER_SPREAD_S",
    "TAKEOVER_STEPS_S",
    "ZONE_REPORT_INTERVAL_S",
    "ZONE_SECTION_INTERVAL_MAX_S",
    "ZONE_TIMEOUT_S",
    "random_backoff_s",
]

#: The promise to users: requests are handled by a new configuration, and a draining upstream gets
#: no more of them, this long after the store has confirmed the change.
CHANGE_IN_FORCE_S = 2.0

#: The maximum interval between two sections of a hub to its zone, and the time without a section
#: after which it is taken as lost.
ZONE_SECTION_INTERVAL_MAX_S = 0.15
HUB_TIMEOUT_S = 0.35
#: The second instance of the hub order takes over as soon as the hub is lost. The others leave it
#: this time to announce itself, and then start after random delays.
SUCCESSOR_LEAD_S = 0.05
TAKEOVER_SPREAD_S = 0.25

#: Hubs report to other zones at least at this interval.
ZONE_REPORT_INTERVAL_S = 0.25
#: A zone's last report says nothing of its hub and of its readers of the store after this time:
#: two of three reports may be lost, and the own hub relays them with its next section.
ZONE_TIMEOUT_S = 0.8

#: How often an instance checks whether it has to read the store.
READER_CHECK_S = 0.1
#: The time in which a store that works answers a read.
_STORE_ANSWER_S = 0.25
#: The time in which the members of a zone fetch a state that its hub has named.
_FETCH_S = 0.25

#: The time budget of a change after a loss of hubs and readers, step by step.
TAKEOVER_STEPS_S = {
    # An instance has no hub any more, and in the same time all reports of readers are out of date.
    "loss noticed": max(HUB_TIMEOUT_S + SUCCESSOR_LEAD_S + TAKEOVER_SPREAD_S, ZONE_TIMEOUT_S),
    # The new hub checks whether it has to read, and the store answers its first call.
    "store read": READER_CHECK_S + _STORE_ANSWER_S,
    # The hub's next section names the new state, and members fetch it.
    "members told": ZONE_SECTION_INTERVAL_MAX_S + _FETCH_S,
}

#: The group size for which random delays are laid out; in a larger group more members act at once.
_GROUP_SIZE = 1_000
_RATE = math.log(_GROUP_SIZE) + 1.0


def random_backoff_s(spread_s: float, rng: random.Random) -> float:
    """Return a delay of at most ``spread_s`` after which one of a group acts unless another did.

    Delays of a truncated exponential distribution let few members act before they hear of the
    first, whether one or a thousand of them are left: ``RandomBackoff`` of RFC 5401.
    """
    return spread_s / _RATE * math.log1p(rng.random() * math.expm1(_RATE))
