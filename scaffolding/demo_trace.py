"""The demo's traces: their format, and the generator that recorded them.

A trace is JSON lines: the deployment first, then requests and faults in the order of ``at_s``.
``python -m scaffolding.demo_trace`` writes both traces again; the seeds are fixed.
"""

import json
import random
from collections.abc import Iterator, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path

from pydantic import TypeAdapter

TRACES = Path(__file__).resolve().parent.parent / "traces" / "demo"
_TRACE_DURATION_S = 24.0
_REQUESTS_PER_S = 45.0


@dataclass(frozen=True, slots=True)
class ServiceLine:
    """One service of the deployment."""

    name: str
    upstreams: int
    slots: int
    service_s: float
    floor: int
    #: Share of all requests that go to this service, and whether they are idempotent.
    share: float
    idempotent: bool


@dataclass(frozen=True, slots=True)
class Deployment:
    """The first line of a trace."""

    team: str
    availability_zones: Sequence[str]
    instances: int
    detection: str
    services: Sequence[ServiceLine]


@dataclass(frozen=True, slots=True)
class Event:
    """One request or fault.

    ``kind`` is ``request`` (service, index of the item, caller), ``upstream`` (service, index, mode
    or ``draining``), ``store`` (mode ``out`` or ``back``), ``kill`` or ``stop`` (index of the
    instance).
    """

    at_s: float
    kind: str
    service: str = ""
    index: int = 0
    mode: str = ""
    caller: str = ""


@dataclass(frozen=True, slots=True)
class DemoTrace:
    """A complete trace."""

    deployment: Deployment
    events: Sequence[Event]


LAATTANAYTE = Deployment(
    team="laattanayte",
    availability_zones=("vantaa-a", "espoo-b", "kerava-c"),
    instances=6,
    detection="patient",
    services=(
        ServiceLine("katalogi", 10, 4, 0.03, 7, 0.6, True),
        ServiceLine("varaus", 20, 4, 0.05, 15, 0.25, False),
        ServiceLine("lahetys", 6, 4, 0.04, 4, 0.15, False),
    ),
)
HOANG_LIEN = Deployment(
    team="hoang-lien",
    availability_zones=("binh-duong", "thu-duc", "quan-bay"),
    instances=6,
    detection="prompt",
    services=(
        ServiceLine("standplan", 7, 3, 0.03, 5, 0.6, True),
        ServiceLine("kholenh", 14, 3, 0.05, 10, 0.25, False),
        ServiceLine("thuphi", 6, 3, 0.04, 4, 0.15, False),
    ),
)


def read_trace(path: Path) -> DemoTrace:
    """Read a trace file."""
    first, *rest = path.read_text().splitlines()
    events = TypeAdapter(list[Event]).validate_python([json.loads(line) for line in rest])
    return DemoTrace(TypeAdapter(Deployment).validate_json(first), events)


def _requests(deployment: Deployment, rng: random.Random) -> Iterator[Event]:
    at_s = 0.0
    weights = [service.share for service in deployment.services]
    while True:
        at_s += rng.expovariate(_REQUESTS_PER_S)
        if at_s > _TRACE_DURATION_S:
            return
        service = rng.choices(deployment.services, weights)[0]
        caller = f"caller-{min(int(rng.paretovariate(1.2)), 20)}"
        yield Event(round(at_s, 3), "request", service.name, rng.randrange(500), caller=caller)


def _faults(deployment: Deployment) -> Iterator[Event]:
    first, second, third = (service.name for service in deployment.services)
    yield Event(4.0, "upstream", first, 2, "failing")
    yield Event(6.0, "store", mode="out")
    yield Event(8.0, "upstream", second, 3, "slow")
    yield Event(10.0, "kill", index=1)
    yield Event(13.0, "upstream", third, 1, "draining")
    yield Event(15.0, "store", mode="back")
    yield Event(16.0, "upstream", first, 2, "good")
    yield Event(17.0, "stop", index=2)


def record(deployment: Deployment, seed: int) -> DemoTrace:
    """Generate the trace of one deployment."""
    events = [*_requests(deployment, random.Random(seed)), *_faults(deployment)]
    return DemoTrace(deployment, sorted(events, key=lambda event: event.at_s))


def main() -> None:
    """Write both traces again."""
    TRACES.mkdir(parents=True, exist_ok=True)
    for deployment, seed in ((LAATTANAYTE, 11), (HOANG_LIEN, 12)):
        trace = record(deployment, seed)
        lines = [json.dumps(asdict(deployment))]
        lines += [
            json.dumps({name: value for name, value in asdict(event).items() if value != ""})
            for event in trace.events
        ]
        (TRACES / f"{deployment.team}.jsonl").write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
