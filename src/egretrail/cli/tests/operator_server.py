"""An operator API with settings on a loopback port, for the tests of the tool."""

import asyncio
import threading
from types import TracebackType

import falcon.asgi
import uvicorn

from egretrail.runtime import OperatorTokenMiddleware, add_settings_routes
from egretrail.runtime.tests.settings_fleet import SettingsFleet
from egretrail.settings import parse_operator_tokens
from egretrail.testing import FakeStore

TOKENS = 't = "token-of-the-team-t"\nu = "token-of-the-team-u"\n'


class RoutesResource:
    """Stand-in for the daemon's resource, with a response of the same form."""

    async def on_get(self, _req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        resp.media = {"routes": [{"route": "t/r", "service": "t/a", "idempotent_methods": ["GET"]}]}


class OperatorServer:
    """Serves the settings API of one of three instances, in its own thread."""

    def __init__(self) -> None:
        self.store = FakeStore()
        self.url = ""
        self._ready = threading.Event()
        self._thread = threading.Thread(target=lambda: asyncio.run(self._run()))
        self._server: uvicorn.Server | None = None

    def __enter__(self) -> "OperatorServer":
        self._thread.start()
        self._ready.wait()
        return self

    def __exit__(
        self,
        _type: type[BaseException] | None,
        _error: BaseException | None,
        _trace: TracebackType | None,
    ) -> None:
        if self._server is not None:
            self._server.should_exit = True
        self._thread.join()

    async def _run(self) -> None:
        fleet = SettingsFleet(3)
        fleet.store.__dict__.update(self.store.__dict__)
        self.store = fleet.store
        await fleet.start()
        tokens = parse_operator_tokens(TOKENS, "tokens.toml").unwrap()
        app = falcon.asgi.App(middleware=[OperatorTokenMiddleware(tokens)])
        add_settings_routes(app, fleet.first_driver())
        app.add_route("/v1/routes", RoutesResource())
        config = uvicorn.Config(app, host="127.0.0.1", port=0, log_level="error", lifespan="off")
        self._server = uvicorn.Server(config)
        serving = asyncio.create_task(self._server.serve())
        while not self._server.started:
            await asyncio.sleep(0.01)
        port = self._server.servers[0].sockets[0].getsockname()[1]
        self.url = f"http://127.0.0.1:{port}"
        self._ready.set()
        await serving
        await fleet.stop()
