import zlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollencleat.core.data import Fleet, GroupTerm, Member, Position, ServerLog
from pollencleat.core.messages import (
    COMPRESSED_PREFIX,
    MAX_MESSAGE_BYTES,
    Beat,
    DomainPromise,
    SeenPosition,
    State,
    Versions,
    WritesStopped,
    decode_message,
    encode_message,
)

ages = st.floats(0, 1e6)


@given(ages, st.none() | ages, st.booleans(), st.integers(0, 2**64 - 1))
def test_beat_survives_round_trip(sent_at_s, echo_s, promising, key):
    beat = Beat(
        "n1",
        "i1",
        sent_at_s,
        echo_s,
        "i2",
        Versions(1, 2, 3),
        None,
        promising,
        (DomainPromise("a", key, 0.5),),
        False,
    )
    assert decode_message(encode_message(beat)) == beat


def test_state_survives_round_trip():
    member = Member("n", "i", "a", "tcp://x:1", "http://x:2", 0, True)
    fleet = Fleet(3, {"n": member}, {}, {"g": GroupTerm("g", 1, "s")})
    state = State("n", fleet, None, None)
    assert decode_message(encode_message(state)) == state


def make_large_state():
    members = {
        f"n{number}": Member(f"n{number}", "i", "a", "tcp://x:1", "", 0, True)
        for number in range(60)
    }
    return State("n", Fleet(3, members), None, None)


def test_large_message_is_compressed_and_survives_round_trip():
    """Load case: the state of 36 nodes is sent to all of them over 5 Mbit/s links."""
    state = make_large_state()
    payload = encode_message(state)
    assert len(payload) < len(msgspec.msgpack.encode(state)) / 3
    assert decode_message(payload) == state


@pytest.mark.parametrize("cut", [1, 2, 20])
def test_truncated_compressed_message_is_rejected(cut):
    payload = encode_message(make_large_state())
    with pytest.raises(msgspec.DecodeError):
        decode_message(payload[:-cut])
    with pytest.raises(msgspec.DecodeError):
        decode_message(payload[:cut])


def test_size_of_decompressed_message_is_limited():
    bomb = COMPRESSED_PREFIX + zlib.compress(b"\x00" * (MAX_MESSAGE_BYTES + 1))
    with pytest.raises(msgspec.DecodeError, match="larger"):
        decode_message(bomb)


@given(st.binary(max_size=200) | st.binary(max_size=200).map(COMPRESSED_PREFIX.__add__))
def test_decoding_any_bytes_raises_only_msgspec_errors(payload):
    try:
        decode_message(payload)
    except msgspec.MsgspecError:
        return


def test_wrong_field_type_is_rejected():
    with pytest.raises(msgspec.ValidationError):
        decode_message(msgspec.msgpack.encode(["beat", 1]))


class OlderWritesStopped(
    msgspec.Struct, frozen=True, array_like=True, tag="writes_stopped"
):
    """WritesStopped of a build that reports no departed logs."""

    node_id: str
    incarnation: str
    attempt_id: str
    seen_by_group: dict[str, SeenPosition] = {}


def test_confirmations_pass_between_this_build_and_one_without_departed_logs():
    seen = {"g": SeenPosition(Position(3, 7), 0.5)}
    older = OlderWritesStopped("n", "n-1", "a/1", seen)
    newer = WritesStopped("n", "n-1", "a/1", seen, (ServerLog("s", 5),))
    assert decode_message(encode_message(newer)) == newer
    assert decode_message(msgspec.msgpack.encode(older)) == WritesStopped(
        "n", "n-1", "a/1", seen
    )
    assert msgspec.msgpack.decode(encode_message(newer), type=OlderWritesStopped) == (
        older
    )


@pytest.mark.parametrize("odd", [float("inf"), float("-inf"), float("nan")])
@pytest.mark.parametrize("field", [2, 3, 6])
def test_number_of_seconds_that_is_not_finite_is_rejected(odd, field):
    """A promise or a platform read at such a time would never expire."""
    beat = Beat("n", "i", 1.0, 1.0, "i", Versions(1, 2, 3), 1.0, True, (), False)
    values = msgspec.msgpack.decode(encode_message(beat))
    values[field + 1] = odd
    with pytest.raises(msgspec.DecodeError):
        decode_message(msgspec.msgpack.encode(values))


def test_deeply_nested_message_is_rejected():
    beat = Beat("n", "i", 1.0, 1.0, "i", Versions(1, 2, 3), 1.0, True, (), False)
    payload = bytearray(encode_message(beat))
    payload[0] += 1
    nested = b"\x91" * 100_000 + b"\xc0"
    with pytest.raises(msgspec.DecodeError):
        decode_message(bytes(payload) + nested)


def test_fleet_state_with_an_entry_under_a_wrong_key_is_rejected():
    member = Member("n", "i", "a", "tcp://x:1", "", 0, True)
    with pytest.raises(msgspec.DecodeError):
        decode_message(encode_message(State("n", Fleet(3, {"m": member}), None, None)))
