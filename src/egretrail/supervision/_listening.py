"""Opens listeners whose addresses may still be taken."""

import asyncio
import errno
import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

from egretrail.supervision._backoff import RestartBackoff
from egretrail.supervision._errors import describe_error

T = TypeVar("T")

#: The maximum delay between two tries; a try costs next to nothing.
_MAX_S = 0.5
#: The address is taken, or not there yet; no time changes what other errors say.
_PASSING = frozenset({errno.EADDRINUSE, errno.EADDRNOTAVAIL})


async def open_when_free(
    address: str,
    open_listener: Callable[[], Awaitable[T]],
    log_event: Callable[..., None],
    rng: random.Random,
) -> T:
    """Open a listener; try again for as long as its address is taken or not there.

    The previous process may still be finishing requests, or an outgoing connection may have been
    given the port. An end of this process would only be followed by the next start. Any other error
    is logged and raised.
    """
    backoff = RestartBackoff(rng, _MAX_S)
    while True:
        try:
            return await open_listener()
        except OSError as error:
            cause = describe_error(error)
            if error.errno not in _PASSING:
                log_event("listen_refused", address=address, cause=cause)
                raise
            retry_s = backoff.next_delay_s(0.0)
            log_event("listen_failed", address=address, cause=cause, retry_s=retry_s)
        await asyncio.sleep(retry_s)
