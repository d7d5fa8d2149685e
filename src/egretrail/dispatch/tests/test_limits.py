"""How instances share a limit that an upstream advertised for the whole fleet."""

from dataclasses import replace

from egretrail.dispatch import (
    AdvertisedLimit,
    AdvertisedLimits,
    Choice,
    FleetLoad,
    LimitPosition,
    Observation,
    Outcome,
    Placement,
    PlacementQuery,
    Refusal,
    RefusalReason,
    ServiceDurations,
    SuspicionTable,
    TrialScheduler,
)
from egretrail.testing import EgretrailTestCase, cases
from egretrail.traffic import UpstreamRecord, UpstreamState

_UPSTREAM = UpstreamRecord("u", "s", "10.0.0.1:80", "a", 3, UpstreamState.READY)
_ALONE = LimitPosition(True, 0, 1, 1, 1.0)


def _position(rank: int, *, responsible: bool = True, known_share: float = 1.0) -> LimitPosition:
    return LimitPosition(responsible, rank, 10, 30, known_share)


def _count_sent(limits: AdvertisedLimits, from_s: float, for_s: float) -> int:
    """Return how many requests are sent if one waits at any time."""
    sent = 0
    for step in range(round(for_s * 100)):
        now_s = from_s + step / 100
        if limits.admits(_UPSTREAM, now_s):
            limits.record_send(_UPSTREAM, now_s)
            sent += 1
    return sent


class ShareTest(EgretrailTestCase):
    @cases(
        {
            "small limit, first instance of the zone": (0.3, _position(0), 0.3),
            "small limit, second instance": (0.3, _position(1), 0.0),
            "last instance with a share": (2.0, _position(3), 0.5),
            "first instance without a share": (2.0, _position(4), 0.0),
            "instance of another zone": (2.0, _position(0, responsible=False), 0.0),
            "limit shared by the whole zone": (12.0, _position(9), 1.2),
            "limit shared by the whole fleet": (60.0, _position(9, responsible=False), 2.0),
            "partitioned with a tenth of the fleet": (2.0, _position(0, known_share=0.1), 0.2),
            "limit of zero": (0.0, _position(0), 0.0),
        }
    )
    def test_share(self, case: tuple[float, LimitPosition, float]) -> None:
        limit_per_s, position, rate_per_s = case
        self.assertAlmostEqual(rate_per_s, position.share(limit_per_s).rate_per_s)

    @cases({str(limit): limit for limit in (0.1, 0.7, 1.1, 1.8, 4.9, 5.0, 14.0, 15.0, 90.0)})
    def test_shares_add_up_to_the_limit(self, limit_per_s: float) -> None:
        zones = [(True, 10), (False, 10), (False, 10)]
        shares = [
            _position(rank, responsible=responsible).share(limit_per_s)
            for responsible, size in zones
            for rank in range(size)
        ]
        self.assertAlmostEqual(limit_per_s, sum(share.rate_per_s for share in shares))
        # All buckets may be full and emptied at the same moment.
        in_4_s = 4 * limit_per_s + sum(share.burst for share in shares)
        self.assertLess(in_4_s, 1.5 * 4 * limit_per_s + 5)


class SendingTest(EgretrailTestCase):
    @cases({"none": (None, 400), "two": (2.0, 8), "a_tenth": (0.1, 0), "zero": (0.0, 0)})
    def test_sent_in_4_s(self, case: tuple[float | None, int]) -> None:
        limit_per_s, sent = case
        limits = AdvertisedLimits(lambda _: _ALONE)
        limits.record_advertised("u", limit_per_s, 0.0)
        self.assertAlmostEqual(sent, _count_sent(limits, 0.0, 4.0), delta=1)

    def test_an_upstream_with_a_limit_of_zero_gets_a_request_now_and_then(self) -> None:
        """Only responses show that a limit has ended."""
        limits = AdvertisedLimits(lambda _: _ALONE)
        limits.record_advertised("u", 0.0, 0.0)
        self.assertEqual(3, _count_sent(limits, 0.0, 25.0))

    def test_an_instance_that_takes_over_a_share_starts_without_tokens(self) -> None:
        position = [_position(5)]
        limits = AdvertisedLimits(lambda _: position[0])
        limits.record_advertised("u", 1.0, 0.0)
        self.assertEqual(0, _count_sent(limits, 0.0, 5.0))
        position[0] = _position(0)
        self.assertFalse(limits.admits(_UPSTREAM, 5.3))
        self.assertTrue(limits.admits(_UPSTREAM, 7.5))

    def test_retry_after_is_the_time_until_the_next_token(self) -> None:
        limits = AdvertisedLimits(lambda _: _ALONE)
        limits.record_advertised("u", 2.0, 0.0)
        limits.record_send(_UPSTREAM, 0.0)
        self.assertAlmostEqual(0.5, limits.retry_after_s([_UPSTREAM], 0.0))
        limits = AdvertisedLimits(lambda _: _position(9))
        limits.record_advertised("u", 4.0, 0.0)
        self.assertAlmostEqual(0.25, limits.retry_after_s([_UPSTREAM], 0.0))


class EndTest(EgretrailTestCase):
    @cases(
        {
            "at once, by a response that may be older": (0.1, False),
            "later": (0.6, True),
        }
    )
    def test_a_response_without_a_limit_ends_it(self, case: tuple[float, bool]) -> None:
        after_s, ends = case
        limits = AdvertisedLimits(lambda _: _ALONE)
        limits.record_advertised("u", 2.0, 0.0)
        limits.record_advertised("u", None, after_s)
        self.assertEqual(ends, limits.limit_per_s("u") is None)

    def test_an_older_limit_from_a_peer_is_ignored(self) -> None:
        limits = AdvertisedLimits(lambda _: _ALONE)
        limits.record_advertised("u", 2.0, 0.0)
        limits.record_advertised("u", None, 1.0)
        self.assertFalse(limits.apply_peer_limit(AdvertisedLimit("u", 2.0, 0.5), 1.2))
        self.assertTrue(limits.apply_peer_limit(AdvertisedLimit("u", 3.0, 1.5), 1.6))
        self.assertEqual(3.0, limits.limit_per_s("u"))

    def test_a_limit_expires_if_it_is_not_advertised_again(self) -> None:
        limits = AdvertisedLimits(lambda _: _position(9))
        limits.record_advertised("u", 1.0, 0.0)
        self.assertFalse(limits.admits(_UPSTREAM, 29.0))
        self.assertTrue(limits.admits(_UPSTREAM, 31.0))

    def test_another_lifetime_has_no_limit(self) -> None:
        limits = AdvertisedLimits(lambda _: _position(9))
        limits.record_advertised("u", 1.0, 0.0)
        limits.keep_only({"u~2"}, 1.0)
        self.assertTrue(limits.admits(replace(_UPSTREAM, started_ms=2), 1.0))

    @cases({"until it expires": (29.0, 1.0), "not after that": (31.0, None)})
    def test_the_limit_of_an_upstream_outlasts_a_gap_in_the_list(
        self, case: tuple[float, float | None]
    ) -> None:
        """Guards against a burst from all instances when an entry vanishes and returns."""
        at_s, limit_per_s = case
        limits = AdvertisedLimits(lambda _: _position(9))
        limits.record_advertised("u", 1.0, 0.0)
        limits.keep_only(set(), at_s)
        self.assertEqual(limit_per_s, limits.limit_per_s("u"))
        self.assertIs(limit_per_s is None, limits.admits(_UPSTREAM, at_s))


class PublishingTest(EgretrailTestCase):
    @cases(
        {
            "unchanged, at once": (2.0, 0.2, False),
            "slightly changed": (2.1, 0.2, False),
            "halved": (1.0, 0.2, True),
            "unchanged, after a while": (2.0, 5.5, True),
            "ended": (None, 0.8, True),
        }
    )
    def test_what_is_published_to_peers(self, case: tuple[float | None, float, bool]) -> None:
        limit_per_s, at_s, is_published = case
        limits = AdvertisedLimits(lambda _: _ALONE)
        self.assertIsNotNone(limits.record_advertised("u", 2.0, 0.0))
        self.assertEqual(is_published, limits.record_advertised("u", limit_per_s, at_s) is not None)


class PlacementTest(EgretrailTestCase):
    def _placement(self, limits_per_s: dict[str, float]) -> Placement:
        load, suspicion = FleetLoad(), SuspicionTable("me")
        limits = AdvertisedLimits(lambda _: _ALONE)
        for name, limit_per_s in limits_per_s.items():
            limits.record_advertised(name, limit_per_s, 0.0)
            limits.record_send(replace(_UPSTREAM, name=name), 0.0)
        trials = TrialScheduler(load, suspicion)
        return Placement("a", load, ServiceDurations(), suspicion, trials, limits=limits)

    def _choose(self, placement: Placement, now_s: float) -> Choice | Refusal:
        ready = [replace(_UPSTREAM, name=name) for name in ("u", "v")]
        query = PlacementQuery("s", remaining_s=3.0, objective_remaining_s=3.0, is_retryable=False)
        return placement.choose(query, ready, now_s)

    def test_an_upstream_without_tokens_is_not_chosen(self) -> None:
        placement = self._placement({"u": 0.1})
        for _ in range(20):
            choice = self._choose(placement, 1.0)
            assert isinstance(choice, Choice)
            self.assertEqual("v", choice.upstream.name)

    def test_hedged_requests_take_no_tokens(self) -> None:
        placement = self._placement({"u": 50.0, "v": 50.0})
        query = PlacementQuery(
            "s", remaining_s=3.0, objective_remaining_s=3.0, is_retryable=True, spare_only=True
        )
        self.assertIsInstance(placement.choose(query, [_UPSTREAM], 5.0), Refusal)

    def test_a_trial_needs_a_token(self) -> None:
        placement = self._placement({"u": 0.1})
        failed = Observation("u", Outcome.FAILED, 0.001)
        placement.suspicion.record_outcome(failed, "b", 0.3, 0.0)
        choice = self._choose(placement, 9.0)
        assert isinstance(choice, Choice)
        self.assertEqual("v", choice.upstream.name)

    def test_a_request_is_refused_if_no_upstream_has_a_token(self) -> None:
        refusal = self._choose(self._placement({"u": 0.5, "v": 1.0}), 0.5)
        assert isinstance(refusal, Refusal)
        self.assertIs(RefusalReason.LIMITED, refusal.reason)
        self.assertAlmostEqual(0.5, refusal.retry_after_s)
