"""Copies the package into ``target/deps``, beside its dependencies, and compiles both."""

import compileall
import shutil
from pathlib import Path

_ROOT = Path(__file__).resolve().parents[1]
_LIBRARIES = _ROOT / "target" / "deps"


def main() -> None:
    """Build a new copy and move it into place, so that a program never sees a partial copy."""
    fresh = _ROOT / "target" / "fresh"
    old = _ROOT / "target" / "old"
    for folder in (fresh, old):
        shutil.rmtree(folder, ignore_errors=True)
    ignored = shutil.ignore_patterns("tests", "__pycache__")
    shutil.copytree(_ROOT / "src" / "egretrail", fresh, ignore=ignored)
    package = _LIBRARIES / "egretrail"
    compileall.compile_dir(fresh, quiet=2, optimize=2, stripdir=fresh, prependdir=package)
    compileall.compile_dir(_LIBRARIES, quiet=2, optimize=2)
    if package.exists():
        package.rename(old)
    fresh.rename(package)
    shutil.rmtree(old, ignore_errors=True)


if __name__ == "__main__":
    main()
