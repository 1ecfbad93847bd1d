"""Entry point of the command line.

Exit codes: 0 success; 1 open connections exceed the declaration; 2 wrong usage or
invalid file; 3 refused by the API; 4 conflict with a change of another operator; 5 no
answer.
"""

from pollencleat.tools import (
    inventory_commands,
    log_commands,
    platform_commands,
    report_commands,
    setup_commands,
)
from pollencleat.tools.cli import cli as main

__all__ = [
    "inventory_commands",
    "log_commands",
    "main",
    "platform_commands",
    "report_commands",
    "setup_commands",
]

if __name__ == "__main__":
    main(prog_name="pollencleat")
