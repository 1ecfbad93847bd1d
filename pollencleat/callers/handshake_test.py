from hypothesis import example, given
from hypothesis import strategies as st
from mysql_mimic import packets
from mysql_mimic.types import Capabilities

from pollencleat.callers.connection import SERVER_CAPABILITIES
from pollencleat.callers.handshake import is_complete_answer

ALL = int(SERVER_CAPABILITIES).to_bytes(4, "little")
FILLER = bytes(4) + b"\x2d" + bytes(23)


@given(st.binary(max_size=60), st.sampled_from([ALL, bytes(4)]))
@example(b"user-without-end", ALL)
@example(b"user\0\xff" + b"x" * 20, ALL)
@example(b"user\0\x05abcde" + b"no end", ALL)
def test_accepted_answers_are_parsed_to_their_end(fields, capabilities):
    """Regression: a text without a NUL byte made the parser run forever."""
    payload = capabilities + FILLER + fields
    if not is_complete_answer(payload, SERVER_CAPABILITIES):
        return
    packets.parse_handshake_response(SERVER_CAPABILITIES, payload)


def test_whole_answer_is_accepted():
    payload = ALL + FILLER + b"user\0\x00db\0mysql_native_password\0"
    assert is_complete_answer(payload, SERVER_CAPABILITIES)
    response = packets.parse_handshake_response(SERVER_CAPABILITIES, payload)
    assert (response.username, response.database) == ("user", "db")


def test_offered_capabilities_leave_out_what_the_parser_cannot_bound():
    assert Capabilities.CLIENT_CONNECT_ATTRS not in SERVER_CAPABILITIES
