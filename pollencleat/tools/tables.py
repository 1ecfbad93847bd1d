"""Tables for people."""

from collections.abc import Sequence


def render_table(headers: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return a table with aligned columns.

    Args:
        headers: Column names.
        rows: Cells; None is shown as a dash.

    Returns:
        Lines of text.
    """
    texts = [["-" if cell is None else str(cell) for cell in row] for row in rows]
    widths = [
        max(len(line[index]) for line in (list(headers), *texts))
        for index in range(len(headers))
    ]
    lines = []
    for line in (list(headers), *texts):
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)
