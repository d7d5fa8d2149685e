"""A time-out that grows while the other side is slow."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

T = TypeVar("T")


class AdaptiveTimeout:
    """Limits the duration of calls; the limit doubles with each call that exceeds it.

    It is halved, down to the first one, with each call that takes less than a quarter of it.
    """

    def __init__(self, first_s: float, max_s: float) -> None:
        self._first_s = first_s
        self._max_s = max_s
        #: The limit of the next call.
        self.limit_s = first_s

    async def run(self, call: Awaitable[T]) -> T:
        """Await a call and return its result; raises TimeoutError."""
        loop = asyncio.get_running_loop()
        began_s, limit_s = loop.time(), self.limit_s
        try:
            async with asyncio.timeout(limit_s):
                result = await call
        except TimeoutError:
            self.limit_s = min(limit_s * 2, self._max_s)
            raise TimeoutError(f"no answer within {limit_s} s") from None
        if loop.time() - began_s < limit_s / 4:
            self.limit_s = max(limit_s / 2, self._first_s)
        return result
