"""Messages that send a request through another instance."""

import random

import msgpack
from result import Err, Ok

from egretrail.cluster.tests.messages import mutations, pack_odd
from egretrail.dispatch import PlacementQuery, Refusal, RefusalReason, RequestDigest
from egretrail.gateway._pending_request import AttemptRequest, AttemptResult, Disposition
from egretrail.gateway._relay_codec import (
    RelayedAttempt,
    decode_attempt,
    decode_result,
    encode_attempt,
    encode_result,
)
from egretrail.http1 import ReceivedResponse, Request
from egretrail.testing import EgretrailTestCase, cases

_RECEIVED_S = 50.0


def _relayed(account: str | None, urgent_objective_s: float | None) -> RelayedAttempt:
    request = Request(b"POST", b"/a?b=\xff", [(b"Host", b"h"), (b"X", b"")], b"\x00", _RECEIVED_S)
    query = PlacementQuery("s", 1.5, 0.5, True, urgent_objective_s, 2e3, True, ["u", "v"])
    digest = RequestDigest(2**64 - 1)
    attempt = AttemptRequest(request, "a1", "s", account, digest, _RECEIVED_S + 1.5)
    return RelayedAttempt(attempt, query)


class RelayCodecTest(EgretrailTestCase):
    @cases({"an account": ("acme", 0.2), "no account": (None, None)})
    def test_an_attempt_arrives_as_it_was_sent(self, case: tuple[str | None, float | None]) -> None:
        relayed = _relayed(*case)
        self.assertEqual(Ok(relayed), decode_attempt(encode_attempt(relayed), _RECEIVED_S))

    @cases(
        {
            "served": AttemptResult(
                Disposition.SERVED, ReceivedResponse(200, b"OK", [(b"A", b"b")], b"\xff"), "", "u"
            ),
            "failed": AttemptResult(Disposition.FAILED, None, "broken", "u"),
            "refused": AttemptResult(
                Disposition.REFUSED, refusal=Refusal(RefusalReason.NO_TIME, 0.5, 1.5)
            ),
        }
    )
    def test_a_result_arrives_as_it_was_sent(self, result: AttemptResult) -> None:
        self.assertEqual(Ok(result), decode_result(encode_result(result)))

    @cases({"seed 1": 1, "seed 2": 2})
    def test_changed_bytes_are_decoded_or_refused(self, seed: int) -> None:
        rng = random.Random(seed)
        result = AttemptResult(Disposition.SERVED, ReceivedResponse(200, b"", [], b"x"), "", "u")
        for data in (encode_attempt(_relayed("acme", 0.2)), encode_result(result)):
            for _ in range(500):
                changed = bytearray(data)
                for _ in range(rng.randrange(1, 4)):
                    changed[rng.randrange(len(changed))] = rng.randrange(256)
                del changed[rng.randrange(len(changed)) :: rng.choice([1, 10_000])]
                for decoded in (decode_attempt(bytes(changed), 0.0), decode_result(bytes(changed))):
                    self.assertIsInstance(decoded, (Ok, Err))

    def test_odd_values_are_bounded_or_refused(self) -> None:
        """Guards against a deadline that is no number, and sums and waits that overflow."""
        for document in mutations(msgpack.unpackb(encode_attempt(_relayed("acme", 0.2)))):
            decoded = decode_attempt(pack_odd(document), _RECEIVED_S)
            if isinstance(decoded, Ok):
                attempt, query = decoded.ok_value.attempt, decoded.ok_value.query
                times_s = [attempt.deadline_s, query.objective_remaining_s, query.response_bytes]
                self.assertTrue(all(abs(each) < 1e13 for each in times_s), document)
                self.assertEqual(Ok(decoded.ok_value), decode_attempt(pack_odd(document), 50.0))
                encode_attempt(decoded.ok_value)
