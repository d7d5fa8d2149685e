"""The base test class and the fakes that all packages' tests share; not part of the product."""

from egretrail.testing._base import EgretrailTestCase, cases
from egretrail.testing._fake_instance_list import FakeInstanceList, listed
from egretrail.testing._fake_network import FakeNetwork, FakePeer
from egretrail.testing._fake_store import FakeStore
from egretrail.testing._paused_loop import PausedLoop

__all__ = [
    "EgretrailTestCase",
    "FakeInstanceList",
    "FakeNetwork",
    "FakePeer",
    "FakeStore",
    "PausedLoop",
    "cases",
    "listed",
]
