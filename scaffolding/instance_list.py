"""A stand-in for the platform's instance list, which shows changes only after a lag.

``POST /control`` accepts ``rows`` to add or replace, ``remove`` with names, and ``lag_s``.
"""

import asyncio
from typing import Any

from aiohttp import web

from scaffolding.listening import serve_one

_ROWS_KEY = web.AppKey("rows", dict[str, Any])
_LAG_KEY = web.AppKey("lag", dict[str, float])


def list_app() -> web.Application:
    """Return the web application."""
    app = web.Application()
    app[_ROWS_KEY] = {}
    app[_LAG_KEY] = {"lag_s": 0.0}
    app.add_routes([web.get("/v1/instances", _read), web.post("/control", _control)])
    return app


async def _read(request: web.Request) -> web.Response:
    return web.json_response(list(request.app[_ROWS_KEY].values()))


async def _control(request: web.Request) -> web.Response:
    document = await request.json()
    lag = request.app[_LAG_KEY]
    lag["lag_s"] = float(document.get("lag_s", lag["lag_s"]))
    asyncio.get_running_loop().call_later(lag["lag_s"], _apply, request.app, document)
    return web.json_response({})


def _apply(app: web.Application, document: dict[str, Any]) -> None:
    for row in document.get("rows", []):
        app[_ROWS_KEY][row["name"]] = row
    for name in document.get("remove", []):
        app[_ROWS_KEY].pop(name, None)


if __name__ == "__main__":
    serve_one(list_app())
