"""Route matching, and refusal of ambiguous paths."""

from result import Err

from egretrail.identity import RouteName, ServiceName
from egretrail.route import PathFault, RouteTable
from egretrail.settings import FleetSettings, RouteSettings
from egretrail.testing import EgretrailTestCase, cases


def _route(prefix: str, host: str = "") -> RouteSettings:
    return RouteSettings(service=ServiceName("katalogi"), path_prefix=prefix, host=host)


_ROUTES = {
    "t/root": _route("/"),
    "t/tiles": _route("/tiles"),
    "t/boards": _route("/tiles/boards/"),
    "t/admin": _route("/admin", "Admin.example:8080"),
    "t/accent": _route("/h%C3%A4me"),
}


def _table() -> RouteTable:
    routes = {RouteName(name): route for name, route in _ROUTES.items()}
    return RouteTable.from_settings(FleetSettings({}, routes))


class MatchTest(EgretrailTestCase):
    @cases(
        {
            "root": ("", "/", "t/root"),
            "whole_segment": ("", "/tiles", "t/tiles"),
            "below": ("", "/tiles/7?x=/admin", "t/tiles"),
            "no_part_of_a_segment": ("", "/tilesets", "t/root"),
            "longest": ("", "/tiles/boards/3", "t/boards"),
            "encoded_letters": ("", "/%74iles/boards", "t/boards"),
            "encoded_prefix": ("", "/h\u00e4me/1", "t/accent"),
            "encoded_both": ("", "/h%c3%a4me/1", "t/accent"),
            "empty_segments": ("", "//tiles///boards", "t/boards"),
            "host_first": ("admin.example.", "/admin/x", "t/admin"),
            "host_falls_back": ("admin.example", "/tiles", "t/tiles"),
            "other_host": ("b.example", "/admin", "t/root"),
            "deep": ("", "/tiles/boards" + "/a" * 5000, "t/boards"),
        }
    )
    def test_the_route_with_the_longest_prefix_of_the_host_matches(
        self, row: tuple[str, str, str]
    ) -> None:
        host, path, expected = row
        match = _table().match(host, path, "GET").unwrap()
        self.assertIsNotNone(match)
        assert match is not None
        self.assertEqual(expected, match.route)
        self.assertEqual("t/katalogi", match.service)

    @cases(
        {
            "dots": ("/tiles/../admin", PathFault.DOT_SEGMENT),
            "encoded_dots": ("/tiles/%2e%2E/admin", PathFault.DOT_SEGMENT),
            "twice_encoded_dots": ("/tiles/%252e%252e/admin", PathFault.DOT_SEGMENT),
            "encoded_slash": ("/tiles%2fboards", PathFault.ENCODED_SEPARATOR),
            "twice_encoded_slash": ("/tiles%252fboards", PathFault.ENCODED_SEPARATOR),
            "backslash": ("/tiles\\boards", PathFault.ENCODED_SEPARATOR),
            "null": ("/tiles/%00", PathFault.CONTROL_CHARACTER),
            "cut_escape": ("/tiles/%4", PathFault.BAD_ESCAPE),
            "not_absolute": ("tiles", PathFault.NOT_ABSOLUTE),
            "full_url": ("http://x/tiles", PathFault.NOT_ABSOLUTE),
        }
    )
    def test_ambiguous_paths_are_refused(self, row: tuple[str, PathFault]) -> None:
        path, fault = row
        result = _table().match("", path, "GET")
        assert isinstance(result, Err)
        self.assertEqual(fault, result.err_value.fault)

    def test_idempotence_depends_on_the_method(self) -> None:
        seen = [_table().match("", "/tiles", m).unwrap().idempotent for m in ("GET", "POST")]  # type: ignore[union-attr]
        self.assertEqual([True, False], seen)

    def test_replaced_and_removed_routes_no_longer_match(self) -> None:
        table = _table()
        table.put(RouteName("t/boards"), _route("/other"))
        table.remove(RouteName("t/tiles"))
        table.remove(RouteName("t/tiles"))
        match = table.match("", "/tiles/boards/3", "GET").unwrap()
        assert match is not None
        self.assertEqual(("t/root", 4), (match.route, len(table)))
        for name in _ROUTES:
            table.remove(RouteName(name))
        self.assertIsNone(table.match("", "/tiles", "GET").unwrap())

    def test_the_first_name_matches_if_two_routes_share_a_prefix(self) -> None:
        for order in (["a/x", "b/x"], ["b/x", "a/x"]):
            table = RouteTable()
            for name in order:
                table.put(RouteName(name), _route("/same"))
            match = table.match("", "/same", "GET").unwrap()
            assert match is not None
            self.assertEqual("a/x", match.route)
