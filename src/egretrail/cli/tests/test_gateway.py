"""Tests of the ``egretrail gateway`` commands that read files."""

import json
import tempfile
from pathlib import Path

from click.testing import CliRunner

from egretrail.cli import main
from egretrail.testing import EgretrailTestCase, cases

_LOG = (
    "time=1 instance=n1 event=no_route id=a1 host=h path=/x/ config_version=7\n"
    "time=2 instance=n1 event=answered id=a2 outcome=served attempts=1\n"
)
_REFUSED = (
    "time=3 instance=n1 event=refused id=a3 route=r reason=no_time attempts=0\n"
    "time=4 instance=n1 event=attempt id=a4 route=r service=s upstream=u1 in_flight=0 slots=3\n"
    "time=4.1 instance=n1 event=answered id=a4 outcome=served duration_s=0.1 objective_s=0.6\n"
)


class GatewayCommandTest(EgretrailTestCase):
    def _run(self, name: str, text: str, *arguments: str) -> tuple[int, str]:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / name
            path.write_text(text)
            filled = [argument.replace("FILE", str(path)) for argument in arguments]
            result = CliRunner().invoke(main, ["gateway", *filled])
        return result.exit_code, result.output

    @cases({"known": ("a1", 0, "no_route"), "unknown": ("a9", 1, "no log line")})
    def test_explain(self, case: tuple[str, int, str]) -> None:
        attempt, code, words = case
        exit_code, output = self._run("n1.log", _LOG, "explain", attempt, "--logs", "FILE")
        self.assertEqual(code, exit_code)
        self.assertIn(words, output)

    def test_explain_as_json(self) -> None:
        _, output = self._run("n1.log", _LOG, "explain", "a1", "--json", "--logs", "FILE")
        document = json.loads(output)
        self.assertEqual(("no_route", 1), (document["kind"], len(document["lines"])))

    @cases(
        {
            "requests": (_REFUSED, 0, ["r ", "2", "0.5000", "refused: no_time"]),
            "none": ("nothing\n", 1, ["requests"]),
        }
    )
    def test_losses(self, case: tuple[str, int, list[str]]) -> None:
        text, code, words = case
        exit_code, output = self._run("n1.log", text, "losses", "--seconds", "--logs", "FILE")
        self.assertEqual(code, exit_code)
        for word in words:
            self.assertIn(word, output)

    def test_losses_as_json(self) -> None:
        _, output = self._run("n1.log", _REFUSED, "losses", "--json", "--logs", "FILE")
        document = json.loads(output)
        self.assertEqual({"r": 2}, document["requests"])
        expected = [{"route": "r", "reason": "refused: no_time", "requests": 1}]
        self.assertEqual(expected, document["lost"])
        self.assertEqual({"3": {"refused: no_time": 1}}, document["seconds"])

    def test_losses_show_every_table(self) -> None:
        _, output = self._run("n1.log", _REFUSED, "losses", "--seconds", "--logs", "FILE")
        rows = [line.split() for line in output.splitlines()]
        for row in (
            "requests by service offered served late refused failed unknown attempts",
            "s 1 1 0 0 0 0 1",
            "(unknown) 2 1 0 1 0 0 1",
            "4 1 1 0 0 0 0 1",
            "no_time 1 none logged",
            "(unknown) 1 0 0 0 a slot known to be free",
        ):
            self.assertIn(row.split(), rows)

    def test_the_tables_are_in_the_document(self) -> None:
        text = _REFUSED.replace("attempts=0", "attempts=0 retry_after_s=0.5 account=acme")
        _, output = self._run("n1.log", text, "losses", "--json", "--logs", "FILE")
        document = json.loads(output)
        self.assertEqual(
            ["second", "service", "route", "priority", "account", "client_zone"],
            list(document["by"]),
        )
        self.assertEqual(1, document["by"]["account"]["acme"]["refused"])
        self.assertEqual(0.5, document["refusals"]["no_time"]["retry_after_median_s"])
        self.assertEqual("free", document["attempts"][0]["slot"])

    def test_only_the_largest_rows_of_a_property_are_printed(self) -> None:
        text = "".join(
            f"time=3 instance=n1 event=refused id=b{number} route=r{number:02} reason=no_time\n"
            for number in range(23)
        )
        _, output = self._run("n1.log", text, "losses", "--logs", "FILE")
        self.assertIn("... 3 more, see --json", output)

    @cases(
        {
            "settings": ("node.toml", "[self]\n", "--settings", 1, "self.ip: missing"),
            "configuration": ("config.json", '{"version": "z"}', "--config", 1, "config.routes"),
            "no json": ("config.json", "{", "--config", 1, "Expecting"),
        }
    )
    def test_check_names_every_fault(self, case: tuple[str, str, str, int, str]) -> None:
        name, text, option, code, words = case
        exit_code, output = self._run(name, text, "check", option, "FILE")
        self.assertEqual(code, exit_code)
        self.assertIn(words, output)
