"""Output formats of the forecast command."""

import csv
import io
import json
from collections.abc import Callable

from pollencleat.inventory.forecast import Forecast
from pollencleat.tools.tables import render_table


def _make_rows(result: Forecast) -> list[tuple]:
    return [
        (
            line.group_id,
            " ".join(line.customers),
            line.servers,
            line.slots,
            line.connections,
        )
        for line in result.lines
    ]


_HEADERS = ("GROUP", "CUSTOMERS", "SERVERS", "SLOTS", "CONNECTIONS")


def _render_table(result: Forecast) -> str:
    table = render_table(_HEADERS, _make_rows(result))
    return (
        f"{table}\n\nentry VMs {result.entry_vms}, servers {result.servers}, "
        f"connections {result.connections}, platform reads a month "
        f"{result.platform_reads}"
    )


def _render_csv(result: Forecast) -> str:
    output = io.StringIO()
    writer = csv.writer(output, lineterminator="\n")
    writer.writerow([header.lower() for header in _HEADERS])
    writer.writerows(_make_rows(result))
    return output.getvalue().rstrip("\n")


def _render_json(result: Forecast) -> str:
    return json.dumps(
        {
            "groups": [
                dict(
                    zip(
                        [header.lower() for header in _HEADERS],
                        row,
                        strict=True,
                    )
                )
                for row in _make_rows(result)
            ],
            "entry_vms": result.entry_vms,
            "servers": result.servers,
            "connections": result.connections,
            "platform_reads_a_month": result.platform_reads,
        },
        indent=2,
    )


forecast_renderers: dict[str, Callable[[Forecast], str]] = {
    "table": _render_table,
    "csv": _render_csv,
    "json": _render_json,
}
