"""The one base class of all tests, with tables of named cases."""

import asyncio
import functools
import inspect
from collections.abc import Callable, Coroutine, Mapping
from typing import Any, TypeVar

import testtools

from egretrail.testing._paused_loop import PausedLoop

T = TypeVar("T")
F = TypeVar("F", bound=Callable[..., Any])

_CASES = "_egretrail_cases"


def cases(table: Mapping[str, Any]) -> Callable[[F], F]:
    """Run a test method once for each named row; the row is passed as its one argument."""

    def mark(method: F) -> F:
        setattr(method, _CASES, table)
        return method

    return mark


class EgretrailTestCase(testtools.TestCase):
    """Expands tables of cases, and runs coroutines on a loop whose clock is paused."""

    def __init_subclass__(cls, **kwargs: Any) -> None:
        """Replace each method marked by ``cases`` with one method for each row."""
        super().__init_subclass__(**kwargs)
        for name, method in list(vars(cls).items()):
            table: Mapping[str, Any] | None = getattr(method, _CASES, None)
            if table is None:
                continue
            delattr(cls, name)
            for label, row in table.items():
                setattr(cls, f"{name}__{label}", _bound(method, row))

    def run_paused(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine on a paused loop: its timers pass at once."""
        with asyncio.Runner(loop_factory=PausedLoop) as runner:
            return runner.run(coroutine)

    def run_real(self, coroutine: Coroutine[Any, Any, T], limit_s: float = 60.0) -> T:
        """Run a coroutine that uses sockets on an ordinary loop; the limit only ends hangs."""
        with asyncio.Runner() as runner:
            return runner.run(asyncio.wait_for(coroutine, limit_s))


def _bound(method: Callable[..., Any], row: Any) -> Callable[..., Any]:
    if inspect.iscoroutinefunction(method):
        raise TypeError("use run_paused or run_real inside an ordinary test method")

    @functools.wraps(method)
    def run(self: EgretrailTestCase) -> None:
        method(self, row)

    del run.__wrapped__
    return run
