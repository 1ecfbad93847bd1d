"""Reads and validates the settings file that the platform provides."""

import re
from dataclasses import dataclass
from pathlib import Path

import msgspec

from pollencleat.core.errors import LocatedError, SettingsError

SETTINGS_VARIABLE = "POLLENCLEAT_BOOT"
"""Environment variable with the path of the settings file."""

MAX_PORT = 65_535
MAX_HOST_CHARACTERS = 253
"""Longest name that DNS allows."""

_LABEL = r"[0-9A-Za-z_-]{1,63}"
_ENDPOINT = re.compile(
    rf"({_LABEL}(?:\.{_LABEL})*\.?|\[?[0-9A-Fa-f:]{{2,39}}\]?):([0-9]{{1,5}})"
)


STATEMENT_DELAY_S = 1.0
"""Longest time from the choice of a server until a statement reaches it."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An address to listen on or to connect to."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return host and port as one text."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings of one process.

    Attributes:
        grace_s: Seconds between the stop request and the kill.
        leaving_limit_s: Seconds after which a leaving server gets no new statements.
    """

    node_id: str
    failure_domain: str
    host: str
    callers: Endpoint
    readiness: Endpoint
    peers_port: int
    admin_port: int
    store: Endpoint
    promotion: Endpoint
    grace_s: float
    leaving_limit_s: float = 6.0


class _Bounds(msgspec.Struct):
    grace_period_s: float
    drain_ms: float = 7000.0
    """Time after which a leaving server must receive no more statements."""


class _Listen(msgspec.Struct):
    frontend_address: str
    ready: str


class _Service(msgspec.Struct):
    address: str


class _BootFile(msgspec.Struct):
    """The fields of the settings file that are used; others are ignored."""

    node_name: str
    ip: str
    zone: str
    listen_addresses: _Listen
    internal_port_range: tuple[int, int]
    bounds: _Bounds
    platform: _Service
    cloud_api: _Service


def load_platform_settings(path: Path) -> PlatformSettings:
    """Read and check the settings file.

    Args:
        path: The file.

    Returns:
        The settings.

    Raises:
        SettingsError: The file is missing or invalid; lists every problem with its
            location.
    """
    try:
        content = msgspec.json.decode(path.read_bytes())
    except (OSError, ValueError) as error:
        raise SettingsError([_make_problem(path, "", "", str(error))]) from error
    problems = _find_problems(path, "", _BootFile, content)
    if problems:
        raise SettingsError(problems)
    try:
        return _make_settings(msgspec.convert(content, _BootFile))
    except ValueError as error:
        raise SettingsError([_make_problem(path, "", "", str(error))]) from error


def _make_settings(boot: _BootFile) -> PlatformSettings:
    first_port = boot.internal_port_range[0]
    return PlatformSettings(
        node_id=boot.node_name,
        failure_domain=boot.zone,
        host=boot.ip,
        callers=parse_endpoint(boot.listen_addresses.frontend_address),
        readiness=parse_endpoint(boot.listen_addresses.ready),
        peers_port=first_port,
        admin_port=first_port + 1,
        store=parse_endpoint(boot.platform.address),
        promotion=parse_endpoint(boot.cloud_api.address),
        grace_s=boot.bounds.grace_period_s,
        leaving_limit_s=boot.bounds.drain_ms / 1000 - STATEMENT_DELAY_S,
    )


def _find_problems(
    path: Path, section: str, kind: type[msgspec.Struct], content: object
) -> list[LocatedError]:
    """Check each field by itself, so that one problem does not hide another."""
    if not isinstance(content, dict):
        return [_make_problem(path, section, "", "expected a JSON object")]
    problems = []
    for field in msgspec.structs.fields(kind):
        if field.name not in content and not field.required:
            continue
        if field.name not in content:
            problem = _make_problem(path, section, field.name, "the field is missing")
            problems.append(problem)
            continue
        value = content[field.name]
        if isinstance(field.type, type) and issubclass(field.type, msgspec.Struct):
            problems.extend(_find_problems(path, field.name, field.type, value))
            continue
        try:
            msgspec.convert(value, field.type)
        except msgspec.ValidationError as error:
            problems.append(_make_problem(path, section, field.name, str(error)))
    return problems


def _make_problem(path: Path, section: str, key: str, text: str) -> LocatedError:
    return LocatedError(str(path), 0, section, key, text, "a JSON settings file")


def parse_endpoint(text: str) -> Endpoint:
    """Parse an endpoint.

    Args:
        text: Text of the form ``host:port``.

    Returns:
        The endpoint.

    Raises:
        ValueError: The text has another form, or the port is out of range.
    """
    match = _ENDPOINT.fullmatch(text)
    if match is None or len(match[1]) > MAX_HOST_CHARACTERS:
        raise ValueError(f"expected host:port, got {text[:MAX_HOST_CHARACTERS]!r}")
    port = int(match[2])
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"port {port} is out of range")
    return Endpoint(match[1], port)
