"""A bare falcon and aiohttp pass-through: what a request costs with these libraries alone."""

import socket

import aiohttp
import click
import falcon.asgi
import uvicorn


class PassThrough:
    """Passes every request to one address and the answer back."""

    def __init__(self, port: int) -> None:
        self._base_url = f"http://127.0.0.1:{port}"
        self._session: aiohttp.ClientSession | None = None

    async def serve(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response | None, **_: object
    ) -> None:
        """Pass one request on."""
        assert resp is not None
        if self._session is None:
            self._session = aiohttp.ClientSession(auto_decompress=False)
        url = self._base_url + req.relative_uri
        body = await req.stream.read()
        async with self._session.request(req.method, url, data=body or None) as answer:
            resp.status = answer.status
            resp.data = await answer.read()


@click.command()
@click.option("--to", type=int, required=True)
def main(to: int) -> None:
    """Run the pass-through on loopback."""
    app = falcon.asgi.App()
    app.add_sink(PassThrough(to).serve, prefix="/")
    listening = socket.create_server(("127.0.0.1", 0), backlog=1024)
    click.echo(f"listening port={listening.getsockname()[1]}")
    config = uvicorn.Config(app, log_config=None, access_log=False, loop="asyncio")
    uvicorn.Server(config).run(sockets=[listening])


if __name__ == "__main__":
    main()
