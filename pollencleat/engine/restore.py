"""Restores a session's state on a pooled server connection before it is used.

A connection whose state is unknown, because the server has not confirmed a change of
it, is closed at once, so that nobody can return it to a pool.
"""

from collections.abc import Awaitable, Callable

from pollencleat.core.errors import BackendError
from pollencleat.engine.session import SessionState
from pollencleat.engine.statements import ServerLink, ServerReply, Shape

AwaitReply = Callable[[Awaitable[ServerReply]], Awaitable[ServerReply]]

MAX_PREPARED_STATEMENTS = 200
"""Most prepared statements on a server connection; it is reset beyond that."""


class ConnectionNotRestoredError(BackendError):
    """The session's state could not be restored on a server connection."""


async def restore_values(
    link: ServerLink, session: SessionState, await_reply: AwaitReply
) -> None:
    """Set exactly the values of a session on a connection.

    The connection is reset first if it has values that the session lacks, or, outside a
    transaction, too many prepared statements.

    Args:
        link: A borrowed connection.
        session: The caller's session.
        await_reply: Waits for the reply to each request.

    Raises:
        ConnectionNotRestoredError: The server refused; the connection is closed.
        BackendLostError: The connection was lost.
    """
    has_foreign_value = any(name not in session.values for name in link.values)
    has_too_many_statements = len(link.names_by_shape) > MAX_PREPARED_STATEMENTS
    if has_foreign_value or (has_too_many_statements and not link.has_open_transaction):
        await _change_state(link, link.reset(), await_reply)
        link.values.clear()
        link.names_by_shape.clear()
    for name, value in session.values.items():
        if link.values.get(name) == value:
            continue
        await _change_state(link, link.set_value(name, value), await_reply)
        link.values[name] = value


async def restore_shape(link: ServerLink, shape: Shape, await_reply: AwaitReply) -> str:
    """Return a connection's name of a prepared statement, preparing it if needed.

    Sessions that share a connection may use one name for different statements.
    Therefore each connection assigns its own name to every distinct statement.

    Args:
        link: A borrowed connection.
        shape: The prepared statement.
        await_reply: Waits for the reply to each request.

    Returns:
        The name under which the statement is prepared on this connection.

    Raises:
        ConnectionNotRestoredError: The server refused; the connection is closed.
        BackendLostError: The connection was lost.
    """
    name = link.names_by_shape.get(shape)
    if name is not None:
        return name
    name = f"p{len(link.names_by_shape)}"
    await _change_state(link, link.prepare(name, shape), await_reply)
    link.names_by_shape[shape] = name
    return name


async def _change_state(
    link: ServerLink, request: Awaitable[ServerReply], await_reply: AwaitReply
) -> None:
    """Wait until the server confirms a change of state; otherwise close."""
    is_confirmed = False
    try:
        reply = await await_reply(request)
        if reply.failure is not None:
            raise ConnectionNotRestoredError(f"{reply.failure}: {reply.detail}")
        is_confirmed = True
    finally:
        if not is_confirmed:
            link.close()
