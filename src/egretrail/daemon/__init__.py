"""The entry instance's process, ``egretraild``: its faces, and how its parts are put together."""

from egretrail.daemon._main import main

__all__ = ["main"]
