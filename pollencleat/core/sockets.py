"""Sockets that notice a silent other end, and writes that fail in one way."""

import asyncio
import contextlib
import socket

UNACKNOWLEDGED_LIMIT_MS = 3_000
"""Unacknowledged data closes a connection after this time; without it, a partition
would hold a connection for minutes."""

KEEPALIVE_S = 1
"""Seconds of silence before, and between, keep-alive probes."""


def write_bytes(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Queue bytes on a connection.

    Args:
        writer: The connection.
        data: Whole lines.

    Raises:
        ConnectionResetError: The connection is closed; the event loop raises an error
            of no particular type then.
    """
    if writer.is_closing():
        raise ConnectionResetError("the connection is closed")
    try:
        writer.write(data)
    except RuntimeError as error:
        raise ConnectionResetError(str(error)) from error


def tune_socket(writer: asyncio.StreamWriter) -> None:
    """Make a connection notice that its other end is silent.

    Args:
        writer: An open connection.
    """
    sock = writer.get_extra_info("socket")
    if sock is None:
        return
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    )
    # The other end may be gone already; the next read tells.
    with contextlib.suppress(OSError):
        for level, option, value in options:
            sock.setsockopt(level, option, value)
