"""Cuts a message into the segments in which it may arrive."""

import itertools
import random

MAX_CUTS = 3
LINE_END_PROBABILITY = 0.5
"""Probability that one of the cuts is between the CR and the LF of a line end."""


def cut_into_segments(data: bytes, generator: random.Random) -> list[bytes]:
    """Cut a message at random places.

    Args:
        data: The message.
        generator: Draws the places.

    Returns:
        At least one segment, none of them empty; together they are the message.
    """
    places = {
        generator.randint(1, max(1, len(data) - 1))
        for _ in range(generator.randint(1, MAX_CUTS))
    }
    line_ends = [
        place for place in range(1, len(data)) if data[place - 1 : place + 1] == b"\r\n"
    ]
    if line_ends and generator.random() < LINE_END_PROBABILITY:
        places.add(generator.choice(line_ends))
    edges = [0, *sorted(places), len(data)]
    segments = [data[start:end] for start, end in itertools.pairwise(edges)]
    return [segment for segment in segments if segment]
