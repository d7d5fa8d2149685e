"""The entry instance's process, ``egretraild``: its faces, and how its parts are put together."""

from egretrail.daemon._main import main
from egretrail.daemon._metrics import metrics_page

__all__ = ["main", "metrics_page"]
