"""The process's elapsed clock, read at the edges only."""

import time


def elapsed_ms() -> float:
    """Return milliseconds that only grow; unaffected by wall clock changes."""
    return time.monotonic() * 1000
