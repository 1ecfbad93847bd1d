"""When a read is asked again."""

import pytest

from pollencleat.limits.second_tries import MOST_OF_REST, second_try_after_s


@pytest.mark.parametrize(
    ("objective_s", "left_s", "expected_s"),
    [(0.2, 1.0, 0.2), (0.9, 1.0, 0.5), (0.2, 0.0, 0.0), (0.2, -1.0, 0.0)],
)
def test_other_server_keeps_time_for_its_answer(objective_s, left_s, expected_s):
    assert second_try_after_s(objective_s, left_s) == expected_s
    assert expected_s <= max(0.0, MOST_OF_REST * left_s)
