"""Membership, relays and the form of datagrams."""

import zlib
from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import Any

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from egretrail.cluster import (
    Beat,
    DropReport,
    FetchReply,
    FetchRequest,
    InstanceState,
    LossReport,
    Membership,
    Path,
    Relay,
    decode_datagram,
    decode_reply,
    decode_request,
    encode_datagrams,
    encode_reply,
    encode_request,
)
from egretrail.dispatch import DoubtRecord, Observation, Outcome, RepeatCounts, RequestDigest
from egretrail.testing import EgretrailTestCase, cases
from egretrail.traffic import UpstreamRecord, UpstreamState


def _beat(origin: str, sequence: int = 1, **changes: Any) -> Beat:
    beat = Beat(origin, "a", 7, sequence, InstanceState.READY, 1.0, 3, 40, False)
    return replace(beat, **changes)


class CodecTest(EgretrailTestCase):
    def test_a_beat_comes_back_as_it_was(self) -> None:
        beat = _beat(
            "10.0.0.2",
            loads={"u1": 2},
            first_observation=9,
            observations=[Observation("u1", Outcome.FAILED, 0.003)],
            losses=[LossReport(RequestDigest(2**63 + 5), "u1")],
            repeats={"s": RepeatCounts(5, 1)},
            routine=[Observation("u2", Outcome.SUCCESS, 0.3)],
            dropped=[DropReport("u3", 41)],
        )
        [data] = encode_datagrams(Path.DIRECT, [beat])
        decoded = decode_datagram(data)
        assert isinstance(decoded, Ok)
        self.assertEqual([beat], list(decoded.ok_value.beats))

    def test_many_beats_are_split_into_packets(self) -> None:
        loads = {f"u{m}": 1 for m in range(9)}
        empty: Mapping[str, Any] = {
            name: [] for name in ("observations", "routine", "losses", "dropped")
        }
        beats = [_beat(f"10.0.0.{n}", loads=loads, **empty) for n in range(100)]
        datagrams = list(encode_datagrams(Path.ACROSS, beats))
        self.assertLessEqual(max(map(len, datagrams)), 1400)
        seen: list[Beat] = []
        for data in datagrams:
            decoded = decode_datagram(data)
            assert isinstance(decoded, Ok)
            seen += decoded.ok_value.beats
        self.assertEqual(beats, seen)

    def test_beats_between_zones_take_less_than_half_of_their_bytes(self) -> None:
        beats = [
            _beat(
                f"10.128.0.{n}",
                sequence=100 + n,
                availability_zone="south-a",
                incarnation=1_790_000_000_000 + n,
                loads={f"i-{n * 7919:08x}": 1, f"i-{n * 104729:08x}": 2},
                repeats={"orders": RepeatCounts(90 + n, n), "files": RepeatCounts(9 + n, 0)},
            )
            for n in range(11)
        ]
        plain = sum(map(len, encode_datagrams(Path.RELAYED, beats)))
        packed = sum(map(len, encode_datagrams(Path.ACROSS, beats)))
        self.assertLess(packed, plain / 2)

    @cases(
        {
            "more than a datagram can hold": zlib.compress(b"\x00" * 10_000_000),
            "cut short": zlib.compress(msgpack.packb([3, 1, []]))[:-3],
            "a beat of too few fields": msgpack.packb([3, 0, [["10.0.0.1"]]]),
            "loads that are no table": msgpack.packb(
                [3, 0, [["o", "a", 1, 1, 1, 1.0, 1, 1, True, 5]]]
            ),
            "a number without end": msgpack.packb([3, 0, [["o", "a", float("inf")]]]),
        }
    )
    def test_odd_datagrams_are_a_typed_failure(self, data: bytes) -> None:
        self.assertIsInstance(decode_datagram(data), Err)

    def test_fetches_come_back_as_they_were(self) -> None:
        record = UpstreamRecord("u", "s", "10.0.0.1:1", "a", 4, UpstreamState.DRAINING, 1.5, 9)
        doubts = [DoubtRecord("u", 1.5, 5.0, 1)]
        for reply in (FetchReply(b"{}", 9, [record], doubts), FetchReply(None, 9, None, [])):
            self.assertEqual(Ok(reply), decode_reply(encode_reply(reply)))
        request = FetchRequest(3, 9)
        self.assertEqual(Ok(request), decode_request(encode_request(request)))

    @given(st.binary(max_size=200))
    @settings(max_examples=200, deadline=None, database=None)
    def test_foreign_bytes_are_a_typed_failure(self, data: bytes) -> None:
        self.assertIsInstance(decode_datagram(data), Err)
        self.assertIsInstance(decode_request(data), Err)
        self.assertIsInstance(decode_reply(data), Err)


class MembershipTest(EgretrailTestCase):
    def _fleet(self, leaving: str = "") -> Membership:
        membership = Membership("10.0.0.1", "a")
        for number in range(2, 9):
            origin = f"10.0.0.{number}"
            zone = "a" if number < 6 else "b"
            state = InstanceState.LEAVING if origin == leaving else InstanceState.READY
            membership.hear(_beat(origin, availability_zone=zone, state=state), 0.0)
        return membership

    @cases(
        {
            "new": ({}, {"sequence": 2}, True),
            "the same again": ({}, {}, False),
            "older": ({"sequence": 5}, {"sequence": 4}, False),
            "an older lifetime, late": ({"incarnation": 9}, {"sequence": 50}, False),
            "a new lifetime": ({"sequence": 50}, {"incarnation": 8}, True),
        }
    )
    def test_news(self, case: tuple[Mapping[str, Any], Mapping[str, Any], bool]) -> None:
        first, second, news = case
        membership = Membership("10.0.0.1", "a")
        membership.hear(_beat("10.0.0.2", **first), 0.0)
        heard = membership.hear(_beat("10.0.0.2", **second), 0.1)
        self.assertIs(news, heard is not None)

    def test_a_silent_instance_of_the_own_zone_is_gone_within_a_second_and_a_bit(self) -> None:
        membership = self._fleet()
        self.assertEqual([], membership.expire(1.0))
        gone = {peer.beat.origin for peer in membership.expire(1.2)}
        self.assertEqual({f"10.0.0.{n}" for n in range(2, 6)}, gone)
        self.assertEqual(3, len(membership.expire(2.3)))

    @cases(
        {
            "an old word, soon": ({"incarnation": 9}, {"incarnation": 9}, 2.0, False),
            "a new lifetime": ({"incarnation": 9}, {"incarnation": 10}, 2.0, True),
            "after a clock was set back, soon": (
                {"incarnation": 9},
                {"incarnation": 8},
                2.0,
                False,
            ),
            "after a clock was set back": ({"incarnation": 9}, {"incarnation": 8}, 6.0, True),
        }
    )
    def test_an_instance_that_is_gone_comes_back_by_a_new_lifetime(
        self, case: tuple[Mapping[str, Any], Mapping[str, Any], float, bool]
    ) -> None:
        before, after, now_s, heard = case
        membership = Membership("10.0.0.1", "a")
        membership.hear(_beat("10.0.0.2", 5, **before), 0.0)
        membership.expire(1.5)
        self.assertIs(heard, membership.hear(_beat("10.0.0.2", 1, **after), now_s) is not None)

    def test_one_relay_a_zone_and_all_agree(self) -> None:
        relays = set()
        addresses = [f"10.0.0.{n}" for n in range(1, 6)]
        for own in addresses:
            membership = Membership(own, "a")
            for other in addresses:
                membership.hear(_beat(other), 0.0)
            relays.add(membership.relays("a")[0])
        self.assertEqual(1, len(relays))

    def test_a_leaving_instance_is_no_relay_and_tries_nothing(self) -> None:
        relay = self._fleet().relays("b")[0]
        membership = self._fleet(leaving=relay)
        self.assertNotIn(relay, membership.relays("b"))
        membership.leave()
        self.assertNotIn("10.0.0.1", membership.relays("a"))

    def test_other_zones_try_behind_the_zones_own(self) -> None:
        membership = self._fleet()
        self.assertLess(membership.rank_for("t", "a"), 5)
        self.assertGreaterEqual(membership.rank_for("t", "b"), 3)
        self.assertLess(membership.rank_for("t", "nobody's"), 5)


class RelayTest(EgretrailTestCase):
    _FAILURE = (Observation("u", Outcome.FAILED, 0.003),)

    @cases(
        {
            "a failure": ({"observations": _FAILURE}, 0.1, 0.05),
            "a new configuration": ({"config_version": 4}, 0.1, 0.05),
            "an instance that leaves": ({"state": InstanceState.LEAVING}, 0.1, 0.05),
            "a load": ({"loads": {"u": 1}}, 0.1, 0.5),
            "nothing new, soon": ({}, 0.1, None),
            "nothing new, later": ({}, 0.5, 0.5),
        }
    )
    def test_delay(self, case: tuple[Mapping[str, Any], float, float | None]) -> None:
        changes, now_s, longest_s = case
        relay = Relay()
        relay.offer(_beat("10.0.0.2", 1), -0.02)
        self.assertEqual(1, len(relay.take(0.0)))
        delay_s = relay.offer(_beat("10.0.0.2", 2, **changes), now_s)
        if longest_s is None:
            self.assertIsNone(delay_s)
            return
        assert delay_s is not None
        self.assertLessEqual(delay_s, longest_s)

    def test_only_the_last_beat_of_a_batch_crosses_without_what_stays_in_the_zone(self) -> None:
        relay = Relay()
        routine = [Observation("u", Outcome.SUCCESS, 0.3)]
        for sequence in range(1, 5):
            relay.offer(_beat("10.0.0.2", sequence, routine=routine), 0.0)
        [beat] = relay.take(0.02)
        self.assertEqual((4, ()), (beat.sequence, beat.routine))
        self.assertEqual([], relay.take(0.1))

    def test_what_is_urgent_takes_nothing_along_that_can_wait(self) -> None:
        relay = Relay()
        for origin in ("10.0.0.2", "10.0.0.3"):
            relay.offer(_beat(origin, 1), -0.02)
        relay.take(0.0)
        relay.offer(_beat("10.0.0.2", 2, loads={"u": 1}), 0.1)
        relay.offer(_beat("10.0.0.3", 2, observations=self._FAILURE), 0.1)
        self.assertEqual(["10.0.0.3"], [beat.origin for beat in relay.take(0.13)])
        next_s = relay.next_due_s()
        assert next_s is not None
        self.assertAlmostEqual(0.3, next_s)
        self.assertEqual(["10.0.0.2"], [beat.origin for beat in relay.take(next_s)])
        self.assertIsNone(relay.next_due_s())

    def test_what_can_wait_waits_longer_in_a_large_fleet(self) -> None:
        relay = Relay()
        relay.offer(_beat("10.0.0.2", 1), -0.02, 124)
        relay.take(0.0)
        delay_s = relay.offer(_beat("10.0.0.2", 2, loads={"u": 1}), 0.1, 124)
        assert delay_s is not None
        self.assertGreater(delay_s, 0.3)
        urgent = _beat("10.0.0.2", 3, observations=self._FAILURE)
        self.assertLessEqual(relay.offer(urgent, 0.1, 124) or 1.0, 0.03)


class BroadcastersTest(EgretrailTestCase):
    @cases(
        {
            "a small zone": ([1.0] * 5, 1, False),
            "a large zone of equals": ([1.0] * 31, 5, False),
            "two strong ones": ([0.43] * 29 + [2.15] * 2, 2, True),
        }
    )
    def test_strong_instances_share_a_zones_tasks(
        self, case: tuple[Sequence[float], int, bool]
    ) -> None:
        capacities, count, strong_only = case
        membership = Membership("10.9.0.1", "z")
        for number, capacity in enumerate(capacities):
            beat = _beat(f"10.1.0.{number}", 1, availability_zone="a", capacity=capacity)
            membership.hear(beat, 0.0)
        broadcasters = membership.broadcasters("a")
        self.assertEqual(count, len(broadcasters))
        self.assertEqual(list(membership.relays("a"))[:count], list(broadcasters))
        if strong_only:
            strong = {f"10.1.0.{n}" for n, c in enumerate(capacities) if c > 1.0}
            self.assertEqual(strong, set(broadcasters))
