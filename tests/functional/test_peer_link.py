"""Datagrams between nodes: reports, maps, and what must not matter."""

import gevent
import pytest
from gevent import socket

from ploverhatch.gateway.directory import Directory
from ploverhatch.gateway.peer_link import LoadReport, PeerLink
from ploverhatch.sharding.keymap import (
    LAST_KEY,
    Holder,
    KeyMap,
    Move,
    begin_moves,
    first_assignment,
)
from ploverhatch.transport.http_connection import HostPort
from tests.standin.site import free_port

HOLDER = Holder("s1", "10.0.0.1", 80)


class Node:
    def __init__(self, leader=""):
        self.address = HostPort("127.0.0.1", free_port())
        self.leader = leader or f"127.0.0.1:{self.address.port}"
        self.reports = []
        self.directory = Directory()
        self.link = PeerLink(
            self.address,
            lambda: LoadReport({"svc": [1, 2]}, {"s1": (10.0, 9.0)}),
            lambda: self.leader,
            self.reports.append,
            self.directory.put_keymap,
        )
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


def keymap(revision, ranges=1):
    made = first_assignment(KeyMap("svc"), [Move(0, LAST_KEY, HOLDER)])
    moves = [Move(number * 10, number * 10 + 5, HOLDER) for number in range(1, ranges)]
    made = begin_moves(made, moves)
    return KeyMap("svc", made.ranges, made.token, revision)


def test_reports_reach_the_leader_from_itself_and_others(pair):
    leader, follower = pair
    assert len(leader.reports) >= 4
    assert follower.reports == []
    assert {"svc": [1, 2]} in [report.keys for report in leader.reports]
    assert any(report.answer_ms for report in leader.reports)
    assert not all(report.answer_ms for report in leader.reports)


def test_maps_reach_the_nodes_that_report(pair):
    leader, follower = pair
    leader.link.publish(keymap(5))
    gevent.sleep(0.02)
    assert follower.directory.keymaps["svc"].revision == 5
    assert follower.directory.keymaps["svc"].ranges == keymap(5).ranges


def test_an_older_map_is_not_taken(pair):
    leader, follower = pair
    for revision in (5, 4):
        leader.link.publish(keymap(revision))
        gevent.sleep(0.02)
    assert follower.directory.keymaps["svc"].revision == 5


def test_a_map_too_long_for_a_datagram_is_left_to_the_watch(pair):
    leader, follower = pair
    leader.link.publish(keymap(5, ranges=900))
    gevent.sleep(0.02)
    assert "svc" not in follower.directory.keymaps


def test_nodes_that_fell_silent_are_forgotten(pair, monkeypatch):
    leader, follower = pair
    gevent.killall(follower.tasks)
    monkeypatch.setattr("ploverhatch.gateway.peer_link.PEER_MEMORY_MS", 0.0)
    gevent.sleep(0.05)
    leader.link.publish(keymap(5))
    assert leader.link._peers == {}


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\x93\x01\x02", b"[1]", b"\x92\x05\x01"])
def test_odd_datagrams_end_nothing(pair, data):
    leader, follower = pair
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(data, tuple(follower.address))
    gevent.sleep(0.02)
    leader.link.publish(keymap(5))
    gevent.sleep(0.02)
    assert follower.directory.keymaps["svc"].revision == 5
