"""Exchange of upstreams between instances with delayed, lost, duplicate and reordered messages.

The instances are two readers whose store watches lag, the hub of a zone that does not read, and its
members.
"""

import asyncio
import os
import random
import traceback
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from unittest import mock

from result import Ok

from egretrail.cluster import (
    DropReport,
    FetchUpstreams,
    UpstreamsReply,
    decode_upstreams,
)
from egretrail.gateway._log import EventLog
from egretrail.gateway._state_exchange import StateExchange
from egretrail.gateway._view import FleetView
from egretrail.gateway.tests.settings import gateway_settings
from egretrail.testing import EgretrailTestCase, cases
from egretrail.traffic import UpstreamRecord, UpstreamState

_READY, _DRAINING = UpstreamState.READY, UpstreamState.DRAINING
_NAMES = ("u", "v", "w")
_READERS = (0, 1)
#: Two readers, a hub that does not read, and two members.
_INSTANCES = range(5)
#: The number of random traces, the steps of each, and the choices of each step.
_TRACES, _STEPS_EACH, _PICKS = 1_500, 100, 42

#: The new record of each changed name; None for a removal.
Changes = Mapping[str, UpstreamRecord | None]


def _record(name: str, started_ms: int, state: UpstreamState, revision: int) -> UpstreamRecord:
    return UpstreamRecord(
        name, "s", "10.9.0.1:1", "zone-a", 4, state, revision=revision, started_ms=started_ms
    )


class History:
    """The store's list at each revision."""

    def __init__(self) -> None:
        self.revision = 1
        self._entries: dict[str, UpstreamRecord] = {}
        self._lists: dict[int, dict[str, UpstreamRecord]] = {1: {}}
        self._changes: list[tuple[int, str]] = []
        self._starts: dict[str, int] = {}
        self._last: dict[str, UpstreamRecord] = {}

    def entry(self, name: str) -> UpstreamRecord | None:
        """Return the entry of a name."""
        return self._entries.get(name)

    def at(self, revision: int) -> dict[str, UpstreamRecord]:
        """Return the list at a revision."""
        return self._lists[revision]

    def since(self, revision: int) -> Changes:
        """Return the changes after a revision."""
        names = {name for at, name in self._changes if at > revision}
        return {name: self._entries.get(name) for name in names}

    def start(self, name: str) -> None:
        """List a new lifetime of a name."""
        self._starts[name] = self._starts.get(name, 0) + 1
        self._write(name, _record(name, self._starts[name], _READY, self.revision + 1))

    def write_state(self, record: UpstreamRecord, state: UpstreamState) -> None:
        """Write the entry of a lifetime in a state."""
        self._write(record.name, replace(record, state=state, revision=self.revision + 1))

    def remove(self, name: str) -> None:
        """Remove an entry."""
        self._write(name, None)

    def list_again(self, name: str) -> None:
        """List the last lifetime of a name again, unless it is listed or has drained."""
        last = self._last.get(name)
        if name not in self._entries and last is not None and last.state is _READY:
            self.write_state(last, _READY)

    def _write(self, name: str, record: UpstreamRecord | None) -> None:
        self.revision += 1
        if record is None:
            del self._entries[name]
        else:
            self._entries[name] = self._last[name] = record
        self._changes.append((self.revision, name))
        self._lists[self.revision] = dict(self._entries)


@dataclass(slots=True)
class _Call:
    """A store's answer that a reader receives later."""

    #: The revision of the answer.
    revision: int
    #: The whole list; None for an answer with changes.
    whole: Sequence[UpstreamRecord] | None
    #: The changes since the revision that the reader sent.
    changes: Changes


@dataclass(slots=True)
class _Reply:
    """A peer's reply in transit."""

    #: The instances that requested and replied.
    requester: int
    responder: int
    #: The content of the reply.
    reply: UpstreamsReply
    #: The upstreams that were ready at the responder at that time but not in the store's list.
    unlisted_ready: set[str]
    #: The upstreams that the responder had dropped by then.
    dropped: set[str]


@dataclass(slots=True)
class _Instance:
    """One instance without a network."""

    #: Its state.
    view: FleetView
    #: Serves its peers.
    exchange: StateExchange
    #: The revision up to which its watch has returned all changes; None before a new snapshot.
    watched: int | None = None
    #: The pending answer of the store.
    call: _Call | None = None
    #: Ids of vanished upstreams that it retains for their grace period.
    retained: set[str] = field(default_factory=set)
    #: Ids of the upstreams that it dropped.
    dropped: set[str] = field(default_factory=set)
    #: Ids that it has known to be draining.
    drained: set[str] = field(default_factory=set)
    #: Ids that were ready at the last check, with the revision of their entry.
    ready: dict[str, int] = field(default_factory=dict)
    #: Ids that are no longer ready, with the last revision at which they were.
    departed: dict[str, int] = field(default_factory=dict)

    @property
    def revision(self) -> int:
        """Return the revision that it reports to others."""
        return self.view.upstreams.revision


_LOG_SINK = os.open(os.devnull, os.O_WRONLY)


def _instance(number: int) -> _Instance:
    own = gateway_settings(f"10.0.0.{number}")
    log = EventLog(own.ip, descriptor=_LOG_SINK)
    rng = random.Random(number)
    view = FleetView(own, 1, lambda: 0.0, log, rng)
    return _Instance(view, StateExchange(own, view, log, rng))


class Exchange:
    """A history of the store, and instances that learn it from the store and from each other.

    Each step takes a number that selects one of its possible choices.
    """

    def __init__(self) -> None:
        self.history = History()
        self.instances = [_instance(number) for number in _INSTANCES]
        self.replies: list[_Reply] = []
        self.reports: list[tuple[int, DropReport]] = []
        #: Ids that any reader retained, and ids that any dropped with the revision of their entry.
        self.ever_retained: set[str] = set()
        self.ever_dropped: dict[str, int] = {}

    # Changes of upstreams.

    def start(self, pick: int) -> None:
        self.history.start(_NAMES[pick % len(_NAMES)])

    def renew(self, pick: int) -> None:
        record = self.history.entry(_NAMES[pick % len(_NAMES)])
        if record is not None:
            self.history.write_state(record, record.state)

    def drain(self, pick: int) -> None:
        record = self.history.entry(_NAMES[pick % len(_NAMES)])
        if record is not None:
            self.history.write_state(record, _DRAINING)

    def remove(self, pick: int) -> None:
        record = self.history.entry(_NAMES[pick % len(_NAMES)])
        if record is not None:
            self.history.remove(record.name)

    def list_again(self, pick: int) -> None:
        """List the last lifetime of a name again, as after an expired entry."""
        self.history.list_again(_NAMES[pick % len(_NAMES)])

    # Answers of the store to readers.

    def read_store(self, pick: int) -> None:
        self.ask_store(pick)
        self.apply_store_answer(pick)

    def ask_store(self, pick: int) -> None:
        own, history = self.instances[pick % len(_READERS)], self.history
        if own.call is not None:
            return
        if own.watched is None:
            whole = list(history.at(history.revision).values())
            own.call = _Call(history.revision, whole, {})
        elif history.since(own.watched):
            own.call = _Call(history.revision, None, history.since(own.watched))

    def apply_store_answer(self, pick: int) -> None:
        own, retains = self.instances[pick % len(_READERS)], pick % 3 == 0
        call, own.call = own.call, None
        if call is None:
            return
        known = {record.name: record for record in own.view.upstreams}
        if call.whole is not None:
            listed = {record.name: record for record in call.whole}
            gone = known.keys() - listed.keys()
            retained = self._retain(own, [known[name] for name in gone], retains=retains)
            own.view.replace_upstreams([*call.whole, *retained], call.revision, "store")
        else:
            gone = known.keys() & {name for name, event in call.changes.items() if event is None}
            retained = self._retain(own, [known[name] for name in gone], retains=retains)
            changes = {**call.changes, **{record.name: record for record in retained}}
            own.view.apply_upstream_changes(changes, call.revision, "store")
        own.watched = call.revision

    def _retain(
        self, own: _Instance, gone: Sequence[UpstreamRecord], *, retains: bool
    ) -> Sequence[UpstreamRecord]:
        retained = [
            one for one in gone if one.state is _READY and (retains or one.id in own.retained)
        ]
        own.retained |= {record.id for record in retained}
        self.ever_retained |= own.retained
        return retained

    def fail_watch(self, pick: int) -> None:
        self.instances[pick % len(_READERS)].call = None
        self.instances[pick % len(_READERS)].watched = None

    def drop_retained(self, pick: int) -> None:
        """Drop retained upstreams that were not listed again, and report that to the others."""
        reader = pick % len(_READERS)
        own = self.instances[reader]
        due, own.retained = own.retained & self._unlisted_ready(own), set()
        for upstream_id in due:
            report = DropReport(upstream_id, own.view.upstreams.records[upstream_id].revision)
            self.ever_dropped[upstream_id] = report.revision
            own.dropped.add(upstream_id)
            self.reports += [(other, report) for other in _INSTANCES if other != reader]
        own.view.drop_upstreams(due)

    # Exchange between instances.

    def request_state(self, pick: int) -> None:
        """Request the state of an instance that is ahead; the reply arrives later."""
        known = [own.revision for own in self.instances]
        pairs = [(a, b) for a in _INSTANCES for b in _INSTANCES if known[a] < known[b]]
        if pairs:
            requester, responder = pairs[pick % len(pairs)]
            whole = pick % 7 == 0
            message = FetchUpstreams(0 if whole else known[requester], with_suspicions=False)
            own = self.instances[responder]
            decoded = decode_upstreams(own.exchange.answers.upstreams_reply(message))
            assert isinstance(decoded, Ok)
            unlisted_ready = self._unlisted_ready(own)
            self.replies.append(
                _Reply(requester, responder, decoded.ok_value, unlisted_ready, set(own.dropped))
            )

    def fetch(self, pick: int) -> None:
        """Request the state of an instance that is ahead; its reply arrives at once."""
        before = len(self.replies)
        self.request_state(pick)
        if len(self.replies) > before:
            self._apply_reply(self.replies.pop())

    def deliver_reply(self, pick: int) -> None:
        if self.replies:
            self._apply_reply(self.replies.pop(pick % len(self.replies)))

    def deliver_reply_twice(self, pick: int) -> None:
        if self.replies:
            self._apply_reply(self.replies[pick % len(self.replies)])

    def drop_reply(self, pick: int) -> None:
        if self.replies:
            del self.replies[pick % len(self.replies)]

    def _apply_reply(self, sent: _Reply) -> None:
        own, reply = self.instances[sent.requester], sent.reply
        before, unlisted_before = own.revision, self._unlisted_ready(own)
        if reply.upstreams is not None:
            own.view.replace_upstreams(reply.upstreams, reply.revision, "peer")
        if reply.changes is not None:
            own.view.apply_upstream_changes(dict(reply.changes), reply.revision, "peer")
        if reply.revision > before:
            assert own.revision == reply.revision
            # A drop is learned only from the instance that dropped the upstream, or from a whole
            # list.
            may_stay = (
                set()
                if reply.upstreams is not None
                else unlisted_before & self.ever_retained - sent.dropped
            )
            assert self._unlisted_ready(own) <= sent.unlisted_ready | may_stay

    def deliver_report(self, pick: int) -> None:
        if self.reports:
            target, report = self.reports.pop(pick % len(self.reports))
            self.instances[target].view._apply_drop_reports([report], "peer")

    def deliver_report_twice(self, pick: int) -> None:
        if self.reports:
            target, report = self.reports[pick % len(self.reports)]
            self.instances[target].view._apply_drop_reports([report], "peer")

    def drop_report(self, pick: int) -> None:
        if self.reports:
            del self.reports[pick % len(self.reports)]

    # Invariants.

    def check(self) -> None:
        """Fail if an instance's state contradicts the history."""
        for own in self.instances:
            self._check_no_return(own)
            # Only what a reader has retained is ready without being listed.
            assert self._unlisted_ready(own) <= self.ever_retained
            self._check_listed_are_ready(own)

    def _unlisted_ready(self, own: _Instance) -> set[str]:
        """Return the ids that are ready at an instance but not in the list of its revision."""
        listed = self.history.at(own.revision).values() if own.revision else ()
        ready = {record.id for record in listed if record.state is _READY}
        return {record.id for record in own.view.upstreams.ready("s")} - ready

    def _check_no_return(self, own: _Instance) -> None:
        """An upstream that is no longer ready becomes ready again only by a newer entry."""
        upstreams = own.view.upstreams
        ready = {record.id: record.revision for record in upstreams.ready("s")}
        own.drained |= {record.id for record in upstreams if record.state is _DRAINING}
        assert not own.drained & ready.keys()
        for upstream_id in own.ready.keys() - ready.keys():
            own.departed[upstream_id] = own.ready[upstream_id]
        for upstream_id, revision in ready.items():
            assert revision > own.departed.get(upstream_id, 0)
        own.ready = ready

    def _check_listed_are_ready(self, own: _Instance) -> None:
        listed = self.history.at(own.revision).values() if own.revision else ()
        ready = {record.id for record in own.view.upstreams.ready("s")}
        for record in listed:
            dropped = self.ever_dropped.get(record.id, 0) >= record.revision
            if record.state is _READY and not dropped and record.id not in own.drained:
                assert record.id in ready


Step = Callable[[Exchange, int], None]
Trace = Sequence[tuple[Step, int]]

#: Normal steps are more frequent than losses, so that there are messages to lose.
_STEPS: Sequence[Step] = [
    *[Exchange.start, Exchange.drain, Exchange.remove, Exchange.list_again, Exchange.renew],
    *[Exchange.read_store] * 3,
    *[Exchange.ask_store, Exchange.apply_store_answer, Exchange.fail_watch, Exchange.drop_retained],
    *[Exchange.request_state, Exchange.fetch, Exchange.deliver_reply] * 2,
    *[Exchange.deliver_reply_twice, Exchange.drop_reply],
    *[Exchange.deliver_report, Exchange.deliver_report_twice, Exchange.drop_report],
]


def _find_violation(trace: Trace) -> tuple[int, str] | None:
    """Run a trace; return the number of steps up to a violated invariant, and the invariant."""
    exchange = Exchange()
    for number, (step, pick) in enumerate(trace, start=1):
        try:
            step(exchange, pick)
            exchange.check()
        except AssertionError as error:
            where = traceback.extract_tb(error.__traceback__)[-1]
            return number, f"{where.name}: {where.line}"
    return None


def _minimized(trace: Trace, violation: str) -> Trace:
    """Return a trace to the same violation from which no single step can be left out."""
    at = len(trace)
    while at > 0:
        at -= 1
        without = [*trace[:at], *trace[at + 1 :]]
        found = _find_violation(without)
        if found is not None and found[1] == violation:
            trace = without[: found[0]]
            at = len(trace)
    return trace


class ExchangeTest(EgretrailTestCase):
    """Instances agree with the history, and upstreams that have left get no new work."""

    def _run(self, trace: Trace) -> None:
        async def run() -> None:
            found = _find_violation(trace)
            if found is not None:
                steps = _minimized(trace[: found[0]], found[1])
                self.fail(f"{found[1]} after {[(step.__name__, pick) for step, pick in steps]}")

        asyncio.run(run())

    @cases(
        {
            "the_stores_answer_arrives_after_a_peers_newer_list": [
                (Exchange.read_store, 1),
                (Exchange.start, 1),
                (Exchange.ask_store, 1),
                (Exchange.remove, 1),
                (Exchange.read_store, 32),
                (Exchange.fetch, 0),
                (Exchange.apply_store_answer, 1),
            ],
            "the_store_answers_with_a_removal_after_a_peer_reported_a_new_start": [
                (Exchange.start, 24),
                (Exchange.read_store, 37),
                (Exchange.remove, 15),
                (Exchange.ask_store, 7),
                (Exchange.start, 39),
                (Exchange.read_store, 40),
                (Exchange.fetch, 14),
                (Exchange.apply_store_answer, 19),
            ],
            "a_peers_reply_arrives_after_the_stores_newer_answer": [
                (Exchange.read_store, 9),
                (Exchange.start, 26),
                (Exchange.read_store, 4),
                (Exchange.fetch, 17),
                (Exchange.start, 18),
                (Exchange.fetch, 10),
                (Exchange.read_store, 23),
                (Exchange.remove, 2),
                (Exchange.fetch, 31),
                (Exchange.request_state, 16),
                (Exchange.read_store, 34),
                (Exchange.deliver_reply, 28),
            ],
        }
    )
    def test_outdated_messages(self, trace: Trace) -> None:
        self._run(trace)

    @cases(
        {
            "one_reader_keeps_a_lifetime_whose_successor_another_had_seen": [
                (Exchange.read_store, 40),
                (Exchange.start, 29),
                (Exchange.fetch, 34),
                (Exchange.read_store, 5),
                (Exchange.start, 29),
                (Exchange.ask_store, 8),
                (Exchange.apply_store_answer, 10),
                (Exchange.remove, 29),
                (Exchange.read_store, 27),
                (Exchange.fetch, 18),
            ],
            "a_removal_is_known_and_a_reply_comes_from_one_that_keeps_it": [
                (Exchange.start, 9),
                (Exchange.read_store, 19),
                (Exchange.fetch, 40),
                (Exchange.remove, 30),
                (Exchange.read_store, 27),
                (Exchange.fetch, 30),
                (Exchange.request_state, 25),
                (Exchange.read_store, 40),
                (Exchange.deliver_reply_twice, 18),
            ],
            "a_drop_is_sent_with_the_next_revision": [
                (Exchange.start, 9),
                (Exchange.read_store, 29),
                (Exchange.start, 10),
                (Exchange.remove, 24),
                (Exchange.read_store, 9),
                (Exchange.fetch, 18),
                (Exchange.fetch, 31),
                (Exchange.renew, 37),
                (Exchange.drop_retained, 15),
                (Exchange.read_store, 37),
                (Exchange.fetch, 8),
            ],
            "the_same_question_before_and_after_a_drop": [
                (Exchange.start, 12),
                (Exchange.read_store, 17),
                (Exchange.remove, 39),
                (Exchange.read_store, 27),
                (Exchange.request_state, 21),
                (Exchange.drop_retained, 3),
                (Exchange.fetch, 35),
            ],
        }
    )
    def test_drops(self, trace: Trace) -> None:
        self._run(trace)

    def test_random_traces(self) -> None:
        for number in range(_TRACES):
            rng = random.Random(number)
            self._run([(rng.choice(_STEPS), rng.randrange(_PICKS)) for _ in range(_STEPS_EACH)])


class BehindTest(EgretrailTestCase):
    """An instance that falls behind a reported revision logs that once until it has caught up."""

    @cases(
        {
            "in_time": ([(0.0, 7), (0.9, 7)], 0),
            "late": ([(0.0, 7), (1.1, 8), (1.2, 9), (3.0, 9)], 1),
            "the_same_revision": ([(0.0, 5), (3.0, 5)], 0),
            "each_came_in_time": ([(0.0, 7), (0.9, "7"), (1.0, 8), (1.9, 8)], 0),
            "newer_ones_came_but_not_the_newest": ([(0.0, 7), (0.5, "8"), (0.6, 9), (1.5, 9)], 0),
            "older_ones_came": ([(0.0, 7), (0.9, "6"), (1.1, 7)], 1),
            "late_twice": ([(0.0, 7), (1.1, 7), (1.2, "7"), (2.0, 8), (3.1, 8), (3.2, 8)], 2),
        }
    )
    def test_how_often_it_is_logged(
        self, case: tuple[Sequence[tuple[float, int | str]], int]
    ) -> None:
        """Numbers are revisions that a peer reports, strings are revisions that arrive."""
        events, expected = case
        clock_s = [0.0]
        own = gateway_settings()
        log = mock.create_autospec(EventLog, instance=True)
        view = FleetView(own, 1, lambda: clock_s[0], log, random.Random(1))
        view.replace_upstreams([], 5, "store")
        for clock_s[0], event in events:
            if isinstance(event, str):
                view.apply_upstream_changes({}, int(event), "peer")
            else:
                view.record_peer_revision(event, "10.0.0.2")
        logged = [call for call in log.event.call_args_list if call.args == ("upstreams_behind",)]
        self.assertEqual(expected, len(logged))
