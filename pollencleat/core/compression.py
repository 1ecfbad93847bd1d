"""Decompression with an upper bound of the result's size."""

import zlib


def decompress(data: bytes, max_bytes: int) -> bytes:
    """Decompress zlib data.

    Args:
        data: The compressed bytes.
        max_bytes: Largest result that is allowed.

    Returns:
        The decompressed bytes.

    Raises:
        ValueError: The data is malformed or incomplete, or its content too large.
    """
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(data, max_bytes + 1)
    except zlib.error as error:
        raise ValueError(f"invalid zlib data: {error}") from error
    if len(content) > max_bytes:
        raise ValueError(f"compressed content is larger than {max_bytes} bytes")
    if not decompressor.eof:
        raise ValueError("compressed content is incomplete")
    return content
