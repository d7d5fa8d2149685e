"""Counters and latency histograms in the Prometheus text format."""

from bisect import bisect_left
from collections import Counter
from pathlib import Path

#: Upper bounds of the latency histograms' buckets, in seconds.
_BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0)

_STATUS_PATH = Path("/proc/self/status")


def resident_memory_bytes() -> float:
    """Return the resident memory of this process; 0 where the system does not tell it."""
    try:
        lines = _STATUS_PATH.read_text().splitlines()
    except OSError:
        return 0.0
    sizes_kib = [int(line.split()[1]) for line in lines if line.startswith("VmRSS:")]
    return 1024.0 * sum(sizes_kib)


def label_value(text: str) -> str:
    """Return a text as the value of a metric's label."""
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


class _Histogram:
    __slots__ = ("counts", "total_s")

    def __init__(self) -> None:
        self.counts = [0] * (len(_BOUNDS_S) + 1)
        self.total_s = 0.0

    def observe(self, value_s: float) -> None:
        self.counts[bisect_left(_BOUNDS_S, value_s)] += 1
        self.total_s += value_s


class GatewayMetrics:
    """The metrics of a gateway.

    The Prometheus client library is not used: it would take 7 MB of memory in a process of 22 MB.
    """

    def __init__(self) -> None:
        self._answers: Counter[tuple[str, str]] = Counter()
        self._refusals: Counter[str] = Counter()
        self._cross_zone_bytes: Counter[str] = Counter()
        self._attempts: dict[str, _Histogram] = {}
        self._requests: dict[str, _Histogram] = {}

    def count_request(self, route: str, outcome: str, duration_s: float) -> None:
        """Count a request that got its final response, or whose client disconnected."""
        self._answers[route, outcome] += 1
        self._requests.setdefault(outcome, _Histogram()).observe(duration_s)

    def count_refusal(self, reason: str) -> None:
        """Count a refused request."""
        self._refusals[reason] += 1

    def count_cross_zone_bytes(self, kind: str, size_bytes: int) -> None:
        """Count bytes sent to or received from upstreams of other zones, by kind."""
        self._cross_zone_bytes[kind] += size_bytes

    def count_attempt(self, outcome: str, duration_s: float) -> None:
        """Count an outcome of an attempt at an upstream."""
        self._attempts.setdefault(outcome, _Histogram()).observe(duration_s)

    def render(self, gauges: dict[str, float]) -> bytes:
        """Return all metrics as text; ``gauges`` holds current values by name, with labels."""
        lines = [f"egretrail_{name} {value:g}" for name, value in sorted(gauges.items())]
        for (route, outcome), count in sorted(self._answers.items()):
            labels = f'route="{label_value(route)}",outcome="{outcome}"'
            lines.append(f"egretrail_answers_total{{{labels}}} {count}")
        for reason, count in sorted(self._refusals.items()):
            lines.append(f'egretrail_refusals_total{{reason="{reason}"}} {count}')
        for kind, count in sorted(self._cross_zone_bytes.items()):
            lines.append(f'egretrail_bytes_across_zones_total{{kind="{kind}"}} {count}')
        lines += _histogram_lines("request_seconds", self._requests)
        lines += _histogram_lines("attempt_seconds", self._attempts)
        return ("\n".join(lines) + "\n").encode()


def _histogram_lines(name: str, histograms: dict[str, _Histogram]) -> list[str]:
    lines = []
    for outcome, histogram in sorted(histograms.items()):
        count = 0
        for bound, bucket in zip((*_BOUNDS_S, "+Inf"), histogram.counts, strict=True):
            count += bucket
            labels = f'outcome="{outcome}",le="{bound}"'
            lines.append(f"egretrail_{name}_bucket{{{labels}}} {count}")
        lines.append(f'egretrail_{name}_sum{{outcome="{outcome}"}} {histogram.total_s:g}')
        lines.append(f'egretrail_{name}_count{{outcome="{outcome}"}} {count}')
    return lines
