"""HTTP client of the administration API."""

import json
import os
import ssl
import urllib.error
import urllib.parse
import urllib.request
from dataclasses import dataclass
from pathlib import Path

from pollencleat.core.errors import PollencleatError

CALL_TIMEOUT_S = 10.0
HTTP_CONFLICT = 409
HTTP_UNPROCESSABLE = 422
HTTP_DENIED = (401, 403)


class ApiError(PollencleatError):
    """The API answered a call with an HTTP error.

    Attributes:
        status: HTTP status code.
        body: Decoded body of the response.
    """

    def __init__(self, status: int, body: dict) -> None:
        """Take the message from the body's ``detail``, or else from the status."""
        super().__init__(body.get("detail") or f"HTTP status {status}")
        self.status = status
        self.body = body


class ApiUnreachableError(PollencleatError):
    """The node did not answer, or the token file could not be read."""


@dataclass(frozen=True, slots=True)
class AdminClient:
    """Calls the administration API of one node.

    Attributes:
        url: Base URL of the API.
        token: Bearer token, or empty.
        ca_file: CA certificates for https; if empty, those of the system.
    """

    url: str
    token: str
    ca_file: str = ""

    def call(self, method: str, path: str, body: dict | None = None) -> object:
        """Send a request and return the decoded response.

        Args:
            method: HTTP method.
            path: Path, with its query string if any.
            body: Body to send as JSON, or None.

        Returns:
            The decoded JSON body of the response.

        Raises:
            ApiError: The node answered with an HTTP error.
            ApiUnreachableError: The node does not answer within CALL_TIMEOUT_S, or its
                answer is not JSON.
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
                request, timeout=CALL_TIMEOUT_S, context=context
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
    """Read the operator's token, which is never passed as a command-line argument.

    Args:
        path: File name; if empty, POLLENCLEAT_TOKEN_FILE names the file.

    Returns:
        The token, or empty if no file is named.

    Raises:
        ApiUnreachableError: The file cannot be read.
    """
    path = path or os.environ.get("POLLENCLEAT_TOKEN_FILE", "")
    if not path:
        return ""
    try:
        return Path(path).read_text().strip()
    except OSError as error:
        raise ApiUnreachableError(f"cannot read the token file: {error}") from error


def add_query(path: str, **values: object) -> str:
    """Append a query string to a path.

    Args:
        path: The path.
        **values: Query parameters; those that are None or empty are omitted.

    Returns:
        The path with its query string, if any.
    """
    parameters = {
        name: value for name, value in values.items() if value not in (None, "")
    }
    if not parameters:
        return path
    return f"{path}?{urllib.parse.urlencode(parameters)}"
