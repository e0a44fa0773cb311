"""What upstreams asked of the nodes that send to them, and whether they got it.

A server that leaves says so in its answers: nothing that a client sends to a node later
than ``DRAIN_S`` after the node passed such an answer on may reach it from that node. One
that turns a request away with a time of rest gets at most ``MAX_DURING_BACKOFF`` requests from
that node between ``REST_FROM_S`` after it and the end of the rest.
"""

from collections import defaultdict

from tests.standin.site import request_id

DRAIN_S = 2.0
REST_FROM_S = 0.5
MAX_DURING_BACKOFF = 2
LINK_S = 0.005  # from the answer of an upstream until its node has passed it on


def _disturbed(life, from_s, to_s):
    """Whether a process was started, killed or frozen in a span, which excuses it."""
    if life.start_s > from_s:
        return True
    return any(start <= to_s and end >= from_s for start, end in life.faults)


def _arrivals(upstream, sent):
    """Return each request of a client that reached an upstream, and when, by its process."""
    found = defaultdict(list)
    for request in upstream.arrived:
        one = sent.get(request_id(request))
        if one is not None:
            found[id(one.incarnation)].append((one, request.received_ms / 1000))
    return found


def late_to_leaving(site, sent):
    """Return the requests that reached a server that had said that it leaves, too late.

    :param sent: requests of clients by name, with the process that each was sent to.
    """
    late = []
    for server, upstream in site.upstreams.items():
        first = {}
        for request, at_s in upstream.leaving_answers:
            one = sent.get(request_id(request))
            if one is not None:
                first.setdefault(id(one.incarnation), at_s + LINK_S)
        for life, arrivals in _arrivals(upstream, sent).items():
            since_s = first.get(life)
            late += [
                f"{one.name} reached {server} from {one.incarnation.node}, "
                f"sent {one.sent_s - since_s:.2f} s after it was told"
                for one, at_s in arrivals
                if since_s is not None
                and one.sent_s > since_s + DRAIN_S
                and not _disturbed(one.incarnation, since_s, at_s)
            ]
    return late


def backoffs(site, sent):
    """Return, for each rest that was asked for, how many requests came in it, with a sentence."""
    found = []
    for server, upstream in site.upstreams.items():
        arrivals = _arrivals(upstream, sent)
        for request, at_s, rest_s in upstream.rejected:
            one = sent.get(request_id(request))
            if one is None or _disturbed(one.incarnation, at_s - REST_FROM_S, at_s + rest_s):
                continue
            came = [
                t
                for _, t in arrivals[id(one.incarnation)]
                if at_s + REST_FROM_S < t < at_s + rest_s
            ]
            sentence = f"{server} asked {one.incarnation.node} for {rest_s:g} s and got {len(came)}"
            found.append((len(came), sentence))
    return found


def ignored_backoffs(site, sent):
    """Return sentences on the rests that were not given."""
    return [sentence for count, sentence in backoffs(site, sent) if count > MAX_DURING_BACKOFF]
