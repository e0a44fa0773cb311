"""Problem documents (RFC 9457) in answers to requests that were refused or failed."""

import json
import math
from dataclasses import dataclass

from ploverhatch.common.results import Result

RESULT_HEADER = "Ploverhatch-Result"
OUTCOME_HEADER = "Ploverhatch-Outcome"
CONTENT_TYPE = "application/problem+json"


def problem_body(result: Result, detail: str = "", retry_after_s: float | None = None) -> bytes:
    """Return the JSON body of a problem document."""
    document: dict[str, object] = {
        "type": f"urn:ploverhatch:result:{result.code}",
        "title": result.title,
        "status": result.status,
        "code": result.code,
        "name": result.name,
        "outcome": result.outcome.value,
    }
    if detail:
        document["detail"] = detail
    if retry_after_s is not None:
        document["retry_after_ms"] = math.ceil(retry_after_s * 1000)
    return json.dumps(document).encode()


@dataclass(frozen=True)
class HttpReply:
    """Status, header fields and body of an HTTP answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


def problem_reply(
    result: Result,
    detail: str = "",
    retry_after_s: float | None = None,
    extra: tuple[tuple[str, str], ...] = (),
) -> HttpReply:
    """Return an answer with a problem document.

    :param detail: explanation of this occurrence; left out of the document if empty.
    :param retry_after_s: time after which a retry makes sense. ``Retry-After`` states it in whole
        seconds, rounded up, at least 1; the document in milliseconds.
    :param extra: further header fields.
    """
    body = problem_body(result, detail, retry_after_s)
    headers = [
        ("Content-Type", CONTENT_TYPE),
        (RESULT_HEADER, str(result.code)),
        (OUTCOME_HEADER, result.outcome.value),
        ("Content-Length", str(len(body))),
    ]
    if retry_after_s is not None:
        headers.append(("Retry-After", str(max(1, math.ceil(retry_after_s)))))
    return HttpReply(result.status, (*headers, *extra), body)


def json_reply(
    document: object, status: int = 200, extra: tuple[tuple[str, str], ...] = ()
) -> HttpReply:
    """Return an answer with a JSON body."""
    body = json.dumps(document).encode()
    headers = (("Content-Type", "application/json"), ("Content-Length", str(len(body))))
    return HttpReply(status, (*headers, *extra), body)
