"""Trial permits: all nodes together send one copy of a suspect request at a time."""

import time
from types import SimpleNamespace

import gevent
import pytest

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.gateway import trial_permits
from ploverhatch.gateway.trial_permits import TrialPermits
from ploverhatch.quarantine.messages import TrialFinished, TrialReply, TrialRequest
from ploverhatch.quarantine.trials import PERMIT_MS

DIGEST = b"content"
NODES = [("10.0.0.1", 7000 + number) for number in range(3)]


def call(digest=DIGEST):
    return SimpleNamespace(fingerprint=SimpleNamespace(request_digest=digest))


class Fleet:
    """Nodes whose datagrams arrive after a short delay, unless they are lost."""

    def __init__(self):
        self.unreachable = set()  # nodes that receive and send nothing
        self.lost_types = []  # types of the next messages that are lost
        self.sent = []
        self.leader = NODES[0]
        self.leader_delay_s = 0.0  # until it replies
        self.permits = {node: self._make(node) for node in NODES}

    def _make(self, node):
        return TrialPermits(
            lambda: None if node == self.leader else self.leader,
            lambda: len(NODES),
            lambda msg, to: self._send(node, msg, to),
        )

    def _send(self, sender, message, to):
        self.sent.append(message)
        if type(message) in self.lost_types:
            self.lost_types.remove(type(message))
        elif to not in self.unreachable and sender not in self.unreachable:
            delay_s = 0.001 + (self.leader_delay_s if to == self.leader else 0.0)
            gevent.spawn_later(delay_s, self._deliver, sender, message, to)

    def _deliver(self, sender, message, to):
        handlers = {
            TrialRequest: "handle_request",
            TrialReply: "handle_reply",
            TrialFinished: "handle_finished",
        }
        getattr(self.permits[to], handlers[type(message)])(message, sender)

    def nodes(self):
        """Return the permits of the leader and of the two others."""
        return (self.permits[node] for node in NODES)


@pytest.fixture
def fleet():
    return Fleet()


def test_one_node_at_a_time_has_the_permit(fleet):
    first, second, third = fleet.nodes()
    asked = call()
    assert second.acquire(asked) == 0.0
    assert second.has(asked)
    assert [0 < other.acquire(call()) <= trial_permits.POLL_MS for other in (first, third)] == [
        True
    ] * 2
    assert second.acquire(call()) > 0
    assert first.acquire(call(b"another")) == 0.0
    second.release(asked)
    gevent.sleep(0.06)
    assert not second.has(asked)
    assert third.acquire(call()) == 0.0
    assert first.acquire(call()) > 0


def test_requests_of_one_node_ask_once_while_another_node_has_the_permit(fleet):
    _, second, third = fleet.nodes()
    second.acquire(call())
    third.acquire(call())
    before = len(fleet.sent)
    assert [third.acquire(call()) > 0 for _ in range(20)] == [True] * 20
    assert len(fleet.sent) == before


def test_waiting_requests_are_woken_when_a_copy_ends(fleet):
    node = fleet.permits[NODES[0]]
    asked = call()
    node.acquire(asked)
    waiting = gevent.spawn(node.changed.wait, 1.0)
    gevent.sleep(0.01)
    node.release(asked)
    assert waiting.get() is True


@pytest.mark.parametrize("message_type", [TrialRequest, TrialReply])
def test_a_lost_request_or_reply_is_repeated(fleet, message_type):
    _, second, third = fleet.nodes()
    fleet.lost_types = [message_type]
    assert second.acquire(call()) == 0.0
    assert third.acquire(call()) > 0


def test_a_lost_release_delays_others_for_a_limited_time_only(fleet, monkeypatch):
    monkeypatch.setattr("ploverhatch.quarantine.trials.PERMIT_MS", 120.0)
    _, second, third = fleet.nodes()
    fleet.lost_types = [TrialFinished]
    asked = call()
    second.acquire(asked)
    second.release(asked)
    assert third.acquire(call()) > 0
    gevent.sleep(0.13)
    assert third.acquire(call()) == 0.0


def test_without_a_leader_each_node_sends_one_copy(fleet):
    leader, second, third = fleet.nodes()
    asked = call()
    leader.acquire(call())
    fleet.unreachable = {fleet.leader}
    start_ms = elapsed_ms()
    assert second.acquire(asked) == 0.0
    assert elapsed_ms() - start_ms < 100
    assert second.acquire(call()) > 0
    assert third.acquire(call()) == 0.0
    second.release(asked)
    before = len(fleet.sent)
    assert second.acquire(call()) == 0.0
    assert fleet.sent[before:] == []  # An unresponsive leader is skipped for a second.


def test_a_leader_that_answers_late_is_asked_next_time(fleet):
    """Guards against a copy from each node for a second after one slow reply of the leader."""
    leader, second, _ = fleet.nodes()
    leader.acquire(call())
    fleet.leader_delay_s = 0.1
    asked = call()
    assert second.acquire(asked) == 0.0
    second.release(asked)
    gevent.sleep(0.1)
    fleet.leader_delay_s = 0.0
    assert second.acquire(call()) > 0


def test_a_node_that_was_suspended_while_it_waited_asks_again(fleet):
    """Guards against a copy from each node if the whole machine was suspended."""
    leader, second, _ = fleet.nodes()
    leader.acquire(call())
    fleet.leader_delay_s = 0.03
    fleet.lost_types = [TrialRequest] * trial_permits.MAX_TRIES
    for number in range(trial_permits.MAX_TRIES):
        gevent.spawn_later(0.01 + 0.07 * number, time.sleep, 0.06)
    assert second.acquire(call()) > 0


def test_the_next_leader_is_asked(fleet):
    _, second, third = fleet.nodes()
    second.acquire(call())
    fleet.leader = NODES[2]
    assert third.acquire(call()) == 0.0  # It doesn't know the permits of the last leader.
    gevent.sleep(PERMIT_MS / 1000)
    assert second.acquire(call()) == 0.0
    assert third.acquire(call()) > 0


def test_nodes_ask_more_rarely_if_there_are_many(fleet):
    _, second, third = fleet.nodes()
    third._nodes = lambda: 300
    second.acquire(call())
    assert trial_permits.POLL_MS < third.acquire(call()) <= 300 * trial_permits.POLL_MS_PER_NODE


def test_a_request_that_runs_longer_renews_its_permit(fleet, monkeypatch):
    _, second, third = fleet.nodes()
    asked = call()
    second.acquire(asked)
    gevent.sleep(PERMIT_MS * 0.6 / 1000)
    assert not second.has(asked)
    assert second.acquire(asked) == 0.0
    gevent.sleep(PERMIT_MS * 0.6 / 1000)
    assert third.acquire(call()) > 0
    assert second.granted_count == 0


def test_expired_permits_are_dropped(fleet):
    node = fleet.permits[NODES[1]]
    for number in range(50):
        node.acquire(call(b"%d" % number))
    gevent.sleep(PERMIT_MS / 1000 + 0.01)
    node.expire()
    assert node._claims == {}
