"""How much one instance keeps for keys, and for how long."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class KeyLimits:
    """Bounds on records, answers and generations; safety rests on none of the times.

    Load: 1 M requests/s over 3,500 instances are 286/s each; at a fifth non-idempotent a home
    takes 57 keys/s, so that the times below keep some 24,000 records, about 7 MB, at the home and
    as many at its witnesses.
    """

    #: Memory for whole answers, in each of the two roles. Load: 57 answers/s of 2 KB fill it in
    #: 70 s, longer than callers' resends take; older ones shrink to their outcome.
    answers_size_bytes: int = 8 << 20
    #: Largest answer that is kept whole. Prevents one answer from displacing a hundred others.
    answer_size_bytes: int = 256 << 10
    #: New keys that one generation takes. Prevents a caller that floods new keys from filling the
    #: memory: the generation closes early, and its further keys are answered as not run.
    generation_keys: int = 10_000
    #: Records held in each role. Load: an hour of a caller that floods new keys. Harm prevented:
    #: memory beyond the node's share; the oldest generations are forgotten, then keys refused.
    records_count: int = 40_000
    #: How long a generation is named to callers. Short, so that a record's memory is soon freed.
    issue_s: float = 60.0
    #: How long a generation takes new keys: as long as it is named, and a resolve answer lives.
    accept_s: float = 180.0
    #: How long a generation's records are held: ``accept_s``, and a patient caller's resends.
    retain_s: float = 420.0
    #: Generations that a witness holds. Prevents homes that restart again and again from filling
    #: its memory; the oldest goes first.
    witness_generations: int = 64
