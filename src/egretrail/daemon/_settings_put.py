"""Writing settings from the operators' face, until the settings' own face lands."""

import secrets

import falcon.asgi
from result import Err

from egretrail.runtime import SettingsDriver
from egretrail.settings import SettingPath


class SettingResource:
    """One path of the settings."""

    def __init__(self, driver: SettingsDriver) -> None:
        self._driver = driver

    async def on_put(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, team: str, kind: str, name: str
    ) -> None:
        """Accept a new text, or refuse it."""
        path = SettingPath.parse(f"{team}/{kind}/{name}")
        if isinstance(path, Err):
            resp.status, resp.text = 400, str(path.err_value)
            return
        text = (await req.stream.read()).decode()
        revision = req.get_param_as_int("revision") or 0
        change_id = secrets.token_hex(8)
        written = await self._driver.put(path.ok_value, text, revision, change_id, "operator")
        if isinstance(written, Err):
            resp.status, resp.text = 409, str(written.err_value)
            return
        resp.media = {"accepted": str(written.ok_value)}
