"""What one instance holds of one other."""

from dataclasses import dataclass, field

from egretrail.fleet._messages import Rumour


@dataclass(slots=True)
class Record:
    """The newest word of an instance, and what is thought of it."""

    #: The newest rumour of the newest process.
    rumour: Rumour
    #: When this process was first heard of, and when it last showed itself to anybody.
    known_since_s: float
    heard_s: float
    #: Who suspects it, and since when.
    accusers: set[str] = field(default_factory=set)
    suspected_s: float = 0.0
    #: Returns from being unreachable, and until when it is kept out of groups for them.
    returns: int = 0
    held_until_s: float = 0.0
    #: Whether the platform's list shows it as leaving.
    listed_leaving: bool = False
