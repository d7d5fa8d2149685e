"""The operators' HTTP interface to settings: read, write, history, diff and rollout state."""

import dataclasses
import difflib
import secrets
from typing import Any

import falcon.asgi
from result import Err, Ok, Result

from egretrail.runtime._settings import SettingsDriver
from egretrail.runtime._settings_problem import OperatorProblem, settings_problem
from egretrail.runtime._settings_writer import StoredSetting
from egretrail.settings import (
    TEXT_LIMIT_BYTES,
    Accepted,
    ChangeRecord,
    InvalidSettings,
    OperatorTokens,
    SettingPath,
    SettingsFault,
    SettingsRefusal,
    StoreUnreachable,
)

#: Probes and scrapes carry no token.
_OPEN_PATHS = {"/healthz", "/readyz", "/metrics"}


class OperatorTokenMiddleware:
    """Requires a token; without a tokens file every request may read and none may write."""

    def __init__(self, tokens: OperatorTokens | None) -> None:
        self._tokens = tokens

    async def process_request(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Set the team that the request's token belongs to, or refuse the request."""
        req.context.team = None
        if self._tokens is None or req.path in _OPEN_PATHS:
            return
        req.context.team = self._tokens.team_of(req.get_header("Authorization"))
        if req.context.team is None:
            OperatorProblem("no-token", 401, "A team's token is needed").write_to(resp)
            resp.set_header("WWW-Authenticate", "Bearer")
            resp.complete = True


def add_settings_routes(app: Any, driver: SettingsDriver) -> None:
    """Add the settings routes to the operators' app, which has the token middleware."""
    path = "/v1/settings/{team}/{kind}/{name}"
    app.add_route("/v1/settings", SettingsResource(driver))
    app.add_route(path, SettingResource(driver))
    app.add_route(f"{path}/history", HistoryResource(driver))
    app.add_route(f"{path}/diff", DiffResource(driver))
    app.add_route(f"{path}/in-force", InForceResource(driver))


class SettingsResource:
    """All paths that are in force on this instance."""

    def __init__(self, driver: SettingsDriver) -> None:
        self._driver = driver

    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Return every path, or those of one team, and the instance's settings status."""
        team = req.get_param("team")
        live = sorted(self._driver.catalogue.live(), key=lambda change: change.path)
        resp.media = {
            "settings": [
                {
                    "path": change.path,
                    "generation": change.generation,
                    "change_id": change.change_id,
                }
                for change in live
                if team is None or change.path.startswith(f"{team}/")
            ],
            "status": dataclasses.asdict(self._driver.status()),
        }


class _PathResource:
    def __init__(self, driver: SettingsDriver) -> None:
        self._driver = driver

    async def _read(
        self, resp: falcon.asgi.Response, team: str, kind: str, name: str
    ) -> StoredSetting | None:
        """Return the store's entry for a path; after a failure send the problem, return None."""
        path = SettingPath.parse(f"{team}/{kind}/{name}")
        if isinstance(path, Err):
            settings_problem(path.err_value).write_to(resp)
            return None
        stored = await self._driver.read(path.ok_value)
        if isinstance(stored, Err):
            settings_problem(stored.err_value).write_to(resp)
            return None
        return stored.ok_value


class SettingResource(_PathResource):
    """One path."""

    async def on_get(
        self, _req: falcon.asgi.Request, resp: falcon.asgi.Response, team: str, kind: str, name: str
    ) -> None:
        """Return the latest change and the value in force here, the latter also in an outage."""
        path = SettingPath.parse(f"{team}/{kind}/{name}")
        if isinstance(path, Err):
            settings_problem(path.err_value).write_to(resp)
            return
        stored = await self._driver.read(path.ok_value)
        held = self._driver.catalogue.held(str(path.ok_value))
        if isinstance(stored, Err) and (
            held is None or not isinstance(stored.err_value, StoreUnreachable)
        ):
            settings_problem(stored.err_value).write_to(resp)
            return
        latest = None
        if isinstance(stored, Ok):
            envelope = stored.ok_value.envelope
            latest = envelope.latest if envelope is not None else ChangeRecord("", "", 0.0, None)
        in_force = None if held is None else {"generation": held.generation, "text": held.text}
        resp.media = {
            "path": str(path.ok_value),
            "revision": stored.ok_value.visible_revision if isinstance(stored, Ok) else None,
            "latest": None if latest is None else dataclasses.asdict(latest),
            "in_force_here": in_force,
            "store_out": isinstance(stored, Err),
        }

    async def on_put(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, team: str, kind: str, name: str
    ) -> None:
        """Accept a new text if the path is at the revision that the operator saw."""
        body = await req.stream.read(TEXT_LIMIT_BYTES + 1)
        try:
            text = body.decode()
        except UnicodeDecodeError:
            fault = SettingsFault("", "the text is not UTF-8")
            settings_problem(InvalidSettings(f"{team}/{kind}/{name}", [fault])).write_to(resp)
            return
        await self._write(req, resp, f"{team}/{kind}/{name}", text)

    async def on_delete(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, team: str, kind: str, name: str
    ) -> None:
        """Accept the deletion if the path is at the revision that the operator saw."""
        await self._write(req, resp, f"{team}/{kind}/{name}", None)

    async def _write(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, raw: str, text: str | None
    ) -> None:
        path = SettingPath.parse(raw)
        if isinstance(path, Err):
            settings_problem(path.err_value).write_to(resp)
            return
        team = req.context.team
        if team != path.ok_value.team:
            detail = f"only the token of team {path.ok_value.team} may write {raw}"
            OperatorProblem("not-your-team", 403, "The path is another team's", detail).write_to(
                resp
            )
            return
        revision = req.get_param_as_int("revision", required=True, min_value=0)
        change_id = req.get_param("change_id") or secrets.token_hex(8)
        author = (req.get_param("author") or str(team))[:80]
        written: Result[Accepted, SettingsRefusal]
        if text is None:
            written = await self._driver.delete(path.ok_value, revision, change_id, author)
        else:
            written = await self._driver.put(path.ok_value, text, revision, change_id, author)
        if isinstance(written, Err):
            settings_problem(written.err_value).write_to(resp)
        else:
            resp.media = dataclasses.asdict(written.ok_value)


class HistoryResource(_PathResource):
    """The last changes of a path."""

    async def on_get(
        self, _req: falcon.asgi.Request, resp: falcon.asgi.Response, team: str, kind: str, name: str
    ) -> None:
        """Return the retained changes, newest first."""
        stored = await self._read(resp, team, kind, name)
        if stored is not None:
            changes = [dataclasses.asdict(change) for change in _changes(stored)]
            resp.media = {"path": stored.path, "changes": changes}


class DiffResource(_PathResource):
    """The difference between two changes of a path."""

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, team: str, kind: str, name: str
    ) -> None:
        """Return a unified diff, by default between the last two changes."""
        stored = await self._read(resp, team, kind, name)
        if stored is None:
            return
        texts = {change.revision: change.text or "" for change in _changes(stored)}
        revisions = [*texts, 0]
        texts[0] = ""
        to = req.get_param_as_int("to", default=revisions[0])
        default = next((revision for revision in revisions if revision < to), 0)
        start = req.get_param_as_int("from", default=default)
        missing = [revision for revision in (start, to) if revision not in texts]
        if missing:
            detail = f"kept are {', '.join(map(str, revisions))}"
            OperatorProblem("no-such-revision", 404, "The revision is not kept", detail).write_to(
                resp
            )
            return
        lines = difflib.unified_diff(
            texts[start].splitlines(),
            texts[to].splitlines(),
            f"{stored.path}@{start}",
            f"{stored.path}@{to}",
            lineterm="",
        )
        resp.media = {"path": stored.path, "from": start, "to": to, "diff": "\n".join(lines)}


class InForceResource(_PathResource):
    """The instances on which a change is in force."""

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, team: str, kind: str, name: str
    ) -> None:
        """Ask every instance, by default about the change that is in force here."""
        path = SettingPath.parse(f"{team}/{kind}/{name}")
        if isinstance(path, Err):
            settings_problem(path.err_value).write_to(resp)
            return
        here = self._driver.catalogue.current(str(path.ok_value)).generation
        generation = req.get_param_as_int("generation", default=here)
        found = await self._driver.in_force(path.ok_value, generation)
        resp.media = {"generation": generation, **dataclasses.asdict(found)}


def _changes(stored: StoredSetting) -> list[ChangeRecord]:
    if stored.envelope is None:
        return []
    latest = dataclasses.replace(stored.envelope.latest, revision=stored.revision)
    return [latest, *stored.envelope.history]
