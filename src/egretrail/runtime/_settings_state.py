"""The settings an instance holds, with the route table derived from them."""

from collections.abc import Callable, Iterable, Sequence

import structlog
from result import Ok

from egretrail.identity import RouteName
from egretrail.route import RouteTable
from egretrail.settings import (
    Catalogue,
    ChangeRun,
    Outcome,
    RunOutcome,
    SettingChange,
    SettingKind,
    SettingPath,
    SnapshotOutcome,
    StoreBehind,
)

#: Called with the changed paths, after the changes are in force.
SettingsListener = Callable[[Sequence[SettingPath]], None]

_log = structlog.get_logger()


class SettingsState:
    """The catalogue, its route table, and when they were last confirmed."""

    def __init__(self) -> None:
        self.catalogue = Catalogue()
        self.routes = RouteTable()
        #: When the store last confirmed the settings, on the loop's clock; None if never.
        self.confirmed_at_s: float | None = None
        #: Time of the last comparison with a caught-up peer or the store; None if there was none.
        self.compared_at_s: float | None = None
        #: Set while the store's last reply was older than the settings held by the fleet.
        self.store_behind: StoreBehind | None = None
        self._behind_at_s = 0.0
        #: No path changed between this revision and the catalogue's complete revision.
        self.unchanged_since_revision = 0
        self._listeners: list[SettingsListener] = []

    def subscribe(self, listener: SettingsListener) -> None:
        """Call ``listener`` after each change of the settings in force."""
        self._listeners.append(listener)

    def apply(self, changes: Iterable[SettingChange]) -> Sequence[SettingChange]:
        """Apply single changes without advancing the complete revision; return the new ones."""
        catalogue = self.catalogue
        applied = [change for change in changes if catalogue.apply(change) is Outcome.APPLIED]
        self._bring_into_force(applied)
        return applied

    def apply_run(self, run: ChangeRun) -> RunOutcome:
        """Apply a run: all changes between two revisions."""
        before = self.catalogue.complete_revision
        outcome = self.catalogue.apply_run(run)
        if run.changes and self.catalogue.complete_revision > before:
            self.unchanged_since_revision = self.catalogue.complete_revision
        self._bring_into_force(outcome.applied)
        return outcome

    def apply_snapshot(
        self, changes: Sequence[SettingChange], revision: int, asked_at_revision: int
    ) -> SnapshotOutcome:
        """Apply a full snapshot of the store."""
        outcome = self.catalogue.apply_snapshot(changes, revision, asked_at_revision)
        self.unchanged_since_revision = self.catalogue.complete_revision
        self._bring_into_force(outcome.applied)
        return outcome

    def record_complete_upto(self, revision: int) -> None:
        """Record that a peer that is complete up to a revision holds the same settings."""
        if revision > self.catalogue.complete_revision:
            self.catalogue.complete_upto(revision)
            self.unchanged_since_revision = revision

    def record_confirmation(self, at_s: float) -> None:
        """Record that the store confirmed the settings held here at a time."""
        self.confirmed_at_s = max(at_s, self.confirmed_at_s or at_s)
        self.compared_at_s = max(at_s, self.compared_at_s or at_s)
        if self.store_behind is not None and at_s > self._behind_at_s:
            self.store_behind = None

    def record_store_behind(self, behind: StoreBehind | None, at_s: float) -> None:
        """Record whether the store is behind the fleet (None: it is not), and log a new case."""
        if behind is not None and behind != self.store_behind:
            _log.error(
                "settings_store_behind",
                store_revision=behind.store_revision,
                held_revision=behind.held_revision,
                paths=",".join(behind.paths[:10]),
            )
        self.store_behind = behind
        self._behind_at_s = at_s

    def _bring_into_force(self, applied: Sequence[SettingChange]) -> None:
        paths = []
        issues = self.catalogue.in_force.issues() if applied else {}
        for change in applied:
            if change.path in issues:
                reason = "; ".join(str(fault) for fault in issues[change.path].faults)
                _log.warning("setting_unreadable", path=change.path, reason=reason)
            parsed = SettingPath.parse(change.path)
            if isinstance(parsed, Ok):
                self._update_routes(parsed.ok_value)
                paths.append(parsed.ok_value)
                _log.info(
                    "setting_in_force",
                    path=change.path,
                    generation=change.generation,
                    change_id=change.change_id,
                )
        if paths:
            for listener in self._listeners:
                listener(paths)

    def _update_routes(self, path: SettingPath) -> None:
        if path.kind is not SettingKind.ROUTE:
            return
        name = RouteName(path.qualified_name)
        route = self.catalogue.in_force.route(name)
        if route is None:
            self.routes.remove(name)
        else:
            self.routes.put(name, route)
