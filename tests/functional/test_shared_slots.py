"""Shared slots over sockets: three nodes in two zones."""

import time
from contextlib import ExitStack
from dataclasses import replace

import gevent
import pytest

from ploverhatch.admission import groups
from ploverhatch.admission.dispatcher_choice import SKIPPED_MS
from ploverhatch.admission.groups import GroupName
from ploverhatch.admission.messages import HeldSlotsReply, SlotRelease
from ploverhatch.common.clock import elapsed_ms
from ploverhatch.gateway.directory import Directory
from ploverhatch.gateway.peer_link import LoadReport, PeerLink
from ploverhatch.gateway.shared_slots import (
    MAX_TRIES,
    REPLY_TIMEOUT_S,
    SharedSlots,
    SlotRequirements,
    TurnedAwayError,
)
from ploverhatch.gateway.slot_dispatch import (
    LEARN_MS,
    RELEARN_MS,
)
from ploverhatch.state.servers import ServerRecord
from ploverhatch.transport.http_connection import HostPort
from tests.standin.site import free_port

SERVICE = "svc"
BLOCKED_S = 0.08
LATE_REPLY_S = 0.08
HOLDER = GroupName(SERVICE, "a", "s0")


def record(number, zone="a", slots=2):
    return ServerRecord(f"s{number}", SERVICE, "127.0.0.1", 9000 + number, zone, slots, False)


def requirements(holder=None, wait_ms=300.0, lease_ms=2000.0, priority=1):
    return SlotRequirements(SERVICE, priority, wait_ms, wait_ms, lease_ms, holder)


class Node:
    def __init__(self, cluster, zone):
        self.address = HostPort("127.0.0.1", free_port())
        self.directory = Directory()
        self.link = PeerLink(
            self.address, lambda: LoadReport({}, {}), lambda: "", lambda report: None
        )
        self.lost = lambda message: False
        self.delayed = ()  # type of the messages that are sent late
        self.slots = SharedSlots(zone, self.directory, lambda: cluster.zones, self.send)
        self.link.add_slot_handler(self.slots.handle_message)
        self.tasks = [
            gevent.spawn(self.link.receive_forever),
            gevent.spawn(self.slots.expire_forever),
        ]

    @property
    def name(self):
        return f"{self.address.host}:{self.address.port}"

    def send(self, message, to):
        if self.lost(message):
            return
        if isinstance(message, self.delayed):
            gevent.spawn_later(LATE_REPLY_S, self.link.send, message, to)
        else:
            self.link.send(message, to)

    def stop(self):
        gevent.killall(self.tasks)
        self.link.close()


class Cluster:
    def __init__(self, records, zones=("a", "a", "b")):
        self.zones = {}
        self.nodes = [Node(self, zone) for zone in zones]
        self.zones.update({node.name: zone for node, zone in zip(self.nodes, zones, strict=True)})
        for node in self.nodes:
            node.directory.replace_servers(records)

    def hold_all(self, held, count, node=0, **options):
        return [
            held.enter_context(self.nodes[node].slots.hold(requirements(**options)))
            for _ in range(count)
        ]


@pytest.fixture
def start():
    started = []

    def make(*args, **options):
        started.append(Cluster(*args, **options))
        return started[-1]

    yield make
    for cluster in started:
        for node in cluster.nodes:
            node.stop()


def test_nodes_share_the_slots_of_a_holder(start):
    cluster = start([record(0)])
    with ExitStack() as held:
        for node in (0, 1, 2):
            cluster.hold_all(held, 1, node, holder=record(0))
        with pytest.raises(TurnedAwayError) as caught:
            cluster.hold_all(held, 1, holder=record(0), wait_ms=30.0)
        assert caught.value.retry_after_ms > 0


def test_a_waiting_request_gets_a_slot_that_becomes_free(start):
    cluster = start([record(0)])
    with ExitStack() as held:
        cluster.hold_all(held, 2, 0, holder=record(0))
        last = ExitStack()
        cluster.hold_all(last, 1, 1, holder=record(0))
        gevent.spawn_later(0.1, last.close)
        (slot,) = cluster.hold_all(held, 1, 2, holder=record(0), wait_ms=2000.0)
        assert slot.server_id == "s0"


def test_servers_of_the_own_zone_come_first_and_others_when_they_are_full(start, monkeypatch):
    monkeypatch.setattr(groups, "MAX_GROUP_SERVERS", 1)
    cluster = start([record(0, "a"), record(1, "b")])
    with ExitStack() as held:
        granted = cluster.hold_all(held, 6)
        assert [slot.server_id for slot in granted] == ["s0"] * 3 + ["s1"] * 3


def test_a_small_service_is_one_group(start):
    cluster = start([record(0, "a"), record(1, "b")])
    with ExitStack() as held:
        granted = cluster.hold_all(held, 6)
        assert sorted(slot.server_id for slot in granted) == ["s0"] * 3 + ["s1"] * 3


def test_without_a_dispatcher_no_shared_slot_is_granted(start):
    cluster = start([record(0)])
    for node in cluster.nodes:
        node.lost = lambda message: True
    with cluster.nodes[0].slots.hold(requirements()) as slot:
        assert slot is None


def test_a_node_that_does_not_answer_is_skipped(start):
    cluster = start([record(0)], zones=("a", "a", "a"))
    first = cluster.nodes[0]
    for _ in range(20):
        with first.slots.hold(requirements(holder=record(0))) as slot:
            assert slot is not None
    dispatcher = next(node for node in cluster.nodes if node.slots.dispatch._queues)
    requester = next(node for node in cluster.nodes if node is not dispatcher)
    dispatcher.lost = lambda message: True
    for _ in range(2):
        with requester.slots.hold(requirements(holder=record(0))) as slot:
            assert slot is not None
            assert slot.dispatcher != dispatcher.name


def test_a_node_that_is_about_to_stop_leaves_its_queues_to_another(start):
    cluster = start([record(0)], zones=("a", "a", "a"))
    dispatcher = dispatcher_of(cluster, HOLDER)
    dispatcher.slots.dispatch.leaving = True
    requester = next(node for node in cluster.nodes if node is not dispatcher)
    with requester.slots.hold(requirements(holder=record(0))) as slot:
        assert slot is not None
    assert not dispatcher.slots.dispatch._queues
    assert sum(len(node.slots.dispatch._queues) for node in cluster.nodes) == 1


def test_the_time_spent_in_the_own_zone_is_not_spent_again(start, monkeypatch):
    monkeypatch.setattr(groups, "MAX_GROUP_SERVERS", 1)
    cluster = start([record(0, "a"), record(1, "b")])
    with ExitStack() as held:
        cluster.hold_all(held, 6)
        started = elapsed_ms()
        with pytest.raises(TurnedAwayError):
            cluster.hold_all(held, 1, wait_ms=300.0)
        assert elapsed_ms() - started < 450.0


def test_a_lost_slot_request_is_sent_again(start):
    cluster = start([record(0)])
    sent = []

    def first_is_lost(message):
        sent.append(message)
        return len(sent) == 1

    cluster.nodes[0].lost = first_is_lost
    with cluster.nodes[0].slots.hold(requirements(holder=record(0))) as slot:
        assert slot is not None
    assert MAX_TRIES > 1


def test_a_slot_whose_release_is_lost_becomes_free(start):
    cluster = start([record(0)])
    cluster.nodes[0].lost = lambda message: type(message).__name__ == "SlotRelease"
    for _ in range(3):
        with cluster.nodes[0].slots.hold(requirements(holder=record(0), lease_ms=150.0)) as slot:
            assert slot is not None
    with cluster.nodes[1].slots.hold(requirements(holder=record(0), wait_ms=2000.0)) as slot:
        assert slot is not None


def test_a_late_reply_to_a_finished_request_holds_no_slot(start):
    cluster = start([record(0)])
    nodes = cluster.nodes
    dispatcher = dispatcher_of(cluster, HOLDER)
    requester = next(node for node in nodes if node is not dispatcher)
    dispatcher.lost = lambda message: type(message).__name__ == "SlotReply"
    with requester.slots.hold(requirements(holder=record(0))) as slot:
        assert slot is not None
        assert slot.dispatcher != dispatcher.name
    dispatcher.lost = lambda message: False
    gevent.sleep(2 * REPLY_TIMEOUT_S)
    assert dispatcher.slots.dispatch._queues[HOLDER].group.in_use == 0


def dispatcher_of(cluster, name):
    address = groups.dispatcher_of(name, cluster.zones, ())
    return next(node for node in cluster.nodes if node.name == address)


def test_slots_come_from_the_regions_that_a_route_allows(start):
    records = [record(0, zone="a"), record(1, zone="b")]
    cluster = start(records)
    for node in cluster.nodes:
        node.directory.servers.regions = {"a": "abroad", "b": "home"}
        node.directory.replace_servers(records)
    at_home = replace(requirements(), regions=frozenset({"home"}))
    with ExitStack() as held:
        slots = [held.enter_context(node.slots.hold(at_home)) for node in cluster.nodes]
    assert [slot.server_id for slot in slots] == ["s1", "s1", "s1"]


def in_order(cluster):
    """Return the nodes in their rank as dispatchers of the holder's group."""
    names = []
    for _ in cluster.nodes:
        names.append(groups.dispatcher_of(HOLDER, cluster.zones, set(names)))
    return [next(node for node in cluster.nodes if node.name == name) for name in names]


def test_while_most_nodes_stop_the_one_that_stays_is_asked():
    """Guards against a third node that isn't asked while the first two stop.

    Its requests then got no slot.
    """
    cluster = Cluster([record(0)], zones=("a", "a", "a"))
    first, second, third = in_order(cluster)
    first.slots.dispatch.leaving = second.slots.dispatch.leaving = True
    with third.slots.hold(requirements(holder=record(0), wait_ms=1000.0)) as slot:
        assert slot is not None
        assert slot.dispatcher == third.name
    for node in cluster.nodes:
        node.stop()


def test_a_late_reply_of_a_stopping_node_ends_no_wait_at_another():
    """Guards against a late reply of a stopping node that ends a request's wait elsewhere.

    A slow stopping node replies to both tries of a slot request. The second reply arrives when
    the request already waits at another node.
    """
    cluster = Cluster([record(0)], zones=("a", "a", "a"))
    first, second, third = in_order(cluster)
    first.slots.dispatch.leaving = True
    handle, requests = first.slots.handle_message, []

    def answer_late(message, peer, _arrived_ms):
        """Answer the first try when the second one arrives, and the second one too late."""
        if type(message).__name__ == "SlotRequestMessage":
            requests.append(message)
            if len(requests) == 2:
                handle(requests[0], peer)
                gevent.spawn_later(0.1, handle, message, peer)

    first.link.add_slot_handler(answer_late)
    with ExitStack() as held:
        # The second node skips the first one, so its own slots come from its own queue.
        second.slots._choice._skipped_until_ms[first.name] = elapsed_ms() + 9000.0
        for _ in range(3):
            held.enter_context(second.slots.hold(requirements(holder=record(0), lease_ms=9000.0)))
        assert second.slots.dispatch.in_use == 3
        waiting = gevent.spawn(slot_of, third, requirements(holder=record(0), wait_ms=2000.0))
        gevent.sleep(0.4)
        assert len(requests) == 2
        assert second.slots.dispatch.waiting == 1
        assert not waiting.ready()
    assert waiting.get(timeout=2.0) is not None
    for node in cluster.nodes:
        node.stop()


def slot_of(node, wanted):
    with node.slots.hold(wanted) as slot:
        return slot


def test_a_node_that_was_suspended_accepts_a_reply_that_arrived_meanwhile():
    """Guards against a queued request that ends without a slot after a suspension.

    If a process is suspended for longer than the reply time-out, the timer of the wait fires
    before the reply that has arrived is read, and the node skips a working dispatcher. Here the
    first try is lost, and the process is suspended before the reply to the second one is read.
    """
    cluster = Cluster([record(0)], zones=("a", "a", "a"))
    dispatcher = dispatcher_of(cluster, HOLDER)
    requester = next(node for node in cluster.nodes if node is not dispatcher)
    requests = []

    def is_first_request(message):
        requests.append(type(message).__name__)
        return requests == ["SlotRequestMessage"]

    def answer_and_suspend(message, peer, _arrived_ms):
        handle(message, peer)
        if type(message).__name__ == "SlotRequestMessage":
            time.sleep(3 * REPLY_TIMEOUT_S)  # blocks the whole process, like a suspension

    handle = dispatcher.slots.handle_message
    requester.lost = is_first_request
    dispatcher.link.add_slot_handler(answer_and_suspend)
    with requester.slots.hold(requirements(holder=record(0))) as slot:
        assert slot is not None
        assert slot.dispatcher == dispatcher.name
    for node in cluster.nodes:
        node.stop()


def test_slots_that_a_dispatcher_granted_are_known_to_the_next_one(start):
    """Guards against a next dispatcher that grants a full server's slots again."""
    cluster = start([record(0)])
    with ExitStack() as held:
        granted = cluster.hold_all(held, 3, 0, holder=record(0))
        dispatcher = next(node for node in cluster.nodes if node.name == granted[0].dispatcher)
        dispatcher.slots.dispatch.leaving = True
        asking = next(number for number, node in enumerate(cluster.nodes) if node is not dispatcher)
        with pytest.raises(TurnedAwayError):
            cluster.hold_all(held, 1, asking, holder=record(0), wait_ms=30.0)


def test_a_slot_that_two_dispatchers_count_is_released_at_both(start):
    """Otherwise the next dispatcher would count it as in use until it expires."""
    cluster = start([record(0)], zones=("a", "a", "a"))
    first, second, third = in_order(cluster)
    with ExitStack() as held:
        for _ in range(3):
            held.enter_context(third.slots.hold(requirements(holder=record(0), lease_ms=9000.0)))
        first.slots.dispatch.leaving = True
        with pytest.raises(TurnedAwayError):
            held.enter_context(third.slots.hold(requirements(holder=record(0), wait_ms=30.0)))
        assert second.slots.dispatch.in_use == 3
    gevent.sleep(0.05)
    assert second.slots.dispatch.in_use == first.slots.dispatch.in_use == 0


def test_a_dispatcher_that_was_suspended_learns_what_another_one_granted(start):
    """Guards against a dispatcher that grants the slots of its substitute again.

    The leases that it granted itself have expired during the suspension.
    """
    cluster = start([record(0)], zones=("a", "a", "a"))
    first, second, third = in_order(cluster)
    with third.slots.hold(requirements(holder=record(0))) as slot:
        assert slot.dispatcher == first.name
    first.lost = lambda message: True
    with ExitStack() as held:
        for _ in range(3):
            held.enter_context(third.slots.hold(requirements(holder=record(0), lease_ms=9000.0)))
        assert second.slots.dispatch.in_use == 3
        first.lost = lambda message: False
        gevent.sleep(RELEARN_MS / 1000 + 0.1)  # The first node is asked again from then on.
        with pytest.raises(TurnedAwayError) as caught:
            held.enter_context(third.slots.hold(requirements(holder=record(0), wait_ms=30.0)))
        assert caught.value.dispatcher == first.name


def test_a_new_dispatcher_waits_briefly_for_a_node_that_is_gone(start):
    cluster = start([record(0)], zones=("a", "a", "a"))
    first, second, third = in_order(cluster)
    second.stop()
    started_ms = elapsed_ms()
    with third.slots.hold(requirements(holder=record(0))) as slot:
        assert slot.dispatcher == first.name
    assert elapsed_ms() - started_ms < 2 * LEARN_MS + 100.0


@pytest.mark.parametrize("first_grants", [True, False])
def test_two_dispatchers_of_one_group_grant_no_slot_twice(start, first_grants):
    """Guards against full servers that get more requests from nodes that skip a dispatcher.

    One node had no answer in time and asks the next dispatcher; the others still ask the first.
    """
    cluster = start([record(0)], zones=("a", "a", "a", "a"))
    first, second, third, fourth = in_order(cluster)
    wanted = requirements(holder=record(0), lease_ms=9000.0)
    assert slot_of(fourth, wanted).dispatcher == first.name
    with ExitStack() as held:
        tries = iter([True] * MAX_TRIES)
        third.lost = lambda message: next(tries, False)
        assert held.enter_context(third.slots.hold(wanted)).dispatcher == second.name
        gevent.sleep(0.05)
        for _ in range(2):
            assert held.enter_context(fourth.slots.hold(wanted)).dispatcher == first.name
        gevent.sleep(0.05)
        with pytest.raises(TurnedAwayError) as caught:
            node = fourth if first_grants else third
            held.enter_context(node.slots.hold(requirements(holder=record(0), wait_ms=30.0)))
        assert caught.value.dispatcher == (first if first_grants else second).name
    gevent.sleep(0.05)
    assert first.slots.dispatch.in_use == second.slots.dispatch.in_use == 0


@pytest.mark.parametrize("others", [2, 0])
def test_a_dispatcher_that_starts_has_no_request_sent_without_a_slot(start, others):
    """Guards against a node that says for 100 ms after its start that it knows no servers.

    Those who asked it then sent their requests without a slot, however full the servers were.
    Without any other node to ask, requests get slots as soon as the servers are known.
    """
    cluster = start([record(0)], zones=("a",) * (others + 1))
    first, *rest = in_order(cluster)
    asking = rest[-1] if rest else first
    first.directory.replace_servers([])
    with asking.slots.hold(requirements(holder=record(0))) as slot:
        assert (slot is not None) == bool(others)
        assert not others or slot.dispatcher == rest[0].name
    first.directory.replace_servers([record(0)])
    gevent.sleep(SKIPPED_MS / 1000 + 0.01)
    with asking.slots.hold(requirements(holder=record(0))) as slot:
        assert slot.dispatcher == first.name


def test_a_dispatcher_looks_for_servers_again_while_it_knows_none_of_a_group(start):
    cluster = start([record(1)], zones=("a", "a", "a"))
    first, second, third = in_order(cluster)
    with third.slots.hold(requirements(holder=record(0))) as slot:
        assert slot is None
    for node in cluster.nodes:
        node.directory.replace_servers([record(0), record(1)])
    with third.slots.hold(requirements(holder=record(0))) as slot:
        assert slot.dispatcher == first.name


def test_a_request_sent_without_a_slot_is_counted_by_the_dispatcher(start):
    """Guards against a full server that gets more, as nobody counts such requests."""
    cluster = start([record(0)], zones=("a", "a", "a"))
    first, _, third = in_order(cluster)
    wanted = requirements(holder=record(0), lease_ms=9000.0)
    assert slot_of(third, wanted).dispatcher == first.name
    with ExitStack() as held:
        for _ in range(2):
            held.enter_context(third.slots.report_use(wanted, record(0)))
        gevent.sleep(0.05)
        assert held.enter_context(third.slots.hold(wanted)).dispatcher == first.name
        with pytest.raises(TurnedAwayError):
            held.enter_context(third.slots.hold(requirements(holder=record(0), wait_ms=30.0)))
    gevent.sleep(0.05)
    assert first.slots.dispatch.in_use == 0


def test_a_new_dispatcher_in_a_busy_process_learns_which_slots_are_in_use(start):
    """Guards against a busy machine's dispatcher that grants before it has read the replies."""
    cluster = start([record(0)], zones=("a", "a", "a"))
    first, _, third = in_order(cluster)
    wanted = requirements(holder=record(0), lease_ms=9000.0)
    with ExitStack() as held:
        for _ in range(3):
            assert held.enter_context(third.slots.hold(wanted)).dispatcher == first.name
        first.slots.dispatch.leaving = True
        for node in cluster.nodes:
            node.delayed = HeldSlotsReply
        busy = gevent.spawn(stand_still_forever)
        gevent.sleep(10 * BLOCKED_S)
        busy.kill()
        with pytest.raises(TurnedAwayError):
            held.enter_context(third.slots.hold(requirements(holder=record(0), wait_ms=400.0)))


def stand_still_forever():
    """Block the whole process again and again, as if it waited for a core."""
    while True:
        time.sleep(BLOCKED_S)
        gevent.sleep(0.001)


def test_a_slot_granted_to_a_caller_that_left_is_free_although_a_release_was_lost(start):
    """Guards against a slot that is leased to nobody until its caller's deadline."""
    cluster = start([record(0)])
    dispatcher = dispatcher_of(cluster, HOLDER)
    group = dispatcher.slots.dispatch
    node = next(node for node in cluster.nodes if node is not dispatcher)
    with ExitStack() as held:
        first = ExitStack()
        cluster.hold_all(first, 2, cluster.nodes.index(dispatcher), holder=record(0))
        cluster.hold_all(held, 1, cluster.nodes.index(dispatcher), holder=record(0))
        waiting = gevent.spawn(slot_of, node, requirements(holder=record(0), wait_ms=2000.0))
        gevent.sleep(0.05)
        assert group.waiting == 1
        losses = iter([True])
        node.lost = lambda message: isinstance(message, SlotRelease) and next(losses, False)
        waiting.kill()
        first.close()
        gevent.sleep(0.1)
        assert (group.waiting, group.in_use) == (0, 1)
