import random

from standins.segments import cut_into_segments


def test_segments_are_the_message_and_some_end_between_cr_and_lf():
    data = b"COMPLETE -\r\nREADY I 3.1\r\n"
    splits_line_end = set()
    for seed in range(100):
        segments = cut_into_segments(data, random.Random(seed))
        assert b"".join(segments) == data and all(segments)
        assert len(segments) > 1
        splits_line_end.add(any(part.endswith(b"\r") for part in segments))
    assert splits_line_end == {True, False}


def test_message_of_one_byte_is_one_segment():
    assert cut_into_segments(b"x", random.Random(1)) == [b"x"]
