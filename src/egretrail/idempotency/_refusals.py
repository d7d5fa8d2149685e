"""The refusals that homes, witnesses and receivers give for keys."""

from typing import Final

from egretrail.request import Outcome, Refusal, RefusalCause

#: Callers that come back with a new key after a cut find another home or witness by then.
_AFTER_CUT_S = 1.0
#: A fresh prefix is at hand at once; the pause only keeps a broken caller from spinning.
_AFTER_EXPIRY_S = 0.1

#: Home: the witness cannot confirm the record; the home has sealed the key.
WITNESS_UNREACHABLE: Final = Refusal(
    Outcome.NOT_RUN, RefusalCause.WITNESS_UNREACHABLE, _AFTER_CUT_S
)
#: Home: the witness had sealed the key, or closed its generation.
KEY_SEALED: Final = Refusal(Outcome.NOT_RUN, RefusalCause.KEY_SEALED, _AFTER_EXPIRY_S)
#: The generation takes no new keys, and its records show that this one never started.
GENERATION_CLOSED: Final = Refusal(Outcome.NOT_RUN, RefusalCause.KEY_EXPIRED, _AFTER_EXPIRY_S)
#: The generation's records are gone: the key will not run, and may have run.
GENERATION_FORGOTTEN: Final = Refusal(Outcome.UNKNOWN, RefusalCause.KEY_EXPIRED)
#: The key is bound to another request or caller. Not ``not-run``: a caller that spells the same
#: order differently on its resend must not be told that the first one was not run.
KEY_REUSED: Final = Refusal(Outcome.UNKNOWN, RefusalCause.KEY_REUSED)
#: Witness: the key had not been recorded; it is sealed now.
HOME_UNREACHABLE_NOT_RUN: Final = Refusal(
    Outcome.NOT_RUN, RefusalCause.HOME_UNREACHABLE, _AFTER_CUT_S
)
#: Witness or receiver: recorded, no outcome known, and the home cannot be asked. Coming back with
#: the same key may find the outcome.
HOME_UNREACHABLE: Final = Refusal(Outcome.UNKNOWN, RefusalCause.HOME_UNREACHABLE, _AFTER_CUT_S)
#: The processes that the key names have ended, or forgot its generation.
RECORD_LOST: Final = Refusal(Outcome.UNKNOWN, RefusalCause.RECORD_LOST)
#: Receiver: the work goes on past the request's deadline; the same key will find the outcome.
STILL_RUNNING: Final = Refusal(Outcome.UNKNOWN, RefusalCause.DEADLINE, _AFTER_CUT_S)
#: Home: the dispatch failed in a way that the dispatcher has not accounted for.
DISPATCH_FAILED: Final = Refusal(Outcome.UNKNOWN, RefusalCause.UPSTREAM_LOST)
