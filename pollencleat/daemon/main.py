"""Entry point of the daemon."""

import asyncio
import logging
import signal
import sys
from pathlib import Path
from typing import Protocol

import click
import structlog
import uvloop

from pollencleat.core.errors import SettingsError
from pollencleat.core.timers import read_boottime_s
from pollencleat.reports.logs import configure_output_logging

SETTINGS_EXIT_CODE = 2


@click.command()
@click.option(
    "--settings",
    "settings_path",
    type=click.Path(path_type=Path),
    help="INI file with the process settings.",
)
@click.option(
    "--on-platform",
    is_flag=True,
    help="Run on the users' platform, with the settings file that it names.",
)
def main(settings_path: Path | None, on_platform: bool) -> None:
    """Run an entry VM until SIGTERM or SIGINT."""
    if on_platform:
        run_on_platform()
        return
    if settings_path is None:
        raise click.UsageError("give --settings or --on-platform")
    # Imported here, because a process on the platform needs none of the libraries of
    # the database protocol.
    from pollencleat.daemon.application import Application
    from pollencleat.daemon.settings import load_settings

    try:
        settings = load_settings(settings_path)
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(SETTINGS_EXIT_CODE)
    configure_logging(settings.log_level)
    uvloop.run(run_until_signal(Application(settings)))


def run_on_platform() -> None:
    """Run on the users' platform; exit with SETTINGS_EXIT_CODE on unusable settings."""
    from pollencleat.daemon.entry_vm import (
        PlatformApplication,
        load_settings_from_environment,
    )

    output = configure_output_logging(sys.stdout.fileno(), read_boottime_s)

    async def run() -> None:
        application: PlatformApplication | None = None

        def reload() -> None:
            if application is not None:
                application.reload()

        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload)
        application = PlatformApplication(load_settings_from_environment(), output)
        await run_until_signal(application)

    try:
        uvloop.run(run())
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(SETTINGS_EXIT_CODE)


def configure_logging(level: str) -> None:
    """Write log lines as JSON to standard error.

    Args:
        level: Lowest level that is written, such as "info".
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
    # mysql_mimic logs every caller's error; metrics already count these errors.
    logging.getLogger("mysql_mimic").setLevel(logging.CRITICAL)


class Runnable(Protocol):
    """An application with the life cycle of a daemon."""

    async def start(self) -> None:
        """Start to serve callers."""

    async def stop(self) -> None:
        """Drain and close all parts."""

    async def wait_for_failure(self) -> None:
        """Wait until a part fails without which the daemon cannot run."""


async def run_until_signal(application: Runnable) -> None:
    """Run the application until SIGTERM, SIGINT or the failure of a vital part.

    Args:
        application: The application, not started yet.

    Raises:
        Exception: The failure, after the application has stopped.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await application.start()
    stopping = asyncio.create_task(stop.wait())
    failing = asyncio.create_task(application.wait_for_failure())
    await asyncio.wait((stopping, failing), return_when=asyncio.FIRST_COMPLETED)
    await application.stop()
    if failing.done() and not failing.cancelled():
        failing.result()


if __name__ == "__main__":
    main()
