"""Runs long computations in slices so that other tasks of the process are not blocked."""

import asyncio
from collections.abc import Generator
from typing import TypeVar

from result import Err, Ok, Result

from egretrail.cluster import ChunkedConfig, split_config
from egretrail.gateway._config_state import ConfigState
from egretrail.gateway._interfaces import InvalidDocument, StoreLayout, unforeseen

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


async def prepare_config(
    layout: StoreLayout, path: str, text: str, configs: ConfigState
) -> Result[tuple[int, ChunkedConfig | None], InvalidDocument]:
    """Return a stored configuration's version, and the configuration itself if it is newer."""
    value = text.encode(errors="surrogateescape")
    try:
        decoded = await run_in_slices(layout.decode_config_in_slices(value))
        if isinstance(decoded, Err):
            return decoded
        config = decoded.ok_value
        if config.version <= configs.version:
            return Ok((config.version, None))
        return Ok((config.version, await run_in_slices(split_config(config, configs.chunked))))
    except Exception as error:
        return Err(unforeseen(path, error))
