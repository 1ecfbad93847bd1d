"""Makes a server connection look like the caller's session before it is used."""

from collections.abc import Awaitable, Callable

from pollencleat.core.errors import BackendError
from pollencleat.engine.session import SessionState
from pollencleat.engine.statements import ServerLink, ServerReply, Shape

Ask = Callable[[Awaitable[ServerReply]], Awaitable[ServerReply]]

PREPARED_KEPT = 200
"""Prepared statements that a server connection may hold before it is reset."""


class ConnectionNotRestoredError(BackendError):
    """A server connection could not be given the session's values and names."""


async def restore_values(link: ServerLink, session: SessionState, ask: Ask) -> None:
    """Give a connection exactly the values of a session.

    Args:
        link: A lent connection.
        session: The caller's session.
        ask: Waits for the answer to each request.

    Raises:
        ConnectionNotRestoredError: The server refused; the connection is unusable.
        BackendLostError: The connection broke.
    """
    has_foreign_value = any(name not in session.values for name in link.values)
    is_crowded = len(link.names_by_shape) > PREPARED_KEPT
    if has_foreign_value or (is_crowded and not link.has_open_transaction):
        _require_success(await ask(link.reset()))
        link.values.clear()
        link.names_by_shape.clear()
    for name, value in session.values.items():
        if link.values.get(name) == value:
            continue
        # Until the server has answered, the connection's value is not known.
        link.values.pop(name, None)
        _require_success(await ask(link.set_value(name, value)))
        link.values[name] = value


async def restore_shape(link: ServerLink, shape: Shape, ask: Ask) -> str:
    """Return the connection's own name of a prepared shape, preparing it if needed.

    Callers' names collide; a connection uses one name for each shape instead.

    Args:
        link: A lent connection.
        shape: What is to be executed.
        ask: Waits for the answer to each request.

    Returns:
        A name that the server knows on this connection.

    Raises:
        ConnectionNotRestoredError: The server refused; the connection is unusable.
        BackendLostError: The connection broke.
    """
    name = link.names_by_shape.get(shape)
    if name is not None:
        return name
    name = f"p{len(link.names_by_shape)}"
    _require_success(await ask(link.prepare(name, shape)))
    link.names_by_shape[shape] = name
    return name


def _require_success(reply: ServerReply) -> None:
    if reply.failure is not None:
        raise ConnectionNotRestoredError(f"{reply.failure}: {reply.detail}")
