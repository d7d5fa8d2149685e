"""The Prometheus metrics of an instance."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, ProcessCollector

#: From a response out of a cache (5 ms) to the longest that clients usually wait for (10 s).
_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)


class Metrics:
    """Metrics in a registry of their own, so that tests can run several instances in a process."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        ProcessCollector(registry=self.registry)
        self.requests = Counter(
            "egretrail_requests",
            "Callers' requests by service, route and result: answered, failed or why refused.",
            ["service", "route", "result"],
            registry=self.registry,
        )
        self.duration_s = Histogram(
            "egretrail_request_duration_seconds",
            "Time from a whole request to its answer.",
            ["service"],
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self.attempts = Counter(
            "egretrail_attempts",
            "Attempts on upstreams by service and outcome.",
            ["service", "outcome"],
            registry=self.registry,
        )
        self.ejections = Counter(
            "egretrail_ejections",
            "Times that this instance stopped giving an upstream work.",
            ["service", "cause"],
            registry=self.registry,
        )
        self.upstreams = Gauge(
            "egretrail_upstreams",
            "Upstreams of a service by state, as this instance judges them.",
            ["service", "state"],
            registry=self.registry,
        )
        self.queued = Gauge(
            "egretrail_queued_requests",
            "Requests that wait for an upstream.",
            ["service"],
            registry=self.registry,
        )
        self.in_flight = Gauge(
            "egretrail_requests_in_flight",
            "Callers' requests that this instance holds.",
            registry=self.registry,
        )
        self.members = Gauge(
            "egretrail_members",
            "Instances of the fleet by state, as this instance sees them.",
            ["state"],
            registry=self.registry,
        )
        self.ready = Gauge(
            "egretrail_ready",
            "1 while the instance may be named to callers.",
            registry=self.registry,
        )
        self.leaving = Gauge(
            "egretrail_leaving", "1 while the instance is stopping.", registry=self.registry
        )
        self.settings_revision = Gauge(
            "egretrail_settings_revision",
            "Highest store revision whose settings are in force here.",
            registry=self.registry,
        )
        self.settings_behind = Gauge(
            "egretrail_settings_behind",
            "1 while the store shows older settings than the fleet holds.",
            registry=self.registry,
        )
        self.settings_unreadable = Gauge(
            "egretrail_settings_unreadable",
            "Paths whose newest value cannot be read; their last readable one is in force.",
            registry=self.registry,
        )
        self.settings_conflicts = Gauge(
            "egretrail_settings_conflicts",
            "Contradictions between paths that racing operators left.",
            registry=self.registry,
        )


def metrics_page() -> str:
    """Return the text of ``docs/metrics.md``: each metric of this module with its labels."""
    lines = [
        "# Metrics",
        "",
        "`GET /metrics` on the operators' face, beside the process's own (`process_*`). Made by",
        "`make docs-metrics`.",
        "",
        "| metric | kind | labels | meaning |",
        "| --- | --- | --- | --- |",
    ]
    attributes = vars(Metrics()).values()
    for metric in (item for item in attributes if isinstance(item, Counter | Gauge | Histogram)):
        (family,) = metric.describe()
        labels = ", ".join(f"`{name}`" for name in metric._labelnames) or "-"
        suffix = "_total" if family.type == "counter" else ""
        lines.append(
            f"| `{family.name}{suffix}` | {family.type} | {labels} | {family.documentation} |"
        )
    return "\n".join([*lines, "", _ALERTS])


_ALERTS = """## Example alert rules

```yaml
groups:
  - name: egretrail
    rules:
      - alert: RequestsBurnTheBudgetFast  # objective 99.9%, 14.4 times in 5 minutes and an hour
        expr: >
          (sum by (service) (rate(egretrail_requests_total{result!="answered"}[5m]))
            / sum by (service) (rate(egretrail_requests_total[5m])) > 14.4 * 0.001)
          and
          (sum by (service) (rate(egretrail_requests_total{result!="answered"}[1h]))
            / sum by (service) (rate(egretrail_requests_total[1h])) > 14.4 * 0.001)
      - alert: StoreLostWrites
        expr: max(egretrail_settings_behind) == 1
      - alert: InstanceNotReady
        expr: egretrail_ready == 0 and egretrail_leaving == 0
        for: 2m
```
"""
