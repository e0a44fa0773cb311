"""Checks that nodes respect servers that announce their leaving or ask for backoff.

A leaving server announces it in its answers. A request that a client sends to a node more than
``DRAIN_S`` after the node forwarded such an answer may not reach that server from that node.
A server that rejects a request and asks for backoff may receive at most ``MAX_DURING_BACKOFF``
requests from that node between ``REACTION_S`` after the rejection and the end of the backoff.
"""

from collections import defaultdict

from tests.standin.site import request_id

DRAIN_S = 2.0
REACTION_S = 0.5
MAX_DURING_BACKOFF = 2
LINK_S = 0.005  # from the answer of an upstream until its node has forwarded it


def _disturbed(incarnation, from_s, to_s):
    """Return whether a process was started, killed or frozen in a span, which excuses it."""
    if incarnation.start_s > from_s:
        return True
    return any(start <= to_s and end >= from_s for start, end in incarnation.faults)


def _arrivals(upstream, sent):
    """Return client requests that reached an upstream and when, by ``id`` of the node process."""
    found = defaultdict(list)
    for request in upstream.arrived:
        record = sent.get(request_id(request))
        if record is not None:
            found[id(record.incarnation)].append((record, request.received_ms / 1000))
    return found


def late_to_leaving(site, sent):
    """Return a sentence for each request that reached a leaving server too late.

    :param sent: client requests by name, each with the node process that it was sent to.
    """
    late = []
    for server, upstream in site.upstreams.items():
        informed_s = {}
        for request, at_s in upstream.leaving_answers:
            record = sent.get(request_id(request))
            if record is not None:
                informed_s.setdefault(id(record.incarnation), at_s + LINK_S)
        for incarnation_id, arrivals in _arrivals(upstream, sent).items():
            since_s = informed_s.get(incarnation_id)
            late += [
                f"{record.name} reached {server} from {record.incarnation.node}, "
                f"sent {record.sent_s - since_s:.2f} s after it was told"
                for record, at_s in arrivals
                if since_s is not None
                and record.sent_s > since_s + DRAIN_S
                and not _disturbed(record.incarnation, since_s, at_s)
            ]
    return late


def backoffs(site, sent):
    """Return, for each requested backoff, the number of requests during it and a sentence."""
    found = []
    for server, upstream in site.upstreams.items():
        arrivals = _arrivals(upstream, sent)
        for request, at_s, for_s in upstream.rejected:
            record = sent.get(request_id(request))
            if record is None or _disturbed(record.incarnation, at_s - REACTION_S, at_s + for_s):
                continue
            arrived = [
                t
                for _, t in arrivals[id(record.incarnation)]
                if at_s + REACTION_S < t < at_s + for_s
            ]
            sentence = (
                f"{server} asked {record.incarnation.node} for {for_s:g} s and got {len(arrived)}"
            )
            found.append((len(arrived), sentence))
    return found


def ignored_backoffs(site, sent):
    """Return a sentence for each backoff during which too many requests arrived."""
    return [sentence for count, sentence in backoffs(site, sent) if count > MAX_DURING_BACKOFF]
