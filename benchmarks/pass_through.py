"""A minimal proxy of Falcon and aiohttp, to measure the cost of these libraries alone."""

import socket

import aiohttp
import click
import falcon.asgi
import uvicorn


class PassThrough:
    """Forwards every request to one address and returns the response."""

    def __init__(self, port: int) -> None:
        self._base_url = f"http://127.0.0.1:{port}"
        self._session: aiohttp.ClientSession | None = None

    async def serve(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response | None, **_: object
    ) -> None:
        """Forward one request."""
        assert resp is not None
        if self._session is None:
            self._session = aiohttp.ClientSession(auto_decompress=False)
        url = self._base_url + req.relative_uri
        body = await req.stream.read()
        async with self._session.request(req.method, url, data=body or None) as response:
            resp.status = response.status
            resp.data = await response.read()


@click.command()
@click.option("--to", type=int, required=True)
def main(to: int) -> None:
    """Run the proxy on loopback."""
    app = falcon.asgi.App()
    app.add_sink(PassThrough(to).serve, prefix="/")
    listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
    click.echo(f"listening port={listener.getsockname()[1]}")
    config = uvicorn.Config(app, log_config=None, access_log=False, loop="asyncio")
    uvicorn.Server(config).run(sockets=[listener])


if __name__ == "__main__":
    main()
