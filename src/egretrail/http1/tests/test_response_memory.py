"""Memory that received responses take after their exchange."""

import asyncio
import gc
import tracemalloc

from egretrail.http1 import encode_request, open_connection
from egretrail.testing import EgretrailTestCase

_BODY = b"x" * 1_000_000
_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(_BODY)
_REQUEST = encode_request(b"GET", b"/", [(b"Host", b"h")], b"")


async def _serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while await reader.readline():
        while await reader.readline() != b"\r\n":
            pass
        writer.write(_RESPONSE)
        writer.write(_BODY)
        await writer.drain()
    writer.close()


class ResponseMemoryTest(EgretrailTestCase):
    def test_a_body_is_free_again_without_a_garbage_collection(self) -> None:
        """A list of many pages took a process beyond its memory, and it was killed."""

        async def run() -> int:
            server = await asyncio.start_server(_serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            connection = await open_connection(f"127.0.0.1:{port}", 5.0)
            tracemalloc.start()
            gc.disable()
            try:
                for _ in range(10):
                    await connection.exchange(_REQUEST)
                return tracemalloc.get_traced_memory()[0]
            finally:
                gc.enable()
                tracemalloc.stop()
                connection.abort()
                server.close()

        # One body may still be on its way to the caller.
        self.assertLess(self.run_real(run()), 2 * len(_BODY))
