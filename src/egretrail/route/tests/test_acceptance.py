"""Conflicts of settings changes with the settings in force."""

from egretrail.identity import RouteName, ServiceName
from egretrail.route import RouteTable, acceptance_faults, existing_conflicts
from egretrail.settings import FleetSettings, RouteSettings, ServiceSettings, SettingPath
from egretrail.testing import EgretrailTestCase, cases


def _route(service: str, prefix: str, host: str = "") -> RouteSettings:
    return RouteSettings(service=ServiceName(service), path_prefix=prefix, host=host)


_SETTINGS = FleetSettings(
    {ServiceName("a/s"): ServiceSettings(floor=1), ServiceName("a/free"): ServiceSettings(floor=1)},
    {RouteName("a/r"): _route("s", "/x", "h.example")},
)


class AcceptanceTest(EgretrailTestCase):
    @cases(
        {
            "fine": ("a/routes/q", _route("s", "/y"), 0),
            "itself": ("a/routes/r", _route("s", "/x", "h.example"), 0),
            "no_service": ("a/routes/q", _route("nothing", "/y"), 1),
            "service_of_another_team": ("b/routes/q", _route("s", "/y"), 1),
            "same_prefix": ("a/routes/q", _route("s", "/x/", "H.example:80"), 1),
            "same_prefix_encoded": ("a/routes/q", _route("s", "/%78", "h.example."), 1),
            "another_host": ("a/routes/q", _route("s", "/x"), 0),
            "both": ("b/routes/q", _route("s", "/x", "h.example"), 2),
            "unsafe_prefix": ("a/routes/q", _route("s", "/y/%2e%2e"), 1),
            "service_in_use": ("a/services/s", None, 1),
            "service_free": ("a/services/free", None, 0),
            "route_goes": ("a/routes/r", None, 0),
        }
    )
    def test_conflicting_changes_are_refused(
        self, row: tuple[str, RouteSettings | None, int]
    ) -> None:
        path, value, expected = row
        parsed = SettingPath.parse(path).unwrap()
        faults = acceptance_faults(parsed, value, _SETTINGS, RouteTable.from_settings(_SETTINGS))
        self.assertEqual(expected, len(faults), str(faults))

    def test_a_route_without_its_service_is_reported(self) -> None:
        settings = FleetSettings({}, _SETTINGS.routes)
        self.assertEqual(["a/routes/r"], [fault.key for fault in existing_conflicts(settings)])
        self.assertEqual([], existing_conflicts(settings, "b"))
        self.assertEqual([], existing_conflicts(_SETTINGS))
