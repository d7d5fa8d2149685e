"""Store revisions that stay in order when the store is restored from an older copy.

A restored store continues from the copy's revision and gives the same numbers to other changes. Its
era increases with each restore. A revision is one integer, with the era in the upper bits and the
number within the era in the lower ones.
"""

#: Bits of the number within an era; the bits above are the era.
_NUMBER_BITS = 40
_NUMBER_MASK = (1 << _NUMBER_BITS) - 1


def store_revision(era: int, number: int) -> int:
    """Return the revision of a number within an era of the store; numbers start above 0."""
    return era << _NUMBER_BITS | number & _NUMBER_MASK


def revision_era(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> _NUMBER_BITS


def revision_number(revision: int) -> int:
    """Return the number that the store gave within its era."""
    return revision & _NUMBER_MASK
