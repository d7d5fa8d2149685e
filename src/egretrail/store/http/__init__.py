"""HTTP/JSON clients of the settings store and of the instance list."""

from egretrail.store.http._instance_list import HttpInstanceList
from egretrail.store.http._store import HttpStore

__all__ = ["HttpInstanceList", "HttpStore"]
