"""Checks import rules that import-linter cannot express."""

import ast
from pathlib import Path

from egretrail.testing import EgretrailTestCase

_ROOT = Path(__file__).resolve().parents[3]


def _private_imports(path: Path) -> list[str]:
    """Return the file's imports of private modules of other packages."""
    own = ".".join(path.relative_to(_ROOT).parts[:2])
    violations = []
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            names = [node.module]
        elif isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        else:
            continue
        for name in names:
            private = any(part.startswith("_") and part != "__future__" for part in name.split("."))
            if name.startswith("egretrail.") and private and not name.startswith(own + "."):
                violations.append(f"{path.name}:{node.lineno} imports {name}")
    return violations


class LayoutTest(EgretrailTestCase):
    def test_packages_import_only_public_modules_of_each_other(self) -> None:
        violations = [line for path in _ROOT.rglob("*.py") for line in _private_imports(path)]
        self.assertEqual([], violations)
