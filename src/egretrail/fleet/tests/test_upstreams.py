"""Directory of upstreams: the first drain sign counts, and stale rows do not revoke it."""

from collections.abc import Sequence

from egretrail.fleet import UpstreamDirectory, UpstreamListing, UpstreamRow
from egretrail.identity import AvailabilityZone, ServiceName, UpstreamName
from egretrail.testing import EgretrailTestCase, cases

_SERVICE = ServiceName("katalogi")
_UPSTREAM = UpstreamName("u1")


def _row(port: int = 1, leaving: bool = False) -> UpstreamRow:
    return UpstreamRow(_UPSTREAM, AvailabilityZone("vantaa-a"), "10.0.0.1", port, leaving)


class UpstreamDirectoryTest(EgretrailTestCase):
    @cases(
        {
            "stale_row": ([(1.0, [_row()])], UpstreamListing.DRAINED),
            "older_reading_after_a_short_gap": (
                [(1.0, []), (20.0, [_row()])],
                UpstreamListing.DRAINED,
            ),
            "row_gone": ([(1.0, [])], UpstreamListing.DEPARTED),
            "registered_again": ([(1.0, []), (70.0, [_row()])], UpstreamListing.LIVE),
            "another_address": ([(1.0, [_row(2)])], UpstreamListing.LIVE),
            "another_address_and_back": (
                [(1.0, [_row(2)]), (2.0, [_row()])],
                UpstreamListing.DRAINED,
            ),
            "sign_expired": ([(601.0, [_row()])], UpstreamListing.LIVE),
        }
    )
    def test_listing_after_the_upstream_reported_draining(
        self, row: tuple[Sequence[tuple[float, Sequence[UpstreamRow]]], UpstreamListing]
    ) -> None:
        readings, expected = row
        directory = UpstreamDirectory(lambda _: True)
        directory.apply_rows(_SERVICE, [_row()], 0.0, 0.0)
        self.assertEqual(1, len(directory.upstreams(_SERVICE)))
        self.assertTrue(directory.record_drain(_SERVICE, _UPSTREAM, 0.0))
        self.assertEqual([], list(directory.upstreams(_SERVICE)))
        for at_s, rows in readings:
            directory.apply_rows(_SERVICE, rows, at_s, at_s)
            directory.tick(at_s)
        self.assertIs(expected, directory.listings(_SERVICE)[_UPSTREAM])

    def test_an_older_reading_is_ignored(self) -> None:
        directory = UpstreamDirectory(lambda _: True)
        directory.apply_rows(_SERVICE, [], 10.0, 10.0)
        directory.apply_rows(_SERVICE, [_row()], 5.0, 11.0)
        self.assertEqual([], list(directory.upstreams(_SERVICE)))

    def test_a_row_marked_as_leaving_counts_as_a_drain_sign(self) -> None:
        directory = UpstreamDirectory(lambda _: True)
        directory.apply_rows(_SERVICE, [_row(leaving=True)], 0.0, 0.0)
        directory.apply_rows(_SERVICE, [_row()], 1.0, 1.0)
        self.assertIs(UpstreamListing.LEAVING, directory.listings(_SERVICE)[_UPSTREAM])

    def test_merged_signs_keep_their_age(self) -> None:
        here, there = UpstreamDirectory(lambda _: True), UpstreamDirectory(lambda _: True)
        for directory in (here, there):
            directory.apply_rows(_SERVICE, [_row()], 0.0, 0.0)
        here.record_drain(_SERVICE, _UPSTREAM, 0.0)
        there.merge_signs(_SERVICE, here.drain_signs(_SERVICE, 500.0), 500.0)
        self.assertEqual([], list(there.upstreams(_SERVICE)))
        there.tick(601.0)
        self.assertEqual(1, len(there.upstreams(_SERVICE)))

    def test_only_rows_of_served_services_are_kept(self) -> None:
        directory = UpstreamDirectory(lambda service: service == _SERVICE)
        directory.apply_rows(ServiceName("varaus"), [_row()], 0.0, 0.0)
        self.assertEqual([], list(directory.services()))
