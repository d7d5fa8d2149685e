"""What the store holds for a path: the text with its change id, author, time and history."""

import re
from collections.abc import Sequence
from dataclasses import dataclass, replace

from pydantic import TypeAdapter, ValidationError

from egretrail.settings._change import SettingChange

#: The subtree of the store that holds the fleet's settings.
STORE_PREFIX = "egretrail/settings/"
#: Earlier values kept with each path.
HISTORY_LENGTH = 8
#: Longest text of one path; a service or a route takes a few hundred bytes.
TEXT_LIMIT_BYTES = 32 * 1024
#: The platform holds values up to a megabyte; older history goes first.
ENVELOPE_LIMIT_BYTES = 900_000
_CHANGE_ID = re.compile(r"^[A-Za-z0-9_.:-]{8,80}$")


@dataclass(frozen=True, slots=True)
class Revised:
    """One accepted change of a path."""

    #: The unique id that the writer gave it.
    change_id: str
    #: Who made it: a team's name, or what the writer said.
    author: str
    #: When it was made, in seconds since the epoch by the accepting instance's clock.
    changed_at_s: float
    #: The TOML text; None when the path was deleted.
    text: str | None
    #: The store's revision of the change; 0 while it is the path's latest.
    revision: int = 0


@dataclass(frozen=True, slots=True)
class Envelope:
    """A path's latest change and some earlier ones, newest first."""

    #: The latest change.
    latest: Revised
    #: The changes before it.
    history: Sequence[Revised] = ()

    def with_change(self, change: Revised, own_revision: int) -> "Envelope":
        """Return the envelope after one more change; this one is at ``own_revision``."""
        earlier = (replace(self.latest, revision=own_revision), *self.history)
        return Envelope(change, earlier[:HISTORY_LENGTH])

    def find(self, change_id: str) -> Revised | None:
        """Return the change with an id; None when it is not among those kept."""
        found = (item for item in (self.latest, *self.history) if item.change_id == change_id)
        return next(found, None)

    def encode(self) -> str:
        """Return the form in the store, with as much history as the limit allows."""
        envelope = self
        encoded = _ADAPTER.dump_json(envelope)
        while len(encoded) > ENVELOPE_LIMIT_BYTES and envelope.history:
            envelope = Envelope(envelope.latest, envelope.history[:-1])
            encoded = _ADAPTER.dump_json(envelope)
        return encoded.decode()


_ADAPTER = TypeAdapter(Envelope)


def decode_envelope(value: str) -> Envelope:
    """Read what the store holds for a path.

    A value that is no envelope was written straight into the store, such as a first setting-up may
    do: it is taken as the TOML text itself, without an id or an author.
    """
    try:
        return _ADAPTER.validate_json(value)
    except ValidationError:
        return Envelope(Revised("", "", 0.0, value))


def change_of(store_path: str, value: str | None, revision: int) -> SettingChange:
    """Return a path of the store as a change."""
    path = store_path.removeprefix(STORE_PREFIX)
    if value is None:
        return SettingChange(path, revision, "", None)
    latest = decode_envelope(value).latest
    return SettingChange(path, revision, latest.change_id, latest.text)


def is_change_id(text: str) -> bool:
    """Return whether a text may serve as a change id."""
    return _CHANGE_ID.match(text) is not None
