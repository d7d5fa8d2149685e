"""Long decisions in slices, so that a process goes on answering meanwhile."""

import asyncio
from collections.abc import Generator
from typing import TypeVar

T = TypeVar("T")


async def in_slices(work: Generator[None, None, T]) -> T:
    """Run work to its end and return its result; other tasks run at each of its ``yield``s.

    Load: a hub that reads thousands of routes at once is silent for longer than its zone waits for
    it, and requests that arrive meanwhile wait as long.
    """
    while True:
        try:
            next(work)
        except StopIteration as done:
            result: T = done.value
            return result
        await asyncio.sleep(0)
