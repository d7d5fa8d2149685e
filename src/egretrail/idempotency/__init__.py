"""At-most-once execution of requests with idempotency keys.

The home of a key is the only process that may start the key's request. The witness of a key records
the key before the request starts and can answer for it when the home is unreachable. Both are state
machines without I/O.
"""

from egretrail.idempotency._binding import request_binding
from egretrail.idempotency._home import (
    Dispatch,
    Home,
    Join,
    KeyOutcome,
    RecordAtWitness,
    Reply,
    RequestStep,
    Settled,
    VerdictStep,
)
from egretrail.idempotency._key import (
    ForgedKey,
    IdempotencyKey,
    InvalidKeySuffix,
    KeyFailure,
    KeyPrefix,
    MalformedKey,
    issue_prefix,
    parse_key,
)
from egretrail.idempotency._limits import KeyLimits
from egretrail.idempotency._messages import (
    AwaitKeyed,
    CloseGeneration,
    FetchPrefix,
    GenerationOpened,
    KeyedReply,
    KeyStatus,
    OpenGeneration,
    PrefixReply,
    QueryWitness,
    RecordKey,
    RecordReply,
    RecordVerdict,
    RelayKeyed,
    RunKeyed,
    StoreOutcome,
)
from egretrail.idempotency._records import ANSWER_DROPPED, Generation, Phase, Record, RecordStore
from egretrail.idempotency._refusals import (
    DISPATCH_FAILED,
    HOME_UNREACHABLE,
    KEY_REUSED,
    RECORD_LOST,
    STILL_RUNNING,
)
from egretrail.idempotency._witness import Witness

__all__ = [
    "ANSWER_DROPPED",
    "DISPATCH_FAILED",
    "HOME_UNREACHABLE",
    "KEY_REUSED",
    "RECORD_LOST",
    "STILL_RUNNING",
    "AwaitKeyed",
    "CloseGeneration",
    "Dispatch",
    "FetchPrefix",
    "ForgedKey",
    "Generation",
    "GenerationOpened",
    "Home",
    "IdempotencyKey",
    "InvalidKeySuffix",
    "Join",
    "KeyFailure",
    "KeyLimits",
    "KeyOutcome",
    "KeyPrefix",
    "KeyStatus",
    "KeyedReply",
    "MalformedKey",
    "OpenGeneration",
    "Phase",
    "PrefixReply",
    "QueryWitness",
    "Record",
    "RecordAtWitness",
    "RecordKey",
    "RecordReply",
    "RecordStore",
    "RecordVerdict",
    "RelayKeyed",
    "Reply",
    "RequestStep",
    "RunKeyed",
    "Settled",
    "StoreOutcome",
    "VerdictStep",
    "Witness",
    "issue_prefix",
    "parse_key",
    "request_binding",
]
