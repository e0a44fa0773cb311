"""Numbered result codes of the callers' and operators' interfaces.

Each code has an HTTP status and states whether the request ran, and whether the same request may
be retried. ``docs/RESULT-CODES.md`` lists the codes; a test compares the page with this module.
"""

from dataclasses import dataclass
from enum import Enum

# Statuses by which callers are promised that a request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Outcome(Enum):
    """What is known about the execution of a request."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Result:
    """One row of the table of results."""

    code: int
    name: str
    status: int
    outcome: Outcome
    retryable: bool
    title: str


def _row(
    code: int, name: str, status: int, outcome: Outcome, retryable: bool, title: str
) -> Result:
    result = Result(code, name, status, outcome, retryable, title)
    RESULTS[code] = result
    return result


class RefusedError(Exception):
    """Ends a request with a result.

    ``retry_after_s`` is the time after which the caller may retry, in seconds; 0 if unknown.
    """

    def __init__(self, result: Result, detail: str = "", retry_after_s: float = 0.0) -> None:
        super().__init__(result.name)
        self.result = result
        self.detail = detail
        self.retry_after_s = retry_after_s


RESULTS: dict[int, Result] = {}
_NOT_RUN = Outcome.NOT_RUN
_UNKNOWN = Outcome.UNKNOWN
_DONE = Outcome.DONE

OK = _row(1000, "OK", 200, _DONE, False, "The owner answered.")
REPEATED_ANSWER = _row(
    1001, "REPEATED_ANSWER", 200, _DONE, False, "Recorded answer of an earlier run."
)
ANSWER_NOT_KEPT = _row(
    1002, "ANSWER_NOT_KEPT", 409, _DONE, False, "It ran before; its answer was too large to keep."
)

BAD_REQUEST = _row(2001, "BAD_REQUEST", 400, _NOT_RUN, False, "The request is malformed.")
NO_ROUTE = _row(2002, "NO_ROUTE", 404, _NOT_RUN, False, "No route matches.")
KEY_MISSING = _row(2003, "KEY_MISSING", 400, _NOT_RUN, False, "The route's key is absent.")
IDEMPOTENCY_KEY_MISSING = _row(
    2004, "IDEMPOTENCY_KEY_MISSING", 400, _NOT_RUN, False, "This route needs an Idempotency-Key."
)
BODY_TOO_LARGE = _row(2005, "BODY_TOO_LARGE", 413, _NOT_RUN, False, "The body is too large.")
HEADERS_TOO_LARGE = _row(
    2006, "HEADERS_TOO_LARGE", 431, _NOT_RUN, False, "The header fields are too large."
)
KEY_REUSED = _row(
    2007, "KEY_REUSED", 422, _NOT_RUN, False, "The Idempotency-Key belongs to another request."
)
NO_OWNER = _row(2101, "NO_OWNER", 503, _NOT_RUN, True, "No server owns the key now.")
QUEUE_FULL = _row(2102, "QUEUE_FULL", 503, _NOT_RUN, True, "The group's queue is full.")
QUEUE_TIMEOUT = _row(
    2103, "QUEUE_TIMEOUT", 503, _NOT_RUN, True, "The request waited too long for a slot."
)
SERVER_REFUSED = _row(
    2104, "SERVER_REFUSED", 503, _NOT_RUN, True, "The server refused before running it."
)
SERVER_UNREACHABLE = _row(
    2105, "SERVER_UNREACHABLE", 503, _NOT_RUN, True, "No connection to the owner."
)
NODE_DRAINING = _row(2106, "NODE_DRAINING", 503, _NOT_RUN, True, "This router is stopping.")
RETRY_BUDGET_SPENT = _row(
    2107, "RETRY_BUDGET_SPENT", 503, _NOT_RUN, True, "The retry budget is spent."
)
CONTROL_UNAVAILABLE = _row(
    2108, "CONTROL_UNAVAILABLE", 503, _NOT_RUN, True, "The cell's voters cannot be reached."
)
DEADLINE_PASSED = _row(
    2109, "DEADLINE_PASSED", 504, _NOT_RUN, True, "The deadline passed before it was sent."
)
NOT_READY = _row(2110, "NOT_READY", 503, _NOT_RUN, True, "This router has no configuration yet.")
SERVERS_REST = _row(
    2112, "SERVERS_REST", 503, _NOT_RUN, True, "The servers that may run it asked for rest."
)
QUARANTINED = _row(
    2111, "QUARANTINED", 503, _NOT_RUN, True, "Servers ended under this request again and again."
)
ON_TRIAL = _row(
    2113, "ON_TRIAL", 503, _NOT_RUN, True, "A server ended under it; another copy is tried first."
)

ANSWER_LOST = _row(3001, "ANSWER_LOST", 502, _UNKNOWN, False, "The answer was lost after sending.")
DEADLINE_IN_FLIGHT = _row(
    3002, "DEADLINE_IN_FLIGHT", 504, _UNKNOWN, False, "The deadline passed while it ran."
)
RUN_IN_PROGRESS = _row(
    3003, "RUN_IN_PROGRESS", 409, _UNKNOWN, True, "An earlier run has no recorded answer."
)

RECORDS_LOST = _row(
    3004, "RECORDS_LOST", 409, _UNKNOWN, True, "Records were lost; an earlier try may have run."
)

INTERNAL_ERROR = _row(
    3005, "INTERNAL_ERROR", 500, _UNKNOWN, False, "The router failed; it may have run."
)

SERVER_FAILED = _row(
    3006, "SERVER_FAILED", 502, _UNKNOWN, False, "A server ran it and answered as if it had not."
)

CHANGE_ACCEPTED = _row(4000, "CHANGE_ACCEPTED", 200, _DONE, False, "The change is stored.")
CHANGE_CONFLICT = _row(
    4001, "CHANGE_CONFLICT", 412, _NOT_RUN, False, "The object changed meanwhile."
)
CHANGE_INVALID = _row(
    4002, "CHANGE_INVALID", 422, _NOT_RUN, False, "The change does not pass its checks."
)
STORE_UNAVAILABLE = _row(
    4003, "STORE_UNAVAILABLE", 503, _NOT_RUN, True, "The platform's store cannot be reached."
)
CHANGE_UNKNOWN = _row(
    4004,
    "CHANGE_UNKNOWN",
    502,
    _UNKNOWN,
    True,
    "The store gave no answer and could not be read back.",
)
UNAUTHORIZED = _row(4005, "UNAUTHORIZED", 401, _NOT_RUN, False, "A valid bearer token is needed.")
FORBIDDEN = _row(4006, "FORBIDDEN", 403, _NOT_RUN, False, "The token's role does not allow this.")
OBJECT_ABSENT = _row(4007, "OBJECT_ABSENT", 404, _NOT_RUN, False, "There is no such object.")
PRECONDITION_NEEDED = _row(
    4008, "PRECONDITION_NEEDED", 428, _NOT_RUN, False, "A change needs If-Match."
)
