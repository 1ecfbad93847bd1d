"""Splits JSON text into its parts without decoding them.

A decoder rejects a text as a whole for one malformed or too deeply nested value, also
in parts that nobody asked for.  Split into its parts, each can be decoded by itself.
"""

import re

_BRACKETS = re.compile(
    rb'(?:[^"\[\]{}]++|"(?:[^"\\]++|\\.)*+"?)*+(?:([\[{]++|[\]}]++)|\Z)', re.DOTALL
)
"""The next consecutive brackets of one direction, after strings and other characters,
or the end of the text."""

_OPENING = b"[{"


def split_nested(text: bytes, max_depth: int) -> tuple[bytes, list[bytes]]:
    """Take out the arrays and objects below a depth, in time linear in the text.

    Args:
        text: JSON, possibly malformed.
        max_depth: Number of arrays and objects inside one another that stay.

    Returns:
        The text with an array in the place of each part that holds the part's index,
        and the parts.  No other array or object is as deep as these.
    """
    kept = []
    parts = []
    depth = 0
    kept_from = part_from = 0
    for match in _BRACKETS.finditer(text):
        start, end = match.span(1)
        if end < 0:
            break
        count = end - start
        if text[start] in _OPENING:
            if depth <= max_depth < depth + count:
                part_from = start + max_depth - depth
                kept.append(text[kept_from:part_from])
            depth += count
            continue
        if depth - count <= max_depth < depth:
            kept_from = start + depth - max_depth
            kept.append(b"[%d]" % len(parts))
            parts.append(text[part_from:kept_from])
        depth -= count
    if depth <= max_depth:
        kept.append(text[kept_from:])
    return b"".join(kept), parts


def find_nested(text: bytes, key: bytes) -> bytes:
    """Return the array or object under a key of an object.

    Args:
        text: A JSON object, possibly malformed.
        key: The key, without characters that JSON escapes.

    Returns:
        The value as text; empty if there is none.
    """
    outline, parts = split_nested(text, 1)
    match = re.search(rb'"%b"\s*:\s*\[(\d+)\]' % re.escape(key), outline)
    return parts[int(match[1])] if match else b""
