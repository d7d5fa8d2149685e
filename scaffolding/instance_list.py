"""A stand-in of the platform's instance list. It shows changes only after a lag.

``POST /control`` takes ``rows`` to put, ``remove`` with names, and ``lag_s``.
"""

import asyncio
from typing import Any

from aiohttp import web

from scaffolding.listening import serve_and_say

_ROWS = web.AppKey("rows", dict[str, Any])
_LAG = web.AppKey("lag", dict[str, float])


def list_app() -> web.Application:
    """Return the stand-in as an application."""
    app = web.Application()
    app[_ROWS] = {}
    app[_LAG] = {"lag_s": 0.0}
    app.add_routes([web.get("/v1/instances", _read), web.post("/control", _control)])
    return app


async def _read(request: web.Request) -> web.Response:
    return web.json_response(list(request.app[_ROWS].values()))


async def _control(request: web.Request) -> web.Response:
    document = await request.json()
    lag = request.app[_LAG]
    lag["lag_s"] = float(document.get("lag_s", lag["lag_s"]))
    asyncio.get_running_loop().call_later(lag["lag_s"], _apply, request.app, document)
    return web.json_response({})


def _apply(app: web.Application, document: dict[str, Any]) -> None:
    for row in document.get("rows", []):
        app[_ROWS][row["name"]] = row
    for name in document.get("remove", []):
        app[_ROWS].pop(name, None)


if __name__ == "__main__":
    serve_and_say(list_app())
