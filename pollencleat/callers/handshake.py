"""A check of a caller's handshake answer before the library parses it.

The library's parser reads texts up to a NUL byte and never ends without one, so that a
single malformed packet would stop the whole process.
"""

from mysql_mimic.types import Capabilities

from pollencleat.backend.connection import read_length_encoded

FIXED_BYTES = 32
"""Capabilities, packet size, character set and filler; a TLS request is only these."""


def is_complete_answer(payload: bytes, server: Capabilities) -> bool:
    """Return whether all fields of a handshake answer are there.

    Args:
        payload: The caller's packet.
        server: Capabilities that the server offered.

    Returns:
        True if the library's parser will come to an end.
    """
    if len(payload) <= FIXED_BYTES:
        return len(payload) == FIXED_BYTES
    capabilities = Capabilities(int.from_bytes(payload[:4], "little")) & server
    try:
        offset = _skip_text(payload, FIXED_BYTES)
        offset = _skip_authentication(payload, offset, capabilities)
        if Capabilities.CLIENT_CONNECT_WITH_DB in capabilities:
            offset = _skip_text(payload, offset)
        if Capabilities.CLIENT_PLUGIN_AUTH in capabilities:
            offset = _skip_text(payload, offset)
    except (ValueError, IndexError, KeyError):
        return False
    return True


def _skip_text(payload: bytes, offset: int) -> int:
    return payload.index(b"\0", offset) + 1


def _skip_authentication(
    payload: bytes, offset: int, capabilities: Capabilities
) -> int:
    if Capabilities.CLIENT_PLUGIN_AUTH_LENENC_CLIENT_DATA in capabilities:
        length, offset = read_length_encoded(payload, offset)
    else:
        length, offset = payload[offset], offset + 1
    if offset + length > len(payload):
        raise ValueError("authentication data is cut off")
    return offset + length
