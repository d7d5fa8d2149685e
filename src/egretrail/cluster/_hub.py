"""Aggregates a zone: the hub turns its instances' heartbeats into sections for all of them."""

from collections.abc import Collection, Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from egretrail.cluster._config_freshness import SectionEcho
from egretrail.cluster._demand_sums import DemandSums
from egretrail.cluster._heartbeat import Heartbeat, OutcomeReport
from egretrail.cluster._hub_reports import HubReports
from egretrail.cluster._hub_terms import HubTerm, HubTerms
from egretrail.cluster._instance import Instance
from egretrail.cluster._membership import roster_slice_index
from egretrail.cluster._outcome_log import OutcomeLog
from egretrail.cluster._section import (
    ChangedRows,
    LoadRows,
    LoadSlice,
    RosterSlice,
    Scope,
    Section,
)
from egretrail.dispatch import (
    AccountCounter,
    AccountCounts,
    AccountReport,
    Outcome,
    RetryCounter,
    RetryCounts,
    new_counts,
)
from egretrail.overload import DemandReport

#: Outcomes that other instances act upon at once.
URGENT_OUTCOMES = frozenset({Outcome.FAILED, Outcome.BROKEN, Outcome.OVERDUE})
#: A member without a heartbeat for this time is removed: four heartbeats are missing.
_MEMBER_TIMEOUT_S = 1.1
#: A member without a heartbeat for this time does not count as a reader of the store: two
#: heartbeats are missing.
_READER_TIMEOUT_S = 0.6
#: A new hub has not received heartbeats of all members. For this time it lists those it has
#: received, and its roster removes nobody.
_ROSTER_SETTLE_S = 1.2
#: The number of slices in which all loads are sent, one with each section to the zone: a full round
#: takes a second and a half.
_LOAD_SLICES = 15
#: Maximum loads in one cross-zone section, 5 bytes each; more loads are divided among several
#: sections.
_LOADS_MAX = 220
#: Maximum changed upstreams in one section, 6 bytes each; the rest is sent with the next sections.
_CHANGED_MAX = 150
#: The minimum interval between refusals that are sent for one upstream, and the maximum refusals in
#: one section. An overload causes thousands of refusals that carry the same information.
_REFUSAL_INTERVAL_S = 0.25
_REFUSALS_MAX = 64
#: The minimum interval between sections with account counts, and the maximum accounts in one
#: section, 12 bytes each. The following sections contain the other accounts.
_ACCOUNTS_INTERVAL_S = 0.14
_ACCOUNTS_MAX = 80
#: A changed roster is sent at once. An unchanged one is resent after an interval in proportion to
#: its rows, so that the bytes a second are constant. The bounds let a small roster be repaired
#: quickly, and a large one at all.
_ROSTER_ROW_S = {Scope.ZONE: 0.04, Scope.CROSS_ZONE: 0.07}
_ROSTER_INTERVAL_MIN_S, _ROSTER_INTERVAL_MAX_S = 1.0, 5.0
#: Maximum instances in one slice of the roster.
_ROSTER_SLICE_ROWS = 64
#: The number of times that a changed roster is sent, in case a datagram is lost.
_ROSTER_SEND_COUNT = 2
#: Maximum instances in the roster for other zones: callers use no more addresses than this.
_ROSTER_CROSS_ZONE_MAX = 64
#: An acknowledgement index is reused for another instance only after this time.
_INDEX_REUSE_DELAY_S = 4.0


@dataclass(frozen=True, slots=True)
class HubState:
    """The state of the hub's own instance, for the head of its sections."""

    #: The version of the configuration in force; 0 for none.
    config_version: int
    #: The store's revision up to which the hub knows the upstreams; 0 for none.
    upstreams_revision: int
    #: Seconds since the configuration was confirmed as current; None when not reported.
    config_freshness_age_s: float | None = field(default=None, compare=False)
    #: The last sections received from the hubs of other zones.
    received_sections: Sequence[SectionEcho] = field(default=(), compare=False)
    #: The ids of upstreams that began to drain lately, by the receivers to which they are reported.
    draining: Mapping[Scope, Sequence[str]] = field(default_factory=dict, compare=False)
    #: The keys of the services of which most slots are taken; their demand is always reported.
    busy_services: Collection[int] = field(default=(), compare=False)


@dataclass(slots=True)
class _Member:
    """An instance of the zone, as described by its last heartbeat."""

    #: The last heartbeat.
    heartbeat: Heartbeat
    #: When the last heartbeat was received.
    received_s: float
    #: The index in the acknowledgements.
    ack_index: int
    #: Whether the last heartbeat was received directly instead of through a relay.
    is_direct: bool
    #: The number of the next outcome report that is new to the hub.
    next_outcome: int
    #: Whether the member is in contact with the store, as far as its heartbeats still arrive.
    reads_store: bool = False
    #: The member's request counts of client accounts, by the key of the account.
    accounts: dict[int, AccountCounts] = field(default_factory=dict)


@dataclass(slots=True)
class _Successes:
    """Successes of one upstream since the last section."""

    #: The number of successes.
    count: int = 0
    #: The sum of their durations.
    total_s: float = 0.0


class Hub:
    """The aggregates of one zone.

    With 292 instances of five requests a second each, exchanging heartbeats between all of them
    made each instance receive 542 datagrams and 83 KB a second, and the cost grew with the fleet. A
    hub's section replaces the heartbeats of its whole zone. Aggregates are rebuilt from absolute
    counts: a new hub has them after one heartbeat from each member.
    """

    def __init__(
        self,
        address: str,
        availability_zone: str,
        incarnation: int,
        now_s: float,
        retry_window_s: float = 10.0,
        terms: HubTerms | None = None,
    ) -> None:
        """Start without members.

        ``retry_window_s`` is the window of the retry budget. ``terms`` has the retry counts of the
        zone's earlier hubs.
        """
        self._address = address
        self._zone = availability_zone
        self._incarnation = incarnation
        self._started_s = now_s
        self._members: dict[str, _Member] = {}
        self._sequences = {Scope.ZONE: 0, Scope.CROSS_ZONE: 0}
        #: For each scope, the state of the hub's instance in its last section, whether any instance
        #: of the zone was in contact with the store, and which instances were isolated.
        self._sent_states: dict[Scope, tuple[HubState, bool, Sequence[str]]] = {}
        self._loads: dict[int, int] = {}
        self._changed: dict[int, None] = {}
        self._load_slice_index = 0
        self._successes: dict[int, _Successes] = {}
        self._refusal_times_s: dict[int, float] = {}
        self._pending_refusals: dict[Scope, dict[int, None]] = {scope: {} for scope in Scope}
        self._outcome_logs = {scope: OutcomeLog() for scope in Scope}
        self._reports = HubReports()
        self._retry_window_s = retry_window_s
        self._terms = HubTerms() if terms is None else terms
        self._retries: dict[str, RetryCounter] = {}
        self._accounts: dict[int, AccountCounter] = {}
        self._accounts_sent_s = {scope: float("-inf") for scope in Scope}
        self._accounts_offset = 0
        self._demand = DemandSums()
        self._roster_sends_left = dict.fromkeys(Scope, _ROSTER_SEND_COUNT)
        self._roster_sent_s = {scope: float("-inf") for scope in Scope}
        self._free_indexes: list[tuple[int, float]] = []
        self._index_count = 0

    def record_heartbeat(self, heartbeat: Heartbeat, now_s: float, *, direct: bool) -> bool:
        """Apply a heartbeat of the zone; return whether the zone needs the update at once."""
        member = self._members.get(heartbeat.origin)
        if member is None:
            member = _Member(
                heartbeat, now_s, self._allocate_index(now_s), direct, heartbeat.first_outcome
            )
            self._members[heartbeat.origin] = member
            self._replace_loads({}, heartbeat.loads)
            self._add_retries(heartbeat.known_retries, heartbeat.retries, now_s)
            urgent = self._mark_roster_changed()
        elif not _is_newer(heartbeat, member.heartbeat):
            return False
        else:
            urgent = self._apply_heartbeat(member, heartbeat, now_s)
        member.heartbeat = heartbeat
        member.received_s = now_s
        member.is_direct = direct
        member.reads_store = heartbeat.store_contact
        self._add_accounts(member, heartbeat, now_s)
        return self._record_reports(member, heartbeat, now_s) or urgent

    def remove_silent(self, now_s: float) -> Sequence[Instance]:
        """Remove and return the members whose last heartbeat is too old."""
        removed = [
            member
            for member in self._members.values()
            if now_s - member.received_s > _MEMBER_TIMEOUT_S
        ]
        for member in removed:
            del self._members[member.heartbeat.origin]
            self._free_indexes.append((member.ack_index, now_s))
            self._replace_loads(member.heartbeat.loads, {})
            self._mark_roster_changed()
        return [member.heartbeat.instance() for member in removed]

    def expire_readers(self, now_s: float) -> bool:
        """Discount readers of the store whose heartbeats have stopped; return whether there are."""
        silent = [
            member
            for member in self._members.values()
            if member.reads_store and now_s - member.received_s > _READER_TIMEOUT_S
        ]
        for member in silent:
            member.reads_store = False
        return bool(silent)

    def extend_deadlines(self, pause_s: float) -> None:
        """Extend the deadlines of all members by the time in which this process was paused."""
        for member in self._members.values():
            member.received_s += pause_s

    def receivers(self) -> Sequence[str]:
        """Return the members to which sections are sent directly; they relay them to the others."""
        return [
            address
            for address, member in self._members.items()
            if member.is_direct and address != self._address
        ]

    def store_readers(self) -> int:
        """Return the number of members in contact with the store."""
        return sum(member.reads_store for member in self._members.values())

    def store_away_s(self, now_s: float) -> float | None:
        """Return for how long the store has answered nobody, as the members report it."""
        if self.store_readers():
            return None
        reports_s = [
            member.heartbeat.store_away_s + now_s - member.received_s
            for member in self._members.values()
            if member.heartbeat.store_away_s is not None
        ]
        return max(reports_s, default=None)

    def isolated(self) -> Sequence[str]:
        """Return the addresses of the members that reach no upstream."""
        return [
            address for address, member in self._members.items() if member.heartbeat.is_isolated
        ]

    def loaded_upstreams(self) -> int:
        """Return the number of upstreams with requests of the zone in flight."""
        return len(self._loads)

    def schedule_roster(self) -> None:
        """Send the roster of the zone with the next sections."""
        self._roster_sends_left = dict.fromkeys(Scope, _ROSTER_SEND_COUNT)

    def has_outcomes_to_resend(self) -> bool:
        """Return whether outcome reports are to be resent to other zones soon."""
        return not self._outcome_logs[Scope.CROSS_ZONE].is_empty

    def zone_sections(self, state: HubState, now_s: float) -> Iterator[Section]:
        """Yield the periodic sections for the zone."""
        self._load_slice_index = (self._load_slice_index + 1) % _LOAD_SLICES
        yield self._section(
            Scope.ZONE,
            state,
            acknowledged=self._acknowledgements(),
            changed=self._drain_changed(),
            loads=self._make_load_slice(self._load_slice_index, _LOAD_SLICES),
            refusals=self._drain_refusals(Scope.ZONE),
            accounts=self._accounts_to_send(Scope.ZONE, now_s),
            draining=state.draining.get(Scope.ZONE, ()),
            demand=self._demand_to_send(Scope.ZONE, state, now_s),
            store_away_s=self.store_away_s(now_s),
            **self._retry_fields(Scope.ZONE, now_s),
            **self._report_fields(Scope.ZONE, now_s),
        )
        yield from self._roster_sections(Scope.ZONE, state, now_s)

    def urgent_sections(
        self,
        scope: Scope,
        state: HubState,
        now_s: float,
        *,
        with_accounts: bool = False,
        always: bool = False,
    ) -> Iterator[Section]:
        """Yield sections with the updates that must not wait for the next periodic section.

        ``with_accounts`` also includes the counts of accounts and retries, and the current
        freshness age of the configuration. ``always`` yields a section without updates too.
        """
        report_fields = self._report_fields(scope, now_s)
        is_changed = self._state_key(state) != self._sent_states.get(scope)
        draining = state.draining.get(scope, ())
        if any(report_fields.values()) or is_changed or with_accounts or draining or always:
            counts: dict[str, object] = {}
            if with_accounts:
                counts["accounts"] = self._accounts_to_send(scope, now_s)
                counts.update(self._retry_fields(scope, now_s))
            yield self._section(
                scope,
                state,
                draining=draining,
                store_away_s=self.store_away_s(now_s),
                **counts,
                **report_fields,
            )
        yield from self._roster_sections(scope, state, now_s)

    def cross_zone_sections(self, state: HubState, now_s: float) -> Iterator[Section]:
        """Yield the periodic sections for the hubs of other zones."""
        slices = -(-len(self._loads) // _LOADS_MAX) or 1
        yield self._section(
            Scope.CROSS_ZONE,
            state,
            loads=self._make_load_slice(0, slices),
            refusals=self._drain_refusals(Scope.CROSS_ZONE),
            accounts=self._accounts_to_send(Scope.CROSS_ZONE, now_s),
            draining=state.draining.get(Scope.CROSS_ZONE, ()),
            demand=self._demand_to_send(Scope.CROSS_ZONE, state, now_s),
            store_away_s=self.store_away_s(now_s),
            **self._retry_fields(Scope.CROSS_ZONE, now_s),
            **self._report_fields(Scope.CROSS_ZONE, now_s),
        )
        for index in range(1, slices):
            yield self._section(Scope.CROSS_ZONE, state, loads=self._make_load_slice(index, slices))
        yield from self._roster_sections(Scope.CROSS_ZONE, state, now_s)

    def _report_fields(self, scope: Scope, now_s: float) -> Mapping[str, object]:
        """Return the fields of a section that bear on the health of upstreams."""
        first, outcomes = self._outcome_logs[scope].next_batch()
        return {
            "first_outcome": first if outcomes else 0,
            "outcomes": outcomes,
            "losses": self._reports.current_losses(now_s),
            "dropped": self._reports.current_drops(now_s),
            "limits": self._reports.current_limits(now_s),
        }

    def set_retry_window(self, window_s: float) -> None:
        """Change the window of the retry budget."""
        self._retry_window_s = window_s
        for counter in self._retries.values():
            counter.set_window(window_s)

    def _retry_fields(self, scope: Scope, now_s: float) -> Mapping[str, object]:
        """Return the fields of a section that count requests and retries."""
        terms: Sequence[HubTerm] = ()
        if scope is Scope.CROSS_ZONE:
            terms = self._terms.others(self._address, self._incarnation, now_s)
        return {
            "earlier_terms": terms,
            "retries": {name: counter.total for name, counter in self._retries.items()},
            "recent_retries": {
                name: counter.recent(now_s) for name, counter in self._retries.items()
            },
        }

    def _apply_heartbeat(self, member: _Member, heartbeat: Heartbeat, now_s: float) -> bool:
        """Apply a member's next heartbeat; return whether the zone needs the update at once."""
        if heartbeat.incarnation != member.heartbeat.incarnation:
            member.next_outcome = heartbeat.first_outcome
            member.accounts.clear()
        else:
            self._add_retries(member.heartbeat.retries, heartbeat.retries, now_s)
        self._replace_loads(member.heartbeat.loads, heartbeat.loads)
        if heartbeat.instance() != member.heartbeat.instance():
            return self._mark_roster_changed()
        return (
            heartbeat.store_contact != member.heartbeat.store_contact
            or heartbeat.is_isolated != member.heartbeat.is_isolated
        )

    def _record_reports(self, member: _Member, heartbeat: Heartbeat, now_s: float) -> bool:
        urgent = False
        skip = max(member.next_outcome - heartbeat.first_outcome, 0)
        for report in heartbeat.outcomes[skip:]:
            urgent |= self._record_outcome(report, now_s)
        member.next_outcome = max(
            member.next_outcome, heartbeat.first_outcome + len(heartbeat.outcomes)
        )
        for success in heartbeat.successes:
            successes = self._successes.setdefault(success.upstream_key, _Successes())
            successes.count += 1
            successes.total_s += success.duration_s
        return self._reports.record(heartbeat, now_s) or urgent

    def _record_outcome(self, report: OutcomeReport, now_s: float) -> bool:
        """Queue an outcome report; return whether the zone needs it at once."""
        if report.outcome is not Outcome.SHED:
            for log in self._outcome_logs.values():
                log.add(report)
            return report.outcome in URGENT_OUTCOMES
        key = report.upstream_key
        if now_s - self._refusal_times_s.get(key, float("-inf")) >= _REFUSAL_INTERVAL_S:
            self._refusal_times_s[key] = now_s
            for pending in self._pending_refusals.values():
                pending[key] = None
        return False

    def _add_retries(
        self, before: Mapping[str, RetryCounts], now: Mapping[str, RetryCounts], now_s: float
    ) -> None:
        """Add a member's requests and retries since the counts that the zone already has."""
        for service, counts in now.items():
            counter = self._retries.get(service)
            if counter is None:
                counter = self._retries[service] = RetryCounter(self._retry_window_s)
            counter.add(counts.since(before.get(service, RetryCounts())), now_s)

    def _add_accounts(self, member: _Member, heartbeat: Heartbeat, now_s: float) -> None:
        """Add a member's request counts of accounts since its previous heartbeat."""
        for key, report in heartbeat.accounts.items():
            before = member.accounts.get(key)
            new = new_counts(report, before)
            member.accounts[key] = report.total if before is None else before.plus(new)
            if new != AccountCounts():
                self._accounts.setdefault(key, AccountCounter()).add(new, now_s)

    def _accounts_to_send(self, scope: Scope, now_s: float) -> Mapping[int, AccountReport]:
        if now_s - self._accounts_sent_s[scope] < _ACCOUNTS_INTERVAL_S:
            return {}
        self._accounts_sent_s[scope] = now_s
        keys = [key for key, counted in self._accounts.items() if counted.needs_report(now_s)]
        if len(keys) > _ACCOUNTS_MAX:
            first = self._accounts_offset % len(keys)
            self._accounts_offset += _ACCOUNTS_MAX
            keys = [*keys[first:], *keys[:first]][:_ACCOUNTS_MAX]
        return {key: self._accounts[key].report(now_s) for key in keys}

    def _demand_to_send(self, scope: Scope, state: HubState, now_s: float) -> DemandReport | None:
        reports = [
            member.heartbeat.demand
            for member in self._members.values()
            if now_s - member.received_s <= _MEMBER_TIMEOUT_S
        ]
        return self._demand.next_report(scope, reports, state.busy_services, now_s)

    def _replace_loads(self, old: Mapping[int, int], new: Mapping[int, int]) -> None:
        for key in old.keys() | new.keys():
            change = new.get(key, 0) - old.get(key, 0)
            if not change:
                continue
            total = self._loads.get(key, 0) + change
            if total > 0:
                self._loads[key] = total
            else:
                self._loads.pop(key, None)
            self._changed[key] = None

    def _mark_roster_changed(self) -> bool:
        self.schedule_roster()
        return True

    def _allocate_index(self, now_s: float) -> int:
        if self._free_indexes and now_s - self._free_indexes[0][1] > _INDEX_REUSE_DELAY_S:
            return self._free_indexes.pop(0)[0]
        self._index_count += 1
        return self._index_count - 1

    def _acknowledgements(self) -> bytes:
        row = bytearray(self._index_count)
        for member in self._members.values():
            row[member.ack_index] = member.heartbeat.sequence & 0xFF
        return bytes(row)

    def _drain_changed(self) -> ChangedRows:
        keys = list({**self._successes, **self._changed})[:_CHANGED_MAX]
        durations_s = [0.0] * len(keys)
        for index, key in enumerate(keys):
            self._changed.pop(key, None)
            successes = self._successes.pop(key, None)
            if successes is not None:
                durations_s[index] = successes.total_s / successes.count
        return ChangedRows(keys, [self._loads.get(key, 0) for key in keys], durations_s)

    def _make_load_slice(self, index: int, total: int) -> LoadSlice:
        rows = [(key, count) for key, count in self._loads.items() if key % total == index]
        return LoadSlice(index, total, LoadRows([k for k, _ in rows], [c for _, c in rows]))

    def _drain_refusals(self, scope: Scope) -> Sequence[int]:
        pending = self._pending_refusals[scope]
        refusals = list(pending)[:_REFUSALS_MAX]
        for key in refusals:
            del pending[key]
        return refusals

    def _roster_sections(self, scope: Scope, state: HubState, now_s: float) -> Iterator[Section]:
        """Yield the roster of the zone if it changed or is due to be resent."""
        interval_s = len(self._members) * _ROSTER_ROW_S[scope]
        interval_s = min(max(interval_s, _ROSTER_INTERVAL_MIN_S), _ROSTER_INTERVAL_MAX_S)
        due = now_s - self._roster_sent_s[scope] >= interval_s
        if not due and not self._roster_sends_left[scope]:
            return
        self._roster_sent_s[scope] = now_s
        self._roster_sends_left[scope] = max(self._roster_sends_left[scope] - 1, 0)
        members = [self._members[address] for address in sorted(self._members)]
        complete = now_s - self._started_s >= _ROSTER_SETTLE_S
        if scope is Scope.CROSS_ZONE:
            members = members[:_ROSTER_CROSS_ZONE_MAX]
        total = -(-len(members) // _ROSTER_SLICE_ROWS) or 1
        for index in range(total):
            in_slice = [
                member
                for member in members
                if roster_slice_index(member.heartbeat.origin, total) == index
            ]
            roster = RosterSlice(
                index,
                total,
                complete,
                [member.heartbeat.instance() for member in in_slice],
                [member.ack_index for member in in_slice],
            )
            yield self._section(scope, state, roster=roster)

    def _state_key(self, state: HubState) -> tuple[HubState, bool, Sequence[str]]:
        return state, self.store_readers() > 0, self.isolated()

    def _section(self, scope: Scope, state: HubState, **fields: object) -> Section:
        self._sequences[scope] += 1
        self._sent_states[scope] = self._state_key(state)
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
            isolated=self.isolated(),
            config_freshness_age_s=state.config_freshness_age_s,
            received_sections=state.received_sections if scope is Scope.CROSS_ZONE else (),
            **fields,  # type: ignore[arg-type]
        )


def _is_newer(heartbeat: Heartbeat, known: Heartbeat) -> bool:
    return (heartbeat.incarnation, heartbeat.sequence) > (known.incarnation, known.sequence)
