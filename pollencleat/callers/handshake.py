"""Checks a caller's handshake response before the library parses it.

The library's parser reads strings up to a NUL byte and loops forever if there is none,
so a single malformed packet would block the whole process.
"""

from mysql_mimic.types import Capabilities

from pollencleat.backend.connection import read_length_encoded

FIXED_PART_BYTES = 32
"""Capabilities, packet size, character set and filler; a TLS request ends here."""


def is_complete_response(payload: bytes, server_capabilities: Capabilities) -> bool:
    """Return whether a handshake response contains all of its fields.

    Args:
        payload: The caller's packet.
        server_capabilities: Capabilities offered to the caller.

    Returns:
        True if the library's parser terminates on the packet.
    """
    if len(payload) <= FIXED_PART_BYTES:
        return len(payload) == FIXED_PART_BYTES
    capabilities = (
        Capabilities(int.from_bytes(payload[:4], "little")) & server_capabilities
    )
    try:
        offset = _skip_nul_terminated(payload, FIXED_PART_BYTES)
        offset = _skip_authentication(payload, offset, capabilities)
        if Capabilities.CLIENT_CONNECT_WITH_DB in capabilities:
            offset = _skip_nul_terminated(payload, offset)
        if Capabilities.CLIENT_PLUGIN_AUTH in capabilities:
            offset = _skip_nul_terminated(payload, offset)
    except (ValueError, IndexError, KeyError):
        return False
    return True


def _skip_nul_terminated(payload: bytes, offset: int) -> int:
    return payload.index(b"\0", offset) + 1


def _skip_authentication(
    payload: bytes, offset: int, capabilities: Capabilities
) -> int:
    if Capabilities.CLIENT_PLUGIN_AUTH_LENENC_CLIENT_DATA in capabilities:
        length, offset = read_length_encoded(payload, offset)
    else:
        length, offset = payload[offset], offset + 1
    if offset + length > len(payload):
        raise ValueError("the authentication data is truncated")
    return offset + length
