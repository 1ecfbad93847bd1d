"""Entry point of the daemon."""

import asyncio
import logging
import signal
import sys
from pathlib import Path

import click
import structlog
import uvloop

from pollencleat.core.errors import SettingsError
from pollencleat.daemon.application import Application
from pollencleat.daemon.settings import Settings, load_settings

SETTINGS_EXIT_CODE = 2


@click.command()
@click.option(
    "--settings",
    "settings_path",
    required=True,
    type=click.Path(path_type=Path),
    help="INI file with the process settings.",
)
def main(settings_path: Path) -> None:
    """Run an entry VM until SIGTERM or SIGINT."""
    try:
        settings = load_settings(settings_path)
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(SETTINGS_EXIT_CODE)
    configure_logging(settings.log_level)
    uvloop.run(run_until_signal(settings))


def configure_logging(level: str) -> None:
    """Write log lines as JSON to standard error.

    Args:
        level: Lowest level that is written.
    """
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    # The protocol library logs every caller's error; counters hold those.
    logging.getLogger("mysql_mimic").setLevel(logging.CRITICAL)


async def run_until_signal(settings: Settings) -> None:
    """Run the application until it is asked to stop.

    Args:
        settings: Checked settings.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    application = Application(settings)
    await application.start()
    stopping = asyncio.create_task(stop.wait())
    failing = asyncio.create_task(application.wait_for_failure())
    await asyncio.wait((stopping, failing), return_when=asyncio.FIRST_COMPLETED)
    await application.stop()
    if failing.done() and not failing.cancelled():
        failing.result()


if __name__ == "__main__":
    main()
