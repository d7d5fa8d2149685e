"""Limits on the memory and the retention time of idempotency keys on one instance."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class KeyLimits:
    """Limits on records, responses and generations.

    At-most-once execution does not depend on any of the times. At 1 M requests/s over 3,500
    instances each instance serves 286/s. If a fifth are not idempotent, a home accepts 57 keys/s;
    with the times below it holds some 24,000 records, about 7 MB, and its witnesses as many.
    """

    #: Memory for complete responses, for each of the two roles. 57 responses/s of 2 KB fill it in
    #: 70 s, which is longer than clients keep retrying; of older responses only the outcome stays.
    answers_size_bytes: int = 8 << 20
    #: Largest response that is kept completely, so that one response cannot displace a hundred.
    answer_size_bytes: int = 256 << 10
    #: New keys that one generation accepts. Prevents a client that floods new keys from filling
    #: the memory: the generation closes early, and its further keys are refused as not run.
    generation_keys: int = 10_000
    #: Records held for each role. Bounds the memory while a client floods new keys for an hour:
    #: the oldest generations are dropped first, then new keys are refused.
    records_count: int = 40_000
    #: How long the prefix of a generation is issued. Short, so that records are freed soon.
    issue_s: float = 60.0
    #: How long a generation accepts new keys; covers ``issue_s`` and the TTL of a resolve response.
    accept_s: float = 180.0
    #: How long a generation's records are held: covers ``accept_s`` and a slow client's retries.
    retain_s: float = 420.0
    #: Generations that a witness holds; the oldest is dropped first. Prevents homes that restart
    #: repeatedly from filling the memory of the witness.
    witness_generations: int = 64
