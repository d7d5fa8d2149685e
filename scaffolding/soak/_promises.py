"""The promises of the pages, checked from what callers and backends saw."""

from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field

from scaffolding.platform import Reply, StandInBackend

#: Statuses that say that a request has not run and never will.
_NOT_RUN = frozenset({408, 421, 429, 503})
#: The repeat budget of the settings that the stand-in writes.
_RATIO, _SLACK, _WINDOW_S = 0.2, 60, 10.0


@dataclass(frozen=True, slots=True)
class Sent:
    """One client attempt and what came of it."""

    #: When it was sent.
    at_s: float
    #: The gateway that took it.
    gateway: int
    #: The start of that gateway's process, by number.
    lifetime: int
    #: Whether its route lets it run at most once.
    once: bool
    #: The service that every configuration sends it to; empty where configurations differ.
    service: str
    #: Method and target.
    line: str
    #: What the caller got.
    reply: Reply


@dataclass(slots=True)
class Promises:
    """Collects what was seen, and names each broken promise."""

    #: Client attempts in the order of their ends.
    sent: list[Sent] = field(default_factory=list)
    #: Configurations as they were written: when, and the service of the moving route.
    versions: list[tuple[float, str]] = field(default_factory=list)
    #: Requests that were read by a stopping gateway and got no answer.
    cut_at_stops: list[str] = field(default_factory=list)
    #: Requests that reached a backend too late after it said that it leaves.
    late_to_leaving: list[str] = field(default_factory=list)

    def broken(self, backends: Sequence[StandInBackend]) -> list[str]:
        """Return each broken promise."""
        runs: Counter[str] = Counter()
        places: dict[str, list[StandInBackend]] = defaultdict(list)
        for backend in backends:
            runs.update(backend.runs)
            for attempt in backend.runs:
                places[attempt].append(backend)
        found = [f"cut at a planned stop: {one}" for one in self.cut_at_stops]
        found += [f"sent to a leaving backend: {one}" for one in self.late_to_leaving]
        for one in self.sent:
            found += self._of_one(one, runs[one.reply.attempt], places[one.reply.attempt])
        found += self._configuration(places)
        found += self._budget(backends)
        return found

    def _of_one(self, one: Sent, runs: int, places: Sequence[StandInBackend]) -> list[str]:
        found = []
        attempt, status = one.reply.attempt, one.reply.status
        if one.once and runs > 1:
            found.append(f"{attempt} ran {runs} times")
        if one.once and status in _NOT_RUN and runs:
            found.append(f"{attempt} was answered {status} and ran")
        if status == 200 and not one.reply.body.endswith(one.line.encode()):
            found.append(f"{attempt} got another answer: {one.reply.body!r}")
        if status == 200 and not runs:
            found.append(f"{attempt} was answered and never ran")
        if one.service and any(place.service != one.service for place in places):
            found.append(f"{attempt} ran at another service")
        return found

    def _configuration(self, places: dict[str, list[StandInBackend]]) -> list[str]:
        """Return where a process went back to an older configuration.

        The moving route names another service in each version, so an answer tells the version.
        """
        found = []
        held: dict[tuple[int, int], int] = {}
        for one in sorted(self.sent, key=lambda sent: sent.at_s):
            ran = places[one.reply.attempt]
            if one.service or one.reply.status != 200 or not ran:
                continue
            key = (one.gateway, one.lifetime)
            least = held.get(key, 0)
            fitting = [
                number
                for number, (_, service) in enumerate(self.versions)
                if service == ran[-1].service and number >= least
            ]
            if not fitting:
                found.append(f"{one.reply.attempt} was run by {ran[-1].service}: a version back")
                continue
            held[key] = fitting[0]
        return found

    def _budget(self, backends: Sequence[StandInBackend]) -> list[str]:
        """Return the windows in which a service got too many sends beyond the first."""
        arrivals: dict[str, list[tuple[float, str]]] = defaultdict(list)
        for backend in backends:
            arrivals[backend.service] += backend.arrivals
        found = []
        for service, rows in arrivals.items():
            rows.sort()
            seen: set[str] = set()
            repeats = []
            for at_s, attempt in rows:
                if attempt in seen:
                    repeats.append(at_s)
                seen.add(attempt)
            firsts = [one.at_s for one in self.sent if one.service in ("", service)]
            for begin_s in repeats:
                end_s = begin_s + _WINDOW_S
                count = sum(1 for at_s in repeats if begin_s <= at_s < end_s)
                asked = sum(1 for at_s in firsts if begin_s - _WINDOW_S <= at_s < end_s)
                if count > _RATIO * asked + _SLACK:
                    found.append(f"{count} repeats at {service} from {begin_s:.1f} s")
                    break
        return found
