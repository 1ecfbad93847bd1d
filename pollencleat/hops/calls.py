"""Calls on a lent connection and their wire form.

The methods of ServerLink, by name, with the types of their arguments.
"""

from collections.abc import Awaitable

import msgspec

from pollencleat.core.data import Position
from pollencleat.core.errors import BackendLostError
from pollencleat.core.messages import LinkState
from pollencleat.engine.statements import (
    Access,
    Begin,
    Commit,
    ServerLink,
    ServerReply,
    Shape,
    Work,
)

_decoders_by_call = {
    "begin": msgspec.msgpack.Decoder(tuple[Begin, Position | None]),
    "run": msgspec.msgpack.Decoder(tuple[Work, str, Position | None]),
    "commit": msgspec.msgpack.Decoder(tuple[Commit]),
    "roll_back": msgspec.msgpack.Decoder(tuple[()]),
    "set_value": msgspec.msgpack.Decoder(tuple[str, str]),
    "prepare": msgspec.msgpack.Decoder(tuple[str, Shape]),
    "reset": msgspec.msgpack.Decoder(tuple[()]),
}
_read_decoder = msgspec.msgpack.Decoder(tuple[Work, Shape | None, Position | None])
_encoder = msgspec.msgpack.Encoder()
_reply_decoder = msgspec.msgpack.Decoder(ServerReply)


def encode_arguments(arguments: tuple) -> bytes:
    """Return the wire form of a call's arguments."""
    return _encoder.encode(arguments)


def start_call(link: ServerLink, call: str, arguments: bytes) -> Awaitable[ServerReply]:
    """Return the call on a connection, to be awaited.

    Args:
        link: The lent connection.
        call: Name of the call.
        arguments: As received.

    Returns:
        The call.

    Raises:
        BackendLostError: There is no such call, or the arguments are malformed.
    """
    decoder = _decoders_by_call.get(call)
    if decoder is None:
        raise BackendLostError(f"no call {call[:20]!r}")
    try:
        values = decoder.decode(arguments)
    except msgspec.MsgspecError as error:
        raise BackendLostError(f"malformed call {call}: {error}") from error
    return getattr(link, call)(*values)


def decode_read(payload: bytes) -> tuple[Work, Shape | None, Position | None]:
    """Return a read, what its prepared name stands for, and the position it needs.

    Args:
        payload: As received.

    Returns:
        The three.

    Raises:
        BackendLostError: The payload is malformed.
    """
    try:
        return _read_decoder.decode(payload)
    except msgspec.MsgspecError as error:
        raise BackendLostError(f"malformed read: {error}") from error


def encode_reply(reply: ServerReply) -> bytes:
    """Return the wire form of a server's answer."""
    return _encoder.encode(reply)


def decode_reply(payload: bytes) -> ServerReply:
    """Return a server's answer.

    Args:
        payload: As received.

    Returns:
        The answer.

    Raises:
        BackendLostError: The answer is malformed.
    """
    try:
        return _reply_decoder.decode(payload)
    except msgspec.MsgspecError as error:
        raise BackendLostError(f"malformed answer: {error}") from error


def state_of(link: ServerLink) -> LinkState:
    """Return what a connection holds."""
    names = tuple(
        (shape.access.value, shape.text, name)
        for shape, name in link.names_by_shape.items()
    )
    return LinkState(dict(link.values), names)


def apply_state(link: ServerLink, state: LinkState) -> None:
    """Keep what a borrower says that a connection holds.

    Args:
        link: The connection.
        state: What it holds.

    Raises:
        ValueError: A prepared statement has an unknown access.
    """
    link.values = dict(state.values)
    link.names_by_shape = {
        Shape(Access(access), text): name for access, text, name in state.names
    }
