"""Result set with one column per type that mysql_mimic can encode."""

from datetime import date, datetime, timedelta

from mysql_mimic.charset import CharacterSet
from mysql_mimic.results import ResultColumn, ResultSet
from mysql_mimic.types import ColumnType

BINARY_TYPES = frozenset(
    {
        ColumnType.BIT,
        ColumnType.TINY_BLOB,
        ColumnType.MEDIUM_BLOB,
        ColumnType.LONG_BLOB,
        ColumnType.BLOB,
        ColumnType.GEOMETRY,
    }
)
EVERY_TYPE_SQL = "SELECT EVERY TYPE"

VALUES_BY_TYPE = {
    ColumnType.DECIMAL: ("12.50", None),
    ColumnType.TINY: (1, 0),
    ColumnType.SHORT: (-32768, 32767),
    ColumnType.LONGLONG: (-(2**63), 2**63 - 1),
    ColumnType.FLOAT: (1.5, -0.25),
    ColumnType.DOUBLE: (1e300, -1e-300),
    ColumnType.TIMESTAMP: (datetime(2026, 12, 4, 1, 2, 3), None),
    ColumnType.DATE: (date(2026, 12, 4), date(1, 1, 1)),
    ColumnType.TIME: (timedelta(hours=5, minutes=4), timedelta(0)),
    ColumnType.DATETIME: (datetime(2026, 12, 4, 1, 2, 3, 456), None),
    ColumnType.YEAR: (2026, 1901),
    ColumnType.VARCHAR: ("ñandú", ""),
    ColumnType.BIT: (b"\x05", b"\x00"),
    ColumnType.JSON: ('{"a": [1, null]}', "null"),
    ColumnType.NEWDECIMAL: ("-99999999999999999999.99", "0.00"),
    ColumnType.ENUM: ("red", "blue"),
    ColumnType.SET: ("a,b", ""),
    ColumnType.TINY_BLOB: (b"\x00\xff", b""),
    ColumnType.MEDIUM_BLOB: (bytes(range(256)), b""),
    ColumnType.LONG_BLOB: (b"\xfe" * 300, b"\xfb"),
    ColumnType.BLOB: (b"\xfe\x00\x00", None),
    ColumnType.VAR_STRING: ("x" * 70_000, "€"),
    ColumnType.STRING: ("fixed", None),
    ColumnType.GEOMETRY: (b"\x00\x00\x00\x00\x01", None),
}


def make_column(name: str, column_type: ColumnType) -> ResultColumn:
    """Return a column definition; binary types get the binary character set.

    Args:
        name: Column name.
        column_type: Column type.

    Returns:
        The column definition.
    """
    character_set = CharacterSet.utf8mb4
    if column_type in BINARY_TYPES:
        character_set = CharacterSet.binary
    return ResultColumn(name, column_type, character_set)


def make_every_type_result() -> ResultSet:
    """Return two rows with a value of every type.

    Returns:
        The result set.
    """
    columns = [
        make_column(f"c_{column_type.name.lower()}", column_type)
        for column_type in VALUES_BY_TYPE
    ]
    rows = list(zip(*VALUES_BY_TYPE.values(), strict=True))
    return ResultSet(rows, columns)
