"""The state of a service, its capacity and the rates behind them, on tables of cases."""

from collections.abc import Sequence

from egretrail.overload import DemandRow, ServiceRoom, ServiceState
from egretrail.overload._capacity import Capacity, CapacityBias, QueueForecast
from egretrail.overload._fleet_totals import RateTracker, ServiceDemand
from egretrail.overload._state import StateDetector
from egretrail.testing import EgretrailTestCase, cases

#: 100 slots take 333 requests a second; the queue's target is 193 in flight.
_FREE, _FULL = ServiceRoom(100, 50, 0.3), ServiceRoom(100, 200, 0.3)


class StateTest(EgretrailTestCase):
    @cases(
        {
            # in flight of 100 slots, offered, shed, retries wanted, states after 1 s of it
            "calm": (70, 230, 0, 0, ServiceState.NORMAL),
            "slots taken, a short queue": (140, 330, 0, 0, ServiceState.NORMAL),
            "a queue that will be long when others know": (170, 450, 0, 0, ServiceState.FULL),
            "a long queue": (200, 400, 0, 0, ServiceState.FULL),
            "half is refused, slots free": (40, 230, 150, 150, ServiceState.SHEDDING),
            "a tenth is refused": (60, 230, 24, 24, ServiceState.NORMAL),
            "refused because slots are taken": (120, 400, 100, 100, ServiceState.NORMAL),
            "a third fails and is retried": (70, 230, 0, 70, ServiceState.NORMAL),
            "a single refusal": (1, 2, 1, 1, ServiceState.NORMAL),
        }
    )
    def test_state(self, case: tuple[int, int, int, int, ServiceState]) -> None:
        in_flight, offered, shed, wanted, expected = case
        row = DemandRow(offered, 0, shed, wanted)
        demand = ServiceDemand({0: row}, {0: float(offered)}, {0: float(shed)})
        capacity = Capacity.of(ServiceRoom(100, in_flight, 0.3), 1.1, 1.0)
        self.assertEqual(expected, StateDetector().update(capacity, demand, 50.0, 5.0))

    @cases(
        {
            # what follows a full second of 200 in flight: in flight, offered per second, state
            "queue at half its target": (150, 600.0, ServiceState.FULL),
            "slots empty briefly, demand above": (85, 600.0, ServiceState.FULL),
            "queue gone, demand below": (105, 300.0, ServiceState.NORMAL),
            "queue gone, demand above": (105, 400.0, ServiceState.FULL),
            "slots empty for longer, demand above": (60, 600.0, ServiceState.FULL),
            "slots empty, demand below": (60, 300.0, ServiceState.NORMAL),
            "most slots free, old demand above": (45, 600.0, ServiceState.NORMAL),
        }
    )
    def test_full_ends_at_lower_thresholds_than_it_starts(
        self, case: tuple[int, float, ServiceState]
    ) -> None:
        in_flight, offered_per_s, expected = case
        detector = StateDetector()
        demand = ServiceDemand({}, {0: 600.0})
        detector.update(Capacity.of(_FULL, 1.1, 1.0), demand, 0.0, 5.0)
        room = ServiceRoom(100, in_flight, 0.3)
        after = ServiceDemand({}, {0: offered_per_s})
        state = detector.update(Capacity.of(room, 1.1, 1.0), after, 0.0, 5.2)
        self.assertEqual(expected, state)

    def test_refusals_of_a_full_service_do_not_make_it_shed_afterwards(self) -> None:
        detector = StateDetector()
        demand = ServiceDemand({0: DemandRow(300, 0, 150, 150)}, {0: 300.0}, {0: 150.0})
        detector.update(Capacity.of(_FULL, 1.1, 1.0), demand, 50.0, 5.0)
        free = Capacity.of(_FREE, 1.1, 1.0)
        states = [detector.update(free, demand, 50.0, now_s) for now_s in (5.2, 5.9, 6.1)]
        self.assertEqual([ServiceState.NORMAL] * 2 + [ServiceState.SHEDDING], states)


class CapacityTest(EgretrailTestCase):
    @cases(
        {
            # in flight, room; 100 slots take 333 a second, the target is 193, the longest 287
            "at the target": (193.3, 333.3),
            "below it": (100.0, 426.7),
            "above it": (250.0, 276.7),
            "far above it": (280.0, 250.0),
            "the most urgent would be late": (320.0, 116.7),
        }
    )
    def test_the_queue_is_corrected_over_a_second(self, case: tuple[float, float]) -> None:
        in_flight, expected = case
        capacity = Capacity.of(ServiceRoom(100, 0, 0.3), 1.1, 1.0).plus_in_flight(in_flight)
        self.assertAlmostEqual(expected, capacity.corrected_per_s, delta=0.1)

    def test_a_lasting_difference_is_learned_and_forgotten_with_the_state(self) -> None:
        bias = CapacityBias()
        capacity = Capacity.of(ServiceRoom(100, 230, 0.3), 1.1, 1.0)
        shares = [bias.update(capacity, 500.0, step / 10, is_full=True) for step in range(21)]
        # 0.37 of the slots above the target, times 0.3 s, times 0.5 per square second, for 2 s.
        self.assertAlmostEqual(-0.11, shares[-1], delta=0.005)
        self.assertEqual(0.0, bias.update(capacity, 500.0, 2.1, is_full=False))
        frozen = [bias.update(capacity, 500.0, at_s, is_full=True) for at_s in (3.0, 9.0)]
        self.assertAlmostEqual(-0.0275, frozen[-1], delta=0.002)

    def test_what_was_admitted_lately_is_expected_in_the_queue(self) -> None:
        forecast = QueueForecast()
        self.assertEqual(0.0, forecast.requests(10.0, 1.0))
        forecast.record(100.0, 10.0, 1.0)
        self.assertAlmostEqual(10.0, forecast.requests(10.0, 1.1))
        forecast.record(-4.0, 1.0, 1.2)
        for now_s, requests in ((1.2, 20.0), (1.3, 15.0 - 4.0), (1.6, -10.0)):
            self.assertAlmostEqual(requests, forecast.requests(10.0, now_s))


class RateTrackerTest(EgretrailTestCase):
    @cases({"regular": [0.2] * 12, "irregular": [0.1, 0.3, 0.2] * 4, "lost": [0.2, 0.4, 0.2] * 3})
    def test_a_burst_shows_before_it_fills_the_window(self, steps: Sequence[float]) -> None:
        tracker = RateTracker()
        now_s, rates = 0.0, []
        for step in steps:
            now_s += step
            burst = max(min(now_s - 1.0, 1.0), 0.0)
            tracker.update(round(200 + 300 * burst), now_s)
            rates.append((now_s, tracker.per_s()))
        for now_s, per_s in rates:
            if now_s <= 1.0:
                self.assertAlmostEqual(200.0, per_s, delta=5.0)
            elif now_s >= 1.5:
                self.assertAlmostEqual(500.0, per_s, delta=25.0)
