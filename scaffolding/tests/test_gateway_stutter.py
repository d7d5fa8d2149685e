"""Tests that callers get the answers to their own requests from upstreams that stutter."""

import asyncio
import itertools
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from egretrail.testing import EgretrailTestCase, cases
from scaffolding.platform import AttemptResult, SentAnswer, StandInBackend, answer_mismatch
from scaffolding.platform.fleet import HOST
from scaffolding.platform.strict_client import StrictClient
from scaffolding.platform.stuttering import (
    AfterCut,
    Cut,
    Extra,
    Framing,
    Moment,
    Stutter,
    Stutterer,
)
from scaffolding.tests.gateway_harness import FleetHarness, GatewayTest

_GATEWAYS, _UPSTREAMS, _CALLERS = 4, 9, 6
#: Callers begin requests for this long, with pauses; two of three requests are orders.
_DURATION_S, _PAUSE_S = 4.0, 0.01
#: Time until the deadline of a request, and within which a request that is known to be lost must
#: be answered. An upstream takes 5 ms.
_WAIT_S, _LOST_KNOWN_S = 3.0, 1.5
_WORK_S = 0.005
#: Longest pause after a refusal.
_PAUSE_MAX_S = 0.1
#: Share of the answers that are affected, where it fails the request: upstreams that fail more are
#: put out of service, and few requests run.
_FAILING_SHARE = 0.1


@dataclass(slots=True)
class _Checks:
    """What callers got that they must not get, by kind."""

    #: Number of orders that the upstreams ran, and of answers that were affected.
    ran: int = 0
    affected: int = 0
    #: Descriptions by kind.
    found: dict[str, list[str]] = field(default_factory=dict)

    def add(self, kind: str, what: str) -> None:
        """Add one."""
        self.found.setdefault(kind, []).append(what)

    def summary(self) -> str:
        """Return the numbers and the first of each kind."""
        rows = [f"{kind}: {len(rows)}, first {rows[0]}" for kind, rows in self.found.items()]
        return "; ".join([f"{self.ran} orders ran, {self.affected} answers affected", *rows])


class _Callers:
    """Send orders and reads one after the other on kept connections, and check the results."""

    def __init__(self, harness: FleetHarness, wait_s: float) -> None:
        self._harness = harness
        self._wait_s = wait_s
        #: Each result with its duration in seconds.
        self.results: list[tuple[AttemptResult, float]] = []

    async def run(self) -> None:
        numbers = range(_GATEWAYS * _CALLERS)
        await asyncio.gather(*(self._send_all(number) for number in numbers))

    async def _send_all(self, caller: int) -> None:
        loop = asyncio.get_running_loop()
        client = StrictClient(HOST, self._harness.fleet.traffic_address(caller % _GATEWAYS))
        end_s = loop.time() + _DURATION_S
        for number in itertools.count():
            if loop.time() > end_s:
                break
            is_order = number % 3 != 0
            attempt = f"{'order' if is_order else 'read'}-{caller}-{number}"
            method, target = ("POST", "/order/") if is_order else ("GET", "/read/")
            begin_s = loop.time()
            result = await client.send(
                attempt, method, target + attempt, b"one" if is_order else b"", self._wait_s
            )
            self.results.append((result, loop.time() - begin_s))
            await asyncio.sleep(min(result.retry_after_s or _PAUSE_S, _PAUSE_MAX_S))
        client.close()

    def check(self, *, serves_whole: bool, knows_loss: bool) -> _Checks:
        """Compare results with what the upstreams did.

        ``serves_whole``: a whole answer must reach its caller. ``knows_loss``: no request is
        answered only at its deadline.
        """
        checks, backends = _Checks(), self._harness.fleet.backends
        for result, duration_s in self.results:
            answers = [a for b in backends for a in b.answers.get(result.attempt, ())]
            mismatch = answer_mismatch(result, answers)
            if mismatch is not None:
                kind = "success for a failure" if "a success" in mismatch else "foreign or partial"
                checks.add(kind, mismatch)
            if result.status == 0:
                checks.add("no answer", result.attempt)
            if knows_loss and duration_s > _LOST_KNOWN_S:
                checks.add("late", f"{result.attempt} {result.status} after {duration_s:.2f} s")
            if result.attempt.startswith("order"):
                self._check_order(checks, result, answers, serves_whole)
        stutterers = {id(one.stutterer): one.stutterer for one in backends}
        checks.affected = sum(one.count for one in stutterers.values() if one is not None)
        return checks

    def _check_order(
        self,
        checks: _Checks,
        result: AttemptResult,
        answers: list[SentAnswer],
        serves_whole: bool,
    ) -> None:
        runs = self._harness.run_count(result)
        checks.ran += runs
        if runs > 1:
            checks.add("ran twice", f"{result.attempt} {runs} times")
        if serves_whole and [result.status] != [one.status for one in answers] != []:
            checks.add("whole, not served", f"{result.attempt} got {result.status} of {answers}")


@dataclass(frozen=True, slots=True)
class _Case:
    """A kind of stuttering and what must hold beside the checks of each result."""

    stutter: Stutter
    #: Whether every answer is whole, so that all must be served.
    serves_whole: bool = False
    #: Whether a request that is lost is known to be lost.
    knows_loss: bool = True


def _extra(extra: Extra, moment: Moment, cut: Cut | int | None = None, **more: object) -> Stutter:
    return Stutter(extra=extra, moment=moment, cut=cut, **more)  # type: ignore[arg-type]


_WHOLE_EXTRAS: Mapping[str, Stutter] = {
    "of the request before, with the answer": _extra(Extra.EARLIER, Moment.WITH_ANSWER),
    "of the request before, before the answer": _extra(Extra.EARLIER, Moment.BEFORE_ANSWER),
    "of another, before the answer, in chunks": _extra(
        Extra.ANOTHER, Moment.BEFORE_ANSWER, extra_framing=Framing.CHUNKS
    ),
    "of another, later, byte by byte": _extra(Extra.ANOTHER, Moment.LATER, byte_by_byte=True),
    "again, with the answer": _extra(Extra.AGAIN, Moment.WITH_ANSWER),
    "again, later": _extra(Extra.AGAIN, Moment.LATER),
}
_CUT_EXTRAS: Mapping[str, Stutter] = {
    "in the status line, with the answer": _extra(Extra.AGAIN, Moment.WITH_ANSWER, Cut.STATUS_LINE),
    "before the id, with the answer": _extra(Extra.AGAIN, Moment.WITH_ANSWER, Cut.BEFORE_ID),
    "after the id, with the answer": _extra(Extra.AGAIN, Moment.WITH_ANSWER, Cut.AFTER_ID),
    "before the id, before the answer": _extra(
        Extra.EARLIER, Moment.BEFORE_ANSWER, Cut.BEFORE_ID, share=_FAILING_SHARE
    ),
    "after the id, before the answer": _extra(
        Extra.EARLIER, Moment.BEFORE_ANSWER, Cut.AFTER_ID, share=_FAILING_SHARE
    ),
    "in the body, before the answer": _extra(
        Extra.ANOTHER, Moment.BEFORE_ANSWER, Cut.BODY, share=_FAILING_SHARE
    ),
    "anywhere, later": _extra(Extra.ANOTHER, Moment.LATER, Cut.ANYWHERE),
    "anywhere, in chunks, before the answer": _extra(
        Extra.ANOTHER,
        Moment.BEFORE_ANSWER,
        Cut.ANYWHERE,
        share=_FAILING_SHARE,
        framing=Framing.CHUNKS,
        extra_framing=Framing.CHUNKS,
    ),
    "anywhere, again, byte by byte": _extra(
        Extra.AGAIN, Moment.WITH_ANSWER, Cut.ANYWHERE, byte_by_byte=True
    ),
    "anywhere, again, before an answer without length": _extra(
        Extra.AGAIN, Moment.BEFORE_ANSWER, Cut.ANYWHERE, share=_FAILING_SHARE, framing=Framing.CLOSE
    ),
}
_CUT_ANSWERS: Mapping[str, _Case] = {
    "in the head, closed": _Case(Stutter(answer_cut=Cut.BEFORE_ID, share=_FAILING_SHARE)),
    "anywhere, closed": _Case(Stutter(answer_cut=Cut.ANYWHERE, share=_FAILING_SHARE)),
    "anywhere, in chunks, closed": _Case(
        Stutter(answer_cut=Cut.ANYWHERE, share=_FAILING_SHARE, framing=Framing.CHUNKS)
    ),
    "anywhere, without length, reset": _Case(
        Stutter(answer_cut=Cut.ANYWHERE, share=_FAILING_SHARE, framing=Framing.CLOSE)
    ),
    "anywhere, kept open": _Case(
        Stutter(answer_cut=Cut.ANYWHERE, after_cut=AfterCut.KEPT_OPEN, share=_FAILING_SHARE),
        knows_loss=False,
    ),
    "in the head, continued by another": _Case(
        Stutter(
            extra=Extra.ANOTHER,
            answer_cut=Cut.BEFORE_ID,
            share=_FAILING_SHARE,
            after_cut=AfterCut.CONTINUED,
        )
    ),
    "anywhere, continued by the one before": _Case(
        Stutter(
            extra=Extra.EARLIER,
            answer_cut=Cut.ANYWHERE,
            share=_FAILING_SHARE,
            after_cut=AfterCut.CONTINUED,
        )
    ),
    "anywhere, continued by itself": _Case(
        Stutter(
            extra=Extra.AGAIN,
            answer_cut=Cut.ANYWHERE,
            share=_FAILING_SHARE,
            after_cut=AfterCut.CONTINUED,
        )
    ),
}


class StutterTest(GatewayTest):
    # Guards against an order that fails or runs again because of an answer to another request.
    @cases(_WHOLE_EXTRAS)
    def test_whole_additional_answers_change_nothing(self, stutter: Stutter) -> None:
        self._check(_Case(stutter, serves_whole=True))

    # Guards against a response that is put together from two, and against a connection that
    # is reused inside a message.
    @cases(_CUT_EXTRAS)
    def test_additional_answers_that_break_off(self, stutter: Stutter) -> None:
        self._check(_Case(stutter))

    # Guards against a part of an answer that is taken as the whole.
    @cases(_CUT_ANSWERS)
    def test_answers_that_break_off(self, case: _Case) -> None:
        self._check(case)

    def _check(self, case: _Case) -> None:
        async def scenario(harness: FleetHarness) -> None:
            for backend in harness.fleet.backends:
                backend.work_s, backend.slots = _WORK_S, 16
                backend.stutterer = Stutterer(case.stutter)
            callers = _Callers(harness, _WAIT_S)
            await callers.run()
            checks = callers.check(serves_whole=case.serves_whole, knows_loss=case.knows_loss)
            statuses = Counter(result.status for result, _ in callers.results)
            self.assertEqual({}, checks.found, checks.summary())
            self.assertGreater(statuses[200], 100, f"{statuses}; {checks.summary()}")
            self.assertGreater(checks.affected, 20)

        self.run_scenario(scenario, _GATEWAYS, _UPSTREAMS)


class MismatchTest(EgretrailTestCase):
    """An attempt ``a`` that was answered as given, and what its client got."""

    _OK, _FAILED = SentAnswer(200, b"whole", "s1"), SentAnswer(500, b"failed", "s2")

    @cases(
        {
            "the answer": ([_OK], (200, b"whole", "s1", "a"), True),
            "the second of two": ([_FAILED, _OK], (200, b"whole", "s1", "a"), True),
            "the failure": ([_FAILED], (500, b"failed", "s2", None), True),
            "a failure of the gateway": ([_OK], (502, b"", None, None), True),
            "a success for a failure": ([_FAILED], (200, b"failed", "s2", "a"), False),
            "a failure for a success": ([_OK], (500, b"whole", "s1", "a"), False),
            "a part": ([_OK], (200, b"whol", "s1", "a"), False),
            "another seal": ([_OK], (200, b"whole", "s2", "a"), False),
            "parts of two": ([_FAILED, _OK], (200, b"whole", "s2", "a"), False),
            "another attempt": ([_OK], (200, b"whole", "s1", "b"), False),
            "no answer was given": ([], (200, b"whole", "s1", "a"), False),
            "without a seal": ([_OK], (200, b"whole", None, "a"), False),
        }
    )
    def test_results(
        self, case: tuple[list[SentAnswer], tuple[int, bytes, str | None, str | None], bool]
    ) -> None:
        answers, (status, body, seal, stated), matches = case
        result = AttemptResult("a", status, body, None, seal, stated)
        self.assertIs(matches, answer_mismatch(result, answers) is None)


class StuttererTest(EgretrailTestCase):
    def test_a_seed_gives_the_same_answers_and_another_seed_others(self) -> None:
        async def lengths(seed: int) -> list[int]:
            stutter = _extra(Extra.ANOTHER, Moment.WITH_ANSWER, Cut.ANYWHERE, framing=Framing.CLOSE)
            backend = StandInBackend("orders", "z", id="i", stutterer=Stutterer(stutter, seed))
            await backend.start()
            host, _, port = backend.address.rpartition(":")
            received = []
            for number in range(9):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET / HTTP/1.1\r\nX-Egretrail-Attempt-Id: a%d\r\n\r\n" % number)
                received.append(len(await reader.read()))
                writer.close()
            await backend.stop()
            return received

        async def run() -> None:
            first = await lengths(1)
            self.assertEqual(first, await lengths(1))
            self.assertNotEqual(first, await lengths(2))

        self.run_real(run())
