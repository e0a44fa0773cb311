"""The requests that are being served, each of which may be ended from outside."""

import math
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import gevent


class ProcessEndsError(BaseException):
    """The process ends before the request does; raised into the task that serves it."""


class InFlightRequest:
    """One request that is being served."""

    def __init__(self) -> None:
        self.deadline_ms = math.inf  # once it is known
        self._task = gevent.getcurrent()
        self._over = False

    def end(self, error: BaseException) -> None:
        """Have an error raised where its task waits, unless the request is over by then.

        It is raised some moments later. Meanwhile the task may have gone on to the answer, which
        an error would cut, or to the next request of the connection: it is asked last thing.
        """
        gevent.get_hub().loop.run_callback(self._throw, error)

    def _throw(self, error: BaseException) -> None:
        if not self._over:
            self._over = True  # one end is enough
            self._task.throw(error)

    def finish(self) -> None:
        """The request has its answer, or will get none."""
        self._over = True


class InFlightRequests:
    """All of one process."""

    def __init__(self) -> None:
        self._requests: set[InFlightRequest] = set()

    def __len__(self) -> int:
        return len(self._requests)

    @contextmanager
    def serve(self) -> Iterator[InFlightRequest]:
        """Serve a request of the current task; errors are raised only inside the block."""
        request = InFlightRequest()
        self._requests.add(request)
        try:
            yield request
        finally:
            request.finish()
            self._requests.discard(request)

    def end_all(self, make_error: Callable[[], BaseException]) -> int:
        """End all that are under way now; return how many these are."""
        requests = list(self._requests)
        for request in requests:
            request.end(make_error())
        return len(requests)

    def end_overdue(self, now_ms: float, make_error: Callable[[], BaseException]) -> None:
        """End those whose time is over."""
        for request in list(self._requests):
            if request.deadline_ms <= now_ms:
                request.end(make_error())
