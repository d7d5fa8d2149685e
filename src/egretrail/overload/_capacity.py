"""What a service can take, and how long its queue may become."""

from collections import deque
from dataclasses import dataclass

from egretrail.overload._policy import ServiceRoom

#: Nine of ten requests take less than this many typical durations (as in ``egretrail.dispatch``);
#: what the objective has left beyond them may be spent waiting.
_OBJECTIVE_DURATION_FACTOR = 1.8
#: The part of the longest wait that the queue is held at. The other half covers what is admitted
#: before instances know of each other's requests.
_TARGET_SHARE = 0.5
#: Shortest longest wait, in typical durations, where the objective leaves none. With a shorter
#: queue, the differences between upstreams leave slots empty.
_WAIT_MIN_FACTOR = 0.5
#: The queue is corrected to its target over this time.
_CORRECTION_S = 1.0
#: A queue that is too long takes no more than this part of the capacity. Without the bound, a queue
#: that overshoots at the beginning of a burst leaves nothing to accounts that ask for little.
_CORRECTED_MIN = 0.75
#: What exceeds the longest wait is corrected over this time, at the cost of less urgent requests.
_EXCESS_CORRECTION_S = 0.25
#: What is known of other instances is this old on average.
VIEW_AGE_S = 0.25
#: Rate at which the bias follows the queue. By calculation, together with the correction over one
#: second it damps swings of the queue by 0.7 of the critical damping, with 0.25 s of delay by less.
_BIAS_GAIN_PER_S2 = 0.5
#: Largest difference from the target that is integrated, as a share of the slots: what is admitted
#: before a burst is known is not a sign of less capacity.
_BIAS_ERROR_MAX = 0.5
#: Bound of the bias.
_BIAS_MAX = 0.5
#: An instance that asks rarely, or was frozen, integrates at most this time at once.
_BIAS_STEP_MAX_S = 0.5
#: Decisions that follow each other sooner are not recorded, so that a forecast stays cheap.
_FORECAST_STEP_S = 0.05


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
        slots, in_flight = self.slots * share, self.in_flight * share
        return Capacity(slots, in_flight, self.mean_s, self.target_wait_s, self.bias_per_s)

    def plus_in_flight(self, requests: float) -> "Capacity":
        """Return the capacity with more requests in flight, or fewer."""
        in_flight = max(self.in_flight + requests, 0.0)
        return Capacity(self.slots, in_flight, self.mean_s, self.target_wait_s, self.bias_per_s)

    def with_bias(self, share: float) -> "Capacity":
        """Return the capacity with a bias, given as a share of the slots' capacity."""
        bias_per_s = share * self.slots / self.mean_s
        return Capacity(self.slots, self.in_flight, self.mean_s, self.target_wait_s, bias_per_s)

    @property
    def per_s(self) -> float:
        """Requests per second that the slots take."""
        return self.slots / self.mean_s + self.bias_per_s

    @property
    def target_in_flight(self) -> float:
        """Requests in flight at which the wait is the target."""
        return self.slots * (1.0 + self.target_wait_s / self.mean_s)

    @property
    def longest_in_flight(self) -> float:
        """Requests in flight beyond which the most urgent ones wait too long."""
        return self.slots * (1.0 + self.target_wait_s / _TARGET_SHARE / self.mean_s)

    @property
    def corrected_per_s(self) -> float:
        """Requests per second that bring the queue to its target."""
        correction_per_s = (self.target_in_flight - self.in_flight) / _CORRECTION_S
        corrected_per_s = max(self.per_s + correction_per_s, self.per_s * _CORRECTED_MIN)
        excess = max(self.in_flight - self.longest_in_flight, 0.0)
        return max(corrected_per_s - excess / _EXCESS_CORRECTION_S, 0.0)


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

    def update(
        self, capacity: Capacity, offered_per_s: float, now_s: float, *, is_full: bool
    ) -> float:
        """Return the bias as a share of the capacity; 0 if the service is not full."""
        if not is_full:
            self._share, self._updated_s = 0.0, float("inf")
            return 0.0
        elapsed_s = min(max(now_s - self._updated_s, 0.0), _BIAS_STEP_MAX_S)
        self._updated_s = now_s
        if capacity.in_flight > capacity.longest_in_flight:
            # This was admitted before the burst was known, or by too large a bias.
            self._share = min(self._share, 0.0)
            return self._share
        error = (capacity.target_in_flight - capacity.in_flight) / capacity.slots
        if error > 0.0 and offered_per_s <= capacity.per_s * (1.0 + self._share):
            # The queue is short for want of demand, which says nothing about the capacity.
            return self._share
        error = min(max(error, -_BIAS_ERROR_MAX), _BIAS_ERROR_MAX)
        change = error * capacity.mean_s * _BIAS_GAIN_PER_S2 * elapsed_s
        self._share = min(max(self._share + change, -_BIAS_MAX), _BIAS_MAX)
        return self._share


class QueueForecast:
    """What was admitted beyond the capacity, and does not show yet in the requests in flight.

    What is known of other instances is a quarter of a second old, which is longer than a request
    takes. All instances admit alike, so each knows from its own decisions what the others admitted
    meanwhile. Corrected by what is known alone, the queue would swing between empty and too long.
    """

    def __init__(self) -> None:
        #: Times of decisions, and what is admitted beyond the capacity from then on: requests per
        #: second and slot, since the part of the slots that is decided over may change.
        self._rates: deque[tuple[float, float]] = deque()

    def record(self, excess_per_s: float, slots: float, now_s: float) -> None:
        """Record what is admitted beyond the capacity of some slots from now on."""
        if self._rates and now_s - self._rates[-1][0] < _FORECAST_STEP_S:
            return
        self._rates.append((now_s, excess_per_s / slots if slots else 0.0))
        while len(self._rates) > 1 and self._rates[1][0] <= now_s - VIEW_AGE_S:
            self._rates.popleft()

    def requests(self, slots: float, now_s: float) -> float:
        """Return what was added to the queue of some slots in the time that is not known."""
        total = 0.0  # for each slot
        first_s = now_s - VIEW_AGE_S
        until_s = now_s
        for at_s, per_s in reversed(self._rates):
            if at_s <= first_s:
                return (total + (until_s - first_s) * per_s) * slots
            total += (until_s - at_s) * per_s
            until_s = at_s
        return total * slots
