"""Single requests through the forwarder, with simulated upstream servers."""

from contextlib import contextmanager
from dataclasses import replace

import gevent
import pytest

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.gateway.directory import Directory
from ploverhatch.gateway.forwarder import MOVE_FRACTION, OFFER_FRACTION, Forwarder
from ploverhatch.gateway.messages import CallerGoneError, CallerRequest
from ploverhatch.gateway.shared_slots import (
    SharedSlot,
    TurnedAwayError,
)
from ploverhatch.gateway.upstreams import UpstreamPool
from ploverhatch.platform.dialect import PlatformDialect
from ploverhatch.routing.planned_stop import PlannedStop
from ploverhatch.routing.route_table import Route, RouteTable, Service, ServiceShare
from ploverhatch.routing.shared_retry_budget import SharedRetryBudget
from ploverhatch.sharding.keymap import LAST_KEY, Holder, KeyMap, KeyRange
from ploverhatch.state.server_notices import ServerNotice
from ploverhatch.state.servers import ServerRecord
from tests.standin.upstream import RawUpstream, Upstream

PLAIN, KEYED = "plain", "keyed"
WHOLE = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nok"


def route(name, service, repeatable, **changes):
    values = {
        "name": name,
        "path_prefix": f"/{name}/".encode(),
        "shares": (ServiceShare(service, 1.0),),
        "repeatable": repeatable,
        "timeout_ms": 600.0,
        "objective_ms": 400.0,
        "max_attempts": 2,
        "priority": 0,
    }
    return Route(**{**values, **changes})


ROUTES = (
    route("read", PLAIN, repeatable=True),
    route("once", PLAIN, repeatable=False),
    route("key", KEYED, repeatable=True),
    route("keyonce", KEYED, repeatable=False),
)


class Bench:
    """A forwarder with its directory and upstreams."""

    def __init__(self):
        self.directory = Directory()
        self.pool = UpstreamPool("z1")
        self.budget = SharedRetryBudget(ratio=0.2, slack=50.0, window_s=10.0)
        self.forwarder = Forwarder(self.directory, self.pool, PlatformDialect(), self.budget)
        services = {PLAIN: Service(PLAIN, False, 100), KEYED: Service(KEYED, True, 100)}
        self.directory.apply_table(RouteTable(1, {b"h.example": ROUTES}, services))

    def add(self, upstream, server_id="", service=PLAIN):
        record = ServerRecord(
            server_id or upstream.server_id, service, *upstream.address, "z1", 2, False
        )
        self.directory.put_server(record)
        self.pool.sync(self.directory.servers.records)
        return record

    def own_keys(self, record, settled=True, revision=1):
        holder = Holder(record.server_id, record.host, record.port)
        ranges = (KeyRange(0, LAST_KEY, holder, 1, settled),)
        self.directory.put_keymap(KeyMap(KEYED, ranges, 1, revision))

    def ask(self, path, method=b"GET", headers=(), body=b""):
        fields = [(b"Host", b"h.example:80"), (b"Request-Id", b"r1"), *headers]
        request = CallerRequest(method, path, fields, body, elapsed_ms())
        with gevent.Timeout(3.0):
            return self.forwarder.handle(request)


@pytest.fixture
def bench():
    return Bench()


def field(message, name):
    return [value for key, value in message.headers if key.lower() == name]


def test_the_answer_comes_back_unchanged(bench):
    upstream = Upstream("u1")
    bench.add(upstream)
    extra = [(b"X-Odd", b"1"), (b"Connection", b"x-hop"), (b"X-Hop", b"2")]
    reply = bench.ask(b"/read/a?b=%2F", headers=[*extra, (b"Request-Deadline-Ms", b"300")])
    assert (reply.status, reply.body) == (200, b"answer of u1")
    assert field(reply, b"response-seal") == [b"seal"]
    (arrived,) = upstream.ran
    assert arrived.target == b"/read/a?b=%2F"
    assert field(arrived, b"x-odd") == [b"1"]
    assert field(arrived, b"x-hop") == []
    assert field(arrived, b"expect-instance") == [b"u1"]
    assert 0 < int(field(arrived, b"request-deadline-ms")[0]) <= 300


def test_before_any_configuration_nothing_is_denied():
    forwarder = Forwarder(
        Directory(), UpstreamPool("z1"), PlatformDialect(), SharedRetryBudget(0.2, 50.0, 10.0)
    )
    request = CallerRequest(b"GET", b"/read/", [(b"Host", b"h.example")], b"", elapsed_ms())
    assert forwarder.handle(request).status == 503


REFUSALS = [
    (b"/none/", (), 404, False),
    (b"/key/", (), 400, False),  # without a key
    (b"/key/", ((b"Shard-Key", b"70000"),), 400, False),
    (b"/read/", ((b"Request-Deadline-Ms", b"soon"),), 400, False),
    (b"/read/", (), 503, True),  # no server
    (b"/key/", ((b"Shard-Key", b"5"),), 503, True),  # no owner
]


@pytest.mark.parametrize(("path", "headers", "status", "has_retry_after"), REFUSALS)
def test_refusals(bench, path, headers, status, has_retry_after):
    reply = bench.ask(path, headers=headers)
    assert reply.status == status
    assert bool(field(reply, b"retry-after")) is has_retry_after
    assert field(reply, b"response-seal") == []


def test_a_refusal_comes_well_before_the_objective(bench):
    started = elapsed_ms()
    bench.ask(b"/read/")
    assert elapsed_ms() - started < 400 * 0.3


def test_a_stopping_process_refuses_what_would_outlive_it(bench):
    """The refusal says that the request hasn't run, so another node can serve it at once."""
    upstream = Upstream("u1")
    bench.add(upstream)
    bench.forwarder.planned_stop = PlannedStop(elapsed_ms() - 3000.0, 4000.0)
    reply = bench.ask(b"/once/", method=b"POST")
    assert (reply.status, field(reply, b"ploverhatch-result")) == (503, [b"2106"])
    assert field(reply, b"retry-after") == [b"0.000"]
    assert upstream.arrived == []
    assert bench.ask(b"/once/", headers=[(b"Request-Deadline-Ms", b"300")]).status == 200


def test_before_the_admission_cutoff_a_deadline_ends_before_the_process_does(bench):
    upstream = Upstream("u1")
    bench.add(upstream)
    bench.forwarder.planned_stop = PlannedStop(elapsed_ms(), 600.0)
    assert bench.ask(b"/once/", method=b"POST").status == 200
    (arrived,) = upstream.ran
    assert int(field(arrived, b"request-deadline-ms")[0]) <= 600 * 0.9


# Behaviour of the first upstream, path, expected status, and number of attempts that arrive.
ATTEMPTS = {
    "not executed, repeatable": ({"refuse": 1}, b"/read/", 200, 2),
    "not executed, at most once": ({"refuse": 1}, b"/once/", 200, 2),
    "answer without seal, repeatable": ({"sealed": False}, b"/read/", 200, 2),
    "answer without seal, at most once": ({"sealed": False}, b"/once/", 502, 1),
    "another's answer, repeatable": ({"wrong_id": True}, b"/read/", 200, 2),
    "another's answer, at most once": ({"wrong_id": True}, b"/once/", 502, 1),
    "own failure, repeatable": ({"status": 500}, b"/read/", 200, 2),
    "own failure, at most once": ({"status": 500}, b"/once/", 500, 1),
    "own refusal is passed on": ({"status": 403}, b"/once/", 403, 1),
    "silence, at most once": ({"hang": True}, b"/once/", 504, 1),
}


@pytest.mark.parametrize("name", ATTEMPTS)
def test_attempts(bench, name):
    behaviour, path, status, arrivals = ATTEMPTS[name]
    first = Upstream("u1")
    for key, value in behaviour.items():
        setattr(first.behaviour, key, value)
    bench.add(first)
    second = Upstream("u2")
    bench.add(second)
    bench.pool.get("u2").note_failure()  # So u1 is tried first.
    reply = bench.ask(path)
    assert reply.status == status
    assert len(first.arrived) + len(second.arrived) == arrivals


def test_an_answer_cut_off_may_have_run(bench):
    cut = RawUpstream(WHOLE[:-1], close=True)
    bench.add(cut, "u1")
    assert bench.ask(b"/once/", b"POST", body=b"x").status == 502
    assert len(cut.received) == 1


def test_a_request_is_retried_after_a_failed_connection(bench):
    gone = RawUpstream()
    bench.add(gone, "u1")
    gone.close()
    there = Upstream("u2")
    bench.add(there)
    bench.pool.get("u2").note_failure()
    assert bench.ask(b"/once/").status == 200


def test_no_retry_without_budget(bench):
    bench.budget.slack = 0.0
    first, second = Upstream("u1"), Upstream("u2")
    first.behaviour.refuse = second.behaviour.refuse = 5
    bench.add(first)
    bench.add(second)
    reply = bench.ask(b"/read/")
    assert reply.status == 503
    assert field(reply, b"retry-after")
    assert len(first.arrived) + len(second.arrived) == 1


def test_another_server_at_the_address_is_forgotten(bench):
    other = Upstream("u9")
    bench.add(other, "u1")
    assert bench.ask(b"/once/").status == 503
    assert "u1" not in bench.directory.servers.records
    assert other.ran == []


def test_a_keyed_request_waits_for_its_keys(bench):
    upstream = Upstream("u1", sharded=True)
    record = bench.add(upstream, service=KEYED)
    upstream.granted_ranges[0, LAST_KEY] = (1, float("inf"))
    bench.own_keys(record, settled=False)
    asked = gevent.spawn(bench.ask, b"/keyonce/", headers=[(b"Shard-Key", b"7")])
    gevent.sleep(0.05)
    assert upstream.arrived == []
    bench.own_keys(record, revision=2)
    assert asked.get(timeout=1.0).status == 200


def test_a_server_that_does_not_hold_the_key_is_asked_again(bench):
    upstream = Upstream("u1", sharded=True)
    bench.own_keys(bench.add(upstream, service=KEYED))
    asked = gevent.spawn(bench.ask, b"/keyonce/", headers=[(b"Shard-Key", b"7")])
    gevent.spawn_later(0.01, upstream.granted_ranges.update, {(0, LAST_KEY): (1, float("inf"))})
    assert asked.get(timeout=1.0).status == 200
    assert len(upstream.ran) == 1


def test_an_outdated_key_map_is_not_used(bench):
    upstream = Upstream("u1", sharded=True)
    bench.own_keys(bench.add(upstream, service=KEYED))
    bench.directory.keymaps_current_ms -= 60_000
    assert bench.ask(b"/keyonce/", headers=[(b"Shard-Key", b"7")]).status == 503
    assert upstream.arrived == []


def test_a_caller_that_leaves_ends_the_work(bench):
    upstream = Upstream("u1")
    upstream.behaviour.work_s = 1.0
    bench.add(upstream)
    asked = gevent.spawn(bench.ask, b"/read/")
    gevent.sleep(0.05)
    asked.kill(CallerGoneError())
    gevent.sleep(0.05)
    assert upstream._server.open_connections == 0
    assert bench.pool.get("u1").in_flight == 0


def test_the_first_to_wait_with_the_best_priority_goes_first(bench):
    upstream = Upstream("u1")
    bench.add(upstream)
    state = bench.pool.get("u1")
    state.limit = 1.0
    order = []

    def wait(priority):
        with state.slot(priority, 1.0):
            order.append(priority)
            gevent.sleep(0.01)

    with state.slot(0, 1.0):
        tasks = [gevent.spawn(wait, priority) for priority in (2, 0, 1)]
        gevent.sleep(0.01)
    gevent.joinall(tasks)
    assert order == [0, 1, 2]


@pytest.mark.parametrize(("moving_for_ms", "part"), [(0.0, MOVE_FRACTION), (600.0, OFFER_FRACTION)])
def test_a_request_is_refused_early_while_a_move_waits_for_a_lease_to_expire(
    bench, monkeypatch, moving_for_ms, part
):
    record = bench.add(Upstream("u1", sharded=True), service=KEYED)
    with monkeypatch.context() as earlier:
        seen_ms = elapsed_ms() - moving_for_ms
        earlier.setattr("ploverhatch.gateway.directory.elapsed_ms", lambda: seen_ms)
        bench.own_keys(record, settled=False)
    started = elapsed_ms()
    reply = bench.ask(b"/key/a", headers=[(b"Shard-Key", b"5")])
    waited_ms = elapsed_ms() - started
    assert (reply.status, bool(field(reply, b"retry-after"))) == (503, True)
    assert 400 * part - 5 <= waited_ms <= 400 * part + 60


def test_a_holder_that_was_seen_to_have_ended_is_asked_once(bench):
    """Guards against a second attempt at an address that another server has reused."""
    other = Upstream("other", sharded=True)
    record = bench.add(other, "u1", service=KEYED)
    bench.own_keys(record)
    reply = bench.ask(b"/key/a", headers=[(b"Shard-Key", b"5")])
    assert reply.status == 503
    assert len(other.arrived) == 1


@pytest.mark.parametrize(("path", "status"), [(b"/key/", 200), (b"/keyonce/", 502)])
def test_a_connection_that_is_reset_at_once_is_a_full_server(bench, monkeypatch, path, status):
    """Guards against an immediate retry at the same full server.

    A full server may reset a connection at once instead of answering.
    """
    upstream = Upstream("u1", sharded=True)
    upstream.granted_ranges[(0, LAST_KEY)] = (1, float("inf"))
    bench.own_keys(bench.add(upstream, service=KEYED))
    upstream.behaviour.work_s = 0.2
    for _ in range(3):
        assert bench.ask(b"/key/", headers=[(b"Shard-Key", b"5")]).status == 200
    known = bench.pool.get("u1")
    limit = known.limit
    monkeypatch.setattr("random.random", lambda: 1.0)
    upstream.behaviour.reset = 1
    start_ms = elapsed_ms()
    assert bench.ask(path, headers=[(b"Shard-Key", b"5")]).status == status
    assert known.limit < limit
    if status == 200:
        assert elapsed_ms() - start_ms > 360.0  # a pause of a typical answer time, then the work


def test_a_connection_that_breaks_late_does_not_count_as_a_rejection(bench):
    upstream = Upstream("u1")
    known = bench.pool.get(bench.add(upstream).server_id)
    known.answer_time.add(100.0)
    assert known.suggests_rejection(5.0)
    assert not known.suggests_rejection(50.0)


def test_requests_of_a_full_share_go_to_no_other_service(bench):
    """The shares of a split hold even while one of its services has no capacity."""
    upstream = Upstream("u1")
    bench.add(upstream)
    shares = (ServiceShare(PLAIN, 1.0), ServiceShare("empty", 1.0))
    split = route("split", PLAIN, repeatable=True, shares=shares)
    services = {name: Service(name, False, 100) for name in (PLAIN, "empty")}
    bench.directory.apply_table(RouteTable(2, {b"h.example": (split,)}, services))
    statuses = [bench.ask(b"/split/").status for _ in range(6)]
    assert sorted(statuses) == [200] * 3 + [503] * 3
    assert len(upstream.ran) == 3


# ---- shared slots -------------------------------------------------------------------------


class GrantedSlots:
    """Grants slots of the given servers in order; ``None`` means that no dispatcher answers."""

    def __init__(self, *servers, after_ms=None):
        self.servers = list(servers)
        self.after_ms = after_ms
        self.requests = []
        self.ended = []
        self.used_without = []  # servers of requests that were sent without a slot

    @contextmanager
    def report_use(self, requirements, record):
        self.used_without.append(record.server_id)
        yield

    @contextmanager
    def hold(self, requirements):
        self.requests.append(requirements)
        if self.after_ms is not None:
            raise TurnedAwayError(self.after_ms)
        server = self.servers.pop(0) if self.servers else None
        slot = SharedSlot(server) if server else None
        yield slot
        if slot is not None:
            self.ended.append(slot)


def use_shared_slots(bench, slots):
    bench.forwarder = Forwarder(bench.directory, bench.pool, PlatformDialect(), bench.budget, slots)
    return slots


def test_a_request_goes_to_the_server_whose_slot_it_was_granted(bench):
    upstreams = [Upstream("u1"), Upstream("u2")]
    for upstream in upstreams:
        bench.add(upstream)
    slots = use_shared_slots(bench, GrantedSlots("u2", "u1", "u2"))
    for _ in range(3):
        assert bench.ask(b"/once/", b"POST").status == 200
    assert [len(upstream.ran) for upstream in upstreams] == [1, 2]
    assert all(slot.service_ms > 0 and not slot.failed for slot in slots.ended)


def test_a_request_without_a_slot_is_refused_at_once_with_a_retry_delay(bench):
    upstream = Upstream("u1")
    bench.add(upstream)
    use_shared_slots(bench, GrantedSlots(after_ms=700.0))
    started = elapsed_ms()
    reply = bench.ask(b"/once/", b"POST")
    assert reply.status == 503
    assert float(field(reply, b"retry-after")[0]) == pytest.approx(0.7)
    assert elapsed_ms() - started < 50.0
    assert upstream.ran == []


def test_a_request_that_may_have_run_is_never_refused_as_not_run(bench):
    upstream = Upstream("u1")
    bench.add(upstream)
    upstream.behaviour.sealed = False
    slots = use_shared_slots(bench, GrantedSlots("u1"))

    def reject_next(requirements, hold=slots.hold):
        slots.after_ms = 700.0 if slots.requests else None
        return hold(requirements)

    slots.hold = reject_next
    assert bench.ask(b"/read/").status == 502
    assert len(slots.requests) == 2


def test_without_a_dispatcher_the_node_chooses(bench):
    upstream = Upstream("u1")
    bench.add(upstream)
    slots = GrantedSlots()
    use_shared_slots(bench, slots)
    assert bench.ask(b"/once/", b"POST").status == 200
    assert slots.used_without == ["u1"]


def test_a_slot_of_a_server_that_is_not_known_here_is_not_used(bench):
    upstream = Upstream("u1")
    bench.add(upstream)
    use_shared_slots(bench, GrantedSlots("stranger"))
    assert bench.ask(b"/once/", b"POST").status == 200
    assert len(upstream.ran) == 1


def test_a_server_that_failed_is_reported_and_avoided(bench):
    broken, sound = Upstream("u1"), Upstream("u2")
    for upstream in (broken, sound):
        bench.add(upstream)
    broken.behaviour.sealed = False
    slots = use_shared_slots(bench, GrantedSlots("u1", "u2"))
    assert bench.ask(b"/read/").status == 200
    assert [slot.failed for slot in slots.ended] == [True, False]
    assert [request.avoid for request in slots.requests] == ["", "u1"]


def test_a_request_with_a_key_asks_for_a_slot_of_its_holder(bench):
    record = bench.add(Upstream("u1"), service=KEYED)
    bench.own_keys(record)
    slots = use_shared_slots(bench, GrantedSlots("u1"))
    assert bench.ask(b"/key/", headers=[(b"Shard-Key", b"5")]).status == 200
    assert slots.requests[0].holder == record


def test_a_server_that_began_to_drain_during_the_wait_for_its_slot_gets_nothing(bench):
    """The wait for a slot may be longer than a drain, since it depends on the route's time-out."""
    leaving, staying = Upstream("u1"), Upstream("u2")
    record = bench.add(leaving)
    bench.add(staying)
    slots = use_shared_slots(bench, GrantedSlots("u1"))
    while_waiting(slots, lambda: bench.directory.put_server(replace(record, draining=True)))
    assert bench.ask(b"/once/", b"POST").status == 200
    assert (len(leaving.ran), len(staying.ran)) == (0, 1)


def test_keys_that_moved_during_the_wait_for_a_slot_go_to_the_new_holder(bench):
    before, after = Upstream("u1"), Upstream("u2")
    bench.own_keys(bench.add(before, service=KEYED))
    second = bench.add(after, service=KEYED)
    slots = use_shared_slots(bench, GrantedSlots("u1"))
    while_waiting(slots, lambda: bench.own_keys(second, revision=2))
    assert bench.ask(b"/key/", headers=[(b"Shard-Key", b"5")]).status == 200
    assert (len(before.ran), len(after.ran)) == (0, 1)


def while_waiting(slots, event):
    """Call a function when a request asks for a slot."""
    hold = slots.hold

    def wait(requirements):
        event()
        return hold(requirements)

    slots.hold = wait


# ---- evacuated zones and cold servers -----------------------------------------------------


def limit_evacuation_time(bench, limit_ms):
    bench.forwarder = Forwarder(
        bench.directory, bench.pool, PlatformDialect(), bench.budget, None, limit_ms
    )


def test_an_evacuated_server_gets_nothing(bench):
    gone, staying = Upstream("u1"), Upstream("u2")
    bench.directory.put_server(replace(bench.add(gone), zone="z2"))
    bench.add(staying)
    bench.directory.set_evacuated({"z2"})
    for _ in range(4):
        assert bench.ask(b"/once/", b"POST").status == 200
    assert (len(gone.ran), len(staying.ran)) == (0, 4)


def test_a_slot_of_a_server_whose_zone_was_evacuated_meanwhile_is_not_used(bench):
    gone, staying = Upstream("u1"), Upstream("u2")
    bench.directory.put_server(replace(bench.add(gone), zone="z2"))
    bench.add(staying)
    slots = use_shared_slots(bench, GrantedSlots("u1"))
    while_waiting(slots, lambda: bench.directory.set_evacuated({"z2"}))
    assert bench.ask(b"/once/", b"POST").status == 200
    assert (len(gone.ran), len(staying.ran)) == (0, 1)


@pytest.mark.parametrize("path", [b"/once/", b"/keyonce/"])
def test_if_all_servers_are_evacuated_requests_are_refused_at_once(bench, path):
    upstream = Upstream("u1")
    bench.add(upstream)
    bench.own_keys(bench.add(Upstream("u2"), service=KEYED))
    bench.directory.set_evacuated({"z1"})
    started = elapsed_ms()
    reply = bench.ask(path, b"POST", headers=[(b"Shard-Key", b"5")])
    assert (reply.status, upstream.ran) == (503, [])
    assert field(reply, b"retry-after")
    assert elapsed_ms() - started < 50.0


def test_an_evacuated_holder_serves_its_keys_until_the_handover_time_ends(bench):
    upstream = Upstream("u1")
    bench.own_keys(bench.add(upstream, service=KEYED))
    bench.add(Upstream("u2"), service=KEYED)
    limit_evacuation_time(bench, 1000.0)
    bench.directory.set_evacuated({"z1"})
    assert bench.ask(b"/keyonce/", b"POST", headers=[(b"Shard-Key", b"5")]).status == 200
    gevent.sleep(0.31)
    assert bench.ask(b"/keyonce/", b"POST", headers=[(b"Shard-Key", b"5")]).status == 503
    assert len(upstream.ran) == 1


def limit_cold_servers(bench, per_s=6.7):
    services = {
        name: replace(service, cold_ms=3000.0, cold_per_s=per_s)
        for name, service in bench.directory.table.services.items()
    }
    bench.directory.apply_table(RouteTable(2, {b"h.example": ROUTES}, services))


def test_a_cold_server_gets_nothing_from_a_node_without_a_dispatcher(bench):
    cold, warm = Upstream("u1"), Upstream("u2")
    record = bench.add(cold)
    bench.add(warm)
    limit_cold_servers(bench)
    bench.directory.put_server(replace(record, warmup_ms=60_000.0))
    use_shared_slots(bench, GrantedSlots())
    for _ in range(6):
        assert bench.ask(b"/once/", b"POST").status == 200
    assert (len(cold.ran), len(warm.ran)) == (0, 6)


def test_a_cold_holder_gets_nothing_from_a_node_without_a_dispatcher(bench):
    cold = Upstream("u1")
    record = bench.add(cold, service=KEYED)
    bench.own_keys(record)
    limit_cold_servers(bench)
    bench.directory.put_server(replace(record, warmup_ms=60_000.0))
    use_shared_slots(bench, GrantedSlots(None, "u1"))
    statuses = [
        bench.ask(b"/keyonce/", b"POST", headers=[(b"Shard-Key", b"5")]).status for _ in range(2)
    ]
    assert statuses == [503, 200]
    assert len(cold.ran) == 1


# ---- regions that a route allows ------------------------------------------------------------


def in_regions(bench, **regions):
    """Set the regions of zones, and allow only the region "home" in all routes."""
    bench.directory.servers.regions = regions
    routes = tuple(replace(item, regions=frozenset({"home"})) for item in ROUTES)
    services = bench.directory.table.services
    bench.directory.apply_table(RouteTable(2, {b"h.example": routes}, services))


def add_in(bench, upstream, zone, service=PLAIN):
    bench.directory.put_server(replace(bench.add(upstream, service=service), zone=zone))
    return bench.directory.servers.records[upstream.server_id]


def test_a_route_is_served_in_its_regions_only(bench):
    in_regions(bench, z1="abroad", z2="home")
    abroad, home = Upstream("u1"), Upstream("u2")
    add_in(bench, abroad, "z1")
    add_in(bench, home, "z2")
    for _ in range(4):
        assert bench.ask(b"/once/", b"POST").status == 200
    assert (len(abroad.ran), len(home.ran)) == (0, 4)


def test_without_a_server_in_its_regions_a_request_is_refused_at_once(bench):
    in_regions(bench, z1="abroad")
    abroad = Upstream("u1")
    add_in(bench, abroad, "z1")
    started = elapsed_ms()
    assert bench.ask(b"/once/", b"POST").status == 503
    assert elapsed_ms() - started < 50.0
    assert abroad.ran == []


def test_a_holder_outside_of_the_regions_gets_nothing(bench):
    in_regions(bench, z1="abroad", z2="home")
    abroad = Upstream("u1")
    bench.own_keys(add_in(bench, abroad, "z1", KEYED))
    add_in(bench, Upstream("u2"), "z2", KEYED)
    assert bench.ask(b"/keyonce/", b"POST", headers=[(b"Shard-Key", b"5")]).status == 503
    assert abroad.ran == []


def test_a_slot_outside_of_the_regions_is_not_used(bench):
    in_regions(bench, z1="abroad", z2="home")
    abroad, home = Upstream("u1"), Upstream("u2")
    add_in(bench, abroad, "z1")
    add_in(bench, home, "z2")
    slots = use_shared_slots(bench, GrantedSlots("u1"))
    assert bench.ask(b"/once/", b"POST").status == 200
    assert slots.requests[0].regions == {"home"}
    assert (len(abroad.ran), len(home.ran)) == (0, 1)


# ---- servers that leave or ask for a backoff ----------------------------------------------

BACKOFF = ServerNotice(backoff_ms=3000.0)
LEAVES = ServerNotice(leaving=True)


class NoticeWhileWaiting(GrantedSlots):
    """Grants slots; server u1 sends a notice while a request waits for one."""

    def __init__(self, bench, notice, *servers):
        super().__init__(*servers)
        self.bench = bench
        self.notice = notice

    @contextmanager
    def hold(self, requirements):
        with super().hold(requirements) as slot:
            self.bench.directory.apply_notice("u1", self.notice)
            yield slot


@pytest.mark.parametrize("notice", [BACKOFF, LEAVES])
def test_a_notice_during_the_wait_for_a_slot_is_respected(bench, notice):
    first, second = Upstream("u1"), Upstream("u2")
    for upstream in (first, second):
        bench.add(upstream)
    use_shared_slots(bench, NoticeWhileWaiting(bench, notice, "u1"))
    assert bench.ask(b"/once/", b"POST").body == b"answer of u2"
    assert first.arrived == []


@pytest.mark.parametrize("notice", [BACKOFF, LEAVES])
def test_a_notice_while_a_connection_is_made_is_respected(bench, notice, monkeypatch):
    first, second = Upstream("u1"), Upstream("u2")
    for upstream in (first, second):
        bench.add(upstream)
    used = bench.pool.get("u1")
    open_connection = used.connection

    def open_after_notice(*args):
        bench.directory.apply_notice("u1", notice)
        return open_connection(*args)

    monkeypatch.setattr(used, "connection", open_after_notice)
    use_shared_slots(bench, GrantedSlots("u1", "u2"))
    assert bench.ask(b"/once/", b"POST").body == b"answer of u2"
    assert first.arrived == []


def test_a_retry_does_not_go_to_a_holder_that_asked_for_a_backoff(bench):
    holder = Upstream("u1", sharded=True)
    holder._grant({"from": 0, "target_version": LAST_KEY, "fence": 1, "hold_ms": 9000})
    bench.own_keys(bench.add(holder, service=KEYED))
    holder.behaviour.backoff_s = 3.0
    started = elapsed_ms()
    replies = [bench.ask(b"/key/", headers=((b"Shard-Key", b"5"),)) for _ in range(3)]
    assert elapsed_ms() - started < 150.0
    assert len(holder.rejected) == 1
    assert {reply.status for reply in replies} == {503}
    assert field(replies[1], b"ploverhatch-result") == [b"2112"]
    retry_after_s = [float(field(reply, b"retry-after")[0]) for reply in replies]
    assert all(2.8 < after_s <= 3.2 for after_s in retry_after_s)


def test_a_rejected_single_attempt_is_refused_with_the_backoff_time(bench):
    once = route("one", PLAIN, repeatable=False, max_attempts=1)
    services = {PLAIN: Service(PLAIN, False, 100)}
    bench.directory.apply_table(RouteTable(2, {b"h.example": (once,)}, services))
    upstream = Upstream("u1")
    upstream.behaviour.backoff_s = 1.5
    bench.add(upstream)
    reply = bench.ask(b"/one/", b"POST")
    assert field(reply, b"ploverhatch-result") == [b"2104"]
    assert 1.4 < float(field(reply, b"retry-after")[0]) <= 1.7


def test_a_slot_request_names_the_servers_that_this_node_may_not_use(bench):
    for upstream in (Upstream("u1"), Upstream("u2")):
        bench.add(upstream)
    slots = use_shared_slots(bench, GrantedSlots("u1", "u2", "u2"))
    bench.ask(b"/once/", b"POST")
    bench.pool.get("u1").note_backoff()
    bench.directory.apply_notice("u1", BACKOFF)
    bench.forwarder._choice.note_backoff("u1")
    bench.ask(b"/once/", b"POST")
    assert [request.excluded for request in slots.requests] == [(), ("u1",)]


def test_a_request_for_a_holder_that_announced_leaving_long_ago_is_refused_at_once(bench):
    holder = Upstream("u1", sharded=True)
    bench.own_keys(bench.add(holder, service=KEYED))
    now_ms = elapsed_ms()
    assert bench.directory.servers.note_reported_leaving("u1", now_ms - 1300.0, now_ms)
    reply = bench.ask(b"/key/", headers=((b"Shard-Key", b"5"),))
    assert elapsed_ms() - now_ms < 50.0
    assert (reply.status, holder.arrived) == (503, [])


def test_if_all_servers_leave_a_request_without_a_key_is_refused_at_once(bench):
    upstream = Upstream("u1")
    bench.add(upstream)
    bench.directory.apply_notice("u1", LEAVES)
    started = elapsed_ms()
    assert bench.ask(b"/read/").status == 503
    assert elapsed_ms() - started < 50.0
    assert upstream.arrived == []


class RecordingSlots:
    """Grants no slot, and records what was asked for."""

    def __init__(self):
        self.asked = []

    @contextmanager
    def hold(self, requirements):
        self.asked.append(requirements)
        yield None

    @contextmanager
    def report_use(self, requirements, record):
        yield


def test_a_request_for_a_slot_tells_the_connected_servers(bench):
    """Only a request that any server may run does: one with a key has no choice."""
    slots = RecordingSlots()
    bench.forwarder = Forwarder(bench.directory, bench.pool, PlatformDialect(), bench.budget, slots)
    bench.add(Upstream("u1"))
    bench.add(Upstream("u2"))
    bench.own_keys(bench.add(Upstream("k1", sharded=True), service=KEYED))
    keyed = [(b"Shard-Key", b"7")]
    for path, headers in ((b"/read/", ()), (b"/read/", ()), (b"/key/", keyed), (b"/key/", keyed)):
        bench.ask(path, headers=headers)
    first, second, *with_key = slots.asked
    assert first.connected == ()
    assert second.connected in {("u1",), ("u2",)}
    assert bench.pool.connected(KEYED) == ("k1",)
    assert {item.connected for item in with_key} == {()}
