"""Two responses that are read as one on a kept connection of an upstream."""

import asyncio
from collections.abc import Sequence

from egretrail.runtime import UpstreamClient, UpstreamRequest, UpstreamResult
from egretrail.store import Endpoint
from egretrail.testing import EgretrailTestCase, cases
from egretrail.upstream import AttemptOutcome

_FIRST = b"HTTP/1.1 200 OK\r\nX-Echo: r0\r\nContent-Length: 5\r\n\r\nfirst"
_FAILURE = b"HTTP/1.1 500 Failed\r\nX-Echo: r1\r\nContent-Length: 6\r\n\r\nfailed"
_EXTRA = b"HTTP/1.1 200 OK\r\nServer: x\r\nContent-Length: 5\r\n\r\nextra"


def _request(number: int) -> UpstreamRequest:
    return UpstreamRequest(
        method="GET",
        target="/",
        headers=(("Host", "shop"),),
        body=b"",
        request_id=f"r{number}",
        echo_header="X-Echo",
        may_reuse_connection=True,
    )


class UpstreamResponseTest(EgretrailTestCase):
    def _attempts(self, script: Sequence[bytes], *, pause_s: float = 0.0) -> list[UpstreamResult]:
        """Send requests r0, r1 and so on; the n-th that arrives gets the n-th bytes."""
        unused = list(script)

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                while unused:
                    await reader.readuntil(b"\r\n\r\n")
                    writer.write(unused.pop(0))
                await reader.read()
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            finally:
                writer.close()

        async def run() -> list[UpstreamResult]:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            client = UpstreamClient(1000)
            endpoint = Endpoint("127.0.0.1", server.sockets[0].getsockname()[1])
            results = []
            try:
                for number in range(len(script)):
                    results.append(await client.attempt(endpoint, _request(number), 1.0))
                    await asyncio.sleep(pause_s)
            finally:
                await client.stop()
                server.close()
            return results

        return self.run_real(run())

    @cases({f"byte {cut}": cut for cut in range(1, len(_EXTRA))})
    def test_a_broken_extra_response_does_not_lend_its_status(self, cut: int) -> None:
        """Guards against a success where the upstream answered a failure."""
        before, behind = [_FIRST, _EXTRA[:cut] + _FAILURE], [_FIRST + _EXTRA[:cut], _FAILURE]
        for script, pause_s in ((before, 0.0), (behind, 0.0), (behind, 0.05)):
            first, second = self._attempts(script, pause_s=pause_s)
            self.assertEqual((AttemptOutcome.ANSWERED, b"first"), (first.outcome, first.body))
            self.assertIsNot(AttemptOutcome.ANSWERED, second.outcome)
            if second.status:
                self.assertEqual((500, b"failed"), (second.status, second.body))

    def test_text_that_mentions_the_protocol_is_served(self) -> None:
        text = b"HTTP/1.1 is old"
        fields = b"X-Echo: r0\r\nVia: HTTP/1.1 proxy\r\nContent-Length: %d\r\n\r\n" % len(text)
        (result,) = self._attempts([b"HTTP/1.1 200 OK\r\n" + fields + text])
        self.assertEqual((AttemptOutcome.ANSWERED, text), (result.outcome, result.body))
