from hypothesis import given
from hypothesis import strategies as st

from pollencleat.core.versions import (
    MAX_REVISION,
    era_of,
    format_version,
    make_version,
    revision_of,
)

ERAS = st.integers(0, 10_000)
REVISIONS = st.integers(0, MAX_REVISION)


@given(ERAS, REVISIONS, ERAS, REVISIONS)
def test_versions_are_ordered_by_era_and_then_by_revision(era, revision, other, later):
    first, second = make_version(era, revision), make_version(other, later)
    assert (first < second) == ((era, revision) < (other, later))
    assert (era_of(first), revision_of(first)) == (era, revision)
    assert first < 1 << 63


def test_a_store_without_eras_has_plain_revisions():
    assert make_version(0, 1207) == 1207 and format_version(1207) == "1207"
    assert format_version(make_version(3, 1207)) == "3/1207"
