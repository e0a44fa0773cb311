"""A wake-up signal between tasks, for an event that may occur repeatedly."""

from gevent.event import Event


class Signal:
    """Wakes all waiting tasks each time it is raised."""

    def __init__(self) -> None:
        self._event = Event()

    def raise_(self) -> None:
        """Wake all tasks that are waiting now."""
        event, self._event = self._event, Event()
        event.set()

    def wait(self, timeout_s: float) -> bool:
        """Wait until the signal is raised next; return false if ``timeout_s`` passes first."""
        return bool(self._event.wait(max(timeout_s, 0.0)))
