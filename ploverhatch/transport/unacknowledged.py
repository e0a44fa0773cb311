"""How much of what was written to a TCP connection has reached its peer's kernel."""

import fcntl
import struct
import termios
from typing import Any

_INT = struct.Struct("i")


def unacknowledged_bytes(sock: Any) -> int | None:
    """Return how many written bytes the peer hasn't acknowledged; ``None`` if that is unknown."""
    try:
        (count,) = _INT.unpack(fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INT.size)))
    except (OSError, ValueError):  # The socket is closed already.
        return None
    return int(count)
