"""Writes log lines to standard output without blocking the process.

Lines are queued in a bounded buffer, and a task writes them as fast as the reader consumes
them. Lines that do not fit are dropped and counted; a log line then reports the count.
"""

import logging
import os
import select
import sys
import time
from collections import deque
from contextlib import suppress

import gevent
from gevent import os as gevent_os
from typing_extensions import override

from ploverhatch.common.clock import elapsed_ms

CAPACITY = 2000  # lines
MAX_LINES_PER_WRITE = 64
CLOSE_TIMEOUT_S = 0.4  # how long the exit of the process may wait for the reader


class BufferedOutput(logging.Handler):
    """A log handler that writes to a non-blocking file descriptor from a bounded buffer.

    ``capacity`` is the maximum number of buffered lines; ``node`` is named in each line.
    """

    def __init__(self, descriptor: int, node: str, capacity: int = CAPACITY) -> None:
        super().__init__()
        self._node = node
        self._second = -1
        self._second_text = ""
        self._descriptor = descriptor
        self._capacity = capacity
        self._lines: deque[str] = deque()
        self._data = b""  # encoded lines that are being written
        self._unreported_drops = 0  # lines dropped since the last line that reported a count
        self.dropped = 0  # lines dropped in total
        self._task: gevent.Greenlet | None = None

    @override
    def emit(self, record: logging.LogRecord) -> None:
        if len(self._lines) >= self._capacity:
            self._unreported_drops += 1
            self.dropped += 1
            return
        if self._unreported_drops:
            self._lines.append(f"[log] Lines dropped. count={self._unreported_drops}")
            self._unreported_drops = 0
        self._lines.append(
            f"{self._stamp(record.created)} {record.levelname[0]} {record.getMessage()}"
        )
        if self._task is None:
            self._task = gevent.spawn(self._write_all)

    def _stamp(self, created_s: float) -> str:
        second = int(created_s)
        if second != self._second:
            self._second = second
            self._second_text = time.strftime("%H:%M:%S", time.gmtime(second))
        return f"{self._second_text}.{int((created_s - second) * 1000):03d} {self._node}"

    def _write_all(self) -> None:
        try:
            while self._encode_next():
                written = gevent_os.nb_write(self._descriptor, self._data)
                self._data = self._data[written:]
        except OSError:
            # The reader has gone: the lines are lost, and the process continues.
            self._lines.clear()
            self._data = b""
        finally:
            self._task = None

    def _encode_next(self) -> bool:
        """Encode the next lines once the previous ones are written; return whether any are left."""
        if not self._data:
            lines = [
                self._lines.popleft() for _ in range(min(MAX_LINES_PER_WRITE, len(self._lines)))
            ]
            self._data = "".join(f"{line}\n" for line in lines).encode()
        return bool(self._data)

    @override
    def close(self) -> None:
        """Write the remaining lines, for ``CLOSE_TIMEOUT_S`` at most, when the process exits.

        This doesn't use the event loop, which may have ended already.
        """
        with suppress(OSError):
            self._write_remaining(elapsed_ms() + CLOSE_TIMEOUT_S * 1000)
        super().close()

    def _write_remaining(self, end_ms: float) -> None:
        poll = select.poll()
        while self._encode_next():
            poll.register(self._descriptor, select.POLLOUT)
            remaining_ms = end_ms - elapsed_ms()
            if remaining_ms <= 0 or not poll.poll(remaining_ms):
                return
            with suppress(BlockingIOError):
                self._data = self._data[os.write(self._descriptor, self._data) :]


def start(node: str) -> None:
    """Send the log of this process to standard output, at level ``INFO``."""
    descriptor = sys.stdout.fileno()
    gevent_os.make_nonblocking(descriptor)
    logger = logging.getLogger("absl")
    logger.setLevel(logging.INFO)
    logger.propagate = False
    logger.addHandler(BufferedOutput(descriptor, node))
