"""Sums up a zone: what its instances beat to the hub becomes the sections that all hear."""

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from egretrail.cluster._beat import Beat, Finding
from egretrail.cluster._config_proof import SectionEcho
from egretrail.cluster._finding_log import FindingLog
from egretrail.cluster._hub_reports import HubReports
from egretrail.cluster._instance import Instance
from egretrail.cluster._membership import address_part
from egretrail.cluster._section import (
    ChangedRows,
    LoadRows,
    LoadSlice,
    RosterSlice,
    Scope,
    Section,
)
from egretrail.dispatch import (
    AccountCounts,
    AccountReport,
    CountedAccount,
    Outcome,
    RepeatCounts,
    news_of,
)

#: Outcomes that other instances act upon at once.
URGENT_OUTCOMES = frozenset({Outcome.FAILED, Outcome.BROKEN, Outcome.OVERDUE})
#: A member that was silent for so long is dropped: four of its beats are missing.
_SILENCE_S = 1.1
#: In the first moments a hub has not heard of all; it lists whom it has heard of and drops nobody.
_SETTLE_S = 1.2
#: All loads are told in so many parts, one with each section to the zone: every second and a half.
_LOAD_PARTS = 15
#: Loads of one section between zones, 5 bytes each; more are told in several.
_ROWS_MAX = 220
#: Changed upstreams of one section, 6 bytes each; the rest is told by the next ones.
_CHANGED_MAX = 150
#: An upstream that refuses is told of once in this time, and so many of them in a section: the
#: refusals of an overload come by the thousand and say the same.
_REFUSAL_INTERVAL_S = 0.25
_REFUSALS_MAX = 64
#: Accounts are told of at most this often, and so many in a section, 12 bytes each; the next ones
#: tell others.
_ACCOUNTS_INTERVAL_S = 0.14
_ACCOUNTS_MAX = 80
#: The list of the zone is told at once when it changes, and again after so long for each row, so
#: that the bytes stay the same; bounded so that a small list heals fast and a large one at all.
_ROSTER_ROW_S = {Scope.ZONE: 0.04, Scope.ACROSS: 0.07}
_ROSTER_INTERVAL_MIN_S, _ROSTER_INTERVAL_MAX_S = 1.0, 5.0
#: Rows in one part of the list.
_ROSTER_ROWS = 64
#: How often a changed list is told, in case that a datagram is lost.
_ROSTER_TELLINGS = 2
#: Other zones are told of so many instances: callers use no more addresses than that.
_ROSTER_ACROSS_MAX = 64
#: A place in the acknowledgements goes to another instance only after this time.
_PLACE_REST_S = 4.0


@dataclass(frozen=True, slots=True)
class HubState:
    """What the hub's own instance believes, for the head of its sections."""

    #: The version of the configuration in force; 0 for none.
    config_version: int
    #: The store's revision up to which it knows the upstreams; 0 for none.
    upstreams_revision: int
    #: How old its proof is that this configuration is the newest one; None to tell of none.
    config_proof_age_s: float | None = field(default=None, compare=False)
    #: The last sections that it heard of the other zones' hubs.
    heard: Sequence[SectionEcho] = field(default=(), compare=False)


@dataclass(slots=True)
class _Member:
    """An instance of the zone, as its last beat described it."""

    #: Its last beat.
    beat: Beat
    #: When it came.
    heard_s: float
    #: Its place in the acknowledgements.
    place: int
    #: Whether beats come from it without another instance between.
    direct: bool
    #: The number of the next finding that is news.
    next_finding: int
    #: What it counted of accounts, by key.
    accounts: dict[int, AccountCounts] = field(default_factory=dict)


@dataclass(slots=True)
class _Answers:
    """Successes of one upstream since the last section."""

    #: How many.
    count: int = 0
    #: The sum of their durations.
    total_s: float = 0.0


class Hub:
    """The sums of one zone.

    Load: 292 instances with five requests a second each. When each heard every other, an instance
    received 542 datagrams and 83 KB a second, and its cost grew with the fleet. A hub's section
    takes the place of the beats of its whole zone. Sums are rebuilt from absolute counts: a new
    hub has them after one beat of each member.
    """

    def __init__(
        self, address: str, availability_zone: str, incarnation: int, now_s: float
    ) -> None:
        self._address = address
        self._zone = availability_zone
        self._incarnation = incarnation
        self._since_s = now_s
        self._members: dict[str, _Member] = {}
        self._sequences = {Scope.ZONE: 0, Scope.ACROSS: 0}
        #: What the last section of each scope said that the hub's instance knows, and whether any
        #: instance of the zone is in contact with the store.
        self._told_states: dict[Scope, tuple[HubState, bool]] = {}
        self._sums: dict[int, int] = {}
        self._changed: dict[int, None] = {}
        self._part = 0
        self._answers: dict[int, _Answers] = {}
        self._refusals: dict[int, float] = {}
        self._refusals_untold: dict[Scope, dict[int, None]] = {scope: {} for scope in Scope}
        self._findings = {scope: FindingLog() for scope in Scope}
        self._reports = HubReports()
        self._repeats: dict[str, RepeatCounts] = {}
        self._accounts: dict[int, CountedAccount] = {}
        self._accounts_told_s = {scope: float("-inf") for scope in Scope}
        self._accounts_turn = 0
        self._roster_tellings = dict.fromkeys(Scope, _ROSTER_TELLINGS)
        self._roster_told_s = {scope: float("-inf") for scope in Scope}
        self._free_places: list[tuple[int, float]] = []
        self._places = 0

    def hear(self, beat: Beat, now_s: float, *, direct: bool) -> bool:
        """Take a beat of the zone; return whether the zone should hear of it at once."""
        member = self._members.get(beat.origin)
        if member is None:
            member = _Member(beat, now_s, self._new_place(now_s), direct, beat.first_finding)
            self._members[beat.origin] = member
            self._replace_loads({}, beat.loads)
            self._count_repeats(beat.told_repeats, beat.repeats)
            urgent = self._roster_change()
        elif not _is_newer(beat, member.beat):
            return False
        else:
            urgent = self._follow(member, beat)
        member.beat = beat
        member.heard_s = now_s
        member.direct = direct
        self._count_accounts(member, beat, now_s)
        return self._take_news(member, beat, now_s) or urgent

    def expire(self, now_s: float) -> Sequence[Instance]:
        """Drop and return the members that were silent for too long."""
        gone = [one for one in self._members.values() if now_s - one.heard_s > _SILENCE_S]
        for member in gone:
            del self._members[member.beat.origin]
            self._free_places.append((member.place, now_s))
            self._replace_loads(member.beat.loads, {})
            self._roster_change()
        return [member.beat.instance() for member in gone]

    def postpone(self, pause_s: float) -> None:
        """Let all live on for the time in which this instance itself did not run."""
        for member in self._members.values():
            member.heard_s += pause_s

    def receivers(self) -> Sequence[str]:
        """Return the members that hear this hub itself, and pass it on to the others."""
        return [
            address
            for address, member in self._members.items()
            if member.direct and address != self._address
        ]

    def store_readers(self) -> int:
        """Return the number of members in contact with the store."""
        return sum(member.beat.store_contact for member in self._members.values())

    def loaded_upstreams(self) -> int:
        """Return the number of upstreams that have requests of the zone."""
        return len(self._sums)

    def tell_roster(self) -> None:
        """Tell the list of the zone with the next sections."""
        self._roster_tellings = dict.fromkeys(Scope, _ROSTER_TELLINGS)

    def repeats_findings(self) -> bool:
        """Return whether findings were told to other zones once and should be told again soon."""
        return not self._findings[Scope.ACROSS].is_empty

    def zone_sections(self, state: HubState, now_s: float) -> Iterator[Section]:
        """Yield what the zone hears now."""
        self._part = (self._part + 1) % _LOAD_PARTS
        yield self._section(
            Scope.ZONE,
            state,
            acknowledged=self._acknowledged(),
            changed=self._take_changed(),
            loads=self._loads_part(self._part, _LOAD_PARTS),
            refusals=self._take_refusals(Scope.ZONE),
            repeats=dict(self._repeats),
            accounts=self._accounts_told(Scope.ZONE, now_s),
            **self._news(Scope.ZONE, now_s),
        )
        yield from self._roster_sections(Scope.ZONE, state, now_s)

    def urgent_sections(
        self, scope: Scope, state: HubState, now_s: float, *, with_accounts: bool = False
    ) -> Iterator[Section]:
        """Yield what must not wait for the next sums.

        ``with_accounts`` tells what was counted of accounts and repeats too, and the age of the
        proof anew.
        """
        news = self._news(scope, now_s)
        is_changed = self._told(state) != self._told_states.get(scope)
        if any(news.values()) or is_changed or with_accounts:
            counts: dict[str, object] = {}
            if with_accounts:
                counts["accounts"] = self._accounts_told(scope, now_s)
                counts["repeats"] = dict(self._repeats)
            yield self._section(scope, state, **counts, **news)
        yield from self._roster_sections(scope, state, now_s)

    def across_sections(self, state: HubState, now_s: float) -> Iterator[Section]:
        """Yield what other zones hear now."""
        parts = -(-len(self._sums) // _ROWS_MAX) or 1
        yield self._section(
            Scope.ACROSS,
            state,
            loads=self._loads_part(0, parts),
            refusals=self._take_refusals(Scope.ACROSS),
            repeats=dict(self._repeats),
            accounts=self._accounts_told(Scope.ACROSS, now_s),
            **self._news(Scope.ACROSS, now_s),
        )
        for part in range(1, parts):
            yield self._section(Scope.ACROSS, state, loads=self._loads_part(part, parts))
        yield from self._roster_sections(Scope.ACROSS, state, now_s)

    def _news(self, scope: Scope, now_s: float) -> Mapping[str, object]:
        """Return the parts of a section that bear on upstreams' standing."""
        first, findings = self._findings[scope].take()
        return {
            "first_finding": first if findings else 0,
            "findings": findings,
            "losses": self._reports.losses_told(now_s),
            "dropped": self._reports.drops_told(now_s),
            "limits": self._reports.limits_told(now_s),
        }

    def _follow(self, member: _Member, beat: Beat) -> bool:
        """Take a member's next beat; return whether the zone should hear of it at once."""
        if beat.incarnation != member.beat.incarnation:
            member.next_finding = beat.first_finding
            member.accounts.clear()
        else:
            self._count_repeats(member.beat.repeats, beat.repeats)
        self._replace_loads(member.beat.loads, beat.loads)
        if beat.instance() != member.beat.instance():
            return self._roster_change()
        return beat.store_contact != member.beat.store_contact

    def _take_news(self, member: _Member, beat: Beat, now_s: float) -> bool:
        urgent = False
        skip = max(member.next_finding - beat.first_finding, 0)
        for finding in beat.findings[skip:]:
            urgent |= self._find(finding, now_s)
        member.next_finding = max(member.next_finding, beat.first_finding + len(beat.findings))
        for success in beat.routine:
            answers = self._answers.setdefault(success.upstream_key, _Answers())
            answers.count += 1
            answers.total_s += success.duration_s
        return self._reports.take(beat, now_s) or urgent

    def _find(self, finding: Finding, now_s: float) -> bool:
        """Take a finding; return whether the zone should hear of it at once."""
        if finding.outcome is not Outcome.SHED:
            for log in self._findings.values():
                log.add(finding)
            return finding.outcome in URGENT_OUTCOMES
        key = finding.upstream_key
        if now_s - self._refusals.get(key, float("-inf")) >= _REFUSAL_INTERVAL_S:
            self._refusals[key] = now_s
            for untold in self._refusals_untold.values():
                untold[key] = None
        return False

    def _count_repeats(
        self, before: Mapping[str, RepeatCounts], now: Mapping[str, RepeatCounts]
    ) -> None:
        """Add what a member counted since the zone last heard of it."""
        for service, counts in now.items():
            known = before.get(service, RepeatCounts())
            total = self._repeats.get(service, RepeatCounts())
            self._repeats[service] = RepeatCounts(
                total.requests + max(counts.requests - known.requests, 0),
                total.repeats + max(counts.repeats - known.repeats, 0),
            )

    def _count_accounts(self, member: _Member, beat: Beat, now_s: float) -> None:
        """Add what a member counted of accounts since its last beat."""
        for key, report in beat.accounts.items():
            before = member.accounts.get(key)
            new = news_of(report, before)
            member.accounts[key] = report.total if before is None else before.plus(new)
            if new != AccountCounts():
                self._accounts.setdefault(key, CountedAccount()).add(new, now_s)

    def _accounts_told(self, scope: Scope, now_s: float) -> Mapping[int, AccountReport]:
        if now_s - self._accounts_told_s[scope] < _ACCOUNTS_INTERVAL_S:
            return {}
        self._accounts_told_s[scope] = now_s
        told = [key for key, counted in self._accounts.items() if counted.is_told(now_s)]
        if len(told) > _ACCOUNTS_MAX:
            first = self._accounts_turn % len(told)
            self._accounts_turn += _ACCOUNTS_MAX
            told = [*told[first:], *told[:first]][:_ACCOUNTS_MAX]
        return {key: self._accounts[key].report(now_s) for key in told}

    def _replace_loads(self, old: Mapping[int, int], new: Mapping[int, int]) -> None:
        for key in old.keys() | new.keys():
            change = new.get(key, 0) - old.get(key, 0)
            if not change:
                continue
            total = self._sums.get(key, 0) + change
            if total > 0:
                self._sums[key] = total
            else:
                self._sums.pop(key, None)
            self._changed[key] = None

    def _roster_change(self) -> bool:
        self.tell_roster()
        return True

    def _new_place(self, now_s: float) -> int:
        if self._free_places and now_s - self._free_places[0][1] > _PLACE_REST_S:
            return self._free_places.pop(0)[0]
        self._places += 1
        return self._places - 1

    def _acknowledged(self) -> bytes:
        row = bytearray(self._places)
        for member in self._members.values():
            row[member.place] = member.beat.sequence & 0xFF
        return bytes(row)

    def _take_changed(self) -> ChangedRows:
        keys = list({**self._answers, **self._changed})[:_CHANGED_MAX]
        durations_s = [0.0] * len(keys)
        for number, key in enumerate(keys):
            self._changed.pop(key, None)
            answers = self._answers.pop(key, None)
            if answers is not None:
                durations_s[number] = answers.total_s / answers.count
        return ChangedRows(keys, [self._sums.get(key, 0) for key in keys], durations_s)

    def _loads_part(self, number: int, of: int) -> LoadSlice:
        rows = [(key, count) for key, count in self._sums.items() if key % of == number]
        return LoadSlice(number, of, LoadRows([k for k, _ in rows], [c for _, c in rows]))

    def _take_refusals(self, scope: Scope) -> Sequence[int]:
        untold = self._refusals_untold[scope]
        told = list(untold)[:_REFUSALS_MAX]
        for key in told:
            del untold[key]
        return told

    def _roster_sections(self, scope: Scope, state: HubState, now_s: float) -> Iterator[Section]:
        """Yield the list of the zone where it changed or is due again."""
        interval_s = len(self._members) * _ROSTER_ROW_S[scope]
        interval_s = min(max(interval_s, _ROSTER_INTERVAL_MIN_S), _ROSTER_INTERVAL_MAX_S)
        due = now_s - self._roster_told_s[scope] >= interval_s
        if not due and not self._roster_tellings[scope]:
            return
        self._roster_told_s[scope] = now_s
        self._roster_tellings[scope] = max(self._roster_tellings[scope] - 1, 0)
        members = [self._members[address] for address in sorted(self._members)]
        complete = now_s - self._since_s >= _SETTLE_S
        if scope is Scope.ACROSS:
            members = members[:_ROSTER_ACROSS_MAX]
        of = -(-len(members) // _ROSTER_ROWS) or 1
        for number in range(of):
            part = [one for one in members if address_part(one.beat.origin, of) == number]
            roster = RosterSlice(
                number,
                of,
                complete,
                [one.beat.instance() for one in part],
                [one.place for one in part],
            )
            yield self._section(scope, state, roster=roster)

    def _told(self, state: HubState) -> tuple[HubState, bool]:
        return state, self.store_readers() > 0

    def _section(self, scope: Scope, state: HubState, **parts: object) -> Section:
        self._sequences[scope] += 1
        self._told_states[scope] = self._told(state)
        return Section(
            scope=scope,
            availability_zone=self._zone,
            hub=self._address,
            incarnation=self._incarnation,
            sequence=self._sequences[scope],
            config_version=state.config_version,
            upstreams_revision=state.upstreams_revision,
            store_readers=self.store_readers(),
            instances=len(self._members),
            config_proof_age_s=state.config_proof_age_s,
            heard=state.heard if scope is Scope.ACROSS else (),
            **parts,  # type: ignore[arg-type]
        )


def _is_newer(beat: Beat, known: Beat) -> bool:
    return (beat.incarnation, beat.sequence) > (known.incarnation, known.sequence)
