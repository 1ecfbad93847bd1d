"""Wire form of calls on a leased connection.

A call is sent as the name of a ServerLink method and its encoded arguments.
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

DECODE_ERRORS = (msgspec.MsgspecError, RecursionError)
"""What a decoder raises; the second for values that are nested too deeply."""

_reply_decoder = msgspec.msgpack.Decoder(ServerReply)


def encode_arguments(arguments: tuple) -> bytes:
    """Return the wire form of a call's arguments."""
    return _encoder.encode(arguments)


def start_call(link: ServerLink, call: str, arguments: bytes) -> Awaitable[ServerReply]:
    """Decode a call and start it on a connection.

    Args:
        link: The leased connection.
        call: Name of a ServerLink method.
        arguments: Encoded arguments, as received.

    Returns:
        The call, to be awaited.

    Raises:
        BackendLostError: There is no such call, or the arguments are malformed.
    """
    decoder = _decoders_by_call.get(call)
    if decoder is None:
        raise BackendLostError(f"unknown call {call[:20]!r}")
    try:
        values = decoder.decode(arguments)
    except DECODE_ERRORS as error:
        raise BackendLostError(
            f"malformed arguments of call {call}: {error}"
        ) from error
    return getattr(link, call)(*values)


def decode_read(payload: bytes) -> tuple[Work, Shape | None, Position | None]:
    """Decode a read request.

    Args:
        payload: Encoded read, as received.

    Returns:
        The read; the shape of its prepared statement, or None; and the log position
        that the server must have applied, or None.

    Raises:
        BackendLostError: The payload is malformed.
    """
    try:
        return _read_decoder.decode(payload)
    except DECODE_ERRORS as error:
        raise BackendLostError(f"malformed read request: {error}") from error


def encode_reply(reply: ServerReply) -> bytes:
    """Return the wire form of a server's reply."""
    return _encoder.encode(reply)


def decode_reply(payload: bytes) -> ServerReply:
    """Decode a server's reply.

    Args:
        payload: Encoded reply, as received.

    Returns:
        The reply.

    Raises:
        BackendLostError: The reply is malformed.
    """
    try:
        return _reply_decoder.decode(payload)
    except DECODE_ERRORS as error:
        raise BackendLostError(f"malformed server reply: {error}") from error


def get_link_state(link: ServerLink) -> LinkState:
    """Return the session state of a connection."""
    names = tuple(
        (shape.access.value, shape.text, name)
        for shape, name in link.names_by_shape.items()
    )
    return LinkState(dict(link.values), names)


def apply_link_state(link: ServerLink, state: LinkState) -> None:
    """Set the known session state of a connection.

    Args:
        link: The connection.
        state: Its session state, as the other node reports it.

    Raises:
        ValueError: A prepared statement has an unknown access type.
    """
    link.values = dict(state.values)
    link.names_by_shape = {
        Shape(Access(access), text): name for access, text, name in state.names
    }
