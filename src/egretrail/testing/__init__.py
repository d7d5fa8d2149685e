"""The base test class and the fakes that every package's tests share; not installed for use."""

from egretrail.testing._base import EgretrailTestCase, cases
from egretrail.testing._fake_network import FakeNetwork, FakePeer
from egretrail.testing._fake_store import FakeStore
from egretrail.testing._paused_loop import PausedLoop

__all__ = ["EgretrailTestCase", "FakeNetwork", "FakePeer", "FakeStore", "PausedLoop", "cases"]
