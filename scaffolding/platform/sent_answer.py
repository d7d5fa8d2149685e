"""What a stand-in backend answered, for comparison with what clients received."""

import itertools
from collections.abc import Sequence
from dataclasses import dataclass

from scaffolding.platform.client import AttemptResult

_numbers = itertools.count(1)


@dataclass(frozen=True, slots=True)
class SentAnswer:
    """The answer of a backend to a request that it ran."""

    #: The status.
    status: int
    #: The whole body, also where the answer broke off.
    body: bytes
    #: The seal; empty where the answer has none.
    seal: str
    #: Whether the answer was sent to its end, with nothing of another answer in it.
    is_whole: bool = True


def next_seal() -> str:
    """Return a seal that no other answer has; all have the same length."""
    return f"1a.{next(_numbers):08x}.2b"


def answer_mismatch(result: AttemptResult, answers: Sequence[SentAnswer]) -> str | None:
    """Return how a client's result differs from what the backends answered to its attempt.

    Successes, and failures that bear a seal, must have status, body and seal of one answer.
    """
    if result.stated_attempt not in (None, result.attempt):
        return f"{result.attempt} got the answer of {result.stated_attempt}"
    is_success = 200 <= result.status < 300
    if not is_success and result.seal is None:
        return None
    received = result.status, result.body, result.seal or ""
    if received in [(one.status, one.body, one.seal) for one in answers]:
        return None
    sent = [(one.status, one.body[-80:], one.seal) for one in answers]
    what = "a success" if is_success and answers and not _any_success(answers) else "another answer"
    return f"{result.attempt} got {what}: {received[0], received[1][-80:], received[2]} of {sent}"


def _any_success(answers: Sequence[SentAnswer]) -> bool:
    return any(200 <= one.status < 300 for one in answers)
