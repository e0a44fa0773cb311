"""Load on a site while some gateways are cut from the upstreams, but reach all else.

A cut gateway can reach each upstream through another gateway, so its callers are to be served,
and the callers of the other gateways are not to notice.
"""

import re
from collections import Counter
from dataclasses import dataclass, field
from itertools import cycle
from types import SimpleNamespace

import gevent
import pytest

from ploverhatch.admission import groups
from ploverhatch.admission.groups import GroupName
from ploverhatch.common.clock import elapsed_ms
from ploverhatch.simulation.keys.server import SAMPLE_KEYS
from tests.standin.callers import PAUSE_S, Caller
from tests.standin.links import LinkState
from tests.standin.site import CUT_PROGRAM, KEYED, PLAIN, StandinSite
from tests.standin.verdict import broken_promises

GATEWAYS = SERVERS = 4
CALLERS = 16
ROUTES = {"read": PLAIN, "p": PLAIN, "kread": KEYED, "k": KEYED}  # half of them are safe
START_LIMIT_S = 20.0
DISCOVERY_S = 6.0  # All nodes know each other by then.
CUT_S = 10.0
RECOVERY_S = 3.0  # after a cut or a heal
HEALED_S = 3.0
TRY_S = 2.0
SERVED = 0.98
CUT_SERVED = 2 / 3  # of the share at the other gateways
RESULT = re.compile(rb"ploverhatch-result: ([^\r]*)")


def now_s():
    return elapsed_ms() / 1000


@dataclass
class SpreadCaller(Caller):
    """Sends requests of one route to all gateways in turn, those with keys for all keys in turn."""

    service: str = PLAIN
    keys: cycle = field(default_factory=lambda: cycle([None]))

    def ask(self, gateway):
        self.key = next(self.keys)
        return super().ask(gateway)


def new_caller(number):
    route, service = list(ROUTES.items())[number % len(ROUTES)]
    first = number * len(SAMPLE_KEYS) // CALLERS
    keys = SAMPLE_KEYS[first:] + SAMPLE_KEYS[:first] if service == KEYED else [None]
    return SpreadCaller(f"c{number}", f"/{route}/a", service=service, keys=cycle(keys))


class Load:
    """A site whose callers ask all gateways in turn, each by one request at a time."""

    def __init__(self):
        self.site = StandinSite(GATEWAYS, SERVERS, SERVERS, programs=(CUT_PROGRAM,))
        self.callers = [new_caller(number) for number in range(CALLERS)]
        self._running = True
        self._tasks = []

    def begin(self):
        with gevent.Timeout(START_LIMIT_S):
            for gateway in self.site.gateways:
                for caller in self.callers:
                    while caller.ask(gateway).status != 200:
                        gevent.sleep(0.05)
        for number, caller in enumerate(self.callers):
            first = number // len(ROUTES) % GATEWAYS
            order = self.site.gateways[first:] + self.site.gateways[:first]
            self._tasks.append(gevent.spawn(self._run, caller, order))
        gevent.sleep(DISCOVERY_S)

    def _run(self, caller, gateways):
        for gateway in cycle(gateways):
            if not self._running:
                return
            caller.ask(gateway)
            gevent.sleep(PAUSE_S)

    def stop(self):
        """Let the callers finish their requests."""
        self._running = False
        gevent.joinall(self._tasks, raise_error=True)

    def close(self):
        gevent.killall(self._tasks)
        self.site.close()

    def asked(self, gateways, services, span_s):
        """Return the requests that were sent to some gateways in a span of time."""
        names = {gateway.name for gateway in gateways}
        start_s, end_s = span_s
        return [
            sent
            for caller in self.callers
            for sent in caller.asked
            if caller.service in services
            and sent.incarnation.node in names
            and start_s <= sent.sent_s < end_s
        ]

    def broken_promises(self):
        """Return unsafe requests that ran wrongly, and keys with two holders at once."""
        sent = {sent.name: sent for caller in self.callers for sent in caller.asked}
        return broken_promises(self.site, SimpleNamespace(answers={}), sent)


@pytest.fixture
def load():
    made = Load()
    yield made
    made.close()


@dataclass(frozen=True)
class Share:
    """The requests of one place, kind and span, and how many of them were served in time."""

    served: int
    sent: int
    unserved: Counter  # by status and result code of the gateway

    @classmethod
    def of(cls, requests):
        lost = [sent for sent in requests if sent.status != 200 or sent.took_s > TRY_S]
        results = [RESULT.search(sent.head) for sent in lost]
        unserved = Counter(
            (sent.status, result[1].decode() if result else "")
            for sent, result in zip(lost, results, strict=True)
        )
        return cls(len(requests) - len(lost), len(requests), unserved)

    @property
    def fraction(self):
        assert self.sent
        return self.served / self.sent

    def __str__(self):
        return f"{self.served} of {self.sent}, {self.fraction:.3f} {dict(self.unserved) or ''}"


class Figures:
    """What the cut gateways and the others served, first during the cut and then healed."""

    def __init__(self, load, cut, cut_start_s, healed_s):
        others = [gateway for gateway in load.site.gateways if gateway not in cut]
        spans = {
            "during": (cut_start_s + RECOVERY_S, healed_s),
            "healed": (healed_s + RECOVERY_S, healed_s + RECOVERY_S + HEALED_S),
        }
        self.shares = {
            (moment, place, kind): Share.of(load.asked(gateways, services, span_s))
            for moment, span_s in spans.items()
            for place, gateways in (("cut", cut), ("others", others))
            for kind, services in (
                (PLAIN, [PLAIN]),
                (KEYED, [KEYED]),
                ("all", [PLAIN, KEYED]),
            )
        }

    def fraction(self, *where):
        return self.shares[where].fraction

    def too_low(self, least):
        """Return the places where less than the given fraction was served."""
        return [" ".join(where) for where, bound in least.items() if self.fraction(*where) < bound]

    def __str__(self):
        return "\n".join(f"{' '.join(where)}: {share}" for where, share in self.shares.items())


def play_cut(load, cut, state, upstreams):
    """Cut gateways from upstreams, heal the links, and return the figures."""
    ports = [upstream.address.port for upstream in upstreams]
    cut_start_s = now_s()
    for gateway in cut:
        gateway.cut(state, ports)
    gevent.sleep(CUT_S)
    healed_s = now_s()
    for gateway in cut:
        gateway.heal()
    gevent.sleep(RECOVERY_S + HEALED_S)
    load.stop()
    return Figures(load, cut, cut_start_s, healed_s)


def after_heal():
    places = [("healed", place, kind) for place in ("cut", "others") for kind in (PLAIN, KEYED)]
    return dict.fromkeys(places, SERVED)


def dispatcher_of(site, group):
    addresses = {f"127.0.0.1:{gateway.internal[0]}": gateway for gateway in site.gateways}
    return addresses[groups.dispatcher_of(group, dict.fromkeys(addresses, "z1"), ())]


def leader(site):
    return [site.leader()]


def dispatcher(site):
    return [dispatcher_of(site, GroupName(PLAIN))]


def without_duties(site):
    """Return the gateways that neither lead nor dispatch requests without keys."""
    duties = leader(site) + dispatcher(site)
    return [gateway for gateway in site.gateways if gateway not in duties]


def one(site):
    return without_duties(site)[:1]


def all_but_leader(site):
    return [gateway for gateway in site.gateways if gateway is not site.leader()]


def all_but_one_follower(site):
    return [gateway for gateway in site.gateways if gateway is not without_duties(site)[0]]


# Guards against gateways that serve nothing while cut from all upstreams, and cost the others too.
@pytest.mark.parametrize(
    ("choose", "state"),
    [
        pytest.param(one, LinkState.SILENT, id="one-silent"),
        pytest.param(one, LinkState.REFUSED, id="one-refused"),
        pytest.param(one, LinkState.HALF_OPEN, id="one-half-open"),
        pytest.param(leader, LinkState.SILENT, id="leader-silent"),
        pytest.param(dispatcher, LinkState.SILENT, id="dispatcher-silent"),
        pytest.param(dispatcher, LinkState.REFUSED, id="dispatcher-refused"),
        pytest.param(all_but_leader, LinkState.SILENT, id="all-but-leader-silent"),
        pytest.param(all_but_leader, LinkState.REFUSED, id="all-but-leader-refused"),
        pytest.param(all_but_one_follower, LinkState.SILENT, id="all-but-one-follower-silent"),
    ],
)
def test_gateways_that_are_cut_from_all_upstreams_serve_their_callers(load, choose, state):
    load.begin()
    cut = choose(load.site)
    figures = play_cut(load, cut, state, load.site.upstreams.values())
    print(figures)
    least = {
        ("during", "cut", "all"): CUT_SERVED * figures.fraction("during", "others", "all"),
        ("during", "others", PLAIN): SERVED,
        ("during", "others", KEYED): SERVED,
        **after_heal(),
    }
    found = figures.too_low(least) + load.broken_promises()
    assert not found, f"{found}\n{figures}"


def dispatcher_of_holder(site, holder):
    return dispatcher_of(site, GroupName(KEYED, "z1", holder.server_id))


def not_dispatching(site, holder):
    """Return a gateway that neither leads nor dispatches the requests of a holder."""
    duties = site.leader(), dispatcher_of_holder(site, holder)
    return next(gateway for gateway in site.gateways if gateway not in duties)


def leading(site, _holder):
    return site.leader()


# Guards against keys that aren't served since one gateway has no link to their holder.
@pytest.mark.parametrize(
    "choose",
    [
        pytest.param(not_dispatching, id="one"),
        pytest.param(leading, id="leader"),
        pytest.param(dispatcher_of_holder, id="dispatcher"),
    ],
)
def test_a_gateway_that_is_cut_from_one_holder_serves_the_keys_of_all(load, choose):
    load.begin()
    holder = next(up for up in load.site.upstreams.values() if up.service == KEYED)
    figures = play_cut(load, [choose(load.site, holder)], LinkState.SILENT, [holder])
    print(figures)
    least = {
        ("during", place, kind): SERVED for place in ("cut", "others") for kind in (PLAIN, KEYED)
    }
    found = figures.too_low(least | after_heal()) + load.broken_promises()
    assert not found, f"{found}\n{figures}"
