"""The runtime package."""

from egretrail.runtime._evidence import EvidenceDriver

__all__ = ["EvidenceDriver"]
