"""One upstream of a service: its name, its observations, and the state derived from them."""

from egretrail.identity import UpstreamName
from egretrail.upstream._evidence import upstream_id
from egretrail.upstream._lifecycle import Lifecycle
from egretrail.upstream._observations import GroupObservations


class TrackedUpstream:
    """One member's record of an upstream."""

    def __init__(
        self, name: UpstreamName, observed: GroupObservations, lifecycle: Lifecycle
    ) -> None:
        self.name = name
        self.id = upstream_id(name)
        self.observed = observed
        self.lifecycle = lifecycle
        #: Whether evidence on this upstream is still to be sent to the group at once.
        self.urgent = False
