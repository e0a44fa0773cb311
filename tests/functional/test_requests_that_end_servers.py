"""A request that crashes the servers that run it is quarantined, and no other request is.

Guards against a caller's repeats that crash one server after the other: to each node a repeat
was a new request, and it was sent to the next server. Seven servers crashed under one request,
four of them after three crashes were known, since a node remembered how an attempt had ended for
that request only, and told no other node. The logs name the request of each crash by a digest of
its content: one digest occurs at every crash, those of bystanders once each.
"""

import signal
from itertools import count

import gevent
import pytest

from ploverhatch.common.clock import elapsed_ms
from tests.standin.callers import QUARANTINED, Caller
from tests.standin.site import KEYED, StandinSite

GATEWAYS = 4
PLAIN_UPSTREAMS = 16
KEYED_UPSTREAMS = 8
PROPAGATION_S = 3.0  # from the third crash until all gateways must know of it
MAX_LATE = 3  # sends to servers after that
INTERVAL_S = 0.38
KEYED_INTERVAL_S = 1.2  # After each crash its keys have no holder for some seconds.
DURATION_S = 14.0
START_LIMIT_S = 15.0
FREEZE_S = 4.0
ANSWER_LIMIT_S = 0.25  # A refusal must not take longer.
SAVED_S = 2.5  # until the quarantined requests are in the store
OTHERS = 4
OTHERS_SERVED = 0.995
CRASHING_CALLER = "killer"


class Scenario:
    """A site under test with other callers beside the one whose requests crash servers."""

    def __init__(self, site):
        self.site = site
        self.others = [Caller(f"other{n}", f"/read/{n}", f"127.0.0.{n + 2}") for n in range(OTHERS)]
        self.tasks = []

    def await_service(self, caller):
        with gevent.Timeout(START_LIMIT_S):
            for gateway in self.site.gateways:
                while caller.ask(gateway).status != 200:
                    gevent.sleep(0.1)

    def begin_others(self):
        gateways = self.site.gateways
        self.tasks = [gevent.spawn(other.ask_forever, gateways) for other in self.others]

    def send_in_turn(
        self, crashing_caller, interval_s=INTERVAL_S, duration_s=DURATION_S, events=()
    ):
        """Send a request repeatedly, to each gateway in turn."""
        start_s = elapsed_ms() / 1000
        later = [gevent.spawn_later(after_s, task) for after_s, task in events]
        for number in count():
            if elapsed_ms() / 1000 - start_s > duration_s:
                break
            gevent.spawn(crashing_caller.ask, self.site.gateways[number % GATEWAYS])
            gevent.sleep(interval_s)
        gevent.sleep(2.5)
        gevent.joinall(later, raise_error=True)

    def crash_times(self):
        """Return the times at which upstreams crashed, in order."""
        found = [upstream.crashed_s for upstream in self.site.upstreams.values()]
        return sorted(ended_s for ended_s in found if ended_s is not None)

    def arrivals(self, caller):
        names = {sent.name for sent in caller.asked}
        return [at_s for name, _, at_s in self.site.arrivals() if name in names]

    def late_arrivals(self, caller, settled_s=PROPAGATION_S):
        """Return the times of sends later than ``settled_s`` after the third crash."""
        crashes = self.crash_times()
        assert len(crashes) >= 3
        return [at_s for at_s in self.arrivals(caller) if at_s > crashes[2] + settled_s]

    def close(self):
        gevent.killall(self.tasks)
        self.site.close()


@pytest.fixture
def scenario():
    made = Scenario(StandinSite(GATEWAYS, keyed=KEYED_UPSTREAMS, plain=PLAIN_UPSTREAMS))
    made.await_service(Caller("first"))
    yield made
    made.close()


def make_crashing_caller(path="/read/killer", **changes):
    return Caller(CRASHING_CALLER, path, "127.0.0.77", crashes_server=True, **changes)


def assert_quarantined(scenario, crashing_caller):
    late = scenario.late_arrivals(crashing_caller)
    assert len(late) <= MAX_LATE, (
        f"{len(late)} sends late, {len(scenario.crash_times())} servers crashed"
    )


def assert_refused_at_once(scenario, crashing_caller):
    """Assert that quarantined requests got a fast refusal that says when to retry."""
    settled_s = scenario.crash_times()[2] + PROPAGATION_S
    late = [sent for sent in crashing_caller.asked if sent.sent_s > settled_s and sent.status]
    refused = [sent for sent in late if QUARANTINED in sent.head]
    assert len(refused) >= len(late) - MAX_LATE > 0
    assert {sent.status for sent in refused} == {503}
    assert all(b"retry-after: " in sent.head for sent in refused)
    assert sorted(sent.took_s for sent in refused)[len(refused) * 9 // 10] < ANSWER_LIMIT_S


def assert_others_served(scenario):
    asked = [sent for other in scenario.others for sent in other.asked]
    served = sum(sent.status == 200 for sent in asked) / len(asked)
    assert served >= OTHERS_SERVED, served
    assert not any(QUARANTINED in sent.head for sent in asked)


def test_a_request_is_quarantined_at_all_gateways(scenario):
    crashing_caller = make_crashing_caller()
    scenario.begin_others()
    scenario.send_in_turn(crashing_caller)
    assert_quarantined(scenario, crashing_caller)
    assert_refused_at_once(scenario, crashing_caller)
    assert_others_served(scenario)


def test_gateways_that_were_restarted_or_suspended_know_of_a_quarantine(scenario):
    """One gateway is restarted and one is suspended, so that neither saw the third crash."""
    crashing_caller = make_crashing_caller()
    restarted, frozen = scenario.site.gateways[1], scenario.site.gateways[2]

    def restart():
        restarted.kill()
        gevent.sleep(1.0)
        restarted.start()

    events = [(0.1, restart), (0.1, lambda: frozen.incarnation.freeze(FREEZE_S))]
    scenario.send_in_turn(crashing_caller, events=events)
    assert_quarantined(scenario, crashing_caller)
    for gateway in (restarted, frozen):
        assert QUARANTINED in crashing_caller.ask(gateway).head


def test_a_gateway_that_starts_without_a_leader_knows_of_a_quarantine(scenario):
    crashing_caller = make_crashing_caller()
    scenario.send_in_turn(crashing_caller, duration_s=5.0)
    leader = scenario.site.leader()
    started = next(gateway for gateway in scenario.site.gateways if gateway is not leader)
    leader.kill()
    started.kill()
    started.start()
    gevent.sleep(PROPAGATION_S)
    before = len(scenario.arrivals(crashing_caller))
    assert crashing_caller.ask(started).status in {0, 503}
    assert len(scenario.arrivals(crashing_caller)) == before


def test_a_machine_that_has_just_started_sends_none_on(scenario):
    """The gateway gets requests as soon as it accepts connections."""
    crashing_caller = make_crashing_caller()
    scenario.send_in_turn(crashing_caller, duration_s=4.0)
    before = len(scenario.arrivals(crashing_caller))
    for gateway in scenario.site.gateways[:2]:
        gateway.kill()
        gateway.start()
        end_s = elapsed_ms() / 1000 + PROPAGATION_S
        while elapsed_ms() / 1000 < end_s:
            gevent.spawn(crashing_caller.ask, gateway)
            gevent.sleep(0.02)
        gevent.sleep(0.5)
    assert len(scenario.arrivals(crashing_caller)) == before
    assert QUARANTINED in crashing_caller.ask(scenario.site.gateways[0]).head


def test_it_is_known_after_all_machines_were_lost_at_once(scenario):
    """Guards against quarantines that are not stored, where three more servers crashed."""
    crashing_caller = make_crashing_caller()
    scenario.send_in_turn(crashing_caller, duration_s=5.0)
    assert QUARANTINED in crashing_caller.ask(scenario.site.gateways[0]).head
    gevent.sleep(SAVED_S)
    before = len(scenario.arrivals(crashing_caller))
    for gateway in scenario.site.gateways:
        gateway.kill()
    for gateway in scenario.site.gateways:
        gateway.start()
    scenario.await_service(scenario.others[0])
    gevent.sleep(PROPAGATION_S)
    for gateway in scenario.site.gateways:
        assert QUARANTINED in crashing_caller.ask(gateway).head
    assert len(scenario.arrivals(crashing_caller)) == before


def test_a_quarantine_of_keyed_requests_holds_for_each_next_holder(scenario):
    crashing_caller = make_crashing_caller(path="/kread/killer", key=1365)
    scenario.await_service(Caller("keyed", "/kread/a", key=1365))
    scenario.send_in_turn(crashing_caller, interval_s=KEYED_INTERVAL_S, duration_s=26.0)
    assert scenario.late_arrivals(crashing_caller) == []


def test_a_request_that_must_not_run_twice_is_not_reported_as_not_run_once_sent(scenario):
    """While it crashes servers it may have run; later it is refused before it is sent."""
    crashing_caller = make_crashing_caller(path="/p/killer", method="POST", body=b"x")
    scenario.send_in_turn(crashing_caller)
    ran = {name for name, _ in scenario.site.ran()}
    assert {sent.status for sent in crashing_caller.asked if sent.name in ran} <= {0, 502, 504}
    assert_quarantined(scenario, crashing_caller)
    assert_refused_at_once(scenario, crashing_caller)


def test_other_bodies_callers_and_methods_on_the_same_path_are_served(scenario):
    crashing_caller = make_crashing_caller(body=b"one", method="POST")
    scenario.send_in_turn(crashing_caller, duration_s=5.0)
    gateways = scenario.site.gateways
    assert QUARANTINED in crashing_caller.ask(gateways[0]).head
    near = [
        Caller("body", "/read/killer", "127.0.0.77", b"two", method="POST"),
        Caller("caller", "/read/killer", "127.0.0.78", b"one", method="POST"),
        Caller("kind", "/read/killer", "127.0.0.77", b"one", method="PUT"),
        Caller("path", "/read/other", "127.0.0.77", b"one", method="POST"),
    ]
    assert [[c.ask(gateway).status for gateway in gateways] for c in near] == [[200] * 4] * 4


def test_requests_under_way_at_servers_that_crash_for_other_reasons_are_served(scenario):
    """Many servers crash together, several times, while all callers send the same request."""
    popular = [Caller(f"pop{n}", "/read/popular", "127.0.0.90") for n in range(12)]
    tasks = [gevent.spawn(caller.ask_forever, scenario.site.gateways) for caller in popular]
    for _ in range(5):
        gevent.sleep(0.8)
        alive = [u for u in scenario.site.upstreams.values() if u.crashed_s is None]
        plain = [upstream for upstream in alive if upstream.service != KEYED]
        for upstream in plain[: len(plain) // 3]:
            upstream.crash()
            upstream.on_crash(upstream)
    gevent.sleep(1.0)
    gevent.killall(tasks)
    asked = [sent for caller in popular for sent in caller.asked]
    assert len(asked) > 500
    assert not any(QUARANTINED in sent.head for sent in asked)


def test_a_gateway_that_stops_while_others_receive_reports_loses_none(scenario):
    crashing_caller = make_crashing_caller()
    stopping = scenario.site.gateways[3]
    scenario.send_in_turn(crashing_caller, events=[(0.6, lambda: stopping.signal(signal.SIGTERM))])
    assert_quarantined(scenario, crashing_caller)
