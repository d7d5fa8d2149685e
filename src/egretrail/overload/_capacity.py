"""What a service can take, and how long its queue may become."""

from dataclasses import dataclass, replace

from egretrail.overload._policy import ServiceRoom

#: Nine of ten requests take less than this many typical durations (as in ``egretrail.dispatch``);
#: what the objective has left beyond them may be spent waiting.
_OBJECTIVE_DURATION_FACTOR = 1.8
#: The part of the longest wait that the queue is held at. The other half covers what is admitted
#: before instances know of each other's requests.
_TARGET_SHARE = 0.5
#: Shortest longest wait, in typical durations, where the objective leaves none. With a shorter
#: queue, the differences between upstreams leave slots empty.
_WAIT_MIN_FACTOR = 0.2
#: The queue is corrected to its target over this time.
_CORRECTION_S = 1.0
#: A queue that is too long takes no more than this part of the capacity. Without the bound, a queue
#: that overshoots at the begin of a burst leaves nothing to accounts that ask for little.
_CORRECTED_MIN = 0.75
#: Rate at which the bias follows the queue. With the correction over one second, the queue settles
#: within three seconds and overshoots by 0.04 of a step.
_BIAS_GAIN_PER_S2 = 0.5
#: Largest difference from the target that is integrated, as a share of the slots: what is admitted
#: before a burst is known is not a sign of less capacity.
_BIAS_ERROR_MAX = 0.5
#: Bound of the bias.
_BIAS_MAX = 0.5
#: An instance that asks rarely, or was frozen, integrates at most this time at once.
_BIAS_STEP_MAX_S = 0.5


@dataclass(frozen=True, slots=True)
class Capacity:
    """The capacity of the part of a service that an instance decides over."""

    #: Slots in service.
    slots: float
    #: Requests in flight, waiting ones included.
    in_flight: float
    #: Typical duration of a request.
    mean_s: float
    #: The wait at which the queue is held.
    target_wait_s: float
    #: Requests per second that the slots take beyond what their number and the typical duration
    #: tell (``CapacityBias``).
    bias_per_s: float = 0.0

    @classmethod
    def of(cls, room: ServiceRoom, objective_s: float, known_share: float) -> "Capacity":
        """Return the capacity of the part of the fleet that is known.

        Requests in flight are those of the known part already. ``objective_s`` is that of the most
        urgent requests.
        """
        mean_s = max(room.mean_s, 1e-3)
        longest_s = objective_s - _OBJECTIVE_DURATION_FACTOR * mean_s
        longest_s = max(longest_s, _WAIT_MIN_FACTOR * mean_s)
        return cls(room.slots * known_share, room.in_flight, mean_s, longest_s * _TARGET_SHARE)

    def part(self, share: float) -> "Capacity":
        """Return a part of the slots and of the requests in flight, with the same wait."""
        return replace(self, slots=self.slots * share, in_flight=self.in_flight * share)

    def with_bias(self, share: float) -> "Capacity":
        """Return the capacity with a bias, given as a share of the slots' capacity."""
        return replace(self, bias_per_s=share * self.slots / self.mean_s)

    @property
    def per_s(self) -> float:
        """Requests per second that the slots take."""
        return self.slots / self.mean_s + self.bias_per_s

    @property
    def target_in_flight(self) -> float:
        """Requests in flight at which the wait is the target."""
        return self.slots * (1.0 + self.target_wait_s / self.mean_s)

    @property
    def corrected_per_s(self) -> float:
        """Requests per second that bring the queue to its target."""
        correction_per_s = (self.target_in_flight - self.in_flight) / _CORRECTION_S
        return max(self.per_s + correction_per_s, self.per_s * _CORRECTED_MIN)

    def wait_s(self) -> float:
        """Return the expected wait for a slot."""
        if not self.slots:
            return 0.0
        return max(self.in_flight - self.slots, 0.0) / self.slots * self.mean_s


class CapacityBias:
    """Learns how far the capacity of a full service differs from what its slots tell.

    Typical durations lag behind changes, failures end early, and retries take slots that nobody
    counted. The queue then settles away from its target: too long for the urgent requests, or
    empty. While the service is full, the difference from the target is integrated, slowly enough
    that the delay of reports causes no oscillation.
    """

    def __init__(self) -> None:
        self._share = 0.0
        self._updated_s = float("inf")

    def update(self, capacity: Capacity, now_s: float, *, is_full: bool) -> float:
        """Return the bias as a share of the capacity; 0 if the service is not full."""
        if not is_full:
            self._share, self._updated_s = 0.0, float("inf")
            return 0.0
        elapsed_s = min(max(now_s - self._updated_s, 0.0), _BIAS_STEP_MAX_S)
        self._updated_s = now_s
        error = (capacity.target_in_flight - capacity.in_flight) / capacity.slots
        error = min(max(error, -_BIAS_ERROR_MAX), _BIAS_ERROR_MAX)
        change = error * capacity.mean_s * _BIAS_GAIN_PER_S2 * elapsed_s
        self._share = min(max(self._share + change, -_BIAS_MAX), _BIAS_MAX)
        return self._share
