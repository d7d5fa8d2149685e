"""The HTTP resource of the error budget report, for operators."""

import falcon.asgi
from pydantic import TypeAdapter

from egretrail.report import FleetReport
from egretrail.runtime import ReportDriver

_REPORT = TypeAdapter(FleetReport)


class ReportResource:
    """The fleet's response counts and how fast they use up the services' error budgets."""

    def __init__(self, driver: ReportDriver) -> None:
        self._driver = driver

    async def on_get(self, _req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Gather the counts from every instance and respond with the report as JSON."""
        resp.data = _REPORT.dump_json(await self._driver.gather())
        resp.content_type = "application/json"
