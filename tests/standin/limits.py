"""Whether upstreams that named a limit got more requests than it allows.

From ``FIRST_S`` after the first naming on, an upstream gets in any ``SPAN_S`` at most
``ALLOWED_FACTOR`` times what the limit allows and ``EXTRA_REQUESTS`` requests, summed over the
processes that had passed such an answer on ``TOLD_S`` before or earlier.
"""

from bisect import bisect_left
from math import inf

from tests.standin.site import request_id

FIRST_S = 3.0
SPAN_S = 4.0
ALLOWED_FACTOR = 1.5
EXTRA_REQUESTS = 5
TOLD_S = 0.5
LINK_S = 0.005  # from the answer of an upstream until its node has passed it on


def allowed(per_s):
    return int(ALLOWED_FACTOR * per_s * SPAN_S + EXTRA_REQUESTS)


def _excused(life, from_s, to_s):
    """Whether a process was started, killed or frozen in a span."""
    if life.start_s > from_s:
        return True
    return any(start <= to_s and end >= from_s for start, end in life.faults)


def counted(upstream, sent):
    """Return when the requests came that count, in order, in elapsed seconds.

    :param sent: requests of clients by name, with the process that each was sent to.
    """
    if not upstream.limit_answers:
        return []
    told_s = {}
    for request, at_s, _ in upstream.limit_answers:
        one = sent.get(request_id(request))
        if one is not None:
            told_s.setdefault(id(one.incarnation), at_s + LINK_S)
    first_s = upstream.limit_answers[0][1]
    times = []
    for request in upstream.arrived:
        one, at_s = sent.get(request_id(request)), request.received_ms / 1000
        if one is None or at_s < first_s + FIRST_S:
            continue
        told = told_s.get(id(one.incarnation), inf)
        if at_s >= told + TOLD_S and not _excused(one.incarnation, told, at_s):
            times.append(at_s)
    return sorted(times)


def max_in_span(upstream, sent, until_s=inf):
    """Return the most requests that came in some span, and when that began.

    :param until_s: later ones aren't counted, as once no limit is named any more.
    """
    times = [at_s for at_s in counted(upstream, sent) if at_s <= until_s]
    spans = [(bisect_left(times, at_s + SPAN_S) - i, at_s) for i, at_s in enumerate(times)]
    return max(spans, default=(0, 0.0))


def over_limit(site, sent, until_s=inf):
    """Return sentences on the upstreams that got more than their limits allow."""
    found = []
    for server, upstream in site.upstreams.items():
        if not upstream.limit_answers:
            continue
        per_s = max(float(limit) for _, _, limit in upstream.limit_answers)
        count, at_s = max_in_span(upstream, sent, until_s)
        if count > allowed(per_s):
            found.append(f"{server} named {per_s:g} a second and got {count} from {at_s:.2f} s on")
    return found
