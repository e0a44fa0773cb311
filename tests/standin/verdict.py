"""Judges a soak from records alone: what clients sent and got, what upstreams did.

A process that was told to stop must not leave a request unanswered that reached
an upstream, except where its platform asks no answer, or where a fault came near.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from math import inf

from ploverhatch.simulation.keys.judge import judge
from tests.standin.clients import End
from tests.standin.site import GRACE_S

FAULT_MARGIN_S = 3.0  # a fault that ended so long before a request does not excuse it
LATEST_EXEMPT_S = 3.0  # after SIGTERM: later requests had better not be taken
LAST_PART = 1 / 6  # of the grace time: work that lasts so long need not be answered
NOT_RUN = {429, 503}


@dataclass
class Verdict:
    """What was found, and how much there was to judge."""

    found: list = field(default_factory=list)
    judged: int = 0  # requests under a planned stop that reached an upstream
    exempt: int = 0  # of these: unanswered, and at work in the last part of the grace time
    excused: int = 0  # unanswered with a fault near
    lost: int = 0  # unanswered against the promise
    reached_none: int = 0  # unanswered without a trace at any upstream
    stops: int = 0  # log lines of processes that stopped in order
    busy_stops: int = 0  # of these: with requests under way
    busy_requests: int = 0
    killed_after_grace: int = 0


def judge_soak(site, load):
    """Return the verdict on a soak that is over."""
    verdict = Verdict()
    verdict.found += broken_promises(site, load)
    verdict.found += ended_alone(site)
    _judge_stops(site, load, verdict)
    _count_stops(site, verdict)
    return verdict


def broken_promises(site, load):
    """Return what the upstreams' records show of requests and keys."""
    runs = Counter(name for name, _ in site.ran())
    by_name = dict(site.ran())
    found = [f"{name} ran {count} times" for name, count in runs.items() if count > 1]
    for name, (status, body) in load.answers.items():
        if status in NOT_RUN and runs[name]:
            found.append(f"{name} was answered {status} and ran")
        if status == 200 and body != b"answer of " + by_name.get(name, "?").encode():
            found.append(f"{name} got another's answer")
    return found + judge(site.journal.holds)


def ended_alone(site):
    """Return the processes that ended though nobody ended them."""
    return [
        f"{life.node} ended by itself with code {life.process.returncode}: "
        f"{gateway.last_words(life)}"
        for gateway in site.gateways
        for life in gateway.lives
        if not life.alive and life.stop_s is None and not life.killed
    ]


def _judge_stops(site, load, verdict):
    arrivals, work = defaultdict(set), defaultdict(list)
    for name, server, _ in site.arrivals():
        arrivals[name].add(server)
    for name, _, start_s, end_s in site.work():
        work[name].append((start_s, inf if end_s is None else end_s))
    for sent in load.requests:
        if sent.end is None:
            continue
        servers = arrivals[sent.name]
        if not servers:
            verdict.reached_none += sent.end is not End.ANSWERED
        elif sent.life.stop_s is not None and sent.end_s >= sent.life.stop_s:
            _judge_one(sent, work[sent.name], _faults(site, sent, servers), verdict)


def _faults(site, sent, servers):
    """Return the spans of all faults that may have touched a request.

    A fault of the store is none where no key has to have an owner.
    """
    ends = [site.upstreams[server].ended_s for server in servers]
    crashes = [(end_s, inf) for end_s in ends if end_s is not None]
    store_faults = site.store_faults if sent.keyed else []
    return [*sent.life.faults, *store_faults, *crashes]


def _judge_one(sent, work, faults, verdict):
    first_s = sent.sent_s - FAULT_MARGIN_S
    excused = any(start <= sent.end_s and end >= first_s for start, end in faults)
    if not excused:
        verdict.judged += 1
    if sent.end is End.ANSWERED:
        return
    if excused:
        verdict.excused += 1
    elif _exempt(sent, work):
        verdict.exempt += 1
    else:
        verdict.lost += 1
        verdict.found.append(_sentence(sent, work))


def _exempt(sent, work):
    stop_s = sent.life.stop_s
    last_s = stop_s + GRACE_S * (1 - LAST_PART), stop_s + GRACE_S
    late = any(start <= last_s[1] and end >= last_s[0] for start, end in work)
    return late and sent.sent_s <= stop_s + LATEST_EXEMPT_S


def _sentence(sent, work):
    stop_s = sent.life.stop_s
    how = "began" if work else "received"
    return (
        f"{sent.name} was {sent.end.value} without an answer though an upstream {how} it: "
        f"{sent.life.node}, sent {sent.sent_s - stop_s:+.2f} s from SIGTERM, "
        f"ended {sent.end_s - stop_s:+.2f} s, work {sent.work_ms} ms"
        f"{', kept connection' if sent.kept else ''}"
    )


def _count_stops(site, verdict):
    busy = [count for gateway in site.gateways for count in gateway.busy_at_stops()]
    verdict.stops = len(busy)
    verdict.busy_stops = sum(count > 0 for count in busy)
    verdict.busy_requests = sum(busy)
    verdict.killed_after_grace = sum(
        life.killed_after_grace for gateway in site.gateways for life in gateway.lives
    )
