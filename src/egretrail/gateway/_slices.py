"""Runs long computations in slices so that other tasks of the process are not blocked."""

import asyncio
from collections.abc import Generator
from typing import TypeVar

T = TypeVar("T")


async def run_in_slices(generator: Generator[None, None, T]) -> T:
    """Run a generator to its end and return its result; other tasks run at each ``yield``.

    Without slices, a hub that decodes thousands of routes sends nothing for longer than its zone's
    hub timeout, and requests that arrive meanwhile wait as long.
    """
    while True:
        try:
            next(generator)
        except StopIteration as stop:
            result: T = stop.value
            return result
        await asyncio.sleep(0)
