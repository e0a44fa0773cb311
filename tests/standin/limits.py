"""Checks that upstreams that announce a rate limit receive no more requests than it allows.

From ``SETTLING_S`` after its first such answer, an upstream may receive in any ``SPAN_S`` at most
``ALLOWED_FACTOR`` times the requests that the limit allows, plus ``EXTRA_REQUESTS``. The count
includes requests from all node processes that forwarded such an answer at least ``REACTION_S``
before.
"""

from bisect import bisect_left
from math import inf

from tests.standin.site import request_id

SETTLING_S = 3.0
SPAN_S = 4.0
ALLOWED_FACTOR = 1.5
EXTRA_REQUESTS = 5
REACTION_S = 0.5
LINK_S = 0.005  # from the answer of an upstream until its node has forwarded it


def max_allowed(per_s):
    return int(ALLOWED_FACTOR * per_s * SPAN_S + EXTRA_REQUESTS)


def _disturbed(incarnation, from_s, to_s):
    """Return whether a process was started, killed or frozen in a span."""
    if incarnation.start_s > from_s:
        return True
    return any(start <= to_s and end >= from_s for start, end in incarnation.faults)


def bound_arrivals(upstream, sent):
    """Return the sorted arrival times, in elapsed seconds, of the requests that the limit binds.

    :param sent: client requests by name, each with the node process that it was sent to.
    """
    if not upstream.limit_answers:
        return []
    informed_s = {}
    for request, at_s, _ in upstream.limit_answers:
        record = sent.get(request_id(request))
        if record is not None:
            informed_s.setdefault(id(record.incarnation), at_s + LINK_S)
    first_s = upstream.limit_answers[0][1]
    times = []
    for request in upstream.arrived:
        record, at_s = sent.get(request_id(request)), request.received_ms / 1000
        if record is None or at_s < first_s + SETTLING_S:
            continue
        since_s = informed_s.get(id(record.incarnation), inf)
        if at_s >= since_s + REACTION_S and not _disturbed(record.incarnation, since_s, at_s):
            times.append(at_s)
    return sorted(times)


def max_in_span(upstream, sent, until_s=inf):
    """Return the largest number of requests within ``SPAN_S``, and the start of that span.

    :param until_s: later requests aren't counted, since no limit is announced any more.
    """
    times = [at_s for at_s in bound_arrivals(upstream, sent) if at_s <= until_s]
    spans = [(bisect_left(times, at_s + SPAN_S) - i, at_s) for i, at_s in enumerate(times)]
    return max(spans, default=(0, 0.0))


def over_limit(site, sent, until_s=inf):
    """Return a sentence for each upstream that received more than its limit allows."""
    found = []
    for server, upstream in site.upstreams.items():
        if not upstream.limit_answers:
            continue
        per_s = max(float(limit) for _, _, limit in upstream.limit_answers)
        count, at_s = max_in_span(upstream, sent, until_s)
        if count > max_allowed(per_s):
            found.append(f"{server} named {per_s:g} a second and got {count} from {at_s:.2f} s on")
    return found
