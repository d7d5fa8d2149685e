"""Prints the error budget report as a table or as JSON, or writes an HTML page with plots."""

import base64
import html
import io
from collections.abc import Mapping, Sequence
from pathlib import Path

import click
from pydantic import TypeAdapter

from egretrail.cli._output import Context, json_option, print_json, unwrap
from egretrail.report import BurnRate, FleetReport, ServiceSummary, remaining_budget

_REPORT = TypeAdapter(FleetReport)

#: Burn rates from which a window pages the engineer on call (14.4: a thirtieth of a 30-day budget
#: in an hour) or opens a ticket (1: the budget is used up exactly at the end of its period).
_PAGE_RATE = 14.4
_TICKET_RATE = 1.0


@click.command()
@click.option("--html", "page", type=click.Path(path_type=Path), help="Write a page with plots.")
@json_option
@click.pass_obj
def report(context: Context, page: Path | None) -> None:
    """Show how fast each service's error budget burns, and what burns it, fleet-wide."""
    document = unwrap(context, context.client.call("GET", "/v1/report"))
    fleet_report = _REPORT.validate_python(document)
    if page is not None:
        page.write_text(report_page(fleet_report))
    if context.as_json:
        print_json(document)
    else:
        click.echo(report_table(fleet_report))


def _window_name(window_s: float) -> str:
    return f"{window_s / 3600:g}h" if window_s >= 3600 else f"{window_s / 60:g}m"


def _burnt_text(burnt: Mapping[str, int]) -> str:
    return ", ".join(f"{kind} {count}" for kind, count in sorted(burnt.items())) or "-"


def _alert_level(rate: float) -> str:
    if rate >= _PAGE_RATE:
        return "page"
    return "ticket" if rate > _TICKET_RATE else "ok"


def report_table(report: FleetReport) -> str:
    """Return the report as text for a terminal."""
    lines = [
        f"{'service / route':<34}{'objective':>16}{'window':>8}{'requests':>10}"
        f"{'burn':>8}{'left':>8}  {'':<7}burnt by"
    ]
    for service in report.services:
        objective = f"{service.objective.share:.2%} {service.objective.latency_s:g} s"
        lines += _window_lines(service.service, objective, service.windows)
        for route in service.routes:
            lines += _window_lines(f"  {route.route}", "", route.windows)
    lines += ["", *_ejection_lines(report.services)]
    revisions = sorted(set(report.settings_revisions.values()))
    lines.append(
        f"settings in force: revision {', '.join(map(str, revisions)) or '-'} "
        f"on {len(report.settings_revisions)} instance(s)"
    )
    if report.silent:
        lines.append("did not answer, not counted above: " + ", ".join(report.silent))
    return "\n".join(lines)


def _window_lines(name: str, objective: str, windows: Sequence[BurnRate]) -> list[str]:
    lines = []
    for number, burn in enumerate(windows):
        shown = (name, objective) if number == 0 else ("", "")
        lines.append(
            f"{shown[0]:<34}{shown[1]:>16}{_window_name(burn.window_s):>8}{burn.requests:>10}"
            f"{burn.rate:>8.1f}{remaining_budget(burn):>8.0%}  {_alert_level(burn.rate):<7}"
            f"{_burnt_text(burn.burnt)}"
        )
    return lines


def _ejection_lines(services: Sequence[ServiceSummary]) -> list[str]:
    lines = [
        f"{'ejections':<34}{'upstream':<18}{'cause':<20}{'ago s':>8}{'for s':>8}"
        f"{'found in s':>11}  by"
    ]
    for service in services:
        for instance, ejection in service.ejections:
            state = "" if ejection.over else " (now)"
            lines.append(
                f"{service.service:<34}{ejection.upstream:<18}{ejection.cause:<20}"
                f"{ejection.ago_s:>8.1f}{ejection.duration_s:>8.1f}"
                f"{ejection.detected_after_s:>11.2f}  {instance}{state}"
            )
    return lines if len(lines) > 1 else ["no ejections"]


def report_page(report: FleetReport) -> str:
    """Return the report as an HTML page with embedded plots."""
    return (
        "<!doctype html><html lang='en'><meta charset='utf-8'><title>egretrail burn report</title>"
        "<style>body{font-family:sans-serif;margin:2em}pre{overflow-x:auto}</style>"
        "<h1>Service-level burn</h1>"
        f"<img alt='Burn rate by service and window' src='data:image/png;base64,{_plot(report)}'>"
        f"<pre>{html.escape(report_table(report))}</pre></html>"
    )


def _plot(report: FleetReport) -> str:
    """Return a base64-encoded PNG of the burn rates and of the outcomes that cause them."""
    # Imported here because only the page needs it, and importing it takes longer than importing
    # the rest of the tool.
    from matplotlib.figure import Figure

    names = [service.service for service in report.services]
    figure = Figure(figsize=(11, 1.6 + 0.7 * max(1, len(names))), layout="constrained")
    rates, causes = figure.subplots(1, 2)
    height = 0.25
    for number in range(len(report.services[0].windows) if report.services else 0):
        bars = [service.windows[number].rate for service in report.services]
        label = _window_name(report.services[0].windows[number].window_s)
        at = [row + (number - 1) * height for row in range(len(names))]
        rates.barh(at, bars, height=height, label=label)
    rates.set_yticks(range(len(names)), names)
    rates.invert_yaxis()
    rates.axvline(_TICKET_RATE, color="grey", linestyle="--", linewidth=1)
    rates.set_xlabel("burn rate (1 uses the budget up exactly)")
    if names:
        rates.legend(title="window")
    kinds = sorted({kind for s in report.services for kind in s.windows[-1].burnt})
    left = [0] * len(names)
    for kind in kinds:
        counts = [service.windows[-1].burnt.get(kind, 0) for service in report.services]
        causes.barh(range(len(names)), counts, left=left, label=kind)
        left = [before + count for before, count in zip(left, counts, strict=True)]
    causes.set_yticks(range(len(names)), [""] * len(names))
    causes.invert_yaxis()
    causes.set_xlabel("requests not answered well, longest window")
    if kinds:
        causes.legend()
    png = io.BytesIO()
    figure.savefig(png, format="png", dpi=110)
    return base64.b64encode(png.getvalue()).decode()
