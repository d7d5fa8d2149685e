"""The key prefixes of other homes, as resolve answers name them."""

import asyncio
from collections import OrderedDict

from result import Ok

from egretrail.idempotency import AskPrefix, PrefixReply
from egretrail.identity import Incarnation
from egretrail.peer import PeerNetwork

#: A prefix is asked for again after this, in the background.
_FRESH_S = 5.0
#: A prefix older than this is not named: its generation may take no more keys by the time that
#: callers, who keep the answer for a while, use it.
_STALE_S = 30.0
_TIMEOUT_S = 0.5
#: Homes that are remembered. Load: an instance names the homes of the services asked of it. Harm
#: prevented: memory that grows with the fleet's restarts.
_HOMES_COUNT = 4096


class KeyPrefixes:
    """Remembers the prefixes that other homes give out."""

    def __init__(self, network: PeerNetwork) -> None:
        self._network = network
        self._known: OrderedDict[Incarnation, tuple[str, float]] = OrderedDict()
        self._asking: dict[Incarnation, asyncio.Task[str | None]] = {}

    def known(self, home: Incarnation) -> str | None:
        """Return a home's prefix if it is at hand, and have it asked for if it is not fresh."""
        now_s = asyncio.get_running_loop().time()
        prefix, asked_s = self._known.get(home, ("", -_STALE_S))
        if now_s - asked_s >= _FRESH_S:
            self._ask(home)
        return prefix if now_s - asked_s < _STALE_S else None

    async def fetch(self, home: Incarnation) -> str | None:
        """Return a home's prefix, asking for it if it is not at hand."""
        return self.known(home) or await asyncio.shield(self._ask(home))

    async def stop(self) -> None:
        """End the questions that are under way."""
        tasks = list(self._asking.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _ask(self, home: Incarnation) -> asyncio.Task[str | None]:
        """Ask a home, once at a time however many callers wait for its prefix."""
        task = self._asking.get(home)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._ask_home(home))
            self._asking[home] = task
            task.add_done_callback(lambda _done: self._asking.pop(home, None))
        return task

    async def _ask_home(self, home: Incarnation) -> str | None:
        asked = await self._network.ask(home.instance, AskPrefix(), PrefixReply, _TIMEOUT_S)
        prefix = asked.ok_value.prefix if isinstance(asked, Ok) else None
        self._known.pop(home, None)
        if prefix is not None:
            self._known[home] = (prefix, asyncio.get_running_loop().time())
            while len(self._known) > _HOMES_COUNT:
                self._known.popitem(last=False)
        return prefix
