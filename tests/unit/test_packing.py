"""Messages longer than a datagram, with fragments that are lost, repeated or malformed."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from ploverhatch.relay import packing
from ploverhatch.relay.messages import Fragment

LONG = random.Random(1).randbytes(50_000)


@given(st.recursive(st.text() | st.integers(0, 9), st.lists, max_leaves=9))
def test_unpack_returns_the_packed_value(value):
    assert packing.unpack(packing.pack(value), object) == value


@given(st.randoms(use_true_random=False), st.booleans())
def test_fragments_may_arrive_in_any_order_and_more_than_once(shuffled, doubled):
    parts = packing.divide(7, LONG)
    assert len(parts) > 3
    if doubled:
        parts = parts[:-1] + parts
    last = parts.pop()
    shuffled.shuffle(parts)
    assembly = packing.Assembly()
    wholes = [assembly.add("node", part) for part in [*parts, last]]
    assert wholes[-1] == LONG


def test_senders_and_messages_are_kept_apart():
    assembly = packing.Assembly()
    first, second = packing.divide(1, LONG), packing.divide(2, LONG[::-1])
    for part in first[:-1]:
        assert assembly.add("a", part) is None
        assert assembly.add("b", part) is None
    for part in second[:-1]:
        assert assembly.add("a", part) is None
    assert assembly.add("a", second[-1]) == LONG[::-1]
    assert assembly.add("a", first[-1]) == LONG


def test_messages_that_stay_incomplete_are_forgotten():
    assembly = packing.Assembly()
    for number in range(100):
        assembly.add("node", packing.divide(number, LONG)[0])
    assert len(assembly._incomplete) <= packing.MAX_INCOMPLETE


@pytest.mark.parametrize(
    "fragment",
    [
        Fragment(1, 0, 1, b"no zlib"),
        Fragment(1, 3, 2, b""),
        Fragment(1, -1, 2, b""),
        Fragment(1, 0, 10_000, b""),
        replace(packing.divide(1, b"short")[0], data=packing.divide(1, b"short")[0].data[:-3]),
    ],
)
def test_malformed_fragments_are_rejected(fragment):
    with pytest.raises(ValueError):
        packing.Assembly().add("node", fragment)


def test_a_value_that_is_too_long_after_decompression_is_rejected():
    with pytest.raises(ValueError):
        packing.unpack(packing.pack("x" * (packing.MAX_MESSAGE_BYTES + 1)), str)
