"""The operators' command-line tool, ``egretrail``."""

from egretrail.cli._main import main

__all__ = ["main"]
