"""Tests of listeners whose addresses may not be free yet."""

import asyncio
import errno
import random
import socket
from typing import Any

from egretrail.supervision import open_when_free
from egretrail.testing import EgretrailTestCase, cases

_ADDRESS = "127.0.0.1:1"


class OpenWhenFreeTest(EgretrailTestCase):
    def _open(self, *errors: OSError) -> tuple[Any, list[dict[str, Any]]]:
        """Open a listener that fails with some errors, one after the other, and then opens."""
        events: list[dict[str, Any]] = []
        remaining = list(errors)

        async def open_listener() -> str:
            if remaining:
                raise remaining.pop(0)
            return "open"

        def log_event(event: str, **fields: Any) -> None:
            events.append({"event": event, **fields})

        async def run() -> Any:
            opening = open_when_free(_ADDRESS, open_listener, log_event, random.Random(1))
            return await asyncio.wait_for(opening, timeout=5.0)

        try:
            return asyncio.run(run()), events
        except OSError as error:
            return error, events

    @cases({"taken": errno.EADDRINUSE, "not_there_yet": errno.EADDRNOTAVAIL})
    def test_an_address_that_may_become_free_is_waited_for(self, number: int) -> None:
        # A port that the previous process still held ended the next one, again and again.
        outcome, events = self._open(OSError(number, "refused"), OSError(number, "refused"))
        self.assertEqual("open", outcome)
        self.assertEqual(["listen_failed"] * 2, [event["event"] for event in events])
        self.assertTrue(all(event["retry_s"] > 0 for event in events))

    @cases(
        {
            "no_permission": OSError(errno.EACCES, "Permission denied"),
            "no_descriptors": OSError(errno.EMFILE, "Too many open files"),
            "another_family": OSError(errno.EAFNOSUPPORT, "Address family not supported"),
            "a_name": socket.gaierror(socket.EAI_NONAME, "Name or service not known"),
            "no_number": OSError("no reason"),
        }
    )
    def test_any_other_error_ends_the_start_with_its_reason(self, error: OSError) -> None:
        # The process waited for ever for what no time changes, and was never started again.
        outcome, events = self._open(error)
        self.assertIs(error, outcome)
        self.assertEqual(["listen_refused"], [event["event"] for event in events])
        self.assertEqual(_ADDRESS, events[0]["address"])
        self.assertIn(type(error).__name__, events[0]["cause"])

    def test_another_error_ends_a_start_that_already_waited(self) -> None:
        # As above, after an address that became free.
        taken, refused = OSError(errno.EADDRINUSE, "in use"), OSError(errno.EACCES, "no permission")
        outcome, events = self._open(taken, refused)
        self.assertIs(refused, outcome)
        self.assertEqual(["listen_failed", "listen_refused"], [event["event"] for event in events])
