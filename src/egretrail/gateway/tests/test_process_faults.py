"""Faults of a process's own parts that must not stop what depends on them."""

import asyncio
import os
import random
from dataclasses import replace
from unittest import mock

from result import Ok

from egretrail.gateway import Platform
from egretrail.gateway._log import EventLog
from egretrail.gateway._peers import PeerLinks
from egretrail.gateway._process import Gateway
from egretrail.gateway._settings_file import SettingsFileWatcher
from egretrail.gateway._view import FleetView
from egretrail.gateway.tests.settings import gateway_settings
from egretrail.http1 import ConnectFailed, open_connection
from egretrail.platform import PlatformContract, PlatformLayout
from egretrail.supervision import Supervisor
from egretrail.testing import EgretrailTestCase, FakeStore
from scaffolding.platform.fleet import free_ports


class ProcessFaultsTest(EgretrailTestCase):
    def test_the_peers_socket_is_opened_again(self) -> None:
        # The loop closes a socket at an address that no sender foresaw. The instance would have
        # sent and heard nothing from there on.
        async def run() -> None:
            settings = replace(gateway_settings(), peer_port=free_ports(1, ["127.0.0.1"])[0])
            rng = random.Random(1)
            log = EventLog("test", descriptor=os.open(os.devnull, os.O_WRONLY))
            asyncio.get_running_loop().set_exception_handler(lambda *_: None)
            view = FleetView(settings, 1, asyncio.get_running_loop().time, log, rng)
            peers = PeerLinks(settings, view, log, rng)
            await peers.open()
            task = asyncio.create_task(Supervisor(log.event, rng).run("peers", peers.run))
            assert peers._transport is not None
            peers._transport.sendto(b"x", ("127.0.0.1\0", 1))
            self.assertTrue(peers._transport.is_closing())
            await asyncio.sleep(0.5)
            self.assertFalse(peers._transport.is_closing())
            task.cancel()
            peers._transport.close()
            await asyncio.sleep(0)

        self.run_real(run())

    def test_an_upstream_at_an_impossible_port_is_unreachable(self) -> None:
        # The caller got an error of the program in place of another upstream.
        self.assertRaises(ConnectFailed, self.run_real, open_connection("127.0.0.1:70000", 1.0))

    def test_a_stop_goes_on_after_a_failed_farewell(self) -> None:
        # All running requests were cut.
        async def run() -> None:
            gateway = self._gateway()
            with mock.patch.object(gateway._peers, "leave", side_effect=RuntimeError("x")):
                began_s = asyncio.get_running_loop().time()
                await gateway._shut_down()
            self.assertGreater(asyncio.get_running_loop().time() - began_s, 0.4)
            self.assertTrue(gateway._view.leaving)

        self.run_real(run())

    def test_settings_that_failed_are_applied_later(self) -> None:
        # They counted as accepted, so that only the next change of the file would have been read.
        changed = replace(gateway_settings(), capacity=0.5)
        file = mock.Mock(read=lambda: Ok(changed), fingerprint=lambda: 1)
        watcher = SettingsFileWatcher(file, gateway_settings(), 0.0)
        polls = [watcher.poll(now_s) for now_s in (0.1, 0.3)]
        self.assertEqual([None, Ok(changed)], polls)
        watcher.withdraw(gateway_settings())
        polls = [watcher.poll(now_s) for now_s in (0.4, 0.6, 0.8)]
        self.assertEqual([None, Ok(changed), None], polls)

    def _gateway(self) -> Gateway:
        settings = replace(gateway_settings(), stop_grace_s=1.0)
        platform = Platform(
            mock.Mock(), lambda settings: FakeStore(), PlatformLayout(), PlatformContract()
        )
        return Gateway(settings, platform)
