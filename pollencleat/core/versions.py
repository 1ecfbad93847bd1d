"""Versions of objects in a store that may come back from an older copy.

A store hands out revisions that rise with each change.  When it comes back from an
older copy, revisions go back and are handed out again, and its era rises by one.  A
version joins both in one number that is ordered by era first, so that whatever was
written after a restore is newer than all that was written before.  Where the store has
no eras, a version equals the revision.
"""

REVISION_BITS = 40
"""Bits of a version that hold the revision; the era is above them."""

MAX_REVISION = (1 << REVISION_BITS) - 1

MAX_ERA = (1 << 63 - REVISION_BITS) - 1
"""Highest era whose versions fit into a signed 64-bit number."""


def make_version(era: int, revision: int) -> int:
    """Return the version of a revision.

    Args:
        era: Era of the store, from 0.
        revision: Revision of the object, 0 if it does not exist.

    Returns:
        The version.
    """
    return (era << REVISION_BITS) | revision


def era_of(version: int) -> int:
    """Return the era of the store that handed out a version."""
    return version >> REVISION_BITS


def revision_of(version: int) -> int:
    """Return the revision of the object in that era; 0 if it does not exist."""
    return version & MAX_REVISION


def format_version(version: int) -> str:
    """Return a version for people: the revision, after the era if there is one."""
    era = era_of(version)
    return f"{era}/{revision_of(version)}" if era else str(version)
