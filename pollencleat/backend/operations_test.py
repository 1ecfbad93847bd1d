import pytest

from pollencleat.backend.operations import promote_server, read_position, read_status
from pollencleat.core.errors import BackendError


class Connection:
    """Answers every statement with the same rows, and the number that it ends with."""

    def __init__(self, rows):
        self.rows = rows

    async def run(self, sql):
        if not isinstance(self.rows, list) or not sql.startswith("SELECT"):
            return self.rows
        return [(*row, int(sql.rsplit(" ", 1)[1])) for row in self.rows]

    def close(self):
        pass


ODD_NUMBERS = [None, "", "x", "9" * 5_000, 10**30, -1, "1.5", [1]]


@pytest.mark.parametrize("odd", ODD_NUMBERS, ids=lambda odd: str(odd)[:8])
@pytest.mark.parametrize("index", range(5))
async def test_odd_number_in_a_status_raises_a_typed_error(odd, index):
    """An untyped error in a timer or a probe counts as a defect of the process."""
    row = [1, 2, 3, 4, 0, ""]
    assert (await read_status(Connection([tuple(row)]))).received_position == 3
    row[index] = odd
    with pytest.raises(BackendError):
        await read_status(Connection([tuple(row)]))


@pytest.mark.parametrize(
    "rows",
    [object(), [], [()], [(None, 1)], [("9" * 5_000, 1)], [(10**30, 1)], [(-1, 1)]],
    ids=lambda rows: str(rows)[:12],
)
async def test_odd_position_raises_a_typed_error(rows):
    with pytest.raises(BackendError):
        await read_position(Connection(rows))
    with pytest.raises(BackendError):
        await promote_server(Connection(rows), 3)
