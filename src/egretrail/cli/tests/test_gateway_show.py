"""Tests of the commands that read gateways' metrics, against small HTTP servers."""

import http.server
import json
import threading
from collections.abc import Sequence
from unittest import mock

from click.testing import CliRunner

from egretrail.cli import main
from egretrail.cli._gateway_metrics import compute_burn_rates, parse_metrics
from egretrail.cli._service_overload import find_overloads, overloads_text
from egretrail.gateway import GatewayMetrics
from egretrail.testing import EgretrailTestCase, cases

#: Response counts by route and outcome.
Answers = dict[tuple[str, str], int]

_OVERLOAD = """\
egretrail_service_state{service="s",state="full"} 1
egretrail_service_state{service="t",state="normal"} 1
egretrail_demand_offered{service="s",priority="2"} 200
egretrail_demand_offered{service="s",priority="0"} 40
egretrail_demand_refused{service="s",priority="2"} 90
egretrail_demand_shed{service="s",priority="2"} 7
egretrail_account_offered{service="s",account="b"} 9
egretrail_account_offered{service="s",account="large"} 120
egretrail_account_offered{service="t",account="c"} 80
"""


def _text(answers: Answers, *, members: int = 3, version: int = 7) -> str:
    metrics = GatewayMetrics()
    for (route, outcome), count in answers.items():
        for _ in range(count):
            metrics.count_request(route, outcome, 0.1)
    metrics.count_refusal("no_time")
    metrics.count_attempt("success", 0.2)
    gauges = {"members": float(members), "config_version": float(version), "upstreams": 9.0}
    return metrics.render(gauges).decode()


class _MetricsServer:
    """Context manager that serves one text on a loopback port.

    The first requests, of a given number, are answered only when the server stops.
    """

    def __init__(self, text: str, *, unanswered: int = 0) -> None:
        body = text.encode()
        self._stopped = threading.Event()
        stopped, held = self._stopped, iter(range(unanswered))

        class Handler(http.server.BaseHTTPRequestHandler):
            def do_GET(self) -> None:
                if next(held, None) is not None:
                    stopped.wait()
                    return
                self.send_response(200)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *args: object) -> None:
                """Keep the tests' output clean."""

        self._server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"

    def __enter__(self) -> "_MetricsServer":
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        self._server.shutdown()
        self._server.server_close()


class ParseMetricsTest(EgretrailTestCase):
    def test_metrics_of_a_gateway_are_parsed(self) -> None:
        reading = parse_metrics("a:1", _text({("r", "served"): 4, ("r", "failed"): 1}))
        self.assertEqual({("r", "served"): 4, ("r", "failed"): 1}, dict(reading.answers))
        self.assertEqual({"no_time": 1}, dict(reading.refusals))
        self.assertEqual((3.0, 7.0), (reading.values["members"], reading.values["config_version"]))

    def test_any_other_text_is_an_error(self) -> None:
        self.assertRaises(ValueError, parse_metrics, "a:1", "<html>no metrics</html>")


class RouteBurnTest(EgretrailTestCase):
    @cases(
        {
            "from the start": ({("r", "served"): 99, ("r", "failed"): 1}, {}, (100, 99, 1.0)),
            "between two readings": (
                {("r", "served"): 199, ("r", "failed"): 1},
                {("r", "served"): 100},
                (100, 99, 1.0),
            ),
            "a restart in between": (
                {("r", "served"): 10},
                {("r", "served"): 100, ("r", "failed"): 50},
                (10, 10, 0.0),
            ),
            "client disconnects are not counted": (
                {("r", "served"): 10, ("r", "client_left"): 90},
                {},
                (10, 10, 0.0),
            ),
        }
    )
    def test_burn(self, case: tuple[Answers, Answers, tuple[int, int, float]]) -> None:
        now, before, expected = case
        earlier = [parse_metrics("a:1", _text(before))] if before else []
        [burn] = compute_burn_rates([parse_metrics("a:1", _text(now))], earlier, 0.99)
        self.assertEqual(expected[:2], (burn.asked, burn.served))
        self.assertAlmostEqual(expected[2], burn.rate)

    def test_gateways_are_aggregated_and_the_highest_burn_rate_comes_first(self) -> None:
        texts = [{("good", "served"): 5, ("bad", "refused"): 1}, {("bad", "served"): 1}]
        reading = [parse_metrics(f"a:{n}", _text(one)) for n, one in enumerate(texts)]
        burns = compute_burn_rates(reading, [], 0.9)
        self.assertEqual(["bad", "good"], [burn.route for burn in burns])
        self.assertEqual(
            (2, 1, {"refused": 1}), (burns[0].asked, burns[0].served, burns[0].unserved)
        )


class OverloadTest(EgretrailTestCase):
    @cases(
        {
            "normal everywhere": ([_OVERLOAD.replace("full", "normal")], []),
            "an earlier version": ([""], []),
            "a state that was left": ([_OVERLOAD.replace('"} 1', '"} 0')], []),
            "full on one": (
                [_OVERLOAD],
                [
                    "service s: full on 1",
                    "  priority 0 in the last second: offered 40, refused 0, shed 0",
                    "  priority 2 in the last second: offered 200, refused 90, shed 7",
                    "  account large: offered 120",
                    "  account b: offered 9",
                ],
            ),
            # Guards against adding up figures that are each of the whole fleet.
            "different ages of reports": (
                [_OVERLOAD, _OVERLOAD.replace("full", "normal").replace(" 120", " 150")],
                [
                    "service s: full on 1, normal on 1",
                    "  priority 0 in the last second: offered 40, refused 0, shed 0",
                    "  priority 2 in the last second: offered 200, refused 90, shed 7",
                    "  account large: offered 150",
                    "  account b: offered 9",
                ],
            ),
        }
    )
    def test_overload(self, case: tuple[Sequence[str], list[str]]) -> None:
        texts, expected = case
        readings = [parse_metrics(f"a:{n}", _text({}) + text) for n, text in enumerate(texts)]
        self.assertEqual(expected, list(overloads_text(find_overloads(readings))))


class ShowCommandTest(EgretrailTestCase):
    def _run(self, texts: Sequence[str], *arguments: str) -> tuple[int, str]:
        servers = [self.enterContext(_MetricsServer(text)) for text in texts]
        command, *options = arguments
        addresses = [server.address for server in servers]
        result = CliRunner().invoke(main, ["gateway", command, *addresses, *options])
        return result.exit_code, result.output

    @cases(
        {
            "alike": ([_text({}), _text({})], 0, "config"),
            "configurations differ": (
                [_text({}), _text({}, version=8)],
                1,
                "differ in configuration: 7 on 1, 8 on 1",
            ),
            "members differ": ([_text({}), _text({}, members=2)], 1, "differ in members"),
            "no metrics": ([_text({}), "<html>"], 3, "does not answer"),
        }
    )
    def test_show(self, case: tuple[Sequence[str], int, str]) -> None:
        texts, code, words = case
        exit_code, output = self._run(texts, "show")
        self.assertEqual((code, True), (exit_code, words in output), output)

    def test_show_as_json(self) -> None:
        _, output = self._run([_text({})], "show", "--json")
        document = json.loads(output)
        self.assertEqual(3.0, document["gateways"][0]["values"]["members"])
        self.assertEqual([], document["differences"])

    def test_show_lists_services_that_are_not_normal(self) -> None:
        text = _text({}) + _OVERLOAD
        _, output = self._run([text], "show")
        self.assertIn("service s: full on 1\n", output)
        _, output = self._run([text], "show", "--json")
        [service] = json.loads(output)["services"]
        self.assertEqual({"offered": 200.0, "refused": 90.0, "shed": 7.0}, service["demand"]["2"])
        self.assertEqual({"account": "large", "offered": 120.0}, service["accounts"][0])

    # Also guards against a reading that times out because this process was paused.
    @cases(
        {
            "within the budget": ({("r", "served"): 100}, 0, "0.00"),
            "beyond it": ({("r", "served"): 90, ("r", "refused"): 10}, 1, "refused:10"),
        }
    )
    def test_burn(self, case: tuple[Answers, int, str]) -> None:
        answers, code, words = case
        exit_code, output = self._run([_text(answers)], "burn", "--objective", "0.99")
        self.assertEqual((code, True), (exit_code, words in output), output)

    # Guards against a gateway that is taken as silent because this process was paused.
    @cases(
        {
            "an answer at once": (0, 1, "refused:10"),
            "no answer in time, then one": (1, 1, "refused:10"),
            "no answer": (2, 3, "does not answer: TimeoutError"),
        }
    )
    def test_a_gateway_that_does_not_answer_in_time_is_read_again(
        self, case: tuple[int, int, str]
    ) -> None:
        unanswered, code, words = case
        text = _text({("r", "served"): 90, ("r", "refused"): 10})
        server = self.enterContext(_MetricsServer(text, unanswered=unanswered))
        with mock.patch("egretrail.cli._gateway_metrics._TIMEOUT_S", 0.5):
            result = CliRunner().invoke(main, ["gateway", "burn", server.address])
        self.assertEqual((code, True), (result.exit_code, words in result.output), result.output)

    def test_a_gateway_without_a_first_reading_is_left_out_of_an_interval(self) -> None:
        text = _text({("r", "served"): 1, ("r", "refused"): 99})
        late = self.enterContext(_MetricsServer(text, unanswered=2))
        other = self.enterContext(_MetricsServer(_text({("r", "served"): 5})))
        arguments = ["gateway", "burn", late.address, other.address, "--interval", "0.1", "--json"]
        with mock.patch("egretrail.cli._gateway_metrics._TIMEOUT_S", 0.5):
            result = CliRunner().invoke(main, arguments)
        self.assertEqual(0, result.exit_code, result.output)
        document = json.loads(result.output)
        self.assertEqual([], document["routes"])
        self.assertIn(late.address, document["silent"][0])

    def test_burn_with_no_gateway(self) -> None:
        result = CliRunner().invoke(main, ["gateway", "burn", "127.0.0.1:1"])
        self.assertEqual(3, result.exit_code)
