"""Event log: writing never blocks and is rate-limited. Metrics: the text format."""

import os

from egretrail.diagnosis import parse_lines
from egretrail.gateway._log import EventLog
from egretrail.gateway._metrics import GatewayMetrics
from egretrail.testing import EgretrailTestCase, cases


class _Unprintable:
    def __str__(self) -> str:
        raise ValueError("no text")


class EventLogTest(EgretrailTestCase):
    def setUp(self) -> None:
        super().setUp()
        self._read_end, self._write_end = os.pipe()
        self.addCleanup(self._close)

    def _close(self) -> None:
        for descriptor in (self._read_end, self._write_end):
            try:
                os.close(descriptor)
            except OSError:
                continue

    def _read_output(self) -> str:
        return os.read(self._read_end, 1 << 20).decode()

    def test_parsed_lines_have_the_logged_fields(self) -> None:
        log = EventLog("n1", self._write_end)
        log.event("refused", id="a1", reason='a "b" = c', left_s=0.25)
        log.flush()
        [line] = parse_lines(self._read_output().splitlines())
        self.assertEqual(("n1", "refused"), (line.instance, line.event))
        self.assertEqual({"id": "a1", "reason": 'a "b" = c', "left_s": "0.25"}, dict(line.fields))

    def test_lines_stay_in_the_buffer_while_the_pipe_is_full(self) -> None:
        log = EventLog("n1", self._write_end)
        for number in range(200):
            log.event("refused", number=number, padding="x" * 1000)
        log.flush()
        output = ""
        while True:
            output += self._read_output()
            numbers = [int(line.fields["number"]) for line in parse_lines(output.splitlines())]
            if len(numbers) == 200 and output.endswith("\n"):
                break
            log.flush()
        self.assertEqual(list(range(200)), numbers)

    def test_a_closed_pipe_drops_lines_and_counts_them(self) -> None:
        log = EventLog("n1", self._write_end)
        os.close(self._read_end)
        log.event("refused")
        log.flush()
        self.assertGreaterEqual(log.suppressed_total, 1)

    def test_lines_above_the_rate_limit_are_dropped_and_counted(self) -> None:
        log = EventLog("n1", self._write_end)
        for _ in range(5_000):
            log.event("refused")
        log.flush()
        written = len(list(parse_lines(self._read_output().splitlines())))
        # On a slow machine the loop may run into the next second or the one after it.
        self.assertGreater(log.suppressed_total + written, 4_999)
        self.assertGreater(log.suppressed_total, 0)

    @cases(
        {
            "a_lone_surrogate": "u\udc80",
            "terminal_escapes": "\x1b[2J\r\0\x07\x85\u2028\u202e",
            "a_line_of_its_own": "a\ntime=1 instance=n2 event=stop",
            "a_value_without_text": _Unprintable(),
            "bytes_of_a_peer": b"\xff\n",
        }
    )
    def test_any_value_takes_one_printable_line(self, value: object) -> None:
        # A line that could not be encoded ended the process; others wrote lines of their own.
        log = EventLog("n1", self._write_end)
        log.event("refused", cause=value, after=1)
        log.flush()
        [text, end] = self._read_output().split("\n")
        self.assertEqual("", end)
        self.assertTrue(text.isprintable(), text)
        [line] = parse_lines([text])
        self.assertEqual(("n1", "refused", "1"), (line.instance, line.event, line.fields["after"]))

    def test_a_long_value_is_cut(self) -> None:
        # A cause may hold a whole entry of the store.
        log = EventLog("n1", self._write_end)
        log.event("refused", cause="x" * 1_000_000)
        log.flush()
        [line] = parse_lines(self._read_output().splitlines())
        self.assertLess(len(line.fields["cause"]), 1_100)
        self.assertIn("999000", line.fields["cause"])

    def test_a_value_without_text_is_logged_as_its_type(self) -> None:
        # The text of an error may itself fail.
        log = EventLog("n1", self._write_end)
        log.event("refused", cause=_Unprintable())
        log.flush()
        self.assertIn("_Unprintable", self._read_output())


class MetricsTest(EgretrailTestCase):
    def test_text_format(self) -> None:
        metrics = GatewayMetrics()
        metrics.count_request("r", "served", 0.3)
        metrics.count_attempt("success", 0.3)
        metrics.count_refusal("no_time")
        metrics.count_cross_zone_bytes("answers", 900)
        metrics.count_cross_zone_bytes("answers", 100)
        text = metrics.render({"members": 3.0}).decode()
        for line in (
            "egretrail_members 3",
            'egretrail_answers_total{route="r",outcome="served"} 1',
            'egretrail_refusals_total{reason="no_time"} 1',
            'egretrail_bytes_across_zones_total{kind="answers"} 1000',
            'egretrail_request_seconds_bucket{outcome="served",le="0.25"} 0',
            'egretrail_request_seconds_bucket{outcome="served",le="0.5"} 1',
            'egretrail_attempt_seconds_count{outcome="success"} 1',
        ):
            self.assertIn(line + "\n", text)

    def test_quotes_in_names_are_escaped(self) -> None:
        """One route whose name has a quote made the whole page unreadable."""
        metrics = GatewayMetrics()
        metrics.count_request('a"b\\', "served", 0.3)
        self.assertIn(rb'{route="a\"b\\",outcome="served"} 1', metrics.render({}))
