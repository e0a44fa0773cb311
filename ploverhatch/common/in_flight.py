"""Requests in flight, each of which another task may end with an error."""

import math
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import gevent


class ProcessEndsError(BaseException):
    """Raised in the task of a request if the process exits before the request is answered."""


class InFlightRequest:
    """A request that the current task serves.

    ``deadline_ms`` is in elapsed time, and infinite until it is known.
    """

    def __init__(self) -> None:
        self.deadline_ms = math.inf
        self._task = gevent.getcurrent()
        self._finished = False

    def end(self, error: BaseException) -> None:
        """Raise an error in the request's task, unless the request is finished by then.

        The event loop raises the error in its next iteration. By then the task may be writing
        the answer, which the error would truncate, or serving the next request of the
        connection. So the check whether the request is finished comes just before the error.
        """
        gevent.get_hub().loop.run_callback(self._throw, error)

    def _throw(self, error: BaseException) -> None:
        if not self._finished:
            self._finished = True  # A request is ended only once.
            self._task.throw(error)

    def finish(self) -> None:
        """Note that the request has its answer, or will get none."""
        self._finished = True


class InFlightRequests:
    """All requests in flight of one process."""

    def __init__(self) -> None:
        self._requests: set[InFlightRequest] = set()

    def __len__(self) -> int:
        return len(self._requests)

    @contextmanager
    def serve(self) -> Iterator[InFlightRequest]:
        """Register a request of the current task; it can be ended only inside the block."""
        request = InFlightRequest()
        self._requests.add(request)
        try:
            yield request
        finally:
            request.finish()
            self._requests.discard(request)

    def end_all(self, make_error: Callable[[], BaseException]) -> int:
        """End all requests in flight; return their number."""
        requests = list(self._requests)
        for request in requests:
            request.end(make_error())
        return len(requests)

    def end_overdue(self, now_ms: float, make_error: Callable[[], BaseException]) -> None:
        """End the requests whose deadline has passed."""
        for request in list(self._requests):
            if request.deadline_ms <= now_ms:
                request.end(make_error())
