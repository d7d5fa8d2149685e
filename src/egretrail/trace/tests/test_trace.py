"""The text format of traces, and deterministic replay."""

import json

from egretrail.testing import EgretrailTestCase, cases
from egretrail.trace import (
    BASELINES,
    RECIPES,
    Deployment,
    EgretrailFactory,
    MalformedTrace,
    parse_trace,
    play,
    table,
    trace_lines,
)


class TraceFormatTest(EgretrailTestCase):
    def test_every_recipe_is_unchanged_by_writing_and_reading(self) -> None:
        for recipe in RECIPES:
            trace = recipe.trace(Deployment.HOANG_LIEN, 1)
            read = parse_trace(trace_lines(trace)).unwrap()
            self.assertEqual(trace.header, read.header)
            self.assertEqual(list(trace.requests), list(read.requests))
            self.assertEqual(list(trace.faults), list(read.faults))
            self.assertEqual(list(trace.expectations), list(read.expectations))

    @cases(
        {
            "empty": ([], 1),
            "not_json": (["{"], 1),
            "other_version": ([json.dumps({"record": "header", "version": 99})], 1),
            "no_header": ([json.dumps({"record": "request"})], 1),
            "unknown_record": (["HEADER", json.dumps({"record": "comet"})], 2),
            "missing_field": (["HEADER", json.dumps({"record": "request", "at_s": 1})], 2),
        }
    )
    def test_an_error_gives_the_invalid_line(self, row: tuple[list[str], int]) -> None:
        lines, at = row
        header = next(trace_lines(RECIPES[0].trace(Deployment.HOANG_LIEN, 1)))
        result = parse_trace([header if line == "HEADER" else line for line in lines])
        error = result.unwrap_err()
        self.assertIsInstance(error, MalformedTrace)
        self.assertEqual(at, error.line)


class MeasureTest(EgretrailTestCase):
    def test_two_runs_print_the_same_short_table(self) -> None:
        (recipe,) = (each for each in RECIPES if each.name == "crashing-request")

        def lines() -> list[str]:
            rows, unmet = play(
                recipe, Deployment.HOANG_LIEN, [1], [EgretrailFactory(), BASELINES[1]]
            )
            return [*table(rows), *map(str, unmet)]

        self.assertEqual(lines(), lines())
