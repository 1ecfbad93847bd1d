"""Socket options that detect an unresponsive remote end, and writes to a connection."""

import asyncio
import contextlib
import select
import socket

TCP_USER_TIMEOUT_MS = 3_000
"""Milliseconds after which unacknowledged data closes a connection; without it, a
network partition would keep a connection open for minutes."""

CONNECT_ERRORS = (OSError, ValueError, OverflowError)
"""What opening a connection raises; the last two if no host or port is like the one
that was given, which depends on the event loop."""

KEEPALIVE_INTERVAL_S = 1
"""Idle seconds before the first keep-alive probe, and seconds between two probes."""


def write_bytes(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Queue bytes for sending on a connection.

    Args:
        writer: The connection.
        data: Complete lines.

    Raises:
        ConnectionResetError: The connection is closed.  The event loop itself raises a
            plain RuntimeError in that case.
    """
    if writer.is_closing():
        raise ConnectionResetError("the connection is closed")
    try:
        writer.write(data)
    except RuntimeError as error:
        raise ConnectionResetError(str(error)) from error


async def close_when_sent(writer: asyncio.StreamWriter, limit_s: float) -> bool:
    """Close a connection and wait until everything written has been sent.

    Args:
        writer: The connection.
        limit_s: Longest wait in seconds; then the connection is aborted.

    Returns:
        False if not everything was sent.
    """
    writer.close()
    try:
        async with asyncio.timeout(limit_s):
            await writer.wait_closed()
    except (OSError, TimeoutError):
        writer.transport.abort()
        return False
    return True


def has_unread_input(transport: asyncio.BaseTransport) -> bool:
    """Return whether the remote end has sent something that was not received yet.

    Args:
        transport: An open connection between two requests.

    Returns:
        True if bytes, the end of the stream or an error wait in the operating system.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def configure_socket(writer: asyncio.StreamWriter) -> None:
    """Set socket options so that an unresponsive remote end closes the connection.

    Args:
        writer: An open connection.
    """
    sock = writer.get_extra_info("socket")
    if sock is None:
        return
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    )
    # The remote end may already have closed the connection; the next read reports it.
    with contextlib.suppress(OSError):
        for level, option, value in options:
            sock.setsockopt(level, option, value)
