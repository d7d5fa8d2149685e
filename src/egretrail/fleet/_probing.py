"""Which peer is probed next, and whose help is asked."""

import heapq
import random
from collections.abc import Sequence

from egretrail.identity import InstanceName, rendezvous_score


class ProbePlan:
    """Goes round a bounded set of peers in random order.

    Load: at 3,500 instances a probe of everybody in turn would open a stream to each. Every
    instance probes the few peers that rank highest for its own name, so each is probed by about
    as many others, its streams and traffic stay the same, and the graph of all probes stays
    connected.
    """

    def __init__(self, own: InstanceName, set_size: int, rng: random.Random) -> None:
        self._own = own
        self._set_size = set_size
        self._rng = rng
        self._scores: dict[InstanceName, float] = {}
        self._round: list[InstanceName] = []

    def probe_set(self, peers: Sequence[InstanceName]) -> Sequence[InstanceName]:
        """Return the peers that this instance probes."""
        if len(peers) <= self._set_size:
            return peers
        scores = {peer: self._score(peer) for peer in peers}
        self._scores = scores
        return heapq.nlargest(self._set_size, scores, key=scores.__getitem__)

    def next(self, peers: Sequence[InstanceName]) -> InstanceName | None:
        """Return the next peer to probe, None when there is no other instance."""
        known = set(peers)
        while self._round:
            peer = self._round.pop()
            if peer in known:
                return peer
        self._round = list(self.probe_set(peers))
        self._rng.shuffle(self._round)
        return self._round.pop() if self._round else None

    def helpers(
        self, peers: Sequence[InstanceName], target: InstanceName, count: int
    ) -> Sequence[InstanceName]:
        """Return random peers to ask about a target that did not answer."""
        others = [peer for peer in self.probe_set(peers) if peer != target]
        return self._rng.sample(others, min(count, len(others)))

    def _score(self, peer: InstanceName) -> float:
        known = self._scores.get(peer)
        return known if known is not None else rendezvous_score(f"probe/{self._own}", peer)
