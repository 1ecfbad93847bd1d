import asyncio

import pytest
import uvloop

from pollencleat.backend.connection import open_connection
from pollencleat.core.data import BackendServer
from pollencleat.core.errors import BackendError
from pollencleat.platform.servers import open_server_connection
from pollencleat.web.client import HttpClient, HttpError

ODD_ADDRESSES = [
    ("127.0.0.1", 99_999_999),
    ("127.0.0.1", 65_536),
    ("127.0.0.1", -1),
    ("127.0.0.1", 0),
    ("127.0.0.1", 10**30),
    ("a" * 70_000, 80),
    ("a..b", 80),
    ("a\0b", 80),
    ("\ud800", 80),
    ("é" * 70, 80),
    ("", 80),
]
LIMIT_S = 5.0


async def open_connections(host, port):
    async with asyncio.timeout(LIMIT_S):
        server = BackendServer("s", "g", host, port, "a", 1, 1)
        with pytest.raises(BackendError):
            await open_server_connection(server)
        with pytest.raises(BackendError):
            await open_connection(host, port, "user", "secret", "")
        with pytest.raises(HttpError):
            await HttpClient(host, port).request("GET", "/", LIMIT_S)


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
@pytest.mark.parametrize(("host", "port"), ODD_ADDRESSES, ids=lambda x: str(x)[:8])
def test_address_that_no_connection_can_use_raises_a_typed_error(host, port, run):
    """A port out of range ended the probe of a server with an error nobody expects."""
    run(open_connections(host, port))
