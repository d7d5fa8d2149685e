"""Which changed settings a running gateway applies, and when it detects a change of their file."""

import dataclasses
from collections.abc import Hashable, Mapping, Sequence
from dataclasses import replace
from typing import Any

from result import Err, Ok, Result

from egretrail.dispatch import QuotaTerms
from egretrail.gateway import GatewaySettings, InvalidDocument, SettingsFile
from egretrail.gateway._settings_change import compare_settings
from egretrail.gateway._settings_file import SettingsFileWatcher
from egretrail.gateway.tests.settings import gateway_settings
from egretrail.testing import EgretrailTestCase, cases

_SETTINGS = gateway_settings()
#: A changed value of each field, and whether a running process applies it.
_CHANGED: Mapping[str, tuple[Any, bool]] = {
    "name": ("another", False),
    "ip": ("127.0.0.9", False),
    "availability_zone": ("zone-z", False),
    "traffic_address": ("127.0.0.1:9", False),
    "ready_address": ("127.0.0.1:9", False),
    "directory_address": ("127.0.0.1:9", False),
    "peer_port": (9, False),
    "metrics_port": (9, False),
    "relay_port": (9, False),
    "seeds": (["127.0.0.9"], True),
    "store_address": ("127.0.0.9:9", True),
    "memory_mb": (9, True),
    "capacity": (0.5, True),
    "stop_grace_s": (9.0, True),
    "directory_ttl_max_s": (0.5, True),
    "repeat_ratio": (0.5, True),
    "repeat_window_s": (9.0, True),
    "repeat_slack": (9.0, True),
    "revocation_s": (9.0, True),
    "quota_terms": (QuotaTerms(9.0), True),
    "shares_capacity": (True, True),
    "controls_overload": (False, True),
}


def _changed(*names: str) -> GatewaySettings:
    return replace(_SETTINGS, **{name: _CHANGED[name][0] for name in names})


class SettingsChangeTest(EgretrailTestCase):
    def test_every_field_has_a_case(self) -> None:
        names = {field.name for field in dataclasses.fields(GatewaySettings)}
        self.assertEqual(names, set(_CHANGED))

    @cases({name: name for name in _CHANGED})
    def test_each_field_is_applied_now_or_pending_a_restart(self, name: str) -> None:
        value, is_applied = _CHANGED[name]
        change = compare_settings(_SETTINGS, _changed(name))
        expected = ([name], []) if is_applied else ([], [name])
        self.assertEqual(expected, (list(change.applied), list(change.pending_restart)))
        before = getattr(_SETTINGS, name)
        self.assertEqual(value if is_applied else before, getattr(change.settings, name))

    @cases(
        {
            "nothing": ((), [], []),
            "both kinds": (("ip", "seeds", "capacity"), ["seeds", "capacity"], ["ip"]),
            "all": (
                tuple(_CHANGED),
                [name for name, (_, is_applied) in _CHANGED.items() if is_applied],
                [name for name, (_, is_applied) in _CHANGED.items() if not is_applied],
            ),
        }
    )
    def test_several_fields(self, case: tuple[Sequence[str], list[str], list[str]]) -> None:
        names, applied, pending_restart = case
        change = compare_settings(_SETTINGS, _changed(*names))
        self.assertCountEqual(applied, change.applied)
        self.assertCountEqual(pending_restart, change.pending_restart)
        self.assertEqual(_changed(*applied), change.settings)

    def test_a_pending_field_is_reported_again_with_the_next_change(self) -> None:
        first = compare_settings(_SETTINGS, _changed("ip"))
        second = compare_settings(first.settings, _changed("ip", "seeds"))
        self.assertEqual((["seeds"], ["ip"]), (list(second.applied), list(second.pending_restart)))


#: Contents of a file: the names of changed fields, or the error of an invalid file.
Contents = tuple[str, ...] | str
#: Actions on the file: the step (of 0.1 s), the action and the contents. "write" changes the
#: contents and the fingerprint, "rewrite" only the contents; "signal" is SIGHUP.
Script = Sequence[tuple[int, str, Contents]]
_STEP_S = 0.1001
_STEPS = 120
#: Steps until a change is accepted at the latest, with a signal and without one.
_SIGNALLED_STEPS, _UNSIGNALLED_STEPS = 2, 22


class _ScriptedFile(SettingsFile):
    """A settings file whose contents the test sets."""

    def __init__(self) -> None:
        self.contents: Contents = ()
        self.version = 1
        self.reads = 0

    def read(self) -> Result[GatewaySettings, InvalidDocument]:
        self.reads += 1
        if isinstance(self.contents, str):
            return Err(InvalidDocument("file", [self.contents]))
        return Ok(_changed(*self.contents))

    def fingerprint(self) -> Hashable:
        return self.version


def _play_script(script: Script) -> tuple[list[tuple[int, Contents]], int]:
    """Return the accepted contents with their steps, and how often the file was read."""
    file = _ScriptedFile()
    watcher = SettingsFileWatcher(file, _SETTINGS, 1000.0)
    accepted: list[tuple[int, Contents]] = []
    for step in range(_STEPS):
        for _, action, contents in [entry for entry in script if entry[0] == step]:
            if action == "signal":
                watcher.request_read()
            else:
                file.contents = contents
                file.version += action == "write"
        read = watcher.poll(1000.0 + step * _STEP_S)
        if read is not None:
            accepted.append((step, file.contents))
    return accepted, file.reads


class SettingsWatchTest(EgretrailTestCase):
    @cases(
        {
            "nothing happens": ([], []),
            "a signal of a change": (
                [(30, "write", ("seeds",)), (30, "signal", ())],
                [(30, _SIGNALLED_STEPS, ("seeds",))],
            ),
            "a signal of a change that leaves the fingerprint as it was": (
                [(30, "rewrite", ("seeds",)), (30, "signal", ())],
                [(30, _SIGNALLED_STEPS, ("seeds",))],
            ),
            "a change without a signal": (
                [(30, "write", ("seeds",))],
                [(30, _UNSIGNALLED_STEPS, ("seeds",))],
            ),
            "a change while the process started": (
                [(0, "rewrite", ("seeds",))],
                [(0, _SIGNALLED_STEPS, ("seeds",))],
            ),
            "a signal without a change": ([(30, "signal", ()), (31, "signal", ())], []),
            "a file that is touched": ([(30, "write", ()), (60, "write", ())], []),
            "signals in series": (
                [(30, "write", ("seeds",)), *((n, "signal", ()) for n in range(30, 60))],
                [(30, _SIGNALLED_STEPS, ("seeds",))],
            ),
            "a half-written file that is valid": (
                [
                    (30, "write", ("memory_mb", "seeds")),
                    (30, "signal", ()),
                    (31, "write", ("seeds",)),
                ],
                [(31, _SIGNALLED_STEPS, ("seeds",))],
            ),
            "two changes, the second before the first is accepted": (
                [
                    (30, "write", ("seeds",)),
                    (30, "signal", ()),
                    (32, "write", ("capacity",)),
                    (32, "signal", ()),
                ],
                [
                    (30, _SIGNALLED_STEPS, ("seeds",)),
                    (32, _SIGNALLED_STEPS, ("capacity",)),
                ],
            ),
            "a change that is undone": (
                [(30, "write", ("seeds",)), (60, "write", ())],
                [(30, _UNSIGNALLED_STEPS, ("seeds",)), (60, _UNSIGNALLED_STEPS, ())],
            ),
            "an invalid file": (
                [(30, "write", "a fault"), *((n, "signal", ()) for n in range(40, 60, 3))],
                [(30, _UNSIGNALLED_STEPS, "a fault")],
            ),
            "another error": (
                [(30, "write", "a fault"), (60, "write", "another one")],
                [(30, _UNSIGNALLED_STEPS, "a fault"), (60, _UNSIGNALLED_STEPS, "another one")],
            ),
            "a read error that goes away": (
                [(30, "write", "a fault"), (60, "rewrite", ("seeds",))],
                [(30, _UNSIGNALLED_STEPS, "a fault"), (60, _UNSIGNALLED_STEPS, ("seeds",))],
            ),
            "a half-written file that is invalid, then the complete one": (
                [(30, "write", "a fault"), (30, "signal", ()), (31, "write", ("seeds",))],
                [(31, _SIGNALLED_STEPS, ("seeds",))],
            ),
        }
    )
    def test_changes_are_accepted_in_time(
        self, case: tuple[Script, Sequence[tuple[int, int, Contents]]]
    ) -> None:
        script, expected = case
        accepted, _ = _play_script(script)
        self.assertEqual(
            [contents for _, _, contents in expected], [contents for _, contents in accepted]
        )
        for (written, within, _), (step, _) in zip(expected, accepted, strict=True):
            self.assertIn(step, range(written + 1, written + within + 1))

    def test_an_unchanged_file_is_not_read_again(self) -> None:
        self.assertEqual(2, _play_script([])[1])
