"""Reading frames from streams that are slow, stall or carry an invalid length."""

import asyncio
from collections.abc import Sequence

from egretrail.gateway._frames import FRAME_BYTES_MAX, read_frame
from egretrail.testing import EgretrailTestCase, cases

_IDLE_TIMEOUT_S = 0.7
_MESSAGE = b"x" * 60_000
_FRAME = len(_MESSAGE).to_bytes(4, "big") + _MESSAGE


def _chunks(size_bytes: int) -> Sequence[bytes]:
    return [_FRAME[start : start + size_bytes] for start in range(0, len(_FRAME), size_bytes)]


class FrameTest(EgretrailTestCase):
    def _read(self, chunks: Sequence[bytes], pause_s: float) -> tuple[bytes | Exception, float]:
        async def feed(reader: asyncio.StreamReader) -> None:
            for chunk in chunks:
                await asyncio.sleep(pause_s)
                reader.feed_data(chunk)
            await asyncio.sleep(3600.0)
            reader.feed_eof()

        async def run() -> tuple[bytes | Exception, float]:
            loop = asyncio.get_running_loop()
            reader = asyncio.StreamReader()
            feeding = loop.create_task(feed(reader))
            result: bytes | Exception
            try:
                result = await read_frame(reader, _IDLE_TIMEOUT_S)
            except (TimeoutError, EOFError, ValueError) as error:
                result = error
            feeding.cancel()
            return result, loop.time()

        return self.run_paused(run())

    @cases(
        {
            "at once": (_chunks(len(_FRAME)), 0.0),
            "in chunks, in total longer than the timeout": (_chunks(4_000), 0.1),
            "the length in two chunks": ([_FRAME[:2], _FRAME[2:]], 0.3),
        }
    )
    def test_a_message_that_keeps_arriving_is_read(
        self, case: tuple[Sequence[bytes], float]
    ) -> None:
        result, _ = self._read(*case)
        self.assertEqual(_MESSAGE, result)

    @cases(
        {
            "no bytes": ([], 0.1, TimeoutError),
            "a part of a message, then a stall": (_chunks(4_000)[:3], 0.1, TimeoutError),
            # Without a limit this would occupy the only fetch of its kind for hours.
            "single bytes within the timeout": (_chunks(1), 0.5, TimeoutError),
            "a length above the maximum": (
                [(FRAME_BYTES_MAX + 1).to_bytes(4, "big")],
                0.1,
                ValueError,
            ),
        }
    )
    def test_reading_a_stalled_or_invalid_stream_fails_within_seconds(
        self, case: tuple[Sequence[bytes], float, type[Exception]]
    ) -> None:
        chunks, pause_s, failure = case
        result, took_s = self._read(chunks, pause_s)
        self.assertIsInstance(result, failure)
        self.assertLess(took_s, 5.0)
