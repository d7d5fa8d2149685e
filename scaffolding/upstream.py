"""Stand-ins for one service's upstreams, each on a port of its own.

An upstream has slots and a short backlog, sheds requests beyond them, starts cold, can drain,
honours a deadline and treats a closed connection as cancellation. ``POST /control`` injects faults:
``mode`` is one of ``good``, ``slow``, ``failing``, ``silent``, ``truncating``, ``surplus``,
``late`` and ``crashing``; ``share`` is the share of requests the mode applies to; ``draining`` and
``lying_load`` are booleans. ``GET /runs`` returns how often each piece of work ran, by its
``X-Work`` header.
"""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

import click
from aiohttp import web

from scaffolding.listening import serve

#: A slow upstream takes this many times as long.
_SLOW_FACTOR = 10.0
#: Number of requests that may wait for a slot before the upstream sheds.
_BACKLOG = 2
#: A late upstream responds this long after the request's deadline.
_LATE_S = 0.2
#: A cold upstream takes this many times as long at first.
_COLD_FACTOR = 3.0
#: The time over which a cold upstream warms up.
_WARMUP_S = 2.0


@dataclass(slots=True)
class UpstreamStandIn:
    """One upstream and its injected fault."""

    name: str
    slots: int
    service_s: float
    rng: random.Random
    mode: str = "good"
    share: float = 1.0
    draining: bool = False
    lying_load: bool = False
    in_flight: int = 0
    requests: int = 0
    started_s: float = -1.0
    runs: Counter[str] = field(default_factory=Counter)
    free_slots: asyncio.Semaphore = field(default_factory=lambda: asyncio.Semaphore(1))

    def app(self) -> web.Application:
        """Return the web application."""
        self.free_slots = asyncio.Semaphore(self.slots)
        app = web.Application(client_max_size=1 << 26)
        app.router.add_post("/control", self._control)
        app.router.add_get("/runs", self._runs)
        app.router.add_get("/health", self._health)
        app.router.add_route("*", "/{path:.*}", self._serve)
        app.on_response_prepare.append(_echo_request_id)
        return app

    async def _control(self, request: web.Request) -> web.Response:
        document = await request.json()
        self.mode = document.get("mode", self.mode)
        self.share = document.get("share", self.share)
        self.draining = document.get("draining", self.draining)
        self.lying_load = document.get("lying_load", self.lying_load)
        return web.json_response({})

    async def _runs(self, request: web.Request) -> web.Response:
        return web.json_response({"runs": self.runs, "requests": self.requests})

    async def _health(self, request: web.Request) -> web.Response:
        load = 0.0 if self.lying_load else self.in_flight / self.slots
        return web.json_response({"state": "ok", "load": load})

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        self.requests += 1
        if self.draining:
            return web.Response(status=503, headers={"X-Upstream-State": "draining"})
        if self.in_flight >= self.slots + _BACKLOG:
            return web.Response(status=503, headers={"X-Upstream-State": "shed"})
        self.in_flight += 1
        try:
            async with self.free_slots:
                return await self._work(request, body)
        finally:
            self.in_flight -= 1

    async def _work(self, request: web.Request, body: bytes) -> web.StreamResponse:
        mode = self.mode if self.rng.random() < self.share else "good"
        work = request.headers.get("X-Work", "")
        if request.method not in ("GET", "HEAD"):
            self.runs[work] += 1
        duration_s = self.service_s * self.rng.lognormvariate(0.0, 0.4) * self._cold_factor()
        duration_s *= _SLOW_FACTOR if mode == "slow" else 1.0
        deadline_s = float(request.headers.get("Egretrail-Timeout-S", "inf"))
        if mode == "late":
            await asyncio.sleep(deadline_s + _LATE_S)
        elif duration_s > deadline_s:
            await asyncio.sleep(deadline_s)
            return web.Response(status=504, body=b"deadline")
        await asyncio.sleep(duration_s)
        text = f"{self.name} {request.method} {request.rel_url} {work} {len(body)}\n".encode()
        if mode == "failing":
            return web.Response(status=500, body=b"fault")
        if mode == "silent":
            await asyncio.sleep(3600)
        if mode == "crashing" or (mode == "good" and "poison" in request.path):
            _abort(request)
        if mode in ("truncating", "surplus"):
            return await _send_wrong_length(request, text, mode)
        return web.Response(body=text)

    def _cold_factor(self) -> float:
        now_s = asyncio.get_running_loop().time()
        if self.started_s < 0:
            self.started_s = now_s
        cold_share = max(0.0, 1.0 - (now_s - self.started_s) / _WARMUP_S)
        return 1.0 + (_COLD_FACTOR - 1.0) * cold_share


async def _echo_request_id(request: web.Request, response: web.StreamResponse) -> None:
    response.headers["X-Request-Id"] = request.headers.get("X-Request-Id", "")


async def _send_wrong_length(request: web.Request, text: bytes, mode: str) -> web.StreamResponse:
    """Send fewer or more bytes than the Content-Length header states."""
    transport = request.transport
    assert transport is not None
    length = len(text) + 10 if mode == "truncating" else len(text)
    request_id = request.headers.get("X-Request-Id", "")
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\nX-Request-Id: {request_id}\r\n\r\n"
    transport.write(head.encode() + text)
    if mode == "truncating":
        transport.close()
    else:
        transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nsurplus\n")
        await asyncio.sleep(5)
    raise ConnectionResetError


def _abort(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
    raise ConnectionResetError


@click.command()
@click.option("--service", required=True)
@click.option("--count", type=int, required=True, help="How many upstreams.")
@click.option("--slots", type=int, required=True)
@click.option("--service-s", type=float, required=True, help="Median time of one request.")
@click.option("--seed", type=int, default=1)
def main(service: str, count: int, slots: int, service_s: float, seed: int) -> None:
    """Run all upstreams of one service on loopback."""
    rng = random.Random(seed)
    upstreams = [
        UpstreamStandIn(f"{service}-{n}", slots, service_s, random.Random(rng.random()))
        for n in range(count)
    ]
    asyncio.run(serve({f"port{n}": upstream.app() for n, upstream in enumerate(upstreams)}))


if __name__ == "__main__":
    main()
