"""A randomized fault soak: real gateway processes, faults from outside, promises checked."""

from scaffolding.soak._plan import Fault, FaultKind, plan
from scaffolding.soak._promises import Promises
from scaffolding.soak._run import Soak, SoakReport

__all__ = ["Fault", "FaultKind", "Promises", "Soak", "SoakReport", "plan"]
