"""Ties an answer on a kept connection to the request that it answers.

HTTP/1.1 ties them by their order alone, so one answer too many shifts all that follow. An id
that the server repeats makes the shift known, provided that no two requests on a connection have
the same id. This module does no I/O and reads no clock.
"""

from collections.abc import Collection
from enum import Enum


class AnswerMatch(Enum):
    """Which request a complete answer belongs to."""

    OWN = "own"  # the one that waits for it
    EARLIER = "earlier"  # an earlier one on the connection; the own answer follows
    UNKNOWN = "unknown"  # the one that waits for it, or another


def match_answer(request_id: bytes, answered_id: bytes, earlier: Collection[bytes]) -> AnswerMatch:
    """Return which request an answer belongs to.

    :param request_id: id of the request that waits for an answer; empty if it has none.
    :param answered_id: id in the answer; empty if it has none.
    :param earlier: ids of the latest earlier requests on the connection, without ``request_id``.
    """
    if answered_id and answered_id == request_id:
        return AnswerMatch.OWN
    if answered_id in earlier:
        return AnswerMatch.EARLIER if answered_id else AnswerMatch.UNKNOWN
    if not answered_id and not earlier:
        return AnswerMatch.OWN  # Nothing else was asked on this connection.
    return AnswerMatch.UNKNOWN
