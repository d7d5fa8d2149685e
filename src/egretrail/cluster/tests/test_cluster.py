"""Tests of membership and of the wire format of datagrams and fetch messages."""

import zlib
from collections.abc import Mapping, Sequence
from typing import Any

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from egretrail.cluster import (
    ChangedRows,
    ConfigManifest,
    DropReport,
    FetchChunks,
    FetchManifest,
    FetchUpstreams,
    HeartbeatsDatagram,
    HubTerm,
    Instance,
    InstanceState,
    Introduction,
    LimitReport,
    LoadRows,
    LoadSlice,
    LossReport,
    Membership,
    OutcomeReport,
    RosterSlice,
    Scope,
    Section,
    SectionsDatagram,
    UpstreamsReply,
    decode_chunks,
    decode_datagram,
    decode_fetch,
    decode_manifest,
    decode_upstreams,
    encode_fetch,
    encode_heartbeats,
    encode_introduction,
    encode_manifest,
    encode_relayed,
    encode_sections,
    encode_upstreams,
)
from egretrail.cluster.tests.messages import heartbeat, instance, section
from egretrail.dispatch import Outcome, RequestDigest, RetryCounts, SuspicionRecord
from egretrail.overload import DemandKey, DemandReport, DemandRow
from egretrail.testing import EgretrailTestCase, cases
from egretrail.traffic import UpstreamRecord, UpstreamState

_FAILURE = OutcomeReport(77, Outcome.FAILED, 0.003, "10.0.0.2")


class HeartbeatCodecTest(EgretrailTestCase):
    def test_heartbeat_round_trip(self) -> None:
        sent = heartbeat(
            "10.0.0.2",
            loads={2**32 - 1: 2},
            first_outcome=9,
            outcomes=[_FAILURE],
            losses=[LossReport(RequestDigest(2**63 + 5), 77)],
            retries={"s": RetryCounts(5, 1)},
            known_retries={"s": RetryCounts(4, 1)},
            successes=[OutcomeReport(78, Outcome.SUCCESS, 0.3, "10.0.0.2")],
            dropped=[DropReport("u3", 41)],
            limits=[LimitReport(7, 1.5, 0.25), LimitReport(8, None, 1.0)],
            replaced=["u4~1f"],
            is_isolated=True,
            demand=DemandReport({DemandKey(7, 1): DemandRow(4, 1, 0, 2)}),
        )
        decoded = decode_datagram(encode_heartbeats(HeartbeatsDatagram(1, [sent])))
        self.assertEqual(Ok(HeartbeatsDatagram(1, [sent])), decoded)


class SectionCodecTest(EgretrailTestCase):
    @cases(
        {
            "nothing": {},
            "loads": {
                "changed": ChangedRows((1, 2**32 - 1), bytes([0, 255]), [0.0, 0.0]),
                "loads": LoadSlice(3, 10, LoadRows((13, 23), bytes([1, 2]))),
                "acknowledged": bytes(range(73)),
            },
            "outcomes": {"first_outcome": 2**40, "outcomes": [_FAILURE], "refusals": (5, 6)},
            "reports": {
                "losses": [LossReport(RequestDigest(2**63 + 5), 77)],
                "dropped": [DropReport("u3", 41)],
                "limits": [LimitReport(7, 1.5, 0.25), LimitReport(2**32 - 1, None, 1.0)],
                "retries": {"s": RetryCounts(2**33, 1)},
                "draining": ["u3~3e8", "u4"],
            },
            "demand": {"demand": DemandReport({DemandKey(7, 1): DemandRow(4, 1, 0, 2)})},
            "retry counts of earlier hubs": {
                "recent_retries": {"s": RetryCounts(70, 2)},
                "earlier_terms": [
                    HubTerm("10.0.0.9", 2**40, {"s": RetryCounts(9, 1)}, {"s": RetryCounts(7, 0)}),
                    HubTerm("10.0.0.8", 6, {}, {}),
                ],
            },
            "a roster": {
                "roster": RosterSlice(
                    0, 2, True, [instance("10.0.0.2"), instance("10.0.0.4", capacity=2.15)], [0, 7]
                )
            },
        }
    )
    def test_section_round_trip(self, fields: Mapping[str, Any]) -> None:
        sent = section(**fields)
        for cross_zone in (False, True):
            [data] = encode_sections([sent], cross_zone=cross_zone)
            decoded = decode_datagram(data)
            assert isinstance(decoded, Ok)
            datagram = decoded.ok_value
            assert isinstance(datagram, SectionsDatagram)
            self.assertEqual((cross_zone, 0), (datagram.is_cross_zone, datagram.hops))
            [received] = datagram.sections
            for name, value in fields.items():
                self.assertEqual(value, getattr(received, name))
            self.assertEqual([data], list(encode_sections([received], cross_zone=cross_zone)))
            relayed = decode_datagram(encode_relayed(datagram))
            assert isinstance(relayed, Ok)
            assert isinstance(relayed.ok_value, SectionsDatagram)
            self.assertEqual(
                (1, [received]), (relayed.ok_value.hops, list(relayed.ok_value.sections))
            )

    @cases({"a millisecond": 0.001, "a typical request": 0.32, "a minute": 59.0})
    def test_durations_are_decoded_within_their_precision(self, duration_s: float) -> None:
        sent = section(changed=ChangedRows((1,), b"\x01", [duration_s]))
        [data] = encode_sections([sent], cross_zone=False)
        decoded = decode_datagram(data)
        assert isinstance(decoded, Ok)
        assert isinstance(decoded.ok_value, SectionsDatagram)
        [decoded_s] = decoded.ok_value.sections[0].changed.durations_s
        self.assertLess(abs(decoded_s / duration_s - 1.0), 0.025)

    def test_many_sections_are_split_into_packets(self) -> None:
        rows = LoadRows(tuple(range(100)), bytes(100))
        sent = [section(sequence=n, loads=LoadSlice(0, 1, rows)) for n in range(1, 30)]
        datagrams = list(encode_sections(sent, cross_zone=False))
        self.assertLessEqual(max(map(len, datagrams)), 1400)
        seen: list[Section] = []
        for data in datagrams:
            decoded = decode_datagram(data)
            assert isinstance(decoded, Ok)
            assert isinstance(decoded.ok_value, SectionsDatagram)
            seen += decoded.ok_value.sections
        self.assertEqual([one.sequence for one in sent], [one.sequence for one in seen])


class IntroductionCodecTest(EgretrailTestCase):
    def test_introductions_are_split_into_packets(self) -> None:
        known = [
            instance(f"10.0.{n % 3}.{n}", availability_zone=f"zone-{n % 3}") for n in range(200)
        ]
        sent = Introduction(instance("10.0.0.1"), 3, 40, known)
        seen: set[Instance] = set()
        for data in encode_introduction(sent):
            self.assertLessEqual(len(data), 1400)
            decoded = decode_datagram(data)
            assert isinstance(decoded, Ok)
            assert isinstance(decoded.ok_value, Introduction)
            self.assertEqual(sent.sender, decoded.ok_value.sender)
            self.assertEqual(3, decoded.ok_value.config_version)
            seen |= set(decoded.ok_value.instances)
        self.assertEqual(set(known), seen)


def _section_datagram(position: int, value: object) -> bytes:
    """Return a datagram with one section, one field of which is replaced."""
    [data] = encode_sections([section(demand=DemandReport())], cross_zone=False)
    datagram = msgpack.unpackb(data)
    row = msgpack.unpackb(datagram[3][0])
    row[position] = value
    datagram[3] = [msgpack.packb(row)]
    return bytes(msgpack.packb(datagram))


def _heartbeat_datagram(position: int, value: object) -> bytes:
    """Return a datagram with one heartbeat, one field of which is replaced."""
    # Optional fields at the end are only sent with a value.
    sent = heartbeat("10.0.0.2", replaced=["u~1f"])
    datagram = msgpack.unpackb(encode_heartbeats(HeartbeatsDatagram(0, [sent])))
    datagram[3][0][position] = value
    return bytes(msgpack.packb(datagram))


def _datagram(kind: int, payload: object, version: int | None = None) -> bytes:
    """Return a datagram of the current version of the wire format, or of another one."""
    valid = msgpack.unpackb(encode_heartbeats(HeartbeatsDatagram(0, [])))
    return bytes(msgpack.packb([valid[0] if version is None else version, kind, 0, payload]))


class MalformedMessageTest(EgretrailTestCase):
    @cases(
        {
            "an origin that is not an address": (0, "o"),
            "a capacity that is not a number": (5, float("nan")),
            "an infinite capacity": (5, float("inf")),
            "a load with a key beyond 32 bits": (9, {2**32: 1}),
            "an outcome with a negative key": (11, [[-1, 1, 3]]),
            "a success with a key beyond 32 bits": (14, [[2**32, 0, 3]]),
            "a loss with a negative digest": (12, [[-1, 5]]),
        }
    )
    def test_heartbeat_with_values_that_the_hub_cannot_pack_is_malformed(
        self, case: tuple[int, object]
    ) -> None:
        self.assertIsInstance(decode_datagram(_heartbeat_datagram(*case)), Err)

    @cases(
        {
            "more than a datagram can hold": zlib.compress(b"\x00" * 10_000_000),
            "truncated": zlib.compress(_datagram(2, []))[:-3],
            "an unknown kind": _datagram(9, []),
            "a heartbeat with too few fields": _datagram(0, [["10.0.0.1"]]),
            "loads that are not a table": _heartbeat_datagram(9, 5),
            "an infinite number": _heartbeat_datagram(2, float("inf")),
            "replaced upstreams that are no list": _heartbeat_datagram(22, 5),
            "a hub that is not an address": _section_datagram(2, -1),
            "more keys than counts": _section_datagram(10, [b"\x00" * 8, b"\x01", b"\x00"]),
            "truncated keys": _section_datagram(10, [b"\x00" * 7, b"\x01", b"\x00"]),
            "a slice index that is not below the total": _section_datagram(11, [3, 3, b"", b""]),
            "a total of zero slices": _section_datagram(11, [0, 0, b"", b""]),
            "truncated outcomes": _section_datagram(14, b"\x00" * 10),
            "an unknown outcome": _section_datagram(14, b"\x00" * 4 + b"\x63" + b"\x00" * 6),
            "a truncated roster": _section_datagram(18, [0, 1, True, b"\x00" * 11]),
            "recent retries that are not pairs": _section_datagram(23, {"s": 5}),
            "an earlier hub with too few fields": _section_datagram(24, [[1, 2, {}]]),
            "draining upstreams that are no list": _section_datagram(25, 5),
            "demand that is a number": _section_datagram(27, 5),
            "demand with a truncated row": _section_datagram(27, [b"\x00" * 12, b""]),
        }
    )
    def test_malformed_datagrams_are_a_typed_error(self, data: bytes) -> None:
        decoded = decode_datagram(data)
        assert isinstance(decoded, Err)
        self.assertNotIn("unsupported version", decoded.err_value.cause)

    def test_a_heartbeat_of_an_earlier_program_reports_no_replaced_upstreams(self) -> None:
        sent = heartbeat("10.0.0.2", replaced=["u~1f"])
        datagram = msgpack.unpackb(encode_heartbeats(HeartbeatsDatagram(0, [sent])))
        for row, expected in ((datagram[3][0], ["u~1f"]), (datagram[3][0][:22], [])):
            datagram[3][0] = row
            decoded = decode_datagram(bytes(msgpack.packb(datagram)))
            assert isinstance(decoded, Ok)
            assert isinstance(decoded.ok_value, HeartbeatsDatagram)
            self.assertEqual(expected, list(decoded.ok_value.heartbeats[0].replaced))

    @cases({"an earlier one": -1, "a later one": 1})
    def test_datagrams_of_another_version_are_a_typed_error(self, difference: int) -> None:
        current = msgpack.unpackb(_datagram(0, []))[0]
        decoded = decode_datagram(_datagram(0, [], current + difference))
        assert isinstance(decoded, Err)
        self.assertIn("unsupported version", decoded.err_value.cause)

    def test_fetch_messages_round_trip(self) -> None:
        record = UpstreamRecord("u", "s", "10.0.0.1:1", "a", 4, UpstreamState.DRAINING, 1.5, 9)
        suspicions = [SuspicionRecord("u", 1.5, 5.0, 1)]
        for reply in (
            UpstreamsReply(9, [record], suspicions),
            UpstreamsReply(9, None, []),
            UpstreamsReply(9, None, [], {"u": record, "v": None}),
        ):
            self.assertEqual(Ok(reply), decode_upstreams(encode_upstreams(reply)))
        manifest = ConfigManifest(b"head", 2**64 - 1, 5, {0: 1, 255: 2**63})
        self.assertEqual(Ok(manifest), decode_manifest(encode_manifest(manifest)))
        for message in (
            FetchUpstreams(9, with_suspicions=True),
            FetchManifest(2**64 - 1),
            FetchChunks({0: 1, 255: 2**63}),
        ):
            self.assertEqual(Ok(message), decode_fetch(encode_fetch(message)))

    @given(st.binary(max_size=200))
    @settings(max_examples=200, deadline=None, database=None)
    def test_arbitrary_bytes_are_a_typed_error(self, data: bytes) -> None:
        self.assertIsInstance(decode_datagram(data), Err)
        self.assertIsInstance(decode_fetch(data), Err)
        self.assertIsInstance(decode_upstreams(data), Err)
        self.assertIsInstance(decode_manifest(data), Err)
        self.assertIsInstance(decode_chunks(data), Err)

    @given(st.integers(0, 27), st.binary(max_size=40))
    @settings(max_examples=200, deadline=None, database=None)
    def test_a_field_of_arbitrary_bytes_does_not_raise(self, position: int, value: bytes) -> None:
        self.assertIsInstance(decode_datagram(_section_datagram(position, value)), (Ok, Err))


class MembershipTest(EgretrailTestCase):
    def _membership(self, leaving: str = "") -> Membership:
        membership = Membership("10.0.0.1", "a")
        for number in range(2, 9):
            address = f"10.0.0.{number}"
            zone = "a" if number < 6 else "b"
            state = InstanceState.LEAVING if address == leaving else InstanceState.READY
            membership.record_heartbeat(instance(address, availability_zone=zone, state=state), 0.0)
        return membership

    def test_a_changed_own_capacity_changes_the_order(self) -> None:
        membership = self._membership()
        changes: list[int] = []
        membership.on_change = lambda: changes.append(1)
        hub = membership.hub_order("a")[0]
        membership.set_own_capacity(1.0)
        self.assertEqual([], changes)
        membership.set_own_capacity(10.0)
        self.assertEqual("10.0.0.1", membership.hub_order("a")[0])
        membership.set_own_capacity(0.1)
        self.assertEqual("10.0.0.1", membership.hub_order("a")[-1])
        self.assertEqual(2, len(changes))
        membership.set_own_capacity(1.0)
        self.assertEqual(hub, membership.hub_order("a")[0])

    def test_an_instance_without_heartbeats_is_removed_within_1200_ms(self) -> None:
        membership = self._membership()
        self.assertEqual([], list(membership.remove_silent(1.0)))
        self.assertEqual(7, len(membership.remove_silent(1.2)))

    def test_listed_instances_stay_alive_while_their_hub_sends_sections(self) -> None:
        membership = self._membership()
        for at_s in (0.5, 1.5, 2.5):
            membership.extend_zone("b", at_s)
        gone = {one.address for one in membership.remove_silent(3.0)}
        self.assertEqual({f"10.0.0.{n}" for n in range(2, 6)}, gone)
        self.assertEqual(3, len(membership.remove_silent(4.8)))

    @cases(
        {
            "a complete roster": (0, 1, True, {"10.0.0.3"}),
            "an incomplete roster of a new hub": (
                0,
                1,
                False,
                {f"10.0.0.{n}" for n in range(2, 6)},
            ),
            "the slice of odd addresses": (1, 2, True, {"10.0.0.2", "10.0.0.3", "10.0.0.4"}),
        }
    )
    def test_instances_missing_from_a_complete_roster_are_removed(
        self, case: tuple[int, int, bool, Sequence[str]]
    ) -> None:
        number, of, complete, left = case
        membership = self._membership()
        listed = RosterSlice(number, of, complete, [instance("10.0.0.3")], [0])
        membership.apply_roster("a", listed, 0.1)
        self.assertEqual(set(left), {one.address for one in membership.zone_instances("a")})
        self.assertEqual(3, len(membership.zone_instances("b")))

    @cases(
        {
            "an outdated introduction, soon": (9, 9, 2.0, False),
            "a new incarnation": (9, 10, 2.0, True),
            "after a clock was set back, soon": (9, 8, 2.0, False),
            "after a clock was set back": (9, 8, 6.0, True),
        }
    )
    def test_a_removed_instance_returns_with_a_new_incarnation(
        self, case: tuple[int, int, float, bool]
    ) -> None:
        before, after, now_s, known = case
        membership = Membership("10.0.0.1", "a")
        membership.record_heartbeat(instance("10.0.0.2", incarnation=before), 0.0)
        membership.remove_silent(1.5)
        membership.record_introduction(instance("10.0.0.2", incarnation=after), now_s)
        self.assertIs(known, membership.find_by_address("10.0.0.2") is not None)

    def test_repeated_introductions_do_not_keep_a_failed_instance_alive(self) -> None:
        membership = Membership("10.0.0.1", "a")
        membership.record_introduction(instance("10.0.0.2"), 0.0)
        for tenth in range(1, 13):
            membership.record_introduction(instance("10.0.0.2"), tenth / 10)
        self.assertEqual(1, len(membership.remove_silent(1.25)))
        membership.record_introduction(instance("10.0.0.2"), 1.3)
        self.assertIsNone(membership.find_by_address("10.0.0.2"))

    def test_all_instances_agree_on_one_hub_per_zone(self) -> None:
        hubs = set()
        addresses = [f"10.0.0.{n}" for n in range(1, 6)]
        for own in addresses:
            membership = Membership(own, "a")
            for other in addresses:
                membership.record_heartbeat(instance(other), 0.0)
            hubs.add(membership.hub_order("a")[0])
        self.assertEqual(1, len(hubs))

    def test_a_leaving_instance_is_removed_from_the_hub_order(self) -> None:
        hub = self._membership().hub_order("b")[0]
        membership = self._membership(leaving=hub)
        self.assertNotIn(hub, membership.hub_order("b"))
        membership.withdraw()
        self.assertNotIn("10.0.0.1", membership.hub_order("a"))

    def test_instances_with_large_capacity_precede_others(self) -> None:
        membership = Membership("10.9.0.1", "z")
        for number in range(31):
            capacity = 2.15 if number in (7, 19) else 0.45
            one = instance(f"10.1.0.{number}", availability_zone="a", capacity=capacity)
            membership.record_heartbeat(one, 0.0)
        self.assertEqual({"10.1.0.7", "10.1.0.19"}, set(membership.hub_order("a")[:2]))

    def test_instances_of_other_zones_rank_after_the_zones_own(self) -> None:
        membership = self._membership()
        self.assertLess(membership.task_rank("t", "a"), 5)
        self.assertGreaterEqual(membership.task_rank("t", "b"), 3)
        self.assertLess(membership.task_rank("t", "nobody's"), 5)

    def test_ranks_for_a_task_are_distinct(self) -> None:
        addresses = [f"10.0.0.{n}" for n in range(1, 6)]
        ranks = set()
        for own in addresses:
            membership = Membership(own, "a")
            for other in addresses:
                membership.record_heartbeat(instance(other), 0.0)
            ranks.add(membership.task_rank("t", "a"))
        self.assertEqual(set(range(5)), ranks)

    def test_a_pause_of_this_instance_removes_nobody(self) -> None:
        membership = self._membership()
        membership.extend_deadlines(3.0)
        self.assertEqual([], list(membership.remove_silent(4.0)))


class ScopeTest(EgretrailTestCase):
    def test_wire_values_are_unchanged(self) -> None:
        self.assertEqual((0, 1), (Scope.ZONE.value, Scope.CROSS_ZONE.value))
