"""The limit on ejections, as the health decisions ask for it."""

import abc

from egretrail.identity import ServiceName, UpstreamName


class EjectionRights(abc.ABC):
    """Decides whether an ejection keeps a service above its floor, fleet-wide.

    The calls return at once. An implementation that has to obtain a right from elsewhere answers
    False, begins to obtain it, and answers True on a later call.
    """

    @abc.abstractmethod
    def may_eject(self, service: ServiceName, upstream: UpstreamName, now_s: float) -> bool:
        """Return whether an ejection of the upstream is covered by a right now.

        Called again at every placement while the ejection lasts: a right that has lapsed ends the
        ejection at once.
        """

    @abc.abstractmethod
    def release(self, service: ServiceName, upstream: UpstreamName, now_s: float) -> None:
        """Give back the right that covered the upstream: it is in service again."""


class UnlimitedRights(EjectionRights):
    """Allows every ejection: for services without a floor, and for tests."""

    def may_eject(self, service: ServiceName, upstream: UpstreamName, now_s: float) -> bool:
        """Allow the ejection."""
        return True

    def release(self, service: ServiceName, upstream: UpstreamName, now_s: float) -> None:
        """Do nothing: nothing was taken."""


class NoRights(EjectionRights):
    """Allows no ejection: what an instance has before it holds any right."""

    def may_eject(self, service: ServiceName, upstream: UpstreamName, now_s: float) -> bool:
        """Refuse the ejection."""
        return False

    def release(self, service: ServiceName, upstream: UpstreamName, now_s: float) -> None:
        """Do nothing: nothing was taken."""
