"""What instances tell each other of upstreams, delayed, lost, doubled and out of order.

Two readers whose watches of the store lag, the hub of a zone that does not read, and its members.
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
    UpstreamsQuestion,
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
#: Random courses that are played, how many steps each has, and the choices of each step.
_COURSES, _STEPS_EACH, _PICKS = 1_500, 100, 42

#: What changed of each name, None for a removal, or a whole list.
Changes = Mapping[str, UpstreamRecord | None]


def _record(name: str, started_ms: int, state: UpstreamState, revision: int) -> UpstreamRecord:
    return UpstreamRecord(
        name, "s", "10.9.0.1:1", "zone-a", 4, state, revision=revision, started_ms=started_ms
    )


class History:
    """The store: its lists at all revisions."""

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
        """Return what changed after a revision."""
        names = {name for at, name in self._changes if at > revision}
        return {name: self._entries.get(name) for name in names}

    def start(self, name: str) -> None:
        """List a new lifetime of a name."""
        self._starts[name] = self._starts.get(name, 0) + 1
        self._write(name, _record(name, self._starts[name], _READY, self.revision + 1))

    def tell(self, record: UpstreamRecord, state: UpstreamState) -> None:
        """Write the entry of a lifetime."""
        self._write(record.name, replace(record, state=state, revision=self.revision + 1))

    def remove(self, name: str) -> None:
        """Remove an entry."""
        self._write(name, None)

    def list_again(self, name: str) -> None:
        """List the last lifetime of a name again, unless it is listed or has drained."""
        last = self._last.get(name)
        if name not in self._entries and last is not None and last.state is _READY:
            self.tell(last, _READY)

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
    """What the store answers a reader; it arrives later."""

    #: The revision that it is of.
    revision: int
    #: The whole list; None where changes are told.
    whole: Sequence[UpstreamRecord] | None
    #: What changed since the revision that the reader named.
    changes: Changes


@dataclass(slots=True)
class _Reply:
    """A peer's reply that is on its way."""

    #: Who asked, and who was asked.
    asker: int
    giver: int
    #: What arrives.
    reply: UpstreamsReply
    #: What took work at the giver when it replied, though not in the store's list.
    extras: set[str]
    #: What the giver had dropped by then.
    dropped: set[str]


@dataclass(slots=True)
class _Instance:
    """One instance without a network."""

    #: What it believes.
    view: FleetView
    #: How it replies to others.
    exchange: StateExchange
    #: Up to which revision its watch has told it all; None before the next whole reading.
    watched: int | None = None
    #: What the store answers it.
    call: _Call | None = None
    #: What it keeps of what vanished from the store, by lifetime.
    kept: set[str] = field(default_factory=set)
    #: What it dropped.
    dropped: set[str] = field(default_factory=set)
    #: Lifetimes that it has seen draining.
    drained: set[str] = field(default_factory=set)
    #: Those that took work at the last look, with the store's revision of their entry.
    ready: dict[str, int] = field(default_factory=dict)
    #: Those that took work once and did not any more, with the last such revision.
    departed: dict[str, int] = field(default_factory=dict)

    @property
    def revision(self) -> int:
        """Return the revision that it names to others."""
        return self.view.upstreams.revision


_UNREAD = os.open(os.devnull, os.O_WRONLY)


def _instance(number: int) -> _Instance:
    own = gateway_settings(f"10.0.0.{number}")
    log = EventLog(own.ip, descriptor=_UNREAD)
    rng = random.Random(number)
    view = FleetView(own, 1, lambda: 0.0, log, rng)
    return _Instance(view, StateExchange(own, view, log, rng))


class Exchange:
    """One history, and instances that learn of it from the store and from each other.

    Each step takes a number that says which of the possible ones it is.
    """

    def __init__(self) -> None:
        self.history = History()
        self.instances = [_instance(number) for number in _INSTANCES]
        self.replies: list[_Reply] = []
        self.reports: list[tuple[int, DropReport]] = []
        #: Lifetimes that any reader kept, and that any dropped with the revision of their entry.
        self.ever_kept: set[str] = set()
        self.ever_dropped: dict[str, int] = {}

    # What happens to upstreams.

    def start(self, pick: int) -> None:
        self.history.start(_NAMES[pick % len(_NAMES)])

    def renew(self, pick: int) -> None:
        record = self.history.entry(_NAMES[pick % len(_NAMES)])
        if record is not None:
            self.history.tell(record, record.state)

    def drain(self, pick: int) -> None:
        record = self.history.entry(_NAMES[pick % len(_NAMES)])
        if record is not None:
            self.history.tell(record, _DRAINING)

    def remove(self, pick: int) -> None:
        record = self.history.entry(_NAMES[pick % len(_NAMES)])
        if record is not None:
            self.history.remove(record.name)

    def list_again(self, pick: int) -> None:
        """List the last lifetime of a name again, whose entry had lapsed."""
        self.history.list_again(_NAMES[pick % len(_NAMES)])

    # What readers learn from the store.

    def learn_at_once(self, pick: int) -> None:
        self.ask_store(pick)
        self.hear_store(pick)

    def ask_store(self, pick: int) -> None:
        own, history = self.instances[pick % len(_READERS)], self.history
        if own.call is not None:
            return
        if own.watched is None:
            whole = list(history.at(history.revision).values())
            own.call = _Call(history.revision, whole, {})
        elif history.since(own.watched):
            own.call = _Call(history.revision, None, history.since(own.watched))

    def hear_store(self, pick: int) -> None:
        own, keeps = self.instances[pick % len(_READERS)], pick % 3 == 0
        call, own.call = own.call, None
        if call is None:
            return
        known = {record.name: record for record in own.view.upstreams}
        if call.whole is not None:
            listed = {record.name: record for record in call.whole}
            gone = known.keys() - listed.keys()
            kept = self._keep(own, [known[name] for name in gone], keeps=keeps)
            own.view.take_upstreams([*call.whole, *kept], call.revision, "store")
        else:
            gone = known.keys() & {name for name, word in call.changes.items() if word is None}
            kept = self._keep(own, [known[name] for name in gone], keeps=keeps)
            changes = {**call.changes, **{record.name: record for record in kept}}
            own.view.change_upstreams(changes, call.revision, "store")
        own.watched = call.revision

    def _keep(
        self, own: _Instance, gone: Sequence[UpstreamRecord], *, keeps: bool
    ) -> Sequence[UpstreamRecord]:
        kept = [one for one in gone if one.state is _READY and (keeps or one.id in own.kept)]
        own.kept |= {record.id for record in kept}
        self.ever_kept |= own.kept
        return kept

    def lose_store(self, pick: int) -> None:
        self.instances[pick % len(_READERS)].call = None
        self.instances[pick % len(_READERS)].watched = None

    def drop_kept(self, pick: int) -> None:
        """Drop what did not come back, and tell the others."""
        reader = pick % len(_READERS)
        own = self.instances[reader]
        due, own.kept = own.kept & self._extras(own), set()
        for upstream_id in due:
            report = DropReport(upstream_id, own.view.upstreams.records[upstream_id].revision)
            self.ever_dropped[upstream_id] = report.revision
            own.dropped.add(upstream_id)
            self.reports += [(other, report) for other in _INSTANCES if other != reader]
        own.view.drop_upstreams(due)

    # What instances tell each other.

    def ask(self, pick: int) -> None:
        """Ask an instance that is ahead; its reply is made now and arrives later."""
        known = [own.revision for own in self.instances]
        pairs = [(a, b) for a in _INSTANCES for b in _INSTANCES if known[a] < known[b]]
        if pairs:
            asker, giver = pairs[pick % len(pairs)]
            whole = pick % 7 == 0
            question = UpstreamsQuestion(0 if whole else known[asker], with_doubts=False)
            own = self.instances[giver]
            decoded = decode_upstreams(own.exchange._reply_to(question))
            assert isinstance(decoded, Ok)
            extras = self._extras(own)
            self.replies.append(_Reply(asker, giver, decoded.ok_value, extras, set(own.dropped)))

    def fetch(self, pick: int) -> None:
        """Ask an instance that is ahead; its reply arrives at once."""
        before = len(self.replies)
        self.ask(pick)
        if len(self.replies) > before:
            self._hear(self.replies.pop())

    def hear_reply(self, pick: int) -> None:
        if self.replies:
            self._hear(self.replies.pop(pick % len(self.replies)))

    def hear_reply_twice(self, pick: int) -> None:
        if self.replies:
            self._hear(self.replies[pick % len(self.replies)])

    def lose_reply(self, pick: int) -> None:
        if self.replies:
            del self.replies[pick % len(self.replies)]

    def _hear(self, sent: _Reply) -> None:
        own, reply = self.instances[sent.asker], sent.reply
        before, had = own.revision, self._extras(own)
        if reply.upstreams is not None:
            own.view.take_upstreams(reply.upstreams, reply.revision, "peer")
        if reply.changes is not None:
            own.view.change_upstreams(dict(reply.changes), reply.revision, "peer")
        if reply.revision > before:
            assert own.revision == reply.revision
            # Only the one that dropped it can tell that it is to be dropped, or a whole list.
            stays = set() if reply.upstreams is not None else had & self.ever_kept - sent.dropped
            assert self._extras(own) <= sent.extras | stays

    def hear_report(self, pick: int) -> None:
        if self.reports:
            target, report = self.reports.pop(pick % len(self.reports))
            self.instances[target].view._drop([report], "peer")

    def hear_report_twice(self, pick: int) -> None:
        if self.reports:
            target, report = self.reports[pick % len(self.reports)]
            self.instances[target].view._drop([report], "peer")

    def lose_report(self, pick: int) -> None:
        if self.reports:
            del self.reports[pick % len(self.reports)]

    # What must hold.

    def check(self) -> None:
        """Fail where an instance believes what the history rules out."""
        for own in self.instances:
            self._check_nothing_returns(own)
            # Beyond the list takes work only what a reader has kept.
            assert self._extras(own) <= self.ever_kept
            self._check_all_listed_take_work(own)

    def _extras(self, own: _Instance) -> set[str]:
        """Return what takes work at an instance and is not ready in the list of its revision."""
        listed = self.history.at(own.revision).values() if own.revision else ()
        ready = {record.id for record in listed if record.state is _READY}
        return {record.id for record in own.view.upstreams.ready("s")} - ready

    def _check_nothing_returns(self, own: _Instance) -> None:
        """What has left takes work again only where it has been listed again since."""
        upstreams = own.view.upstreams
        ready = {record.id: record.revision for record in upstreams.ready("s")}
        own.drained |= {record.id for record in upstreams if record.state is _DRAINING}
        assert not own.drained & ready.keys()
        for upstream_id in own.ready.keys() - ready.keys():
            own.departed[upstream_id] = own.ready[upstream_id]
        for upstream_id, revision in ready.items():
            assert revision > own.departed.get(upstream_id, 0)
        own.ready = ready

    def _check_all_listed_take_work(self, own: _Instance) -> None:
        listed = self.history.at(own.revision).values() if own.revision else ()
        ready = {record.id for record in own.view.upstreams.ready("s")}
        for record in listed:
            dropped = self.ever_dropped.get(record.id, 0) >= record.revision
            if record.state is _READY and not dropped and record.id not in own.drained:
                assert record.id in ready


Step = Callable[[Exchange, int], None]
Course = Sequence[tuple[Step, int]]

#: The usual course of things more often than losses, so that there is much to be lost.
_STEPS: Sequence[Step] = [
    *[Exchange.start, Exchange.drain, Exchange.remove, Exchange.list_again, Exchange.renew],
    *[Exchange.learn_at_once] * 3,
    *[Exchange.ask_store, Exchange.hear_store, Exchange.lose_store, Exchange.drop_kept],
    *[Exchange.ask, Exchange.fetch, Exchange.hear_reply] * 2,
    *[Exchange.hear_reply_twice, Exchange.lose_reply],
    *[Exchange.hear_report, Exchange.hear_report_twice, Exchange.lose_report],
]


def _fault(course: Course) -> tuple[int, str] | None:
    """Play a course; return how many steps it takes to what must not be, and that."""
    exchange = Exchange()
    for number, (step, pick) in enumerate(course, start=1):
        try:
            step(exchange, pick)
            exchange.check()
        except AssertionError as error:
            where = traceback.extract_tb(error.__traceback__)[-1]
            return number, f"{where.name}: {where.line}"
    return None


def _shortened(course: Course, fault: str) -> Course:
    """Return a course to the same fault from which no single step can be left out."""
    at = len(course)
    while at > 0:
        at -= 1
        without = [*course[:at], *course[at + 1 :]]
        found = _fault(without)
        if found is not None and found[1] == fault:
            course = without[: found[0]]
            at = len(course)
    return course


class ExchangeTest(EgretrailTestCase):
    """Instances are in step with the history, and what has left takes no work again."""

    def _play(self, course: Course) -> None:
        async def run() -> None:
            found = _fault(course)
            if found is not None:
                steps = _shortened(course[: found[0]], found[1])
                self.fail(f"{found[1]} after {[(step.__name__, pick) for step, pick in steps]}")

        asyncio.run(run())

    @cases(
        {
            "the_stores_answer_arrives_after_a_peers_newer_list": [
                (Exchange.learn_at_once, 1),
                (Exchange.start, 1),
                (Exchange.ask_store, 1),
                (Exchange.remove, 1),
                (Exchange.learn_at_once, 32),
                (Exchange.fetch, 0),
                (Exchange.hear_store, 1),
            ],
            "the_store_answers_with_a_removal_after_a_peer_told_a_new_start": [
                (Exchange.start, 24),
                (Exchange.learn_at_once, 37),
                (Exchange.remove, 15),
                (Exchange.ask_store, 7),
                (Exchange.start, 39),
                (Exchange.learn_at_once, 40),
                (Exchange.fetch, 14),
                (Exchange.hear_store, 19),
            ],
            "a_peers_reply_arrives_after_the_stores_newer_answer": [
                (Exchange.learn_at_once, 9),
                (Exchange.start, 26),
                (Exchange.learn_at_once, 4),
                (Exchange.fetch, 17),
                (Exchange.start, 18),
                (Exchange.fetch, 10),
                (Exchange.learn_at_once, 23),
                (Exchange.remove, 2),
                (Exchange.fetch, 31),
                (Exchange.ask, 16),
                (Exchange.learn_at_once, 34),
                (Exchange.hear_reply, 28),
            ],
        }
    )
    def test_words_that_are_older(self, course: Course) -> None:
        self._play(course)

    @cases(
        {
            "one_reader_keeps_a_lifetime_whose_successor_another_had_seen": [
                (Exchange.learn_at_once, 40),
                (Exchange.start, 29),
                (Exchange.fetch, 34),
                (Exchange.learn_at_once, 5),
                (Exchange.start, 29),
                (Exchange.ask_store, 8),
                (Exchange.hear_store, 10),
                (Exchange.remove, 29),
                (Exchange.learn_at_once, 27),
                (Exchange.fetch, 18),
            ],
            "a_removal_is_known_and_a_reply_comes_from_one_that_keeps_it": [
                (Exchange.start, 9),
                (Exchange.learn_at_once, 19),
                (Exchange.fetch, 40),
                (Exchange.remove, 30),
                (Exchange.learn_at_once, 27),
                (Exchange.fetch, 30),
                (Exchange.ask, 25),
                (Exchange.learn_at_once, 40),
                (Exchange.hear_reply_twice, 18),
            ],
            "a_drop_is_told_with_the_next_revision": [
                (Exchange.start, 9),
                (Exchange.learn_at_once, 29),
                (Exchange.start, 10),
                (Exchange.remove, 24),
                (Exchange.learn_at_once, 9),
                (Exchange.fetch, 18),
                (Exchange.fetch, 31),
                (Exchange.renew, 37),
                (Exchange.drop_kept, 15),
                (Exchange.learn_at_once, 37),
                (Exchange.fetch, 8),
            ],
            "the_same_question_before_and_after_a_drop": [
                (Exchange.start, 12),
                (Exchange.learn_at_once, 17),
                (Exchange.remove, 39),
                (Exchange.learn_at_once, 27),
                (Exchange.ask, 21),
                (Exchange.drop_kept, 3),
                (Exchange.fetch, 35),
            ],
        }
    )
    def test_drops(self, course: Course) -> None:
        self._play(course)

    def test_any_course(self) -> None:
        for number in range(_COURSES):
            rng = random.Random(number)
            self._play([(rng.choice(_STEPS), rng.randrange(_PICKS)) for _ in range(_STEPS_EACH)])


class BehindTest(EgretrailTestCase):
    """An instance that is behind what peers name says so once, and again only after it has come."""

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
        """Numbers are revisions that a peer names, texts those that come."""
        words, expected = case
        clock_s = [0.0]
        own = gateway_settings()
        log = mock.create_autospec(EventLog, instance=True)
        view = FleetView(own, 1, lambda: clock_s[0], log, random.Random(1))
        view.take_upstreams([], 5, "store")
        for clock_s[0], word in words:
            if isinstance(word, str):
                view.change_upstreams({}, int(word), "peer")
            else:
                view.heard_of_upstreams(word, "10.0.0.2")
        told = [call for call in log.event.call_args_list if call.args == ("upstreams_behind",)]
        self.assertEqual(expected, len(told))
