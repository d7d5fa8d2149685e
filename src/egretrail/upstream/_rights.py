"""The interface through which health decisions obtain permission for an ejection."""

import abc

from egretrail.identity import ServiceName, UpstreamName


class EjectionRights(abc.ABC):
    """Decides whether an ejection leaves a service above its floor, fleet-wide.

    Calls do not block. An implementation that has to obtain a right from elsewhere returns False,
    starts to obtain the right, and returns True on a later call.
    """

    @abc.abstractmethod
    def may_eject(self, service: ServiceName, upstream: UpstreamName, now_s: float) -> bool:
        """Return whether an ejection of the upstream is covered by a right now.

        Called again at every placement during the ejection: when the right is no longer valid, the
        ejection ends at once.
        """

    @abc.abstractmethod
    def release(self, service: ServiceName, upstream: UpstreamName, now_s: float) -> None:
        """Release the right that covered the upstream: the upstream is in service again."""


class UnlimitedRights(EjectionRights):
    """Permits every ejection; for services without a floor, and for tests."""

    def may_eject(self, service: ServiceName, upstream: UpstreamName, now_s: float) -> bool:
        """Return True."""
        return True

    def release(self, service: ServiceName, upstream: UpstreamName, now_s: float) -> None:
        """Do nothing: there is no right to release."""


class NoRights(EjectionRights):
    """Permits no ejection; used by an instance before it holds any right."""

    def may_eject(self, service: ServiceName, upstream: UpstreamName, now_s: float) -> bool:
        """Return False."""
        return False

    def release(self, service: ServiceName, upstream: UpstreamName, now_s: float) -> None:
        """Do nothing: there is no right to release."""
