"""Plain-text tables."""

from collections.abc import Sequence


def render_table(headers: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Format a table with aligned columns.

    Args:
        headers: Column titles.
        rows: Cells of each row; None is shown as a dash.

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


def render_audit(entries: list[dict]) -> str:
    """Format audit entries as a table.

    Args:
        entries: Entries as the API returns them.

    Returns:
        Lines of text.
    """
    headers = ("AT", "AUTHOR", "SUBJECT", "BEFORE", "AFTER", "CAUSE", "CHANGE")
    rows = [
        (
            entry["at_s"],
            entry["author"],
            entry["subject"],
            entry["before"],
            entry["after"],
            entry["cause"],
            entry["change_id"],
        )
        for entry in entries
    ]
    return render_table(headers, rows)
