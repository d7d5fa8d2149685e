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

    @property
    def per_s(self) -> float:
        """Requests per second that the slots take."""
        return self.slots / self.mean_s

    @property
    def target_in_flight(self) -> float:
        """Requests in flight at which the wait is the target."""
        return self.slots * (1.0 + self.target_wait_s / self.mean_s)

    @property
    def corrected_per_s(self) -> float:
        """Requests per second that bring the queue to its target."""
        return max(self.per_s + (self.target_in_flight - self.in_flight) / _CORRECTION_S, 0.0)

    def wait_s(self) -> float:
        """Return the expected wait for a slot."""
        if not self.slots:
            return 0.0
        return max(self.in_flight - self.slots, 0.0) / self.slots * self.mean_s
