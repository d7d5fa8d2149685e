"""The instance list over HTTP/JSON."""

from collections.abc import Sequence

import aiohttp
from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from egretrail.client_http import reject_run_together
from egretrail.store import InstanceList, ListedInstance, StoreUnavailable

_ROWS = TypeAdapter(list[ListedInstance])


class HttpInstanceList(InstanceList):
    """Client of the instance list's HTTP/JSON API, see ``docs/platform.md``."""

    def __init__(self, url: str, session: aiohttp.ClientSession, timeout_s: float) -> None:
        self._url = url
        self._session = session
        self._timeout_s = timeout_s

    async def read(self) -> Result[Sequence[ListedInstance], StoreUnavailable]:
        """Return all listed instances; their states may be out of date."""
        timeout = aiohttp.ClientTimeout(total=self._timeout_s)
        try:
            async with self._session.get(
                self._url, timeout=timeout, middlewares=(reject_run_together,)
            ) as response:
                if response.status != 200:
                    return Err(StoreUnavailable("instance list", f"status {response.status}"))
                return Ok(_ROWS.validate_json(await response.read()))
        except (TimeoutError, aiohttp.ClientError, ValidationError) as error:
            return Err(StoreUnavailable("instance list", repr(error)))
