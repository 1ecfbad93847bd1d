import random

from bench.soak_texts import draw_data, draw_shape, draw_value


def test_texts_end_no_line_and_hold_its_characters_anywhere():
    generator = random.Random(1)
    draws = {draw: set() for draw in (draw_data, draw_value, draw_shape)}
    for draw, texts in draws.items():
        texts.update(draw(generator) for _ in range(2000))
        assert not any("\r\n" in text for text in texts)
        assert any(text.endswith("\r") for text in texts)
        assert any("\n" in text for text in texts)
        assert any(not text.isascii() for text in texts)
    assert "" not in draws[draw_data] and "" in draws[draw_value]
    assert any(text.startswith(" ") for text in draws[draw_data])
