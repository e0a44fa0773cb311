"""An error from another task ends a request, but not what its own task does afterwards."""

import gevent
from gevent.event import Event

from ploverhatch.common.in_flight import InFlightRequests, ProcessEndsError
from ploverhatch.gateway.messages import DeadlineOverError


class Task:
    """Serves one request until ``finish`` is set, then goes on with other work."""

    def __init__(self, requests, deadline_ms=100.0):
        self._requests = requests
        self._deadline_ms = deadline_ms
        self.finish = Event()
        self.ended_by = []
        self.later = []
        self.greenlet = gevent.spawn(self._run)
        gevent.sleep(0)

    def _run(self):
        try:
            with self._requests.serve() as in_flight:
                in_flight.deadline_ms = self._deadline_ms
                self.finish.wait()
        except (ProcessEndsError, DeadlineOverError) as error:
            self.ended_by.append(type(error))
        try:
            gevent.sleep(0.05)
        except BaseException as error:
            self.later.append(error)


def test_a_request_that_waits_is_ended_once():
    requests = InFlightRequests()
    task = Task(requests)
    assert requests.end_all(ProcessEndsError) == 1
    requests.end_overdue(200.0, DeadlineOverError)
    gevent.sleep(0.01)
    assert task.ended_by == [ProcessEndsError]
    assert len(requests) == 0
    task.greenlet.join()
    assert task.later == []


def test_a_request_that_is_over_when_the_error_comes_is_not_ended():
    requests = InFlightRequests()
    task = Task(requests)
    task.finish.set()  # its task runs before the error is raised
    assert requests.end_all(ProcessEndsError) == 1
    task.greenlet.join()
    assert (task.ended_by, task.later) == ([], [])


def test_only_what_is_overdue_is_ended():
    requests = InFlightRequests()
    early, late = Task(requests, 100.0), Task(requests, 300.0)
    requests.end_overdue(200.0, DeadlineOverError)
    gevent.sleep(0.01)
    assert early.ended_by == [DeadlineOverError]
    assert late.ended_by == []
    late.finish.set()
