"""The lists of the zones' instances in the store, for instances that start without peers."""

import asyncio
import ipaddress
import json

from result import Err

from egretrail.gateway._interfaces import StartupSettings, StoreLayout
from egretrail.gateway._log import EventLog
from egretrail.gateway._peers import PeerLinks
from egretrail.gateway._view import FleetView
from egretrail.store import Store

#: The minimum interval between two updates of the list.
_INTERVAL_S = 2.0
#: The number of addresses used from the list of each zone.
_SEEDS_EACH = 3


class InstanceListing:
    """Reads the lists of all zones at the start, and maintains the own zone's as the hub."""

    def __init__(
        self,
        settings: StartupSettings,
        view: FleetView,
        store: Store,
        layout: StoreLayout,
        peers: PeerLinks,
        log: EventLog,
    ) -> None:
        self._settings = settings
        self._view = view
        self._store = store
        self._layout = layout
        self._peers = peers
        self._log = log
        #: The instances that the stored list is known to contain.
        self._listed: frozenset[str] = frozenset()

    def use_store(self, store: Store) -> None:
        """Send the next calls to another address of the store."""
        self._store = store
        self.invalidate()

    def invalidate(self) -> None:
        """Discard what is known about the stored list, so that it is written again."""
        self._listed = frozenset()

    async def run(self) -> None:
        """Run until cancelled."""
        if self._view.membership.size() == 1:
            await self._read()
        while True:
            await asyncio.sleep(_INTERVAL_S)
            membership = self._view.membership
            if membership.own_rank() != 0 or not self._view.store_contact or self._view.leaving:
                continue
            others = membership.zone_instances(self._settings.availability_zone)
            alive = frozenset([self._settings.ip, *(one.address for one in others)])
            if not alive <= self._listed:
                await self._write(alive)

    async def _read(self) -> None:
        read = await self._store.snapshot(self._layout.instances_prefix, stale=True)
        if isinstance(read, Err):
            self._log.event("listing_unread", cause=read.err_value)
            return
        addresses: list[str] = []
        for entry in read.ok_value.entries:
            addresses += _addresses(entry.value)[:_SEEDS_EACH]
        self._peers.add_seeds(addresses)

    async def _write(self, alive: frozenset[str]) -> None:
        path = self._layout.instances_prefix + self._settings.availability_zone
        read = await self._store.get(path)
        if isinstance(read, Err):
            self._log.event("listing_unread", cause=read.err_value)
            return
        entry = read.ok_value
        stored = frozenset(_addresses(entry.value)) if entry is not None else frozenset()
        if not alive <= stored:
            revision = entry.revision if entry is not None else 0
            written = await self._store.put(path, json.dumps(sorted(alive)), revision)
            if isinstance(written, Err):
                # Another instance wrote the list, or the reply was lost: the next round reads it
                # again.
                self._log.event("listing_unwritten", cause=written.err_value)
                return
            stored = alive
        self._listed = stored


def _addresses(value: str | None) -> list[str]:
    try:
        addresses = json.loads(value or "[]")
    except (ValueError, RecursionError):
        return []
    return [one for one in addresses if _is_ip(one)] if isinstance(addresses, list) else []


def _is_ip(value: object) -> bool:
    try:
        return isinstance(value, str) and bool(ipaddress.ip_address(value))
    except ValueError:
        return False
