"""Length-prefixed frames on a stream socket."""

import struct
from typing import Protocol

MAX_FRAME_BYTES = 64 * 1024 * 1024
_HEADER = struct.Struct(">I")


class FrameTooLargeError(ValueError):
    """A frame is longer than ``MAX_FRAME_BYTES``."""


class StreamClosedError(ConnectionError):
    """The peer closed the stream, at the end of a frame or within one."""


class Socket(Protocol):
    """The methods of a socket that framing uses."""

    def recv(self, size: int) -> bytes:
        """Read up to ``size`` bytes."""

    def sendall(self, data: bytes) -> None:
        """Write all bytes."""


def encode_frame(payload: bytes) -> bytes:
    """Prefix a payload with its length.

    :raises FrameTooLargeError: when the payload is longer than ``MAX_FRAME_BYTES``.
    """
    if len(payload) > MAX_FRAME_BYTES:
        raise FrameTooLargeError(f"{len(payload)} bytes")
    return _HEADER.pack(len(payload)) + payload


def _read_exactly(sock: Socket, size: int) -> bytes:
    chunks = []
    while size:
        chunk = sock.recv(min(size, 1 << 18))
        if not chunk:
            raise StreamClosedError("stream closed")
        chunks.append(chunk)
        size -= len(chunk)
    return b"".join(chunks)


def read_frame(sock: Socket) -> bytes:
    """Read one frame.

    :raises StreamClosedError: when the stream ends.
    :raises FrameTooLargeError: when the prefix announces more than ``MAX_FRAME_BYTES``.
    """
    (size,) = _HEADER.unpack(_read_exactly(sock, _HEADER.size))
    if size > MAX_FRAME_BYTES:
        raise FrameTooLargeError(f"{size} bytes announced")
    return _read_exactly(sock, size)
