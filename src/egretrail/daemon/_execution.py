"""Has an upstream answer a request: performs what the service's scheduler decides."""

import asyncio
import secrets
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import assert_never

from egretrail.daemon._interfaces import LocalExecution
from egretrail.daemon._service_state import ServiceState, ServiceStates
from egretrail.identity import TeamName, UpstreamName
from egretrail.request import (
    Answer,
    Outcome,
    RecordedAnswer,
    Refusal,
    RefusalCause,
    RequestEnvelope,
    request_digest,
)
from egretrail.runtime import UpstreamClient, UpstreamRequest, UpstreamResult
from egretrail.service import (
    Abandon,
    Action,
    AttemptResult,
    CostClass,
    Dispatch,
    Finish,
    Hedge,
    Refuse,
    Work,
    WorkId,
)
from egretrail.upstream import Attempt, AttemptOutcome

_RESULTS: Mapping[AttemptOutcome, AttemptResult] = {
    AttemptOutcome.ANSWERED: AttemptResult.ANSWERED,
    AttemptOutcome.FAILED: AttemptResult.FAILED,
    AttemptOutcome.LOST: AttemptResult.LOST,
    AttemptOutcome.TIMED_OUT: AttemptResult.LOST,
    AttemptOutcome.TRUNCATED: AttemptResult.LOST,
    AttemptOutcome.CROSSED: AttemptResult.LOST,
    AttemptOutcome.REFUSED: AttemptResult.NOT_SENT,
    AttemptOutcome.SHED: AttemptResult.SHED,
    AttemptOutcome.DRAINING: AttemptResult.SHED,
    AttemptOutcome.CANCELLED: AttemptResult.ABANDONED,
}
_COME_BACK_S = 1.0
