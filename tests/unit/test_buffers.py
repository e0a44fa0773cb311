"""How the messages of a process share its memory."""

from contextlib import suppress

import hypothesis.strategies as st
import pytest
from hypothesis import given

from ploverhatch.transport.buffers import (
    SMALL_FRAMES_BYTES,
    BufferPool,
    BuffersFullError,
    exceeds_framing,
)

LIMIT = 100 << 20
STEP = 64 << 10


def fill(buffer, step=STEP):
    """Grow until no more is allowed; return the bytes held."""
    while True:
        try:
            buffer.grow(step)
        except BuffersFullError:
            return buffer.held_bytes


def test_a_single_message_gets_half_of_the_memory():
    assert LIMIT / 2 - STEP < fill(BufferPool(LIMIT).open()) <= LIMIT / 2


@given(st.integers(1, 20))
def test_messages_without_end_leave_room_for_small_ones(count):
    pool = BufferPool(LIMIT)
    hogs = [pool.open() for _ in range(count)]
    for hog in hogs:
        fill(hog)
    small = [pool.open() for _ in range(100)]
    for buffer in small:
        buffer.grow(STEP)
    assert pool.used_bytes <= LIMIT


@given(
    st.lists(st.tuples(st.integers(0, 5), st.integers(1, LIMIT // 3), st.booleans()), max_size=60)
)
def test_the_limit_holds_and_what_ends_is_free_again(steps):
    pool = BufferPool(LIMIT)
    buffers = [pool.open() for _ in range(6)]
    for index, size, ends in steps:
        if ends:
            buffers[index] = pool.open()
        else:
            with suppress(BuffersFullError):
                buffers[index].grow(size)
        assert pool.used_bytes == sum(buffer.held_bytes for buffer in buffers) <= LIMIT
    buffers.clear()
    del buffers
    assert pool.used_bytes == 0


def test_a_closed_message_holds_nothing():
    pool = BufferPool(LIMIT)
    buffer = pool.open()
    buffer.grow(10)
    buffer.close()
    buffer.close()
    assert pool.used_bytes == 0


def test_what_is_no_longer_held_is_free():
    pool = BufferPool(LIMIT)
    buffer = pool.open()
    buffer.grow(10)
    buffer.shrink(4)
    assert (buffer.held_bytes, pool.used_bytes) == (6, 6)


@pytest.mark.parametrize(
    ("received", "body", "parts", "exceeds"),
    [
        (100, 0, 0, False),
        (101, 0, 0, True),
        (5132, 5000, 1, False),
        (5133, 5000, 1, True),
        (6 * 5000 + 100, 5000, 5000, False),  # each byte is a chunk
        (33 * 5000 + 101, 5000, 5000, True),
        (SMALL_FRAMES_BYTES + 20_100, 10_000, 1 << 20, False),
        (SMALL_FRAMES_BYTES + 20_101, 10_000, 1 << 20, True),
    ],
)
def test_framing(received, body, parts, exceeds):
    assert exceeds_framing(received, body, parts, 100) is exceeds
