"""What a running gateway makes of changed settings, and when it looks at their file."""

import dataclasses
from collections.abc import Hashable, Mapping, Sequence
from dataclasses import replace
from typing import Any

from result import Err, Ok, Result

from egretrail.dispatch import QuotaTerms
from egretrail.gateway import GatewaySettings, InvalidDocument, SettingsFile
from egretrail.gateway._settings_change import settings_change
from egretrail.gateway._settings_file import SettingsWatch
from egretrail.gateway.tests.settings import gateway_settings
from egretrail.testing import EgretrailTestCase, cases

_SETTINGS = gateway_settings()
#: A changed value of each field, and whether a running process takes it over.
_CHANGED: Mapping[str, tuple[Any, bool]] = {
    "name": ("another", False),
    "ip": ("127.0.0.9", False),
    "availability_zone": ("zone-z", False),
    "traffic_address": ("127.0.0.1:9", False),
    "ready_address": ("127.0.0.1:9", False),
    "directory_address": ("127.0.0.1:9", False),
    "peer_port": (9, False),
    "metrics_port": (9, False),
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
}


def _changed(*names: str) -> GatewaySettings:
    return replace(_SETTINGS, **{name: _CHANGED[name][0] for name in names})


class SettingsChangeTest(EgretrailTestCase):
    def test_every_field_has_a_case(self) -> None:
        names = {field.name for field in dataclasses.fields(GatewaySettings)}
        self.assertEqual(names, set(_CHANGED))

    @cases({name: name for name in _CHANGED})
    def test_each_field_is_taken_over_or_waits_for_a_start(self, name: str) -> None:
        value, is_taken = _CHANGED[name]
        change = settings_change(_SETTINGS, _changed(name))
        expected = ([name], []) if is_taken else ([], [name])
        self.assertEqual(expected, (list(change.taken), list(change.waiting)))
        held = getattr(_SETTINGS, name)
        self.assertEqual(value if is_taken else held, getattr(change.settings, name))

    @cases(
        {
            "nothing": ((), [], []),
            "both kinds": (("ip", "seeds", "capacity"), ["seeds", "capacity"], ["ip"]),
            "all": (
                tuple(_CHANGED),
                [name for name, (_, is_taken) in _CHANGED.items() if is_taken],
                [name for name, (_, is_taken) in _CHANGED.items() if not is_taken],
            ),
        }
    )
    def test_several_fields(self, case: tuple[Sequence[str], list[str], list[str]]) -> None:
        names, taken, waiting = case
        change = settings_change(_SETTINGS, _changed(*names))
        self.assertCountEqual(taken, change.taken)
        self.assertCountEqual(waiting, change.waiting)
        self.assertEqual(_changed(*taken), change.settings)

    def test_what_waits_is_named_again_with_the_next_change(self) -> None:
        first = settings_change(_SETTINGS, _changed("ip"))
        second = settings_change(first.settings, _changed("ip", "seeds"))
        self.assertEqual((["seeds"], ["ip"]), (list(second.taken), list(second.waiting)))


#: What a file holds: changed fields, or the fault of an invalid one.
Held = tuple[str, ...] | str
#: At which step of a tenth of a second something is done, and what: the file is written, with a new
#: stamp or with the one before, or a signal comes.
Script = Sequence[tuple[int, str, Held]]
_STEP_S = 0.1001
_STEPS = 120
#: A change counts so many steps later, with a signal and without one.
_SIGNALLED_STEPS, _UNSIGNALLED_STEPS = 2, 22


class _ScriptedFile(SettingsFile):
    """A file that the test writes."""

    def __init__(self) -> None:
        self.held: Held = ()
        self.version = 1
        self.reads = 0

    def read(self) -> Result[GatewaySettings, InvalidDocument]:
        self.reads += 1
        if isinstance(self.held, str):
            return Err(InvalidDocument("file", [self.held]))
        return Ok(_changed(*self.held))

    def stamp(self) -> Hashable:
        return self.version


def _played(script: Script) -> tuple[list[tuple[int, Held]], int]:
    """Return what counted at which step, and how often the file was read."""
    file = _ScriptedFile()
    watch = SettingsWatch(file, _SETTINGS, 1000.0)
    counted: list[tuple[int, Held]] = []
    for step in range(_STEPS):
        for _, act, held in [one for one in script if one[0] == step]:
            if act == "signal":
                watch.signal()
            else:
                file.held = held
                file.version += act == "write"
        read = watch.look(1000.0 + step * _STEP_S)
        if read is not None:
            counted.append((step, file.held))
    return counted, file.reads


class SettingsWatchTest(EgretrailTestCase):
    @cases(
        {
            "nothing happens": ([], []),
            "a signal of a change": (
                [(30, "write", ("seeds",)), (30, "signal", ())],
                [(30, _SIGNALLED_STEPS, ("seeds",))],
            ),
            "a signal of a change that the stamp hides": (
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
            "a valid half": (
                [
                    (30, "write", ("memory_mb", "seeds")),
                    (30, "signal", ()),
                    (31, "write", ("seeds",)),
                ],
                [(31, _SIGNALLED_STEPS, ("seeds",))],
            ),
            "two changes, the second while the first settles": (
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
            "a change and back": (
                [(30, "write", ("seeds",)), (60, "write", ())],
                [(30, _UNSIGNALLED_STEPS, ("seeds",)), (60, _UNSIGNALLED_STEPS, ())],
            ),
            "an invalid file": (
                [(30, "write", "a fault"), *((n, "signal", ()) for n in range(40, 60, 3))],
                [(30, _UNSIGNALLED_STEPS, "a fault")],
            ),
            "another fault": (
                [(30, "write", "a fault"), (60, "write", "another one")],
                [(30, _UNSIGNALLED_STEPS, "a fault"), (60, _UNSIGNALLED_STEPS, "another one")],
            ),
            "a failure to read that passes": (
                [(30, "write", "a fault"), (60, "rewrite", ("seeds",))],
                [(30, _UNSIGNALLED_STEPS, "a fault"), (60, _UNSIGNALLED_STEPS, ("seeds",))],
            ),
            "an invalid half, then the whole": (
                [(30, "write", "a fault"), (30, "signal", ()), (31, "write", ("seeds",))],
                [(31, _SIGNALLED_STEPS, ("seeds",))],
            ),
        }
    )
    def test_what_counts_when(self, case: tuple[Script, Sequence[tuple[int, int, Held]]]) -> None:
        script, expected = case
        counted, _ = _played(script)
        self.assertEqual([held for _, _, held in expected], [held for _, held in counted])
        for (written, within, _), (step, _) in zip(expected, counted, strict=True):
            self.assertIn(step, range(written + 1, written + within + 1))

    def test_a_file_that_stays_the_same_is_not_read(self) -> None:
        self.assertEqual(2, _played([])[1])
