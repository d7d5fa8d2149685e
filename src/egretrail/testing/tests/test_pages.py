"""Checks that documentation pages agree with the metrics, log events and tests."""

import re
from pathlib import Path

from egretrail.daemon import metrics_page
from egretrail.testing import EgretrailTestCase, cases

_ROOT = Path(__file__).resolve().parents[4]
_TEST_ID = re.compile(r"`((?:src|scaffolding)/[\w/]+\.py)((?:::\w+)*)")
_LOGGED = re.compile(
    r"(?:_log|get_logger\(\))\.(?:debug|info|warning|error|exception)\(\s*\"(\w+)\""
)
_GATEWAY_EVENT = re.compile(r"(?:\.event|self\._line)\(\s*\"(\w+)\"")


def _missing(page: str) -> list[str]:
    """Return the test ids of a page whose file, class or method does not exist."""
    missing = []
    for path, names in _TEST_ID.findall((_ROOT / page).read_text()):
        source = (_ROOT / path).read_text() if (_ROOT / path).exists() else ""
        parts = [name.partition("__")[0] for name in names.split("::") if name]
        if not source or not all(part in source for part in parts):
            missing.append(path + names)
    return missing


class MetricsPageTest(EgretrailTestCase):
    def test_the_page_is_current(self) -> None:
        self.assertEqual(metrics_page(), (_ROOT / "docs/metrics.md").read_text())


class LogEventsPageTest(EgretrailTestCase):
    def test_every_event_is_on_the_page(self) -> None:
        page = (_ROOT / "docs/log-events.md").read_text()
        logged = set()
        for path in (_ROOT / "src/egretrail").rglob("*.py"):
            logged |= set(_LOGGED.findall(path.read_text()))
        self.assertEqual(set(), {event for event in logged if f"`{event}`" not in page})
        self.assertIn("upstream_ejected", logged)


class GatewayEventsPageTest(EgretrailTestCase):
    def test_every_event_is_on_the_page(self) -> None:
        page = (_ROOT / "docs/gateway-events.md").read_text()
        logged = set()
        for path in (_ROOT / "src/egretrail/gateway").glob("*.py"):
            logged |= set(_GATEWAY_EVENT.findall(path.read_text()))
        self.assertEqual(set(), {event for event in logged if f"`{event}`" not in page})
        self.assertIn("config_in_force", logged)


class ProofPagesTest(EgretrailTestCase):
    @cases(
        {
            "proofs": "docs/PROOFS.md",
            "gateway": "docs/PLATFORM-PROOFS.md",
            "keys": "docs/proofs/keys.md",
            "fleet": "docs/proofs/fleet.md",
            "settings": "docs/proofs/settings.md",
            "health": "docs/proofs/health.md",
            "load": "docs/proofs/load.md",
        }
    )
    def test_every_named_test_exists(self, page: str) -> None:
        self.assertEqual([], _missing(page))
