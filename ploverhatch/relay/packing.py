"""Compression of what nodes tell each other, and its division into datagrams. Pure.

Configurations and key maps repeat their field names and addresses, so that they
shrink several times; the leader's link is narrow and carries them once per node.
"""

import zlib
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import TypeVar

import msgspec

from ploverhatch.relay.messages import Fragment

T = TypeVar("T")

LEVEL = 1  # of zlib: most of the gain for the least processor time
FRAGMENT_BYTES = 8000
MAX_FRAGMENTS = 64
MAX_INCOMPLETE = 8  # messages that wait for fragments
MAX_MESSAGE_BYTES = 4 << 20  # after decompression


def pack(value: object) -> bytes:
    """Encode and compress a value."""
    return zlib.compress(msgspec.msgpack.encode(value), LEVEL)


def unpack(data: bytes, form: type[T]) -> T:
    """Return a packed value.

    :raises ValueError: when it is not one of this form, or too long.
    """
    return msgspec.msgpack.decode(_decompressed(data), type=form)


def _decompressed(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        message = decompressor.decompress(data, MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not decompressor.eof:
        raise ValueError("cut short, or too long")
    return message


def divide(number: int, data: bytes) -> list[Fragment]:
    """Compress an encoded message and divide it; none when it is still too long.

    :param number: of the message, at its sender.
    """
    packed = zlib.compress(data, LEVEL)
    starts = range(0, len(packed), FRAGMENT_BYTES)
    if len(starts) > MAX_FRAGMENTS:
        return []
    return [
        Fragment(number, part, len(starts), packed[start : start + FRAGMENT_BYTES])
        for part, start in enumerate(starts)
    ]


@dataclass
class Assembly:
    """Puts messages together again; of those that stay incomplete the oldest go."""

    _incomplete: dict[Hashable, dict[int, bytes]] = field(default_factory=dict)

    def add(self, sender: Hashable, fragment: Fragment) -> bytes | None:
        """Take a fragment; return the encoded message when it is whole.

        :raises ValueError: when the whole can't be decompressed.
        """
        if not 0 <= fragment.part < fragment.parts <= MAX_FRAGMENTS:
            raise ValueError("no such part")
        key = (sender, fragment.number, fragment.parts)
        parts = self._incomplete.setdefault(key, {})
        parts[fragment.part] = fragment.data
        if len(parts) == fragment.parts:
            del self._incomplete[key]
            return _decompressed(b"".join(parts[part] for part in range(fragment.parts)))
        while len(self._incomplete) > MAX_INCOMPLETE:
            del self._incomplete[next(iter(self._incomplete))]
        return None
