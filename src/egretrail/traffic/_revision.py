"""Revisions of the store, in an order that outlasts its return from an older copy.

Such a store counts on from the copy's revision and gives the same numbers to other changes. The era
of the store rises each time, so a revision is the era with the number behind it, in one integer.
"""

#: Bits of the number within an era; what is above them is the era.
_NUMBER_BITS = 40
_NUMBER_MASK = (1 << _NUMBER_BITS) - 1


def store_revision(era: int, number: int) -> int:
    """Return the revision of a number that the store gave in an era; numbers begin above 0."""
    return era << _NUMBER_BITS | number & _NUMBER_MASK


def revision_era(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> _NUMBER_BITS


def revision_number(revision: int) -> int:
    """Return the number that the store gave within its era."""
    return revision & _NUMBER_MASK
