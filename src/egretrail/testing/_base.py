"""The base class of all tests, with parameterized test methods."""

import asyncio
import functools
import inspect
from collections.abc import Callable, Coroutine, Mapping
from typing import Any, TypeVar

import testtools

from egretrail.testing._paused_loop import PausedLoop

T = TypeVar("T")
F = TypeVar("F", bound=Callable[..., Any])

_CASES_ATTRIBUTE = "_egretrail_cases"


def cases(table: Mapping[str, Any]) -> Callable[[F], F]:
    """Run a test method once for each entry of ``table``, with the entry's value as argument."""

    def mark(method: F) -> F:
        setattr(method, _CASES_ATTRIBUTE, table)
        return method

    return mark


class EgretrailTestCase(testtools.TestCase):
    """Expands methods marked by ``cases`` and runs coroutines on a paused or a real event loop."""

    def __init_subclass__(cls, **kwargs: Any) -> None:
        """Replace each method marked by ``cases`` with one method for each row."""
        super().__init_subclass__(**kwargs)
        for name, method in list(vars(cls).items()):
            table: Mapping[str, Any] | None = getattr(method, _CASES_ATTRIBUTE, None)
            if table is None:
                continue
            delattr(cls, name)
            for label, row in table.items():
                setattr(cls, f"{name}__{label}", _bind_case(method, row))

    def run_paused(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine on a ``PausedLoop``, on which timers elapse without waiting."""
        with asyncio.Runner(loop_factory=PausedLoop) as runner:
            return runner.run(coroutine)

    def run_real(self, coroutine: Coroutine[Any, Any, T], limit_s: float = 60.0) -> T:
        """Run a coroutine that uses sockets on a real loop; ``limit_s`` only ends hung tests."""
        with asyncio.Runner() as runner:
            return runner.run(asyncio.wait_for(coroutine, limit_s))


def _bind_case(method: Callable[..., Any], row: Any) -> Callable[..., Any]:
    if inspect.iscoroutinefunction(method):
        raise TypeError("use run_paused or run_real inside an ordinary test method")

    @functools.wraps(method)
    def run(self: EgretrailTestCase) -> None:
        method(self, row)

    del run.__wrapped__
    return run
