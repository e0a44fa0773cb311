"""Compression of messages between nodes, and their division into datagrams.

Configurations and key maps repeat field names and addresses, so compression shrinks them several
times. This matters since the leader sends them once per node, and its link may be slow.

This module does no I/O and reads no clock.
"""

import zlib
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import TypeVar

import msgspec

from ploverhatch.relay.messages import Fragment

T = TypeVar("T")

ZLIB_LEVEL = 1  # zlib level with most of the gain for the least processor time
FRAGMENT_BYTES = 8000
MAX_FRAGMENTS = 64
MAX_INCOMPLETE = 8  # messages kept while fragments are missing
MAX_MESSAGE_BYTES = 4 << 20  # after decompression


def pack(value: object) -> bytes:
    """Encode and compress a value."""
    return zlib.compress(msgspec.msgpack.encode(value), ZLIB_LEVEL)


def unpack(data: bytes, form: type[T]) -> T:
    """Decompress and decode a value.

    :raises ValueError: if the data is no packed value of type ``form``, or is too long.
    """
    return msgspec.msgpack.decode(_decompressed(data), type=form)


def _decompressed(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        message = decompressor.decompress(data, MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not decompressor.eof:
        raise ValueError("compressed data is truncated or too long")
    return message


def divide(number: int, data: bytes) -> list[Fragment]:
    """Compress an encoded message and divide it into fragments.

    :param number: the sender's number of the message.
    :returns: the fragments; none if the message is too long even after compression.
    """
    packed = zlib.compress(data, ZLIB_LEVEL)
    starts = range(0, len(packed), FRAGMENT_BYTES)
    if len(starts) > MAX_FRAGMENTS:
        return []
    return [
        Fragment(number, part, len(starts), packed[start : start + FRAGMENT_BYTES])
        for part, start in enumerate(starts)
    ]


@dataclass
class Assembly:
    """Reassembles messages from fragments, and drops the oldest of too many incomplete ones."""

    _incomplete: dict[Hashable, dict[int, bytes]] = field(default_factory=dict)

    def add(self, sender: Hashable, fragment: Fragment) -> bytes | None:
        """Add a fragment; return the encoded message once all its fragments are there.

        :raises ValueError: if the fragment's numbers are invalid, or if the message can't be
            decompressed.
        """
        if not 0 <= fragment.part < fragment.parts <= MAX_FRAGMENTS:
            raise ValueError("fragment number is out of range")
        key = (sender, fragment.number, fragment.parts)
        parts = self._incomplete.setdefault(key, {})
        parts[fragment.part] = fragment.data
        if len(parts) == fragment.parts:
            del self._incomplete[key]
            return _decompressed(b"".join(parts[part] for part in range(fragment.parts)))
        while len(self._incomplete) > MAX_INCOMPLETE:
            del self._incomplete[next(iter(self._incomplete))]
        return None
