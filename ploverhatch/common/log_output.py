"""Writes log lines to standard output without ever holding the process up.

Lines wait in a bounded buffer; a task writes them as fast as the reader takes
them. What does not fit is counted, and the count is told in the next line.
"""

import logging
import sys
import time
from collections import deque

import gevent
from gevent import os as gevent_os
from typing_extensions import override

CAPACITY = 2000  # lines


class BufferedOutput(logging.Handler):
    """Handler with a bounded buffer."""

    def __init__(self, descriptor: int, node: str, capacity: int = CAPACITY) -> None:
        super().__init__()
        self._node = node
        self._second = -1
        self._second_text = ""
        self._descriptor = descriptor
        self._capacity = capacity
        self._lines: deque[str] = deque()
        self._dropped = 0  # since the last line that told
        self.dropped = 0  # in all
        self._task: gevent.Greenlet | None = None

    @override
    def emit(self, record: logging.LogRecord) -> None:
        if len(self._lines) >= self._capacity:
            self._dropped += 1
            self.dropped += 1
            return
        if self._dropped:
            self._lines.append(f"[log] Lines dropped. count={self._dropped}")
            self._dropped = 0
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
            while self._lines:
                data = "".join(f"{line}\n" for line in self._take(64)).encode()
                while data:
                    written = gevent_os.nb_write(self._descriptor, data)
                    data = data[written:]
        except OSError:
            self._lines.clear()  # nobody reads: the lines are lost, the process goes on
        finally:
            self._task = None

    def _take(self, most: int) -> list[str]:
        return [self._lines.popleft() for _ in range(min(most, len(self._lines)))]


def start(node: str) -> None:
    """Send the log of this process to standard output, level info."""
    descriptor = sys.stdout.fileno()
    gevent_os.make_nonblocking(descriptor)
    logger = logging.getLogger("absl")
    logger.setLevel(logging.INFO)
    logger.propagate = False
    logger.addHandler(BufferedOutput(descriptor, node))
