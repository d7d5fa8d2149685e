"""Tests of the client of the platform's store against a stand-in store."""

import asyncio
import base64
import contextlib
import itertools
import json
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from unittest import mock

from aiohttp import web
from result import Err, Ok, Result

from egretrail.http1 import ClientConnection, open_connection
from egretrail.platform import PlatformStore
from egretrail.store import Entry, HistoryLost, PlatformFailure, RevisionConflict, Snapshot
from egretrail.testing import EgretrailTestCase, cases
from scaffolding.platform import StandInStore


@contextlib.asynccontextmanager
async def _served(store: StandInStore) -> AsyncIterator[PlatformStore]:
    """Serve a store over HTTP and yield a client of it."""
    runner = web.AppRunner(store.app())
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    try:
        yield PlatformStore(f"{host}:{port}")
    finally:
        await runner.cleanup()


class SnapshotTest(EgretrailTestCase):
    def _read(self, store: StandInStore) -> Snapshot:
        async def run() -> Snapshot:
            async with _served(store) as client:
                read = await client.snapshot("servers/")
            assert isinstance(read, Ok)
            return read.ok_value

        return self.run_real(run())

    @cases({"no text": b"\xff\xfe{}", "nothing": b"", "a zero": b"\x00", "text": b"garbage"})
    def test_an_undecodable_entry_does_not_hide_others(self, data: bytes) -> None:
        store = StandInStore()
        store.write("servers/a", {"slots": 1})
        store.write_bytes("servers/b", data)
        store.write("servers/c", {"slots": 2})
        entries = {entry.path: entry.value for entry in self._read(store).entries}
        self.assertEqual('{"slots": 1}', entries["servers/a"])
        self.assertEqual('{"slots": 2}', entries["servers/c"])
        self.assertEqual(data, (entries["servers/b"] or "").encode(errors="surrogateescape"))


class RestoreTest(EgretrailTestCase):
    def test_revisions_increase_after_a_restore_and_conditions_on_old_ones_fail(self) -> None:
        store = StandInStore()
        store.write("x/a", 1)
        backup = store.take_backup()
        store.write("x/b", 2)

        async def check(client: PlatformStore) -> None:
            before = await client.snapshot("x/")
            assert isinstance(before, Ok)
            old = before.ok_value.revision
            waiting = asyncio.create_task(client.watch("x/", old, 5.0))
            await asyncio.sleep(0.1)
            store.restore(backup)
            self.assertIsInstance((await waiting).err(), HistoryLost)
            # This write gets the revision number of the lost entry.
            store.write("x/c", 3)
            self.assertIsInstance((await client.watch("x/", old, 0.1)).err(), HistoryLost)
            after = await client.snapshot("x/")
            assert isinstance(after, Ok)
            self.assertGreater(after.ok_value.revision, old)
            self.assertEqual(["x/a", "x/c"], [entry.path for entry in after.ok_value.entries])
            [_, entry] = after.ok_value.entries
            calls = store.call_counts["/api/kv-txn"]
            lost = before.ok_value.entries[1].revision
            refused = await client.put("x/c", "4", lost)
            self.assertIsInstance(refused.err(), RevisionConflict)
            self.assertEqual(calls, store.call_counts["/api/kv-txn"])
            self.assertIsInstance(await client.put("x/c", "4", entry.revision), Ok)

        async def run() -> None:
            async with _served(store) as client:
                await check(client)

        self.run_real(run())


class CloseTest(EgretrailTestCase):
    def test_a_closed_client_keeps_no_connection(self) -> None:
        async def run() -> None:
            runner = web.AppRunner(StandInStore().app())
            await runner.setup()
            site = web.TCPSite(runner, "127.0.0.1", 0)
            await site.start()
            host, port = runner.addresses[0][:2]
            client = PlatformStore(f"{host}:{port}")
            try:
                waiting = asyncio.create_task(client.watch("servers/", 1, 0.3))
                await client.get("k")
                await client.get("k")
                client.close()
                self.assertIsInstance(await waiting, Ok)
                await asyncio.sleep(0.1)
                assert runner.server is not None
                self.assertEqual([], runner.server.connections)
            finally:
                await runner.cleanup()

        self.run_real(run())


class KeepaliveTest(EgretrailTestCase):
    def test_a_connection_that_fails_silently_during_a_watch_is_detected(self) -> None:
        """Guards against a dead connection of a watch that goes unnoticed for nine seconds."""

        async def run() -> float:
            opened: list[ClientConnection] = []

            async def connect(*args: object, **options: object) -> ClientConnection:
                opened.append(await open_connection(*args, **options))  # type: ignore[arg-type]
                return opened[-1]

            runner = web.AppRunner(StandInStore().app(), shutdown_timeout=0.1)
            await runner.setup()
            await web.TCPSite(runner, "127.0.0.1", 0).start()
            host, port = runner.addresses[0][:2]
            client = PlatformStore(f"{host}:{port}")
            try:
                with mock.patch("egretrail.platform._store.open_connection", connect):
                    await client.watch("servers/", 1, 0.1)
                sock = opened[0]._transport.get_extra_info("socket")  # type: ignore[union-attr]
                if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE):
                    return float("inf")
                idle_s, interval_s, probes = (
                    sock.getsockopt(socket.IPPROTO_TCP, option)
                    for option in (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL, socket.TCP_KEEPCNT)
                )
                return float(idle_s + interval_s * probes)
            finally:
                client.close()
                await runner.cleanup()

        self.assertLessEqual(self.run_real(run()), 3.0)


class LostKeepaliveProbeTest(EgretrailTestCase):
    def test_one_lost_probe_does_not_end_a_connection(self) -> None:
        """Guards against a user timeout that ends working connections after one lost probe.

        A user timeout that is set replaces the number of probes: a connection ends at the first
        probe after it, if an earlier one was not answered.
        """

        async def read_options() -> tuple[float, int, int]:
            server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            connection = await open_connection(f"{host}:{port}", 1.0, keepalive=True)
            sock = connection._transport.get_extra_info("socket")  # type: ignore[union-attr]
            options = (socket.TCP_USER_TIMEOUT, socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL)
            values = [sock.getsockopt(socket.IPPROTO_TCP, option) for option in options]
            connection.abort()
            server.close()
            return values[0] / 1000, values[1], values[2]

        user_timeout_s, idle_s, interval_s = self.run_real(read_options())
        second_probe_s = idle_s + interval_s
        probes_s = itertools.count(second_probe_s, interval_s)
        end_s = next(at_s for at_s in probes_s if at_s >= user_timeout_s)
        self.assertGreater(end_s, second_probe_s)
        self.assertLessEqual(end_s, 3.0)


class SlowStoreTest(EgretrailTestCase):
    def test_a_store_that_responds_after_more_than_a_second_is_read(self) -> None:
        """Guards against a fixed time-out of 1 s, with which a slower store is never read."""

        async def answer(request: web.Request) -> web.Response:
            await asyncio.sleep(1.3)
            item = {"key": "k", "value": "", "revision": 7}
            return web.json_response({**item, "createdAt": 7, "lease": 0, "currentRev": 7})

        async def run() -> list[bool]:
            async with _store_of_one_value(answer) as client:
                return [isinstance(await client.get("k"), Ok) for _ in range(4)]

        self.assertEqual([False, True, True, True], self.run_real(run()))


class SlowLinkTest(EgretrailTestCase):
    """Guards against a fixed time-out for the whole of a response.

    A configuration of a megabyte takes more than two seconds over a link of 5 Mbit/s. With a
    time-out of one second for the whole response, each read ended early, however much had arrived.
    """

    def _read(
        self, value: bytes, chunks: int, *, pause_s: float, last_s: float
    ) -> Result[Entry | None, PlatformFailure]:
        item = {"key": "k", "value": base64.b64encode(value).decode(), "revision": 7}
        body = json.dumps({**item, "createdAt": 7, "lease": 0, "currentRev": 7}).encode()

        async def answer(request: web.Request) -> web.StreamResponse:
            response = web.StreamResponse(headers={"Content-Length": str(len(body))})
            await response.prepare(request)
            step = -(-len(body) // chunks)
            for start in range(0, len(body), step):
                last = start + step >= len(body)
                await asyncio.sleep(last_s if last else pause_s)
                await response.write(body[start : start + step])
            return response

        async def run() -> Result[Entry | None, PlatformFailure]:
            async with _store_of_one_value(answer) as client:
                return await client.get("k")

        return self.run_real(run())

    def test_a_large_value_is_read_while_its_bytes_arrive(self) -> None:
        value = b"x" * 600_000
        read = self._read(value, 15, pause_s=0.1, last_s=0.1)
        assert isinstance(read, Ok)
        assert read.ok_value is not None
        self.assertEqual(value.decode(), read.ok_value.value)

    def test_a_read_fails_when_the_store_stops_sending(self) -> None:
        self.assertIsInstance(self._read(b"x" * 600_000, 3, pause_s=0.01, last_s=30.0), Err)


@contextlib.asynccontextmanager
async def _store_of_one_value(
    answer: Callable[[web.Request], Awaitable[web.StreamResponse]],
) -> AsyncIterator[PlatformStore]:
    """Serve one value with the given handler, and yield a client."""
    app = web.Application()
    app.add_routes([web.get("/api/kv-key", answer)])
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    client = PlatformStore(f"{host}:{port}")
    try:
        yield client
    finally:
        client.close()
        await runner.cleanup()
