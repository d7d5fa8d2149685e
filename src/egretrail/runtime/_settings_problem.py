"""Refusals of the operators' HTTP interface as RFC 9457 problem details."""

import dataclasses
import json
from collections.abc import Mapping
from dataclasses import dataclass, field

import falcon.asgi

from egretrail.runtime._problem import PROBLEM_CONTENT_TYPE
from egretrail.settings import (
    ConcurrentChange,
    InvalidSettings,
    SettingsRefusal,
    StoreBehind,
    StoreUnreachable,
    WriteUnresolved,
)

#: Retry-After for operators while the store is unreachable.
_STORE_RETRY_AFTER_S = 5


@dataclass(frozen=True, slots=True)
class OperatorProblem:
    """One error response to an operator."""

    #: The problem type: the last part of its URN.
    name: str
    #: The HTTP status.
    status: int
    #: One sentence that is the same for all problems of the type.
    title: str
    #: An explanation specific to this occurrence.
    detail: str = ""
    #: Further members of the problem document.
    members: Mapping[str, object] = field(default_factory=dict)

    def write_to(self, resp: falcon.asgi.Response) -> None:
        """Write the problem into the response."""
        resp.status = self.status
        resp.content_type = PROBLEM_CONTENT_TYPE
        if self.status == 503:
            resp.set_header("Retry-After", str(_STORE_RETRY_AFTER_S))
        document = {
            "type": f"urn:egretrail:problem:{self.name}",
            "title": self.title,
            "status": self.status,
            "detail": self.detail,
            **self.members,
        }
        # Falcon serializes ``media`` only for content types that it has a handler for.
        resp.text = json.dumps(document)


def settings_problem(refusal: SettingsRefusal) -> OperatorProblem:
    """Return the problem that reports a refusal to the operator."""
    detail = str(refusal)
    match refusal:
        case InvalidSettings():
            faults = [dataclasses.asdict(fault) for fault in refusal.faults]
            members: dict[str, object] = {"path": refusal.source, "faults": faults}
            return OperatorProblem(
                "invalid-settings", 422, "The settings are not valid", detail, members
            )
        case ConcurrentChange():
            return OperatorProblem(
                "lost-race",
                409,
                "Another change came first",
                detail,
                dataclasses.asdict(refusal),
            )
        case StoreUnreachable():
            return OperatorProblem("store-out", 503, "The store cannot be reached", detail)
        case StoreBehind():
            return OperatorProblem(
                "store-behind",
                503,
                "The store has lost writes",
                detail,
                dataclasses.asdict(refusal),
            )
        case WriteUnresolved():
            members = {"path": refusal.path, "change_id": refusal.change_id}
            return OperatorProblem(
                "write-unresolved", 504, "Whether it was accepted is not known", detail, members
            )
