"""Faults of the store and of its links, and odd values that another writer leaves in it."""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping, Sequence

from scaffolding.platform import GatewayFleet, LinkFault
from scaffolding.platform.odd_entries import odd_configs, random_odd_entry
from scaffolding.platform.store import StoreMode
from scaffolding.soak._disturbances import DisturbanceLog
from scaffolding.soak._plan import Fault, FaultKind

_MODES = (StoreMode.UNAVAILABLE, StoreMode.UNRESPONSIVE, StoreMode.LOSING_REPLIES)
_PARTIAL_MODES = (
    *_MODES,
    StoreMode.RESETTING,
    StoreMode.CUTTING_WATCHES,
    StoreMode.FORGETFUL,
)
_LINK_FAULTS = tuple(fault for fault in LinkFault if fault is not LinkFault.NONE)
#: Bounds of the share of calls that fail, and of the delay of responses.
_SHARE_MIN, _SHARE_MAX = 0.1, 0.6
_DELAY_MAX_S = 0.8
_ODD_ENTRIES_MAX = 50
#: Share of the odd entries that stand under the id of a live upstream for a moment.
_OVER_LIVE_SHARE = 0.2
#: Time until a proper configuration follows an odd one.
_ODD_CONFIG_MAX_S = 0.6
#: With a valid one of these, no request can be served.
_NOT_SERVED = frozenset({"service unknown"})
#: Time after a restore within which upstreams write their entries again, and from which on all
#: processes are in touch again.
_REWRITE_MAX_S, _STABLE_S = 1.5, 3.0

Routes = Callable[[], Sequence[dict[str, object]]]


class StoreFaults:
    """Injects faults into the store, into its links, and odd values into its contents."""

    def __init__(
        self,
        fleet: GatewayFleet,
        disturbances: DisturbanceLog,
        change_config: Callable[[], None],
        next_version: Callable[[], int],
        routes: Routes,
    ) -> None:
        self._fleet = fleet
        self._disturbances = disturbances
        self._change_config = change_config
        self._next_version = next_version
        self._routes = routes
        #: Number of active faults of the store, by what they set.
        self._active: Counter[str] = Counter()
        self._odd_names = 0

    def handlers(self) -> Mapping[FaultKind, Callable[[Fault, random.Random], Awaitable[None]]]:
        """Return the handler of each kind of fault of the store."""
        return {
            FaultKind.STORE_UNAVAILABLE: self._disable,
            FaultKind.STORE_REJECTS_GATEWAYS: self._reject_gateways,
            FaultKind.STORE_LINK: self._fault_link,
            FaultKind.STORE_HISTORY_DISCARDED: self._discard_history,
            FaultKind.STORE_PARTIAL: self._fail_partially,
            FaultKind.STORE_NONSENSE: self._talk_nonsense,
            FaultKind.STORE_RESTORED: self._restore,
            FaultKind.ODD_ENTRIES: self._write_odd_entries,
            FaultKind.ODD_CONFIG: self._write_odd_config,
            FaultKind.PEERS_CUT: self._cut_peers,
        }

    def clear(self) -> None:
        """End all faults of the store and of its links."""
        store = self._fleet.store
        store.mode, store.mode_shares, store.delay_s = StoreMode.SERVING, {}, (0.0, 0.0)
        store.mode_overrides.clear()
        for link in self._fleet.store_links:
            link.fault = LinkFault.NONE
        self._fleet.restore_peers()

    async def _disable(self, fault: Fault, rng: random.Random) -> None:
        self._disturb("store", fault.duration_s)
        self._active["mode"] += 1
        self._fleet.store.mode = rng.choice(_MODES)
        await asyncio.sleep(fault.duration_s)
        self._active["mode"] -= 1
        if not self._active["mode"]:
            self._fleet.store.mode = StoreMode.SERVING

    async def _fail_partially(self, fault: Fault, rng: random.Random) -> None:
        modes = rng.sample(_PARTIAL_MODES, rng.randint(1, 3))
        shares = {mode: rng.uniform(_SHARE_MIN, _SHARE_MAX) for mode in modes}
        low_s, high_s = sorted(rng.uniform(0, _DELAY_MAX_S) for _ in range(2))
        await self._share(shares, fault, (low_s, high_s))

    async def _talk_nonsense(self, fault: Fault, rng: random.Random) -> None:
        share = rng.uniform(_SHARE_MIN, _SHARE_MAX)
        await self._share({StoreMode.TALKING_NONSENSE: share}, fault, (0.0, 0.0))

    async def _share(
        self, shares: Mapping[StoreMode, float], fault: Fault, delay_s: tuple[float, float]
    ) -> None:
        store = self._fleet.store
        self._disturb("store", fault.duration_s)
        self._active["shares"] += 1
        store.mode_shares, store.delay_s = shares, delay_s
        await asyncio.sleep(fault.duration_s)
        self._active["shares"] -= 1
        if not self._active["shares"]:
            store.mode_shares, store.delay_s = {}, (0.0, 0.0)

    async def _reject_gateways(self, fault: Fault, rng: random.Random) -> None:
        numbers = [n for n in range(len(self._fleet.store_links)) if rng.random() < 0.4]
        hosts = [self._fleet.store_host(number) for number in numbers]
        for number, host in zip(numbers, hosts, strict=True):
            self._disturb(f"gateway-{number}", fault.duration_s)
            self._fleet.store.mode_overrides[host] = rng.choice(_MODES)
        await asyncio.sleep(fault.duration_s)
        for host in hosts:
            self._fleet.store.mode_overrides.pop(host, None)

    async def _fault_link(self, fault: Fault, rng: random.Random) -> None:
        number = rng.randrange(len(self._fleet.store_links))
        self._disturb(f"gateway-{number}", fault.duration_s)
        link = self._fleet.store_links[number]
        link.fault = rng.choice(_LINK_FAULTS)
        await asyncio.sleep(fault.duration_s)
        link.fault = LinkFault.NONE

    async def _discard_history(self, fault: Fault, rng: random.Random) -> None:
        self._disturb("store", 0.1)
        self._fleet.store.discard_history()

    async def _restore(self, fault: Fault, rng: random.Random) -> None:
        """Restore a backup; upstreams and the operator then write again what it lacks."""
        self._disturb("store", fault.duration_s + _REWRITE_MAX_S + _STABLE_S)
        store = self._fleet.store
        backup = store.take_backup()
        await asyncio.sleep(fault.duration_s)
        latest = store.take_backup()
        store.restore(backup)
        self._change_config()
        await asyncio.sleep(rng.random() * _REWRITE_MAX_S)
        for key in backup.items.keys() | latest.items.keys():
            if not key.startswith("servers/"):
                continue
            if key in latest.items:
                store.write_bytes(key, latest.items[key].value)
            else:
                store.remove(key)

    async def _write_odd_entries(self, fault: Fault, rng: random.Random) -> None:
        store = self._fleet.store
        keys = []
        for _ in range(rng.choice([1, 1, 3, _ODD_ENTRIES_MAX])):
            odd = random_odd_entry(rng)
            self._odd_names += 1
            name = f"odd-{self._odd_names}" if odd.name == "odd" else odd.name
            keys.append(f"servers/{name}")
            if rng.random() < _OVER_LIVE_SHARE:
                key = f"servers/{rng.choice(self._fleet.backends).id}"
                before = store.take_backup().items.get(key)
                if before is not None:
                    store.write_bytes(key, odd.value)
                    store.write_bytes(key, before.value)
            store.write_bytes(keys[-1], odd.value)
        await asyncio.sleep(fault.duration_s)
        for key in keys:
            store.remove(key)

    async def _write_odd_config(self, fault: Fault, rng: random.Random) -> None:
        documents = odd_configs(self._next_version(), self._routes())
        name = rng.choice([one for one in documents if one not in _NOT_SERVED])
        document = documents[name]
        if isinstance(document, bytes):
            self._fleet.store.write_bytes("op/config", document)
        else:
            self._fleet.store.write("op/config", document)
        await asyncio.sleep(rng.choice([0.0, rng.random() * _ODD_CONFIG_MAX_S]))
        self._change_config()

    async def _cut_peers(self, fault: Fault, rng: random.Random) -> None:
        """Cut some gateways from some others."""
        numbers = list(range(len(self._fleet.store_links)))
        rng.shuffle(numbers)
        ones = numbers[: rng.randint(1, len(numbers) // 2)]
        others = rng.sample(numbers, rng.randint(1, len(numbers)))
        for number in ones:
            self._disturb(f"gateway-{number}", fault.duration_s)
        self._active["peers"] += 1
        self._fleet.cut_peers(ones, others)
        await asyncio.sleep(fault.duration_s)
        self._active["peers"] -= 1
        if not self._active["peers"]:
            self._fleet.restore_peers()

    def _disturb(self, subject: str, duration_s: float) -> None:
        now_s = asyncio.get_running_loop().time()
        self._disturbances.add_span(subject, now_s, now_s + duration_s)
