"""Serves stand-ins on free ports and prints the ports."""

import asyncio
from collections.abc import Mapping

from aiohttp import web


async def serve(apps: Mapping[str, web.Application]) -> None:
    """Serve each application on a port of its own until cancelled; print the ports by name."""
    ports = []
    for name, app in apps.items():
        runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        ports.append(f"{name}={runner.addresses[0][1]}")
    print("listening", *ports, flush=True)
    await asyncio.Event().wait()


def serve_one(app: web.Application) -> None:
    """Serve one application until the process ends; its port is named ``port``."""
    asyncio.run(serve({"port": app}))
