"""A condition that tasks wait for, for an event that may happen again."""

from gevent.event import Event


class Signal:
    """Wakes all who wait each time it is raised."""

    def __init__(self) -> None:
        self._event = Event()

    def raise_(self) -> None:
        """Wake all who wait now."""
        event, self._event = self._event, Event()
        event.set()

    def wait(self, timeout_s: float) -> bool:
        """Wait for the next time; false when ``timeout_s`` passed first."""
        return bool(self._event.wait(max(timeout_s, 0.0)))
