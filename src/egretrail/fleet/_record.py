"""The record that an instance keeps of another."""

from dataclasses import dataclass, field

from egretrail.fleet._messages import Rumour


@dataclass(slots=True)
class Record:
    """The newest rumour of an instance, with the local state of its suspicion."""

    #: The newest rumour of the newest process.
    rumour: Rumour
    #: When this instance first learned of the process, and when it was last known to be active.
    known_since_s: float
    last_contact_s: float
    #: The instances that suspect it, and the start of the suspicion.
    accusers: set[str] = field(default_factory=set)
    suspected_s: float = 0.0
    #: Number of returns from unreachability, and until when it is excluded from groups for them.
    returns: int = 0
    held_until_s: float = 0.0
    #: Whether the platform's list marks it as leaving.
    listed_leaving: bool = False
