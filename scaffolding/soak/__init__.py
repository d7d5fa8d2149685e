"""A randomized soak test: injects faults into real gateway processes and checks guarantees."""

from scaffolding.soak._guarantees import GuaranteeChecker
from scaffolding.soak._plan import Fault, FaultKind, plan
from scaffolding.soak._run import SoakReport, SoakRun

__all__ = ["Fault", "FaultKind", "GuaranteeChecker", "SoakReport", "SoakRun", "plan"]
