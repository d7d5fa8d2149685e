"""Prints the counts of lost and late requests as tables or as one JSON document."""

from collections.abc import Iterator, Mapping

from egretrail.diagnosis import (
    Dimension,
    LossReport,
    LossTables,
    Outcome,
    RefusalCounts,
    RequestCounts,
    SlotState,
)

#: Rows of a property with many values; the document has all of them.
_ROWS_MAX = 20
_SLOT_TEXTS = {
    SlotState.FREE: "a slot known to be free",
    SlotState.TAKEN: "all slots known to be taken",
    SlotState.UNKNOWN: "slots not logged",
}


def losses_document(report: LossReport) -> dict[str, object]:
    """Return the counts as a JSON document."""
    reasons = [
        {"route": route, "reason": reason, "requests": count}
        for (route, reason), count in report.by_reason().items()
    ]
    tables = report.tables
    by_property = {
        dimension.name.lower(): {value: _counts_document(row) for value, row in rows.items()}
        for dimension, rows in tables.requests.items()
    }
    return {
        "requests": dict(report.requests),
        "lost": reasons,
        "seconds": {str(second): dict(row) for second, row in report.by_second().items()},
        "upstreams": dict(report.by_upstream()),
        "by": by_property,
        "refusals": {reason: _refusal_document(row) for reason, row in tables.refusals.items()},
        "attempts": [
            {
                "slot": slot.value,
                "zone": zone,
                "attempts": row.attempts,
                "from_other_zones": row.from_other_zones,
                "shed": row.shed,
                "failed": row.failed,
            }
            for (slot, zone), row in tables.attempts.items()
        ],
    }


def losses_text(report: LossReport, *, seconds: bool) -> Iterator[str]:
    """Yield the lines of all tables; those by second only if they are asked for."""
    tables = report.tables
    yield from _requests_text(Dimension.ROUTE, tables.requests[Dimension.ROUTE])
    yield f"\n{'route':24}{'lost':>10}{'share':>9}  reason"
    for (route, reason), count in report.by_reason().items():
        share = count / report.requests[route]
        yield f"{route or '(none)':24}{count:10}{share:9.4f}  {reason}"
    for dimension, rows in tables.requests.items():
        if dimension not in (Dimension.SECOND, Dimension.ROUTE):
            yield ""
            yield from _requests_text(dimension, rows)
    yield from _refusals_text(tables.refusals)
    yield from _attempts_text(tables)
    if seconds:
        yield ""
        yield from _requests_text(Dimension.SECOND, tables.requests[Dimension.SECOND])
        yield f"\n{'second':>14}  lost by reason"
        for second, counts in report.by_second().items():
            cells = ", ".join(f"{reason}: {count}" for reason, count in counts.most_common())
            yield f"{second:14}  {cells}"


def _requests_text(dimension: Dimension, rows: Mapping[str, RequestCounts]) -> Iterator[str]:
    titles = ["offered", *(one.value for one in Outcome), "attempts"]
    yield f"{'requests by ' + dimension.value:24}" + "".join(f"{title:>10}" for title in titles)
    shown = len(rows) if dimension is Dimension.SECOND else _ROWS_MAX
    for value, row in list(rows.items())[:shown]:
        cells = [row.offered, *(row.outcomes[one] for one in Outcome), row.attempts]
        yield f"{value:24}" + "".join(f"{cell:10}" for cell in cells)
    if len(rows) > shown:
        yield f"... {len(rows) - shown} more, see --json"


def _refusals_text(refusals: Mapping[str, RefusalCounts]) -> Iterator[str]:
    if not refusals:
        return
    yield f"\n{'refused because':24}{'refused':>10}  Retry-After: least, median, most (s)"
    for reason, row in refusals.items():
        summary = row.retry_after_summary_s()
        waits = ", ".join(f"{wait_s:.3g}" for wait_s in summary) if summary else "none logged"
        yield f"{reason:24}{row.refusals:10}  {waits}"


def _attempts_text(tables: LossTables) -> Iterator[str]:
    if not tables.attempts:
        return
    titles = ("attempts", "other zone", "shed", "failed")
    yield f"\n{'upstream zone':24}" + "".join(f"{title:>12}" for title in titles) + "  sent with"
    for (slot, zone), row in tables.attempts.items():
        cells = (row.attempts, row.from_other_zones, row.shed, row.failed)
        yield f"{zone:24}" + "".join(f"{cell:12}" for cell in cells) + f"  {_SLOT_TEXTS[slot]}"


def _counts_document(row: RequestCounts) -> dict[str, int]:
    outcomes = {outcome.value: count for outcome, count in row.outcomes.items()}
    return {"offered": row.offered, **outcomes, "attempts": row.attempts}


def _refusal_document(row: RefusalCounts) -> dict[str, object]:
    summary = row.retry_after_summary_s()
    names = ("retry_after_min_s", "retry_after_median_s", "retry_after_max_s")
    waits = dict(zip(names, summary, strict=True)) if summary else {}
    return {"refused": row.refusals, **waits}
