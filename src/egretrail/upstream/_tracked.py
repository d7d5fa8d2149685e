"""One upstream of a service: its name, what was observed of it, and the state that follows."""

from egretrail.identity import UpstreamName
from egretrail.upstream._evidence import upstream_id
from egretrail.upstream._lifecycle import Lifecycle
from egretrail.upstream._observed import Observed


class TrackedUpstream:
    """An upstream as one member follows it."""

    def __init__(self, name: UpstreamName, observed: Observed, lifecycle: Lifecycle) -> None:
        self.name = name
        self.id = upstream_id(name)
        self.observed = observed
        self.lifecycle = lifecycle
        #: Whether the group is still to be told of something that it should know at once.
        self.urgent = False
