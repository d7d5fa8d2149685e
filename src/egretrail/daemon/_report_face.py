"""The burn report on the operators' face."""

import falcon.asgi
from pydantic import TypeAdapter

from egretrail.report import FleetReport
from egretrail.runtime import ReportDriver

_REPORT = TypeAdapter(FleetReport)


class ReportResource:
    """What the fleet's callers were told, and how fast that burns the services' budgets."""

    def __init__(self, driver: ReportDriver) -> None:
        self._driver = driver

    async def on_get(self, _req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Gather from every instance and answer with the whole report as JSON."""
        resp.data = _REPORT.dump_json(await self._driver.gather())
        resp.content_type = "application/json"
