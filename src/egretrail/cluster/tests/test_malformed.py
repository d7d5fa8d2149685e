"""Messages of peers with any contents: each is decoded to checked values, or refused."""

import tracemalloc
import zlib
from collections.abc import Callable
from typing import Any

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Result

from egretrail.cluster import (
    FetchChunks,
    FetchManifest,
    FetchUpstreams,
    HeartbeatsDatagram,
    MalformedMessage,
    UpstreamsReply,
    decode_chunks,
    decode_datagram,
    decode_fetch,
    decode_manifest,
    decode_upstreams,
    encode_fetch,
    encode_heartbeats,
    encode_sections,
    encode_upstreams,
)
from egretrail.cluster._section_codec import encode_section
from egretrail.cluster.tests.messages import heartbeat, mutations, pack_odd, section
from egretrail.testing import EgretrailTestCase, cases
from egretrail.traffic import UpstreamRecord, UpstreamState

Decode = Callable[[bytes], Result[Any, MalformedMessage]]

_RECORD = UpstreamRecord("u", "s", "10.0.0.1:80", "a", 4, UpstreamState.READY, 0.0, 7, 3)
_UPSTREAMS = encode_upstreams(UpstreamsReply(7, [_RECORD], (), {"u": _RECORD, "v": None}))
_DECODERS: dict[str, tuple[Decode, bytes]] = {
    "heartbeats": (
        decode_datagram,
        encode_heartbeats(HeartbeatsDatagram(0, [heartbeat("10.0.0.2", loads={1: 2})])),
    ),
    "a section": (decode_datagram, next(encode_sections([section()], cross_zone=False))),
    "fetch upstreams": (decode_fetch, encode_fetch(FetchUpstreams(3))),
    "fetch a manifest": (decode_fetch, encode_fetch(FetchManifest(5, "10.0.0.2"))),
    "fetch chunks": (decode_fetch, encode_fetch(FetchChunks({1: 5}))),
    "upstreams": (decode_upstreams, _UPSTREAMS),
    "a manifest": (decode_manifest, b"\x95\x06\xc4\x00\x00\x00\x80"),
    "chunks": (decode_chunks, zlib.compress(msgpack.packb([6, []]))),
}


def _section_of_zeros() -> bytes:
    row = msgpack.unpackb(encode_section(section()))
    return pack_odd([*row[:9], 10**7, *row[10:]])


_SECTION_OF_ZEROS = _section_of_zeros()


class DecoderTest(EgretrailTestCase):
    @cases(_DECODERS)
    def test_arbitrary_bytes_are_decoded_or_refused(self, case: tuple[Decode, bytes]) -> None:
        """Guards against a message that ends the task that receives messages."""
        decode, sound = case

        @settings(derandomize=True, max_examples=200, deadline=None)
        @given(st.binary(max_size=80), st.integers(0, len(sound)), st.integers(0, 4))
        def check(data: bytes, start: int, dropped: int) -> None:
            for message in (data, sound[:start] + data + sound[start + dropped :]):
                decode(message)
                decode(zlib.compress(message))

        check()

    @cases(_DECODERS)
    def test_odd_values_are_decoded_or_refused(self, case: tuple[Decode, bytes]) -> None:
        """Guards against a field that decodes and fails where it is used."""
        decode, sound = case
        unpacked = msgpack.unpackb(sound, strict_map_key=False) if sound[:1] != b"\x78" else [6, []]
        for document in mutations(unpacked):
            for packed in (pack_odd(document), zlib.compress(pack_odd(document))):
                decode(packed)

    @cases(_DECODERS)
    def test_deep_nesting_is_refused(self, case: tuple[Decode, bytes]) -> None:
        """Guards against a recursion error, which is none of the usual decoding errors."""
        decode, _ = case
        for nested in (b"\x91" * 60_000 + b"\xc0", b"\x81\x01" * 30_000 + b"\xc0"):
            for data in (nested, b"\x92\x06" + nested, zlib.compress(nested)):
                self.assertIsInstance(decode(data).err(), MalformedMessage)

    @cases(
        {
            "slots of 0": {4: 0},
            "slots of 2^62": {4: 2**62},
            "slots of text": {4: "4"},
            "warm-up that is no number": {6: float("nan")},
            "a revision of 2^63": {7: 2**63},
            "a revision below 0": {7: -1},
            "a start of 2^62": {8: 2**62},
            "a start below 0": {8: -1},
            "an address without a port": {2: "10.0.0.1"},
            "an address that is a name": {2: "store.example:80"},
            "a port of 5,000 digits": {2: "10.0.0.1:" + "9" * 5_000},
            "a name that is no text": {0: 7},
            "a name of 100,000 characters": {0: "x" * 100_000},
            "a name with a line break": {0: "u\nx"},
            "a zone that is a list": {3: ["a"]},
        }
    )
    def test_an_upstream_with_an_odd_field_is_refused(self, changes: dict[int, object]) -> None:
        """Guards against values of a peer that the store's decoder would have refused.

        The others of the list are taken: a peer with another version of the program may list it.
        """
        version, revision, [row], _, suspicions = msgpack.unpackb(_UPSTREAMS)
        odd = [changes.get(place, value) for place, value in enumerate(row)]
        listed = decode_upstreams(msgpack.packb([version, revision, [odd, row], None, suspicions]))
        self.assertEqual([_RECORD], listed.unwrap().upstreams)
        changed = {"odd": odd, "u": row}
        updated = decode_upstreams(msgpack.packb([version, revision, None, changed, suspicions]))
        self.assertEqual({"odd": None, "u": _RECORD}, updated.unwrap().changes)

    def test_a_warm_up_of_any_length_ends(self) -> None:
        version, revision, [row], _, suspicions = msgpack.unpackb(_UPSTREAMS)
        row[6] = 1e300
        decoded = decode_upstreams(msgpack.packb([version, revision, [row], None, suspicions]))
        [record] = decoded.unwrap().upstreams or ()
        self.assertLess(record.warmup_s, 1e8)

    @cases(
        {
            "a manifest's head": (decode_manifest, [6, 10**7, 0, 0, {}]),
            "a section's acknowledgements": (decode_datagram, [6, 1, 0, [_SECTION_OF_ZEROS]]),
            "a chunk": (decode_chunks, [6, [10**7]]),
        }
    )
    def test_a_number_in_place_of_bytes_takes_no_memory(self, case: tuple[Decode, Any]) -> None:
        """Guards against a number that is decoded to as many zeros, up to all memory."""
        decode, document = case
        data = msgpack.packb(document)
        tracemalloc.start()
        try:
            decoded = decode(zlib.compress(data) if decode is decode_chunks else data)
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertIsInstance(decoded.err(), MalformedMessage)
        self.assertLess(peak_bytes, 1_000_000)
