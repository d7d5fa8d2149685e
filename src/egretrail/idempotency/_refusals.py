"""The refusals that homes, witnesses and receivers give for keys."""

from typing import Final

from egretrail.request import Outcome, Refusal, RefusalCause

#: After this time a client that retries with a new key gets another home or witness than the
#: unreachable one.
_RETRY_AFTER_UNREACHABLE_S = 1.0
#: A new prefix is available immediately; the pause only keeps a faulty client from retrying in a
#: tight loop.
_RETRY_AFTER_EXPIRY_S = 0.1

#: Home: the witness cannot confirm the record; the home has sealed the key.
WITNESS_UNREACHABLE: Final = Refusal(
    Outcome.NOT_RUN, RefusalCause.WITNESS_UNREACHABLE, _RETRY_AFTER_UNREACHABLE_S
)
#: Home: the witness had sealed the key, or closed its generation.
KEY_SEALED: Final = Refusal(Outcome.NOT_RUN, RefusalCause.KEY_SEALED, _RETRY_AFTER_EXPIRY_S)
#: The generation accepts no new keys, and its records show that this key never started.
GENERATION_CLOSED: Final = Refusal(Outcome.NOT_RUN, RefusalCause.KEY_EXPIRED, _RETRY_AFTER_EXPIRY_S)
#: The generation was dropped: the key cannot start any more, but may have run.
GENERATION_DROPPED: Final = Refusal(Outcome.UNKNOWN, RefusalCause.KEY_EXPIRED)
#: The key is bound to another request or client. The outcome is not ``not-run``: a client may
#: encode the same request differently on its retry, and the first attempt may have run.
KEY_REUSED: Final = Refusal(Outcome.UNKNOWN, RefusalCause.KEY_REUSED)
#: Witness: the key was not recorded; the witness has sealed it.
HOME_UNREACHABLE_NOT_RUN: Final = Refusal(
    Outcome.NOT_RUN, RefusalCause.HOME_UNREACHABLE, _RETRY_AFTER_UNREACHABLE_S
)
#: Witness or receiver: the key is recorded, its outcome is not known, and the home is unreachable.
#: A retry with the same key may get the outcome.
HOME_UNREACHABLE: Final = Refusal(
    Outcome.UNKNOWN, RefusalCause.HOME_UNREACHABLE, _RETRY_AFTER_UNREACHABLE_S
)
#: The home and the witness of the key have ended or have dropped its generation.
RECORD_LOST: Final = Refusal(Outcome.UNKNOWN, RefusalCause.RECORD_LOST)
#: Receiver: the request is still running at its deadline. A retry with the same key gets the
#: outcome.
STILL_RUNNING: Final = Refusal(Outcome.UNKNOWN, RefusalCause.DEADLINE, _RETRY_AFTER_UNREACHABLE_S)
#: Home: the dispatcher raised an unexpected error.
DISPATCH_FAILED: Final = Refusal(Outcome.UNKNOWN, RefusalCause.UPSTREAM_LOST)
