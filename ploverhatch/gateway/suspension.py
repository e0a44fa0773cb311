"""Detects that the process was suspended, alone or with its machine.

Timers do not advance while the machine is suspended, so each is late by the length of the
suspension. Times that also hold for other machines are read from the elapsed clock, which
counts suspensions; this module only wakes tasks that would otherwise wait on. A signal that
was sent during a suspension is handled after it.
"""

from collections.abc import Callable

import gevent

from ploverhatch.common.clock import elapsed_ms, suspended_ms
from ploverhatch.common.logs import PartLogger

LOG = PartLogger("suspension")

CHECK_INTERVAL_S = 0.1
MIN_SUSPENSION_MS = 50.0  # shorter than the waits that a suspension prolongs
STALL_MS = 400.0  # between checks; those of a busy process are late by less
SIGNAL_DELAY_MS = 200.0  # within which a pending signal is handled after a suspension


class SuspensionWatch:
    """Compares the clock that counts suspensions with the one that does not.

    :param resumed: called after each suspension of the machine.
    """

    def __init__(self, resumed: Callable[[], None]) -> None:
        self._resumed = resumed
        self._suspended_ms = suspended_ms()
        self._checked_ms = elapsed_ms()
        self._last_stall_ms = (0.0, 0.0)  # begin and end of the process's last suspension

    @property
    def ran_until_ms(self) -> float:
        """Last time at which the process is known to have run.

        After a suspension that has just ended this is the last check before it, else now.
        """
        now_ms = elapsed_ms()
        if now_ms - self._checked_ms > STALL_MS:
            return self._checked_ms
        begun_ms, over_ms = self._last_stall_ms
        return begun_ms if now_ms - over_ms < SIGNAL_DELAY_MS else now_ms

    def run(self) -> None:
        """Check for suspensions forever."""
        while True:
            gevent.sleep(CHECK_INTERVAL_S)
            self._check()

    def _check(self) -> None:
        now_ms = elapsed_ms()
        if now_ms - self._checked_ms > STALL_MS:
            self._last_stall_ms = self._checked_ms, now_ms
        self._checked_ms = now_ms
        before_ms, self._suspended_ms = self._suspended_ms, suspended_ms()
        suspension_ms = self._suspended_ms - before_ms
        if suspension_ms >= MIN_SUSPENSION_MS:
            LOG.warning("Machine was suspended.", for_ms=round(suspension_ms))
            self._resumed()
