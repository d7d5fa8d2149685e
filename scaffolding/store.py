"""A stand-in for the platform's store: the tests' in-memory store with its HTTP/JSON API.

``POST /control`` injects faults: ``out``, ``delay_s``, ``lose_replies``. ``GET /counts`` returns
the number of calls by kind; a watch that waits counts once.
"""

import dataclasses

from aiohttp import web
from result import Err

from egretrail.store import (
    Entry,
    PlatformFailure,
    RevisionConflict,
    Snapshot,
    StoreRefused,
    WatchEvents,
    WriteUnknown,
)
from egretrail.testing import FakeStore
from scaffolding.listening import serve_one

_STORE_KEY = web.AppKey("store", FakeStore)


def store_app() -> web.Application:
    """Return the web application."""
    app = web.Application(client_max_size=1 << 20)
    app[_STORE_KEY] = FakeStore()
    app.add_routes(
        [
            web.get("/v1/kv/{path:.+}", _get),
            web.put("/v1/kv/{path:.+}", _put),
            web.delete("/v1/kv/{path:.+}", _delete),
            web.get("/v1/list", _list),
            web.get("/v1/watch", _watch),
            web.post("/v1/lease", _lease),
            web.post("/v1/lease/{lease}/renew", _renew),
            web.post("/control", _control),
            web.get("/counts", _counts),
        ]
    )
    return app


async def _get(request: web.Request) -> web.Response:
    result = await request.app[_STORE_KEY].get(request.match_info["path"])
    if isinstance(result, Err):
        return _failure_response(result.err_value)
    if result.ok_value is None:
        return web.json_response({}, status=404)
    return _json_response(result.ok_value)


async def _put(request: web.Request) -> web.Response:
    result = await request.app[_STORE_KEY].put(
        request.match_info["path"],
        await request.text(),
        int(request.query["revision"]),
        request.query.get("lease"),
    )
    if isinstance(result, Err):
        return _failure_response(result.err_value)
    return web.json_response({"revision": result.ok_value})


async def _delete(request: web.Request) -> web.Response:
    revision = int(request.query["revision"])
    result = await request.app[_STORE_KEY].delete(request.match_info["path"], revision)
    if isinstance(result, Err):
        return _failure_response(result.err_value)
    return web.json_response({"revision": result.ok_value})


async def _list(request: web.Request) -> web.Response:
    result = await request.app[_STORE_KEY].snapshot(request.query.get("prefix", ""))
    return (
        _failure_response(result.err_value)
        if isinstance(result, Err)
        else _json_response(result.ok_value)
    )


async def _watch(request: web.Request) -> web.Response:
    query = request.query
    events = await request.app[_STORE_KEY].watch(
        query.get("prefix", ""), int(query["after"]), float(query["wait_s"])
    )
    return (
        _failure_response(events.err_value)
        if isinstance(events, Err)
        else _json_response(events.ok_value)
    )


async def _lease(request: web.Request) -> web.Response:
    result = await request.app[_STORE_KEY].grant_lease(float(request.query["ttl_s"]))
    if isinstance(result, Err):
        return _failure_response(result.err_value)
    return web.json_response({"lease": result.ok_value})


async def _renew(request: web.Request) -> web.Response:
    result = await request.app[_STORE_KEY].renew_lease(request.match_info["lease"])
    return _failure_response(result.err_value) if isinstance(result, Err) else web.json_response({})


async def _control(request: web.Request) -> web.Response:
    store = request.app[_STORE_KEY]
    document = await request.json()
    store.delay_s = float(document.get("delay_s", store.delay_s))
    store.lose_replies = int(document.get("lose_replies", store.lose_replies))
    store.set_out(bool(document.get("out", store.out)))
    return web.json_response({})


async def _counts(request: web.Request) -> web.Response:
    store = request.app[_STORE_KEY]
    paths = {f"path {part}": count for part, count in store.path_calls.items()}
    return web.json_response({**store.calls, **paths})


def _json_response(value: Entry | Snapshot | WatchEvents) -> web.Response:
    return web.json_response(dataclasses.asdict(value))


def _failure_response(failure: PlatformFailure) -> web.Response:
    match failure:
        case RevisionConflict():
            return web.json_response({"revision": failure.actual_revision}, status=409)
        case StoreRefused():
            return web.json_response({}, status=failure.status)
        case WriteUnknown():
            raise ConnectionResetError
        case _:
            return web.json_response({}, status=503)


if __name__ == "__main__":
    serve_one(store_app())
