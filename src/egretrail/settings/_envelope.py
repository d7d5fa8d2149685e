"""The stored form of a path: its text with change id, author, time and history."""

import re
from collections.abc import Sequence
from dataclasses import dataclass, replace

from pydantic import TypeAdapter, ValidationError

from egretrail.settings._change import SettingChange

#: The subtree of the store that holds the fleet's settings.
STORE_PREFIX = "egretrail/settings/"
#: Number of earlier changes kept with each path.
HISTORY_LENGTH = 8
#: Largest text of one path. A service or a route takes a few hundred bytes.
TEXT_LIMIT_BYTES = 32 * 1024
#: Largest stored value; the platform accepts up to 1 MB. Above it the oldest history is dropped.
ENVELOPE_LIMIT_BYTES = 900_000
_CHANGE_ID = re.compile(r"^[A-Za-z0-9_.:-]{8,80}$")


@dataclass(frozen=True, slots=True)
class ChangeRecord:
    """One accepted change of a path."""

    #: The unique id that the writer gave the change.
    change_id: str
    #: The author: the name of a team, or the author that the writer stated.
    author: str
    #: Time of the change on the accepting instance's clock, in seconds since the epoch.
    changed_at_s: float
    #: The TOML text; None when the path was deleted.
    text: str | None
    #: The store revision of the change; 0 for the latest change of the path.
    revision: int = 0


@dataclass(frozen=True, slots=True)
class Envelope:
    """A path's latest change and some earlier ones, newest first."""

    #: The latest change.
    latest: ChangeRecord
    #: The changes before it.
    history: Sequence[ChangeRecord] = ()

    def with_change(self, change: ChangeRecord, own_revision: int) -> "Envelope":
        """Return the envelope with one more change.

        ``own_revision`` is the store revision of this envelope, before the change.
        """
        earlier = (replace(self.latest, revision=own_revision), *self.history)
        return Envelope(change, earlier[:HISTORY_LENGTH])

    def find(self, change_id: str) -> ChangeRecord | None:
        """Return the change with the given id; None when it is not kept here."""
        found = (item for item in (self.latest, *self.history) if item.change_id == change_id)
        return next(found, None)

    def encode(self) -> str:
        """Return the stored form, with as much history as the size limit allows."""
        envelope = self
        encoded = _ADAPTER.dump_json(envelope)
        while len(encoded) > ENVELOPE_LIMIT_BYTES and envelope.history:
            envelope = Envelope(envelope.latest, envelope.history[:-1])
            encoded = _ADAPTER.dump_json(envelope)
        return encoded.decode()


_ADAPTER = TypeAdapter(Envelope)


def decode_envelope(value: str) -> Envelope:
    """Decode the stored value of a path.

    A value that is not an envelope was written directly to the store, for instance during the
    initial set-up. It is interpreted as the TOML text, without a change id or an author.
    """
    try:
        return _ADAPTER.validate_json(value)
    except ValidationError:
        return Envelope(ChangeRecord("", "", 0.0, value))


def change_of(store_path: str, value: str | None, revision: int) -> SettingChange:
    """Return an entry of the store as a change."""
    path = store_path.removeprefix(STORE_PREFIX)
    if value is None:
        return SettingChange(path, revision, "", None)
    latest = decode_envelope(value).latest
    return SettingChange(path, revision, latest.change_id, latest.text)


def is_change_id(text: str) -> bool:
    """Return whether a text is a valid change id."""
    return _CHANGE_ID.match(text) is not None
