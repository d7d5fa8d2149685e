"""A configuration that an instance fails to put in force half-way."""

import asyncio
import json
from typing import Any
from unittest import mock

from egretrail.gateway import _config_state
from egretrail.gateway._view import FleetView
from egretrail.gateway.tests import test_failing_parts as parts
from egretrail.testing import EgretrailTestCase, cases
from scaffolding.platform.fleet import HOST, config, route

_ROUTES = [route("read", "/read/", "s"), route("new", "/new/", "s")]


class HalfAppliedConfigTest(EgretrailTestCase):
    @cases(
        {
            "its routes": (_config_state, "RouteTable"),
            "its objectives": (_config_state, "ObjectiveTable"),
            "the control of overload": (FleetView, "_configure_overload"),
        }
    )
    def test_a_configuration_is_applied_again(self, step: tuple[Any, str]) -> None:
        """The version counted as in force, and its routes were denied until the next one."""
        owner, name = step
        act = getattr(owner, name)
        failures, completed = iter([MemoryError()]), []

        def fail_once(*args: Any) -> Any:
            for failure in failures:
                raise failure
            completed.append(name)
            return act(*args)

        async def run() -> None:
            reader = parts._Reader()
            task = asyncio.get_running_loop().create_task(reader.sync.run())
            await asyncio.sleep(1.0)
            with mock.patch.object(owner, name, fail_once):
                document = json.dumps(config(2, _ROUTES))
                reader.store._apply(reader.layout.config_path, document)
                await asyncio.sleep(parts._RESTARTED_S)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            self.assertEqual(2, reader.view.config_version)
            routes = reader.view.configs.routes
            assert routes is not None
            self.assertIsNotNone(routes.find(HOST, "/new/1"))
            self.assertEqual([name], completed)

        self.run_paused(run())
