"""Sentences that say why a request was refused, and why others were not."""

from collections.abc import Mapping

from egretrail.diagnosis._contention import Contention
from egretrail.diagnosis._lines import LogLine
from egretrail.diagnosis._requests import finite

_REFUSAL_TEXTS = {
    "no_upstream": "no upstream of service {service} was listed as taking work",
    "all_suspect": "every upstream of service {service} was doubted or had been tried",
    "no_time": (
        "it would have waited {wait_s} s for a slot, work of service {service} usually takes "
        "{usual_s} s, and it had {left_s} s left"
    ),
    "not_run": (
        "the upstreams of service {service} refused it and no repeat was left ({attempts} sent)"
    ),
    "limited": (
        "every upstream of service {service} had named a limit, of which this instance had no token"
        " left"
    ),
    "backing_off": (
        "every upstream of service {service} had asked this instance to send no requests for a time"
        " that was not over"
    ),
    "isolated": (
        "neither the instance nor any that it asked could connect to an upstream, of any service"
    ),
    "crashes_upstreams": "three upstreams were lost while they ran it",
    "config_behind": (
        "no route of the configuration in force takes it, or no account holds its key, and the"
        " instance cannot know whether a newer one does"
    ),
    "key_unproved": (
        "the instance had not heard for {proof_age_s} s that its keys are still in force, longer"
        " than an ended key may be taken"
    ),
    "over_quota": (
        "the quota of account {account} had room for {room} requests, and it sent {demand_per_s} a"
        " second"
    ),
    "starting": "the instance did not know the configuration yet",
    "stopping": "the instance was about to stop",
}


class FieldsOrUnknown(dict[str, str]):
    """Log fields for a format string; a field that the log lacks is shown as ``unknown``."""

    def __missing__(self, key: str) -> str:
        return "unknown"


def refusal_text(line: LogLine, contention: Contention | None) -> str:
    """Return why a request was refused; ``contention`` is what its service was sent meanwhile."""
    reason = line.fields.get("reason", "")
    if reason == "over_share":
        return _over_share_text(line, contention)
    text = _REFUSAL_TEXTS.get(reason, reason).format_map(FieldsOrUnknown(line.fields))
    if reason == "not_run" and contention is not None:
        text += _missing_retry_text(line, contention)
    return text


def _over_share_text(line: LogLine, contention: Contention | None) -> str:
    """Return which part of like requests was admitted, and what was admitted instead."""
    fields = FieldsOrUnknown(line.fields)
    demand = (
        "service {service} was {state} and could take {room_per_s} of the {offered_per_s} requests"
        " a second that the fleet was offered, by reports {age_s} s old"
    )
    is_most_urgent = line.fields.get("priority") == "0"
    if finite(line, "level") == 0.0 and not is_most_urgent:
        share = "no request of priority {priority} was admitted, since more urgent ones came first"
    elif line.fields.get("account"):
        share = (
            "the share {level} of the requests of account {account} at priority {priority} was"
            " admitted, since it asked for more than its fair share"
        )
    else:
        share = "the share {level} of such requests at priority {priority} was admitted"
        share += "" if is_most_urgent else ", and more urgent ones came first"
    text = f"{demand}; {share}".format_map(fields)
    if contention is not None and contention.first_attempts:
        text += f" (admitted in the second before: {_by_priority(contention.first_attempts)})"
    return text


def _missing_retry_text(line: LogLine, contention: Contention) -> str:
    """Return whether urgency or the retry budget withheld a retry, where the logs show it.

    Urgency withholds the retries of a priority only while the service is not in its normal state,
    and retries of more urgent requests are sent meanwhile. Otherwise the budget was used up, or the
    route permits no more attempts.
    """
    priority = finite(line, "priority")
    retries = contention.retries
    numbers = [int(one) for one in retries if one.isdecimal()]
    is_normal = contention.state in ("", "normal")
    if priority is not None and numbers and not is_normal and max(numbers) < priority:
        return (
            f"; the service was {contention.state}, and the retries that the budget permits went to"
            f" more urgent requests (in the second before: {_by_priority(retries)})"
        )
    if contention.last_retry is None:
        return ""
    counts = (
        "; the last retry before it found {fleet_retries} of {retries_allowed} retries of the"
        " budget used"
    )
    return counts.format_map(FieldsOrUnknown(contention.last_retry.fields))


def _by_priority(counts: Mapping[str, int]) -> str:
    cells = (f"{count} of priority {key or 'unknown'}" for key, count in sorted(counts.items()))
    return ", ".join(cells)
