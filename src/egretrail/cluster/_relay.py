"""What a relay passes on to the other zones, and when."""

from dataclasses import dataclass, replace

from egretrail.cluster._beat import Beat

#: Beats without news are passed on this often; the other zones wait four times as long before they
#: take an instance as gone.
_QUIET_INTERVAL_S = 0.45
#: How long beats wait for more of them. What bears on an upstream's standing is passed on almost at
#: once, since each request that meets a failing upstream meanwhile fails; loads can wait, since
#: instances use the upstreams of other zones only when their own zone's are taken.
_URGENT_DELAY_S = 0.02
_DELAY_S = 0.2
#: Above this number of instances in the fleet the intervals of what can wait grow with it, so that
#: what each instance receives from other zones stays the same; up to this factor, with which two of
#: three quiet beats may be lost before an instance is taken as gone.
_USUAL_INSTANCES = 50
_SLOWDOWN_MAX = 1.6


@dataclass(slots=True)
class _Waiting:
    """A beat that is to be passed on."""

    #: The last beat of its origin.
    beat: Beat
    #: When it is passed on.
    due_s: float


class Relay:
    """Collects the beats of its own zone for the other zones.

    Bytes between zones cost money: of each instance only the last beat of a batch is passed on, and
    a beat without news only every half second. What is urgent does not take along what can wait:
    with 124 instances, whose urgent news come 15 times a second in each zone, that made the relays
    send 38 Mbit/s on links of 10, and most of the fleet did not hear of most failures.
    """

    def __init__(self) -> None:
        self._waiting: dict[str, _Waiting] = {}
        self._passed: dict[str, tuple[Beat, float]] = {}
        #: When what can wait is passed on next.
        self._due_s = float("-inf")

    def offer(self, beat: Beat, now_s: float, instances: int = 1) -> float | None:
        """Take a beat of the own zone; return the time until it is passed on, if it is.

        ``instances`` is the size of the fleet.
        """
        slowdown = min(max(instances / _USUAL_INSTANCES, 1.0), _SLOWDOWN_MAX)
        passed = self._passed.get(beat.origin)
        lately = passed is not None and now_s - passed[1] < _QUIET_INTERVAL_S * slowdown
        if passed is not None and lately and not _has_news(beat, passed[0]):
            return None
        if passed is None or _is_urgent(beat, passed[0]):
            due_s = now_s + _URGENT_DELAY_S
        else:
            due_s = self._joint_due_s(now_s, _DELAY_S * slowdown)
        waiting = self._waiting.get(beat.origin)
        if waiting is not None:
            due_s = min(due_s, waiting.due_s)
        self._waiting[beat.origin] = _Waiting(replace(beat, routine=()), due_s)
        return max(due_s - now_s, 0.0)

    def _joint_due_s(self, now_s: float, delay_s: float) -> float:
        """Return when what can wait is passed on, all that came since the first of it together.

        Beats that travel together compress to less than half, those that travel alone hardly at
        all.
        """
        if self._due_s <= now_s:
            self._due_s = now_s + delay_s
        return self._due_s

    def take(self, now_s: float) -> list[Beat]:
        """Return the beats that are due, and remember them as passed on."""
        due = [one.beat for one in self._waiting.values() if one.due_s <= now_s]
        for beat in due:
            del self._waiting[beat.origin]
            self._passed[beat.origin] = (beat, now_s)
        return due

    def next_due_s(self) -> float | None:
        """Return when the next beat is due; None where none waits."""
        return min((one.due_s for one in self._waiting.values()), default=None)

    def forget(self, origin: str) -> None:
        """Drop an instance that is gone."""
        self._waiting.pop(origin, None)
        self._passed.pop(origin, None)


def _has_news(beat: Beat, passed: Beat) -> bool:
    return beat.loads != passed.loads or _is_urgent(beat, passed)


def _is_urgent(beat: Beat, passed: Beat) -> bool:
    return (
        beat.incarnation != passed.incarnation
        or beat.state is not passed.state
        or beat.config_version != passed.config_version
        or beat.upstreams_revision != passed.upstreams_revision
        or beat.first_observation + len(beat.observations)
        != passed.first_observation + len(passed.observations)
        or bool(beat.losses)
        or beat.dropped != passed.dropped
    )
