"""Tests of the operators' tool against a real operator API."""

import json

import structlog
from click.testing import CliRunner, Result

from egretrail.cli import main
from egretrail.cli.tests.operator_server import OperatorServer
from egretrail.testing import EgretrailTestCase, cases

_TOKEN = "token-of-the-team-t"
_SERVICE = "floor = 1\n"
_ROUTE = 'service = "a"\npath_prefix = "/x"\n'


class ToolTestCase(EgretrailTestCase):
    def setUp(self) -> None:
        super().setUp()
        # The API server runs in this process; its log lines must not mix with the tool's output.
        self.logged = self.enterContext(structlog.testing.capture_logs())
        self.server = self.enterContext(OperatorServer())

    def run_tool(self, *arguments: str, text: str = "", token: str = _TOKEN) -> Result:
        environment = {"EGRETRAIL_OPERATOR_URL": self.server.url, "EGRETRAIL_TOKEN": token}
        return CliRunner(env=environment).invoke(main, arguments, input=text)

    def ok(self, *arguments: str, text: str = "") -> str:
        result = self.run_tool(*arguments, text=text)
        self.assertEqual(0, result.exit_code, result.output)
        return result.stdout


class SettingsCommandsTest(ToolTestCase):
    def test_a_setting_is_put_read_compared_and_deleted(self) -> None:
        put = self.ok("settings", "put", "t/services/a", "-", "--wait", text=_SERVICE)
        self.assertIn("in force on 3 of 3", put)
        self.ok("settings", "put", "t/services/a", "-", "--author", "ann", text="floor = 2\n")
        self.assertEqual("floor = 2\n", self.ok("settings", "get", "t/services/a"))
        self.assertIn("-floor = 1\n+floor = 2", self.ok("settings", "diff", "t/services/a"))
        history = json.loads(self.ok("settings", "history", "t/services/a", "--json"))
        self.assertEqual(["ann", "t"], [one["author"] for one in history["changes"]])
        self.assertIn("t/services/a", self.ok("settings", "list"))
        self.ok("settings", "delete", "t/services/a", "--wait")
        self.assertEqual(1, self.run_tool("settings", "get", "t/services/a").exit_code)
        self.ok("settings", "put", "t/services/a", "-", "--revision", "0", text=_SERVICE)

    @cases(
        {
            "all_faults_at_once": ("t/services/a", "flor = 1\nslots = 0", _TOKEN, 1),
            "not_toml": ("t/services/a", "floor", _TOKEN, 1),
            "no_such_service": ("t/routes/r", _ROUTE, _TOKEN, 1),
            "dots_in_a_prefix": (
                "t/routes/r",
                'service = "a"\npath_prefix = "/x/../y"',
                _TOKEN,
                1,
            ),
            "no_path": ("t/things/a", _SERVICE, _TOKEN, 1),
            "another_team": ("u/services/a", _SERVICE, _TOKEN, 1),
            "no_token": ("t/services/a", _SERVICE, "", 1),
            "wrong_token": ("t/services/a", _SERVICE, "token-of-the-team-x", 1),
        }
    )
    def test_refused_writes_change_nothing(self, row: tuple[str, str, str, int]) -> None:
        path, text, token, code = row
        arguments = ("settings", "put", path, "-", "--revision", "0")
        result = self.run_tool(*arguments, text=text, token=token)
        self.assertEqual((code, {}), (result.exit_code, self.server.store.entries), result.output)
        if text.startswith("flor"):
            self.assertTrue(all(word in result.stderr for word in ("flor", "floor:", "slots")))
        if token:
            self.assertNotIn(token, result.output + str(self.logged))

    def test_a_write_conflict_shows_both_changes(self) -> None:
        self.ok("settings", "put", "t/services/a", "-", text=_SERVICE)
        arguments = ("settings", "put", "t/services/a", "-", "--revision", "0")
        result = self.run_tool(*arguments, text="floor = 9")
        self.assertEqual(4, result.exit_code)
        self.assertIn("floor = 9", result.stderr)
        self.assertIn(_SERVICE, result.stderr)

    def test_a_store_outage_refuses_writes_and_still_shows_settings_in_force(self) -> None:
        self.ok("settings", "put", "t/services/a", "-", text=_SERVICE)
        self.server.store.out = True
        self.assertEqual(_SERVICE, self.ok("settings", "get", "t/services/a"))
        result = self.run_tool("settings", "put", "t/services/a", "-", text="floor = 2")
        self.assertEqual(1, result.exit_code)
        self.assertIn("settings in force stay", result.stderr)

    def test_a_retried_change_is_applied_once(self) -> None:
        arguments = ("settings", "put", "t/services/a", "-", "--change-id", "change-one")
        for _ in range(2):
            self.ok(*arguments, "--revision", "0", text=_SERVICE)
        self.assertEqual(1, len(self.server.store.history))

    def test_views_print_tables_and_json(self) -> None:
        self.assertIn("t/r", self.ok("routes"))
        self.assertEqual("t/r", json.loads(self.ok("routes", "--json"))["routes"][0]["route"])


class UsageTest(EgretrailTestCase):
    @cases(
        {
            "help": (("--help",), 0),
            "help_of_a_command": (("settings", "put", "--help"), 0),
            "no_url": (("routes",), 2),
            "unknown_command": (("nothing",), 2),
            "unreachable_instance": (("--operator-url", "http://127.0.0.1:9", "routes"), 3),
        }
    )
    def test_exit_codes(self, row: tuple[tuple[str, ...], int]) -> None:
        arguments, code = row
        result = CliRunner(env={"EGRETRAIL_OPERATOR_URL": None}).invoke(main, arguments)
        self.assertEqual(code, result.exit_code, result.output)
