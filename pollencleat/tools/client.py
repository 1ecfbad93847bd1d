"""Calls to the administration API from the command line."""

import json
import os
import ssl
import urllib.error
import urllib.parse
import urllib.request
from dataclasses import dataclass
from pathlib import Path

from pollencleat.core.errors import PollencleatError

CALL_LIMIT_S = 10.0
CONFLICT = 409
UNPROCESSABLE = 422
DENIED = (401, 403)


class ApiError(PollencleatError):
    """The API refused a call; holds the HTTP status and the decoded body."""

    def __init__(self, status: int, body: dict) -> None:
        """Keep status and body."""
        super().__init__(body.get("detail") or f"status {status}")
        self.status = status
        self.body = body


class ApiUnreachableError(PollencleatError):
    """No answer from the node."""


@dataclass(frozen=True, slots=True)
class AdminClient:
    """Calls one node."""

    url: str
    token: str
    ca_file: str = ""

    def call(self, method: str, path: str, body: dict | None = None) -> object:
        """Make a call.

        Args:
            method: HTTP method.
            path: Path with query.
            body: JSON body, or None.

        Returns:
            The decoded answer.

        Raises:
            ApiError: The node refused the call.
            ApiUnreachableError: The node does not answer.
        """
        data = None if body is None else json.dumps(body).encode()
        headers = {
            "Authorization": f"Bearer {self.token}",
            "Content-Type": "application/json",
        }
        request = urllib.request.Request(
            self.url.rstrip("/") + path, data, headers, method=method
        )
        context = None
        if self.url.startswith("https:"):
            context = ssl.create_default_context(cafile=self.ca_file or None)
        try:
            with urllib.request.urlopen(
                request, timeout=CALL_LIMIT_S, context=context
            ) as response:
                return json.loads(response.read())
        except urllib.error.HTTPError as error:
            raise ApiError(error.code, _decode_body(error.read())) from error
        except (OSError, ValueError) as error:
            raise ApiUnreachableError(f"{self.url}: {error}") from error


def _decode_body(data: bytes) -> dict:
    try:
        decoded = json.loads(data)
    except ValueError:
        return {"detail": data.decode("utf8", "replace")}
    return decoded if isinstance(decoded, dict) else {"detail": str(decoded)}


def read_token(path: str) -> str:
    """Read the operator's token; it is never a command-line argument.

    Args:
        path: File name; if empty, that of POLLENCLEAT_TOKEN_FILE.

    Returns:
        The token, empty if no file is named.

    Raises:
        ApiUnreachableError: The file cannot be read.
    """
    path = path or os.environ.get("POLLENCLEAT_TOKEN_FILE", "")
    if not path:
        return ""
    try:
        return Path(path).read_text().strip()
    except OSError as error:
        raise ApiUnreachableError(f"token file: {error}") from error


def query(path: str, **values: object) -> str:
    """Return a path with a query of the values that are set.

    Args:
        path: The path.
        **values: Query values; None and empty ones are left out.

    Returns:
        The path with its query.
    """
    wanted = {name: value for name, value in values.items() if value not in (None, "")}
    if not wanted:
        return path
    return f"{path}?{urllib.parse.urlencode(wanted)}"
