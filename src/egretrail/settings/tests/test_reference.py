"""The generated reference page of settings."""

from pathlib import Path

from egretrail.settings import settings_reference
from egretrail.testing import EgretrailTestCase

_PAGE = Path(__file__).resolve().parents[4] / "docs" / "settings.md"


class ReferenceTest(EgretrailTestCase):
    def test_the_page_is_current(self) -> None:
        self.assertEqual(settings_reference(), _PAGE.read_text())

    def test_every_setting_has_a_description(self) -> None:
        rows = [line for line in settings_reference().splitlines() if line.startswith("| `")]
        self.assertGreater(len(rows), 30)
        self.assertEqual([], [row for row in rows if not row.split("|")[-2].strip()])
