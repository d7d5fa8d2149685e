"""A simulated network between peers in one process, for tests and benchmarks on a paused clock."""

import asyncio
import contextvars
import random
from dataclasses import dataclass

from egretrail.gateway._peers import PeerLinks

#: A datagram that would wait longer for its sender's link is dropped.
_LINK_QUEUE_S = 0.05


@dataclass(slots=True)
class Traffic:
    """Counts of what was delivered."""

    #: Datagrams and bytes within zones.
    datagrams_within_zone: int = 0
    bytes_within_zone: int = 0
    #: Datagrams and bytes between zones.
    cross_zone_datagrams: int = 0
    cross_zone_bytes: int = 0
    #: Bytes of streams, and the part of them between zones.
    bytes_streamed: int = 0
    cross_zone_bytes_streamed: int = 0


class SimulatedNetwork:
    """Delivers datagrams between addresses ``10.0.ZONE.NUMBER``, except over cut network paths."""

    def __init__(
        self,
        within_zone_delay_s: float = 0.001,
        cross_zone_delay_s: float = 0.001,
        loss: float = 0.0,
        seed: int = 1,
    ) -> None:
        self._within_zone_delay_s = within_zone_delay_s
        self._cross_zone_delay_s = cross_zone_delay_s
        #: The share of lost datagrams and chunks of streams, and of further datagrams.
        self.loss = loss
        self.datagram_loss = 0.0
        self._rng = random.Random(seed)
        self._link_free_s: dict[str, float] = {}
        #: The receivers by address.
        self.links: dict[str, PeerLinks] = {}
        #: Pairs of addresses without a network path in either direction.
        self.cut: set[frozenset[str]] = set()
        #: Pairs of sender and receiver without a network path in this direction.
        self.cut_one_way: set[tuple[str, str]] = set()
        #: Addresses of paused processes, which neither send nor receive.
        self.paused: set[str] = set()
        #: Datagrams that wait in the sockets of suspended instances, by address.
        self.undelivered: dict[str, list[tuple[bytes, str]]] = {}
        #: The number of sent datagrams.
        self.sent = 0
        #: The delivered traffic.
        self.traffic = Traffic()
        #: The data rate of each instance's link; datagrams beyond it are dropped.
        self.limit_bytes_per_s = float("inf")
        #: The data rates of instances that differ from it.
        self.limits_bytes_per_s: dict[str, float] = {}
        self._link_received_s: dict[str, float] = {}
        #: The context in which each instance's code runs.
        self.contexts: dict[str, contextvars.Context] = {}

    def reseed(self, seed: int) -> None:
        """Let other messages be lost."""
        self._rng.seed(seed)

    def send(self, data: bytes, sender: str, target: str) -> None:
        """Deliver a datagram after the delay of the network, unless it is lost."""
        self.sent += 1
        receiver = self.links.get(target)
        if self._link_is_full(sender, len(data)) or receiver is None:
            return
        if not self.reaches(sender, target) or sender in self.undelivered:
            return
        if self.is_lost() or self._rng.random() < self.datagram_loss:
            return
        if target in self.undelivered:
            self.undelivered[target].append((data, sender))
            return
        within_zone = sender.split(".")[2] == target.split(".")[2]
        self._count(len(data), within_zone=within_zone)
        delay_s = self._within_zone_delay_s if within_zone else self._cross_zone_delay_s
        asyncio.get_running_loop().call_later(
            delay_s, receiver.handle_datagram, data, sender, context=self.contexts.get(target)
        )

    def deliver_pending(self, address: str) -> None:
        """Deliver the datagrams that arrived while an instance was suspended."""
        for data, sender in self.undelivered.pop(address):
            self.links[address].handle_datagram(data, sender)

    def reaches(self, sender: str, target: str) -> bool:
        """Return whether a network path leads from one address to another."""
        if sender in self.paused or target in self.paused:
            return False
        cut = frozenset({sender, target}) in self.cut
        return not cut and (sender, target) not in self.cut_one_way

    def reaches_both_ways(self, one: str, other: str) -> bool:
        """Return whether messages arrive in both directions, including random loss."""
        if self.is_lost():
            return False
        return self.reaches(one, other) and self.reaches(other, one)

    def is_lost(self) -> bool:
        """Return whether a message sent now is lost at random."""
        return self._rng.random() < self.loss

    def reserve_links(self, sender: str, target: str, size_bytes: int) -> float:
        """Reserve time on both links for a chunk of a stream; return its delay in seconds."""
        now_s = asyncio.get_running_loop().time()
        within_zone = sender.split(".")[2] == target.split(".")[2]
        self.traffic.bytes_streamed += size_bytes
        if not within_zone:
            self.traffic.cross_zone_bytes_streamed += size_bytes
        sent_s = max(self._link_free_s.get(sender, now_s), now_s)
        sent_s += size_bytes / self._limit(sender)
        self._link_free_s[sender] = sent_s
        received_s = max(self._link_received_s.get(target, now_s), sent_s)
        received_s += size_bytes / self._limit(target)
        self._link_received_s[target] = received_s
        return (
            received_s
            + (self._within_zone_delay_s if within_zone else self._cross_zone_delay_s)
            - now_s
        )

    def occupy(self, address: str, size_bytes: int) -> None:
        """Reserve time on an instance's link, in both directions, for its other traffic."""
        now_s = asyncio.get_running_loop().time()
        for used_s in (self._link_free_s, self._link_received_s):
            free_s = max(used_s.get(address, now_s), now_s)
            used_s[address] = free_s + size_bytes / self._limit(address)

    def _limit(self, address: str) -> float:
        return self.limits_bytes_per_s.get(address, self.limit_bytes_per_s)

    def _count(self, size_bytes: int, *, within_zone: bool) -> None:
        if within_zone:
            self.traffic.datagrams_within_zone += 1
            self.traffic.bytes_within_zone += size_bytes
        else:
            self.traffic.cross_zone_datagrams += 1
            self.traffic.cross_zone_bytes += size_bytes

    def _link_is_full(self, sender: str, size_bytes: int) -> bool:
        now_s = asyncio.get_running_loop().time()
        free_s = max(self._link_free_s.get(sender, now_s), now_s)
        if free_s - now_s > _LINK_QUEUE_S:
            return True
        self._link_free_s[sender] = free_s + size_bytes / self._limit(sender)
        return False


class SimulatedLinks(PeerLinks):
    """Sends over a simulated network instead of a socket."""

    network: SimulatedNetwork
    ip: str

    def join(self, network: SimulatedNetwork, ip: str) -> None:
        """Attach to a network at an address."""
        self.network, self.ip = network, ip
        network.links[ip] = self

    async def open_streams(self) -> None:
        """Listen for fetches of state, without a socket for datagrams."""
        await self.state_exchange.open()

    def _send(self, data: bytes, target: str) -> None:
        self.network.send(data, self.ip, target)
