"""Types of values from outside, with the range that every part can work with."""

from typing import Annotated

import msgspec

MAX_NAME_CHARACTERS = 255
MAX_NUMBER = (1 << 63) - 1
"""Largest number that a message between nodes can carry in any field."""

MAX_COUNT = 1_000_000
MAX_PRIORITY = 1_000_000
MAX_DURATION_MS = (1 << 31) - 1
MAX_SECONDS = 1e12

Name = Annotated[
    str,
    msgspec.Meta(max_length=MAX_NAME_CHARACTERS, pattern=r"\A[^\x00-\x20\x7f]+\Z"),
]
"""Text that is one field of a line: not empty, no blank, no control character."""

Text = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]
Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
"""Number of things of which a server or a group has some."""

Priority = Annotated[int, msgspec.Meta(ge=-MAX_PRIORITY, le=MAX_PRIORITY)]
DurationMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]
Seconds = Annotated[float, msgspec.Meta(ge=-MAX_SECONDS, le=MAX_SECONDS)]
"""A finite clock value or duration."""
