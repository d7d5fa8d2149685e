"""Selection of probe targets and of helpers for indirect probes."""

import heapq
import random
from collections.abc import Sequence

from egretrail.identity import InstanceName, rendezvous_score


class ProbePlan:
    """Iterates over a bounded set of peers, in a new random order for each round.

    At 3,500 instances, probing every peer would open a stream to each of them. Instead every
    instance probes the few peers with the highest rendezvous score for its own name. Each instance
    is then probed by about as many others, its streams and traffic do not grow with the fleet, and
    the graph of all probes stays connected.
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

    def next_target(self, peers: Sequence[InstanceName]) -> InstanceName | None:
        """Return the next peer to probe, None if there is no other instance."""
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
        """Return random peers for indirect probes of a target that did not answer."""
        others = [peer for peer in self.probe_set(peers) if peer != target]
        return self._rng.sample(others, min(count, len(others)))

    def _score(self, peer: InstanceName) -> float:
        known = self._scores.get(peer)
        return known if known is not None else rendezvous_score(f"probe/{self._own}", peer)
