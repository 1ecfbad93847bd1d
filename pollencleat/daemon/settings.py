"""Process settings, loaded from an INI file.

The file contains no secrets; it names the files that contain them.
"""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import pydantic

from pollencleat.administration.node import AdminToken
from pollencleat.backend.pool import Credentials
from pollencleat.core.errors import LocatedError, SettingsError
from pollencleat.inventory.ini import (
    IniFile,
    IniSection,
    parse_ini_text,
    validate_section,
)
from pollencleat.peers.transport import CurveKeys

HASH_DIGITS = 40
LOOPBACK_HOSTS = frozenset({"127.0.0.1", "::1", "localhost"})
ROLES = frozenset({"read", "apply", "audit"})

Address = Annotated[str, pydantic.Field(pattern=r"^[^:\s]+:\d{1,5}$")]


class NodeSection(IniSection):
    """Name and failure domain of this entry VM."""

    node_id: Annotated[str, pydantic.Field(pattern=r"^[A-Za-z0-9._-]{1,63}$")]
    failure_domain: str


class ListenSection(IniSection):
    """Addresses that this process listens on."""

    callers: Address
    peers: Address
    admin: Address
    advertise_peers: str = ""
    allow_plaintext: bool = False


class PlatformSection(IniSection):
    """URL and token file of the platform's API."""

    url: str
    token_file: str = ""


class PeersSection(IniSection):
    """Key file for peer messages, and seed nodes."""

    key_file: str
    seeds: str = ""


class CredentialsSection(IniSection):
    """Files with secrets."""

    callers_file: str
    backend_file: str
    admin_tokens_file: str


class TlsSection(IniSection):
    """Certificate and key for callers and the administration API."""

    certificate_file: str = ""
    key_file: str = ""


class LogSection(IniSection):
    """Log level."""

    level: Annotated[str, pydantic.Field(pattern="^(debug|info|warning|error)$")] = (
        "info"
    )


_sections: dict[str, type[IniSection]] = {
    "node": NodeSection,
    "listen": ListenSection,
    "platform": PlatformSection,
    "peers": PeersSection,
    "credentials": CredentialsSection,
    "tls": TlsSection,
    "log": LogSection,
}
_optional_sections = frozenset({"tls", "log"})


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A host and port to listen on."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Settings:
    """Checked settings, with the contents of the secret files."""

    node_id: str
    failure_domain: str
    callers: Endpoint
    peers: Endpoint
    admin: Endpoint
    advertise_peers: str
    allow_plaintext: bool
    platform_url: str
    platform_token: str
    curve_keys: CurveKeys
    seeds_by_id: dict[str, str]
    hashes_by_user: dict[str, str]
    backend: Credentials
    admin_tokens: tuple[AdminToken, ...]
    tls_certificate: str
    tls_key: str
    log_level: str


def load_settings(path: Path) -> Settings:
    """Read and check the settings file and the files that it names.

    Args:
        path: The INI file.

    Returns:
        The settings.

    Raises:
        SettingsError: A file is unreadable or a value invalid; holds every error found.
    """
    try:
        text = path.read_text()
    except OSError as error:
        located = LocatedError(str(path), 0, "", "", str(error), "a readable file")
        raise SettingsError([located]) from error
    parsed = parse_ini_text(str(path), text)
    errors = list(parsed.errors)
    models = _validate_sections(parsed, errors)
    secrets = _SecretFiles(parsed, path.parent, errors)
    settings = None
    if len(models) == len(_sections):
        settings = _build_settings(parsed, models, secrets, errors)
    if errors:
        raise SettingsError(sorted(errors, key=lambda error: error.line))
    return settings


def _validate_sections(
    parsed: IniFile, errors: list[LocatedError]
) -> dict[str, IniSection]:
    models = {}
    for section in parsed.values_by_section:
        if section not in _sections:
            known = ", ".join(_sections)
            errors.append(parsed.make_error(section, "", "unknown section", known))
    for section, model in _sections.items():
        if section not in parsed.values_by_section:
            if section in _optional_sections:
                models[section] = model()
            else:
                errors.append(
                    parsed.make_error(section, "", "missing section", f"[{section}]")
                )
            continue
        validated, section_errors = validate_section(parsed, section, model)
        errors.extend(section_errors)
        if validated is not None:
            models[section] = validated
    return models


class _SecretFiles:
    """Reads the files that settings name and collects errors with their location."""

    def __init__(
        self, parsed: IniFile, folder: Path, errors: list[LocatedError]
    ) -> None:
        self._parsed = parsed
        self._folder = folder
        self._errors = errors

    def read_text(self, section: str, key: str, name: str) -> str:
        if not name:
            return ""
        try:
            return (self._folder / name).read_text().strip()
        except OSError as error:
            problem = f"cannot read {name!r}: {error.strerror}"
            self._errors.append(
                self._parsed.make_error(section, key, problem, "a readable file")
            )
            return ""

    def read_ini(self, section: str, key: str, name: str, wanted_section: str) -> dict:
        text = self.read_text(section, key, name)
        parsed = parse_ini_text(name, text)
        self._errors.extend(parsed.errors)
        values = parsed.values_by_section.get(wanted_section)
        if values is None:
            self._errors.append(
                self._parsed.make_error(
                    section,
                    key,
                    f"no section [{wanted_section}] in {name!r}",
                    f"[{wanted_section}]",
                )
            )
            return {}
        return values


def _build_settings(
    parsed: IniFile,
    models: dict[str, IniSection],
    secrets: _SecretFiles,
    errors: list[LocatedError],
) -> Settings:
    listen = models["listen"]
    credentials = models["credentials"]
    keys = secrets.read_ini("peers", "key-file", models["peers"].key_file, "curve")
    backend = secrets.read_ini(
        "credentials", "backend-file", credentials.backend_file, "backend"
    )
    hashes = secrets.read_ini(
        "credentials", "callers-file", credentials.callers_file, "callers"
    )
    tokens = secrets.read_ini(
        "credentials", "admin-tokens-file", credentials.admin_tokens_file, "tokens"
    )
    _check_hashes(parsed, hashes, errors)
    _check_plaintext(parsed, listen, models["tls"], errors)
    return Settings(
        models["node"].node_id,
        models["node"].failure_domain,
        _split_endpoint(listen.callers),
        _split_endpoint(listen.peers),
        _split_endpoint(listen.admin),
        listen.advertise_peers,
        listen.allow_plaintext,
        models["platform"].url,
        secrets.read_text("platform", "token-file", models["platform"].token_file),
        _parse_keys(parsed, keys, errors),
        _parse_seeds(parsed, models["peers"].seeds, errors),
        {user: value.lstrip("*").lower() for user, value in hashes.items()},
        Credentials(backend.get("user", ""), backend.get("password", "")),
        _parse_tokens(parsed, tokens, errors),
        models["tls"].certificate_file,
        models["tls"].key_file,
        models["log"].level,
    )


def _split_endpoint(address: str) -> Endpoint:
    host, _, port = address.rpartition(":")
    return Endpoint(host, int(port))


def _check_hashes(
    parsed: IniFile, hashes: dict[str, str], errors: list[LocatedError]
) -> None:
    for user, value in hashes.items():
        digits = value.lstrip("*")
        if len(digits) == HASH_DIGITS and all(
            digit in "0123456789abcdefABCDEF" for digit in digits
        ):
            continue
        problem = f"malformed password hash of user {user!r}"
        expected = "the output of pollencleat hash-password"
        errors.append(
            parsed.make_error("credentials", "callers-file", problem, expected)
        )


def _check_plaintext(
    parsed: IniFile,
    listen: ListenSection,
    tls: TlsSection,
    errors: list[LocatedError],
) -> None:
    if listen.allow_plaintext or (tls.certificate_file and tls.key_file):
        return
    for key, address in (("callers", listen.callers), ("admin", listen.admin)):
        if _split_endpoint(address).host in LOOPBACK_HOSTS:
            continue
        problem = "listens on a non-loopback address without TLS"
        expected = "a [tls] section, or allow-plaintext = yes"
        errors.append(parsed.make_error("listen", key, problem, expected))


def _parse_keys(
    parsed: IniFile, keys: dict[str, str], errors: list[LocatedError]
) -> CurveKeys:
    public = keys.get("public", "").encode()
    secret = keys.get("secret", "").encode()
    if len(public) != HASH_DIGITS or len(secret) != HASH_DIGITS:
        problem = "missing public or secret key of 40 characters"
        expected = "the output of pollencleat make-keys"
        errors.append(parsed.make_error("peers", "key-file", problem, expected))
    return CurveKeys(public, secret)


def _parse_seeds(
    parsed: IniFile, text: str, errors: list[LocatedError]
) -> dict[str, str]:
    seeds = {}
    for part in text.split(","):
        part = part.strip()
        if not part:
            continue
        node_id, separator, address = part.partition("@")
        if not separator or not address.startswith("tcp://"):
            problem = f"malformed seed {part!r}"
            errors.append(
                parsed.make_error("peers", "seeds", problem, "NODE@tcp://HOST:PORT")
            )
            continue
        seeds[node_id] = address
    return seeds


def _parse_tokens(
    parsed: IniFile, values: dict[str, str], errors: list[LocatedError]
) -> tuple[AdminToken, ...]:
    tokens = []
    for name, value in values.items():
        token, _, roles_text = value.partition(" ")
        roles = frozenset(part for part in roles_text.replace(",", " ").split())
        if len(token) < 16 or not roles or not roles <= ROLES:
            problem = f"malformed token {name!r}"
            expected = "NAME = TOKEN ROLE[, ROLE] with 16 characters and " + ", ".join(
                sorted(ROLES)
            )
            errors.append(
                parsed.make_error("credentials", "admin-tokens-file", problem, expected)
            )
            continue
        tokens.append(AdminToken(name, token, roles))
    return tuple(tokens)
