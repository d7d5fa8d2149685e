"""Messages on streams that are slow, silent, cut short or odd."""

import asyncio
from collections.abc import Sequence

from egretrail.gateway._frames import FRAME_BYTES_MAX, read_frame
from egretrail.testing import EgretrailTestCase, cases

_SILENCE_S = 0.7
_MESSAGE = b"x" * 60_000
_FRAME = len(_MESSAGE).to_bytes(4, "big") + _MESSAGE


def _pieces(size_bytes: int) -> Sequence[bytes]:
    return [_FRAME[start : start + size_bytes] for start in range(0, len(_FRAME), size_bytes)]


class FrameTest(EgretrailTestCase):
    def _read(self, pieces: Sequence[bytes], pause_s: float) -> tuple[bytes | Exception, float]:
        async def feed(reader: asyncio.StreamReader) -> None:
            for piece in pieces:
                await asyncio.sleep(pause_s)
                reader.feed_data(piece)
            await asyncio.sleep(3600.0)
            reader.feed_eof()

        async def run() -> tuple[bytes | Exception, float]:
            loop = asyncio.get_running_loop()
            reader = asyncio.StreamReader()
            feeding = loop.create_task(feed(reader))
            result: bytes | Exception
            try:
                result = await read_frame(reader, _SILENCE_S)
            except (TimeoutError, EOFError, ValueError) as error:
                result = error
            feeding.cancel()
            return result, loop.time()

        return self.run_paused(run())

    @cases(
        {
            "at once": (_pieces(len(_FRAME)), 0.0),
            "in pieces, longer than a silence": (_pieces(4_000), 0.1),
            "the length in two pieces": ([_FRAME[:2], _FRAME[2:]], 0.3),
        }
    )
    def test_a_message_that_goes_on_arrives(self, case: tuple[Sequence[bytes], float]) -> None:
        result, _ = self._read(*case)
        self.assertEqual(_MESSAGE, result)

    @cases(
        {
            "nothing": ([], 0.1, TimeoutError),
            "a part, and then nothing": (_pieces(4_000)[:3], 0.1, TimeoutError),
            # It would keep the only fetch of this kind for hours.
            "a byte now and then": (_pieces(1), 0.5, TimeoutError),
            "a length beyond all messages": (
                [(FRAME_BYTES_MAX + 1).to_bytes(4, "big")],
                0.1,
                ValueError,
            ),
        }
    )
    def test_a_stream_that_does_not_go_on_is_given_up_in_seconds(
        self, case: tuple[Sequence[bytes], float, type[Exception]]
    ) -> None:
        pieces, pause_s, failure = case
        result, took_s = self._read(pieces, pause_s)
        self.assertIsInstance(result, failure)
        self.assertLess(took_s, 5.0)
