"""Ejection rights: the fleet's instances together never eject a service below its floor."""

from egretrail.floor._holder import RightsHolder
from egretrail.floor._honoured import HonouredEjections
from egretrail.floor._messages import (
    Ejection,
    EjectionsAnswer,
    EjectionsAsk,
    EjectionsChanged,
    Promise,
    PromiseAsk,
    Right,
    RightAnswer,
    RightAsk,
)
from egretrail.floor._record import (
    FloorRecord,
    RecordedRight,
    UnreadableRecord,
    allowance,
    dump_record,
    parse_record,
    record_path,
)
from egretrail.floor._registration import (
    GoneProof,
    NameProof,
    Proposal,
    apply,
    must_promise,
    propose,
    reconcile,
)
from egretrail.floor._timing import RightsTiming

__all__ = [
    "Ejection",
    "EjectionsAnswer",
    "EjectionsAsk",
    "EjectionsChanged",
    "FloorRecord",
    "GoneProof",
    "HonouredEjections",
    "NameProof",
    "Promise",
    "PromiseAsk",
    "Proposal",
    "RecordedRight",
    "Right",
    "RightAnswer",
    "RightAsk",
    "RightsHolder",
    "RightsTiming",
    "UnreadableRecord",
    "allowance",
    "apply",
    "dump_record",
    "must_promise",
    "parse_record",
    "propose",
    "reconcile",
    "record_path",
]
