"""Datagrams between nodes: reports, changes and beacons; malformed ones are dropped."""

import random
import struct
from socket import SOL_SOCKET

import gevent
import msgspec
import pytest
from gevent import socket
from msgspec.structs import replace

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.gateway.peer_link import LoadReport, PeerLink, waiting_ms
from ploverhatch.relay.messages import Beacon, Claim, RelayedChange, RelayedUpdate
from ploverhatch.transport.http_connection import HostPort
from tests.functional.test_gateway import until
from tests.standin.site import free_port

UPDATE = RelayedUpdate("kind", 4, 5, [RelayedChange("a", 5, {"x": 1})])
BEACON = Beacon(9, 20.0, {"kind": Claim(5, 10.0)})
SO_TIMESTAMPNS = 35
UNSENT = {Beacon: {"sent_ms": BEACON.sent_ms}}


class Node:
    def __init__(self, leader=""):
        self.address = HostPort("127.0.0.1", free_port())
        self.leader = leader or f"127.0.0.1:{self.address.port}"
        self.reports = []
        self.received = []
        self.link = PeerLink(
            self.address,
            lambda: LoadReport({"svc": [1, 2]}, {"s1": [10, 9]}),
            lambda: self.leader,
            self.reports.append,
        )
        self.link.add_handler(RelayedUpdate, self.received.append)
        self.link.add_handler(Beacon, self.received.append)
        self.tasks = [
            gevent.spawn(self.link.report_forever),
            gevent.spawn(self.link.receive_forever),
        ]

    def close(self):
        gevent.killall(self.tasks)
        self.link.close()


@pytest.fixture
def pair(monkeypatch):
    monkeypatch.setattr("ploverhatch.gateway.peer_link.REPORT_S", 0.02)
    leader = Node()
    follower = Node(leader.leader)
    gevent.sleep(0.15)
    yield leader, follower
    leader.close()
    follower.close()


def test_reports_reach_the_leader_from_itself_and_others(pair):
    leader, follower = pair
    assert len(leader.reports) >= 4
    assert follower.reports == []
    assert {"svc": [1, 2]} in [report.keys for report in leader.reports]
    assert {"s1": [10, 9]} in [report.answer_ms for report in leader.reports]


@pytest.mark.parametrize("message", [UPDATE, BEACON], ids=["told", "beacon"])
def test_messages_reach_the_nodes_that_report_and_nobody_else(pair, message):
    leader, follower = pair
    leader.link.publish(message)
    gevent.sleep(0.02)
    assert [replace(item, **UNSENT.get(type(item), {})) for item in follower.received] == [message]
    assert leader.received == []


def test_a_beacon_says_when_it_was_sent_on_the_clock_of_its_reader(pair):
    leader, follower = pair
    gevent.killall(follower.tasks[:1])  # no report after this
    gevent.sleep(0.1)
    before_ms = elapsed_ms()
    leader.link.publish(BEACON)
    gevent.sleep(0.02)
    (beacon,) = follower.received
    assert before_ms - 10.0 <= beacon.sent_ms <= elapsed_ms()


def incompressible(count):
    return random.Random(1).randbytes(count)


@pytest.mark.parametrize("content", ["x" * 90_000, incompressible(90_000)], ids=["one", "many"])
def test_a_message_longer_than_a_datagram_arrives_whole(pair, content):
    leader, follower = pair
    update = RelayedUpdate("kind", 4, 5, [RelayedChange("a", 5, content)])
    leader.link.publish(update)
    gevent.sleep(0.05)
    assert follower.received == [update]


def test_a_message_that_is_far_too_long_is_not_sent(pair):
    leader, follower = pair
    leader.link.publish(
        RelayedUpdate("kind", 4, 5, [RelayedChange("a", 5, incompressible(900_000))])
    )
    gevent.sleep(0.02)
    assert follower.received == []


def test_a_new_leader_calls_all_members_and_is_reported_to_at_once(monkeypatch):
    monkeypatch.setattr("ploverhatch.gateway.peer_link.REPORT_S", 60.0)
    leader, node = Node(), Node()
    leader.link._members = lambda: [leader.leader, node.leader]
    node.link.add_handler(Beacon, lambda beacon: setattr(node, "leader", beacon.address))
    leader.link.publish(replace(BEACON, address=leader.leader))
    # The report arrives sooner than the report interval of a minute.
    until(lambda: tuple(node.address) in leader.link.peers)
    assert node.leader == leader.leader
    leader.close()
    node.close()


def test_nodes_that_fell_silent_are_forgotten(pair, monkeypatch):
    leader, follower = pair
    gevent.killall(follower.tasks)
    monkeypatch.setattr("ploverhatch.gateway.peer_link.PEER_EXPIRY_MS", 0.0)
    gevent.sleep(0.05)
    leader.link.publish(UPDATE)
    assert leader.link.peers == frozenset()


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\x93\x01\x02", b"[1]", b"\x92\x05\x01"])
def test_malformed_datagrams_are_dropped(pair, data):
    leader, follower = pair
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(data, tuple(follower.address))
    gevent.sleep(0.02)
    leader.link.publish(UPDATE)
    gevent.sleep(0.02)
    assert follower.received == [UPDATE]


def test_a_datagram_that_is_nested_deeply_is_passed_over():
    node = Node()
    try:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for data in (
                b"\x94\x0b\x01\x01" + b"\x91" * 8000 + b"\x01",
                msgspec.msgpack.encode(UPDATE),
            ):
                sender.sendto(data, tuple(node.address))
        gevent.sleep(0.1)
        assert node.received == [UPDATE]
    finally:
        node.close()


def timestamp(seconds, nanoseconds):
    return [(SOL_SOCKET, SO_TIMESTAMPNS, struct.pack("ll", seconds, nanoseconds))]


@pytest.mark.parametrize(
    ("ancillary", "now_s", "waited_ms"),
    [
        (timestamp(100, 500_000_000), 100.75, 250.0),
        (timestamp(100, 0), 99.0, 0.0),  # The clock was set back.
        (timestamp(100, 0), 5000.0, 0.0),  # The clock was set forward.
        ([], 100.0, 0.0),
    ],
)
def test_how_long_a_datagram_has_waited(ancillary, now_s, waited_ms):
    assert waiting_ms(ancillary, now_s) == pytest.approx(waited_ms)
