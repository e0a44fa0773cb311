"""Judges a soak from records alone: what clients sent and got, what upstreams did.

A process that was told to stop must not leave a request unanswered that reached
an upstream, except where its platform asks no answer, or where a fault came near.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from math import inf

from ploverhatch.simulation.keys.violations import find_violations
from tests.standin.callers import HELD
from tests.standin.clients import End
from tests.standin.limits import over_limit
from tests.standin.site import GRACE_S
from tests.standin.wishes import broken_rests, late_to_leaving, rests

FAULT_MARGIN_S = 3.0  # a fault that ended so long before a request does not excuse it
LATEST_EXEMPT_S = 3.0  # after SIGTERM: later requests had better not be taken
LAST_PART = 1 / 6  # of the grace time: work that lasts so long need not be answered
NOT_RUN = {408, 421, 429, 503}
CONTACT_S = 3.0
MOST_LATE = 3  # sends of a request under which three servers ended, by nodes in touch
HELD_RESULT = b"2111"


@dataclass
class Verdict:
    """What was found, and how much there was to judge."""

    found: list = field(default_factory=list)
    judged: int = 0  # requests under a planned stop that reached an upstream
    exempt: int = 0  # of these: unanswered, and at work in the last part of the grace time
    excused: int = 0  # unanswered with a fault near
    lost: int = 0  # unanswered against the promise
    reached_none: int = 0  # unanswered without a trace at any upstream
    # Of these: of connections that were new to a process that stops. The end of listening
    # resets those whose handshake is under way, which no process can know of.
    met_end_of_listening: int = 0
    untaken: int = 0  # answers of stopping processes that weren't acknowledged
    stops: int = 0  # log lines of processes that stopped in order
    busy_stops: int = 0  # of these: with requests under way
    busy_requests: int = 0
    killed_after_grace: int = 0
    killers: int = 0  # requests that end servers, their repeats counted once
    killer_ends: int = 0  # servers that ended under them
    killer_sends: int = 0
    killer_late: int = 0  # sends by nodes in touch, when all should know of three ends
    held: int = 0  # repeats that were kept from servers
    rests: int = 0  # that upstreams asked nodes for
    leaving: int = 0  # upstreams that said so in answers
    limited: int = 0  # upstreams that named a limit


def judge_soak(site, load, faults):
    """Return the verdict on a soak that is over."""
    verdict = Verdict()
    killers = faults.killers
    answers = {sent.name: sent for killer in killers for sent in killer.asked}
    verdict.found += broken_promises(site, load, answers)
    verdict.found += held_for_nothing(load)
    verdict.found += ended_alone(site)
    verdict.found += wishes_broken(site, load, faults, verdict)
    verdict.found += [
        f"{upstream.server_id} got {len(upstream.arrived)}, and its entry names no server"
        for upstream in faults.odd
        if upstream.arrived
    ]
    _judge_stops(site, load, verdict)
    _judge_killers(site, killers, verdict)
    _count_stops(site, verdict)
    return verdict


def broken_promises(site, load, killers=None):
    """Return what the upstreams' records show of requests and keys."""
    runs = Counter(name for name, _ in site.ran())
    by_name = dict(site.ran())
    killers = killers or {}
    safe = {name for name, sent in killers.items() if sent.safe}
    found = [
        f"{name} ran {count} times"
        for name, count in runs.items()
        if count > 1 and name not in safe
    ]
    found += [
        f"{name} was answered {sent.status} and ran"
        for name, sent in killers.items()
        if sent.status in NOT_RUN and runs[name] and not sent.safe
    ]
    for name, (status, body) in load.answers.items():
        if status in NOT_RUN and runs[name]:
            found.append(f"{name} was answered {status} and ran")
        if status == 200 and body != b"answer of " + by_name.get(name, "?").encode():
            found.append(f"{name} got another's answer")
    return found + find_violations(site.journal.holds)


def wishes_broken(site, load, faults, verdict):
    """Return what was sent to upstreams that leave, want rest, or have a limit."""
    sent = {one.name: one for one in load.requests}
    sent |= {one.name: one for killer in faults.killers for one in killer.asked}
    verdict.limited = sum(bool(upstream.named) for upstream in site.upstreams.values())
    verdict.rests = len(rests(site, sent))
    verdict.leaving = sum(bool(upstream.passed_on) for upstream in site.upstreams.values())
    limits = over_limit(site, sent, faults.healed_s)
    return late_to_leaving(site, sent) + broken_rests(site, sent) + limits


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
            _judge_untaken(sent, verdict)
        elif sent.life.stop_s is not None and sent.end_s >= sent.life.stop_s:
            _judge_one(sent, work[sent.name], _faults(site, sent, servers), verdict)


def _judge_untaken(sent, verdict):
    """Judge a request that reached no upstream: it is to be answered all the same."""
    if sent.end is End.ANSWERED:
        return
    verdict.reached_none += 1
    if _near(sent, sent.life.faults):
        return
    if sent.end is End.CLOSED and not sent.kept and sent.life.stop_s is not None:
        verdict.met_end_of_listening += 1
        return
    since_s = sent.life.stop_s or sent.life.start_s
    verdict.found.append(
        f"{sent.name} was {sent.end.value} without an answer, and reached no upstream: "
        f"{sent.life.node}, {sent.habit.value}, {'kept' if sent.kept else 'new'} connection, "
        f"sent {sent.sent_s - since_s:+.2f} s, ended {sent.end_s - since_s:+.2f} s from "
        f"{'SIGTERM' if sent.life.stop_s else 'its start'}"
    )


def _near(sent, faults):
    first_s = sent.sent_s - FAULT_MARGIN_S
    return any(start <= sent.end_s and end >= first_s for start, end in faults)


def _faults(site, sent, servers):
    """Return the spans of all faults that may have touched a request.

    A fault of the store is none where no key has to have an owner.
    """
    ends = [site.upstreams[server].ended_s for server in servers]
    crashes = [(end_s, inf) for end_s in ends if end_s is not None]
    store_faults = site.store_faults if sent.keyed else []
    return [*sent.life.faults, *store_faults, *crashes]


def _judge_one(sent, work, faults, verdict):
    excused = _near(sent, faults)
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


def held_for_nothing(load):
    """Return the requests that were kept from servers though they end none."""
    return [
        f"{sent.name} was held, and ends no server: {'keyed' if sent.keyed else 'plain'}"
        for sent in load.requests
        if sent.result == HELD_RESULT
    ]


def _judge_killers(site, killers, verdict):
    ended = {life: upstream.ended_s for life, upstream in site.upstreams.items()}
    arrivals = defaultdict(list)
    for name, life, at_s in site.arrivals():
        arrivals[name].append((life, at_s))
    ran = defaultdict(set)
    for name, life in site.ran():
        ran[name].add(life)
    for killer in killers:
        lives = set().union(*(ran[sent.name] for sent in killer.asked))
        ends = sorted(ended[life] for life in lives if ended[life] is not None)
        verdict.killer_ends += len(ends)
        if killer.copies_count:
            at = [life for sent in killer.asked for life in ran[sent.name]]
            ends = sorted(ended[life] for life in at if ended[life] is not None)
        sends = [(sent, at_s) for sent in killer.asked for _, at_s in arrivals[sent.name]]
        known_s = ends[2] + CONTACT_S if len(ends) > 2 else inf
        late = [
            (sent, at_s)
            for sent, at_s in sends
            if at_s > known_s and in_touch(site, sent.life, at_s)
        ]
        verdict.killers += 1
        verdict.killer_sends += len(sends)
        verdict.killer_late += len(late)
        verdict.held += sum(HELD in sent.head for sent in killer.asked)
        if len(late) > MOST_LATE:
            nodes = [f"{sent.life.node} +{at_s - known_s:.1f}" for sent, at_s in late]
            verdict.found.append(f"{killer.name} {killer.path} was sent on late: {nodes}")


def in_touch(site, life, at_s):
    """Whether a node ran, undisturbed and with its store, for the time of contact."""
    first_s = at_s - CONTACT_S
    if life.start_s > first_s or (life.stop_s is not None and life.stop_s < at_s):
        return False
    faults = [*life.faults, *site.store_faults]
    return not any(start <= at_s and end >= first_s for start, end in faults)


def _count_stops(site, verdict):
    for gateway in site.gateways:
        busy = gateway.busy_at_stops()
        verdict.stops += len(busy)
        verdict.busy_stops += sum(count > 0 for count in busy)
        verdict.busy_requests += sum(busy)
        verdict.untaken += gateway.untaken_at_stops()
        sound = not any(life.faults for life in gateway.lives)
        late = [life for life in gateway.lives if life.killed_after_grace]
        verdict.killed_after_grace += len(late)
        if sound and any(busy):
            verdict.found.append(f"{gateway.name} ended with requests under way: {busy}")
        if sound and late:
            verdict.found.append(f"{gateway.name} outlasted its grace time {len(late)} times")
