"""The process of an entry instance, ``egretraild``: its HTTP APIs and its startup."""

from egretrail.daemon._main import main
from egretrail.daemon._metrics import metrics_page

__all__ = ["main", "metrics_page"]
