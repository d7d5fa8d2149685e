"""Which peers are asked at a time."""

import asyncio

from egretrail.gateway._peer_turns import PeerTurns
from egretrail.testing import EgretrailTestCase


async def _stand_still() -> None:
    await asyncio.sleep(3600.0)


class PeerTurnsTest(EgretrailTestCase):
    def test_two_others_are_asked_beside_one_that_stands_still(self) -> None:
        async def run() -> list[bool]:
            turns = PeerTurns()
            turns.begin("a", _stand_still(), 0.0)
            at_once = [turns.admits(peer, 0.2) for peer in ("a", "b")]
            late = [turns.admits(peer, 0.4) for peer in ("a", "b")]
            turns.begin("b", _stand_still(), 0.4)
            turns.begin("c", _stand_still(), 0.4)
            full = turns.admits("d", 1.0)
            turns.stop()
            return [*at_once, *late, full]

        self.assertEqual([False, False, False, True, False], self.run_paused(run()))

    def test_nobody_is_asked_beside_one_that_goes_on(self) -> None:
        async def run() -> list[bool]:
            turns = PeerTurns()
            turns.begin("a", _stand_still(), 0.0)
            turns.moved(0.35)
            admitted = [turns.admits("b", 0.4), turns.admits("b", 0.7)]
            turns.stop()
            return admitted

        self.assertEqual([False, True], self.run_paused(run()))

    def test_a_peer_that_fails_again_and_again_is_left_out_for_longer(self) -> None:
        turns = PeerTurns()
        ends_s = []
        now_s = 0.0
        for _ in range(4):
            turns.pauses.failed("a", now_s)
            begun_s = now_s
            while turns.pauses.holds("a", now_s):
                now_s += 0.25
            ends_s.append(now_s - begun_s)
        self.assertEqual([0.5, 1.0, 2.0, 2.0], ends_s)
        turns.pauses.failed("a", now_s + 10.0)
        self.assertFalse(turns.pauses.holds("a", now_s + 10.6))
