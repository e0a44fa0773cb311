"""Bounds the memory of all messages that a process is reading or holds.

The share of one message shrinks as the memory fills up (dynamic thresholds, after Choudhury and
Hahne, "Dynamic queue length thresholds for shared-memory packet switches", 1998). So a message
without end can't take the memory that others need, however many of them come at once, while a
large one gets half of it where nothing else is held. A part is reserved for small messages, since
large ones that are no longer sent may be held for a while. This module does no I/O.
"""

DEFAULT_LIMIT_BYTES = 128 << 20
# One message may hold this many times the bytes that remain free after it.
FREE_FACTOR = 2
SMALL_BYTES = 256 << 10
RESERVED_FRACTION = 0.25  # of the memory, for messages of up to SMALL_BYTES
FIELD_BYTES = 128  # memory of a header field beyond its name and value
CHUNK_FRAME_BYTES = 32  # a size with leading zeros, a short extension and the ends of lines
SMALL_FRAMES_BYTES = 512 << 10  # beyond the content of a message
MESSAGE_BYTES = 1024  # memory of a message without fields and body


def exceeds_framing(received_bytes: int, body_bytes: int, body_parts: int, head_bytes: int) -> bool:
    """Return whether a message has more bytes beside its body than a sound one needs.

    These are its head, the frames of its chunks, what follows the last one, and empty lines. Small
    chunks have more framing than content, which is allowed up to a limit: parsing them takes much
    processor time.

    :param body_parts: the parts in which the parser has passed the body on, one or more a chunk.
    :param head_bytes: the longest head.
    """
    frames_bytes = min(CHUNK_FRAME_BYTES * body_parts, body_bytes + SMALL_FRAMES_BYTES)
    return received_bytes - body_bytes > head_bytes + frames_bytes


class BuffersFullError(Exception):
    """A message may not hold more bytes at present."""


class BufferPool:
    """Counts the bytes that the messages of a process hold."""

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self._used_bytes = 0

    @property
    def used_bytes(self) -> int:
        """The bytes that all messages hold."""
        return self._used_bytes

    def open(self) -> "Buffer":
        """Return the account of a new message."""
        return Buffer(self)


class Buffer:
    """The bytes that one message holds; they are free again after ``close``, or as garbage."""

    __slots__ = ("_held_bytes", "_pool")

    def __init__(self, pool: BufferPool) -> None:
        self._pool = pool
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """The bytes that the message holds."""
        return self._held_bytes

    def grow(self, size: int) -> None:
        """Account for more bytes.

        :raises BuffersFullError: when the message may not hold them.
        """
        pool = self._pool
        held_bytes = self._held_bytes + size
        reserved = RESERVED_FRACTION if held_bytes > SMALL_BYTES else 0.0
        free_bytes = pool.limit_bytes * (1 - reserved) - pool._used_bytes - size
        if held_bytes > FREE_FACTOR * free_bytes:
            raise BuffersFullError(f"{held_bytes} bytes")
        pool._used_bytes += size
        self._held_bytes = held_bytes

    def shrink(self, size: int) -> None:
        """Account for fewer bytes."""
        self._pool._used_bytes -= size
        self._held_bytes -= size

    def close(self) -> None:
        """Account for no bytes any more."""
        self._pool._used_bytes -= self._held_bytes
        self._held_bytes = 0

    def __del__(self) -> None:
        self.close()


# All messages of this process, since they share its memory.
PROCESS_BUFFERS = BufferPool()
