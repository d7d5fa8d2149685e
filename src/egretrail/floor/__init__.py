"""Ejection rights: the fleet's instances together never eject a service below its floor."""

from egretrail.floor._holder import RightsHolder
from egretrail.floor._honoured import HonouredEjections
from egretrail.floor._messages import (
    Ejection,
    EjectionsChanged,
    EjectionsReply,
    FetchEjections,
    PromiseReply,
    RequestPromise,
    RequestRight,
    Right,
    RightTransfer,
)
from egretrail.floor._record import (
    FloorRecord,
    RecordedRight,
    UnreadableRecord,
    dump_record,
    ejection_allowance,
    parse_record,
    record_path,
)
from egretrail.floor._registration import (
    IsInstanceGone,
    IsProcessGone,
    Proposal,
    apply_proposal,
    propose,
    reconcile,
    required_promises,
)
from egretrail.floor._timing import RightsTiming

__all__ = [
    "Ejection",
    "EjectionsChanged",
    "EjectionsReply",
    "FetchEjections",
    "FloorRecord",
    "HonouredEjections",
    "IsInstanceGone",
    "IsProcessGone",
    "PromiseReply",
    "Proposal",
    "RecordedRight",
    "RequestPromise",
    "RequestRight",
    "Right",
    "RightTransfer",
    "RightsHolder",
    "RightsTiming",
    "UnreadableRecord",
    "apply_proposal",
    "dump_record",
    "ejection_allowance",
    "parse_record",
    "propose",
    "reconcile",
    "record_path",
    "required_promises",
]
