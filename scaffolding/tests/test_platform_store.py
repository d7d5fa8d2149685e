"""The client of the store, against the stand-in of the store."""

from aiohttp import web
from result import Ok

from egretrail.platform import PlatformStore
from egretrail.store import Snapshot
from egretrail.testing import EgretrailTestCase, cases
from scaffolding.platform import StandInStore


class SnapshotTest(EgretrailTestCase):
    def _read(self, store: StandInStore) -> Snapshot:
        async def run() -> Snapshot:
            runner = web.AppRunner(store.app())
            await runner.setup()
            site = web.TCPSite(runner, "127.0.0.1", 0)
            await site.start()
            host, port = runner.addresses[0][:2]
            try:
                read = await PlatformStore(f"{host}:{port}").snapshot("servers/")
            finally:
                await runner.cleanup()
            assert isinstance(read, Ok)
            return read.ok_value

        return self.run_real(run())

    @cases({"no text": b"\xff\xfe{}", "nothing": b"", "a zero": b"\x00", "text": b"garbage"})
    def test_an_entry_of_any_bytes_hides_no_other(self, data: bytes) -> None:
        store = StandInStore()
        store.write("servers/a", {"slots": 1})
        store.write_bytes("servers/b", data)
        store.write("servers/c", {"slots": 2})
        entries = {entry.path: entry.value for entry in self._read(store).entries}
        self.assertEqual('{"slots": 1}', entries["servers/a"])
        self.assertEqual('{"slots": 2}', entries["servers/c"])
        self.assertEqual(data, (entries["servers/b"] or "").encode(errors="surrogateescape"))
