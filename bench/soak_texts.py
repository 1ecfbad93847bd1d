"""Texts that the soak's callers send: blanks, line end characters, any characters.

No text contains CR LF, which ends a line.
"""

import random

PIECES = (
    "x",
    "0",
    "word",
    " ",
    "  ",
    "\r",
    "\n",
    "\n\r",
    "\t",
    "é",
    "漢字",
    "😀",
    "\u2028",
    "QUERY 1 WRITE k y",
    "COMPLETE -",
    "READY I -",
    "-",
)
PLAIN_PROBABILITY = 0.4
MAX_PIECES = 5
ITEMS = ("k0", "k1", "k2", "k3", "k4\r", "k5\n", "ké", "\nk", "k\r\r")
VALUE_NAMES = ("tz", "lang", "größe", "a\r", "n\n")
VALUE_NAME_WEIGHTS = (8, 4, 1, 1, 1)
PREPARED_NAMES = ("s1", "s2", "p0", "p1", "probe1", "é\r")
"""Names of prepared statements; some are like those that a proxy may choose."""


def draw_data(generator: random.Random) -> str:
    """Draw the data of a write, which is not empty."""
    number = f"{generator.getrandbits(40):x}"
    if generator.random() < PLAIN_PROBABILITY:
        return number
    return _join(generator, [number, *_draw_pieces(generator)])


def draw_value(generator: random.Random) -> str:
    """Draw a session value, which may be empty."""
    if generator.random() < PLAIN_PROBABILITY:
        return generator.choice(("", "v1", "v2"))
    return _join(generator, _draw_pieces(generator))


def draw_shape(generator: random.Random) -> str:
    """Draw the definition of a prepared statement, one of few."""
    return generator.choice(("q1", "q1\r", "q1 ", "q\n1", "q é", "q  1\r\r"))


def _draw_pieces(generator: random.Random) -> list[str]:
    return generator.choices(PIECES, k=generator.randint(1, MAX_PIECES))


def _join(generator: random.Random, pieces: list[str]) -> str:
    generator.shuffle(pieces)
    text = "".join(pieces)
    while "\r\n" in text:
        text = text.replace("\r\n", "\r")
    return text
