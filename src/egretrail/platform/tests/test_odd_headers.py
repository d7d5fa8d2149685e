"""Header values of clients and upstreams that no machine means."""

from egretrail.gateway import ReportedLoad
from egretrail.http1 import ReceivedResponse, Request
from egretrail.platform import PlatformContract
from egretrail.testing import EgretrailTestCase, cases

_CONTRACT = PlatformContract()
_DIGITS = b"9" * 5_000


def _wait_s(stated: bytes) -> float | None:
    fields = [(b"X-Egretrail-Request-Deadline", stated)]
    return _CONTRACT.request_metadata(Request(b"GET", b"/p", fields, b"", 0.0)).wait_s


def _load(stated: bytes) -> ReportedLoad | None:
    fields = [(b"X-Egretrail-Backend-Load", stated)]
    return _CONTRACT.reported_load(ReceivedResponse(200, b"OK", fields, b"x"))


class DeadlineTest(EgretrailTestCase):
    @cases(
        {
            "a day": (b"86400000", 86_400.0),
            "longer than a day": (b"86400001", 86_400.0),
            "of 400 digits": (b"1" + b"0" * 400, 86_400.0),
            "of 5,000 digits": (_DIGITS, 86_400.0),
            "of 5,000 zeros before a number": (b"0" * 5_000 + b"1500", 1.5),
            "negative": (b"-5", None),
            "not a number": (b"nan", None),
            "infinite": (b"inf", None),
            "an exponent": (b"1e3", None),
            "digits that are not ASCII": ("\u0661\u0662".encode(), None),
            "empty": (b"", None),
        }
    )
    def test_a_stated_wait_is_bounded(self, case: tuple[bytes, float | None]) -> None:
        """Guards against a header that ends the connection's task with an untyped error."""
        stated, expected = case
        self.assertEqual(expected, _wait_s(stated))


class ReportedLoadTest(EgretrailTestCase):
    @cases(
        {
            "usual": (b"3,1,4", ReportedLoad(3, 1)),
            "of 5,000 digits": (_DIGITS + b",0,4", None),
            "of 5,000 digits waiting": (b"0," + _DIGITS + b",4", None),
            "beyond all machines": (b"4611686018427387904,0,4", None),
            "negative": (b"-1,0,4", None),
        }
    )
    def test_a_load_that_no_machine_has_is_ignored(
        self, case: tuple[bytes, ReportedLoad | None]
    ) -> None:
        """Guards against a response that fails its request with an untyped error."""
        stated, expected = case
        self.assertEqual(expected, _load(stated))
