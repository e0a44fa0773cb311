"""Checks of leaving servers and requested backoff, on records that each test provides."""

from types import SimpleNamespace

import pytest

from tests.standin.notice_checks import (
    DRAIN_S,
    MAX_DURING_BACKOFF,
    backoffs,
    ignored_backoffs,
    late_to_leaving,
)

SERVER = "life-1"


def incarnation(node="node-0", start_s=0.0, faults=()):
    return SimpleNamespace(node=node, start_s=start_s, faults=list(faults))


def request(name):
    return SimpleNamespace(headers=[(b"Request-Id", name.encode())], received_ms=0.0)


class Records:
    """An upstream and the requests that reached it."""

    def __init__(self, gateway=None):
        self.gateway = gateway or incarnation()
        self.sent = {}
        self.upstream = SimpleNamespace(arrived=[], leaving_answers=[], rejected=[])
        self.site = SimpleNamespace(upstreams={SERVER: self.upstream})

    def send(self, at_s, gateway=None):
        name = f"r{len(self.sent)}"
        self.sent[name] = SimpleNamespace(
            name=name, incarnation=gateway or self.gateway, sent_s=at_s
        )
        arrived = request(name)
        arrived.received_ms = at_s * 1000
        self.upstream.arrived.append(arrived)
        return arrived

    def reject(self, at_s, backoff_s):
        self.upstream.rejected.append((self.send(at_s), at_s, backoff_s))

    def announce_leaving(self, at_s):
        self.upstream.leaving_answers.append((self.send(at_s), at_s))


def test_a_request_that_comes_late_to_one_that_leaves_is_found():
    records = Records()
    records.announce_leaving(10.0)
    records.send(10.0 + DRAIN_S)
    assert late_to_leaving(records.site, records.sent) == []
    records.send(10.1 + DRAIN_S)
    assert len(late_to_leaving(records.site, records.sent)) == 1


def test_what_another_node_passed_on_binds_nobody():
    records = Records()
    records.announce_leaving(10.0)
    records.send(20.0, incarnation("node-1"))
    assert late_to_leaving(records.site, records.sent) == []


@pytest.mark.parametrize("excused", [incarnation(start_s=11.0), incarnation(faults=[(12.0, 13.0)])])
def test_a_start_or_a_freeze_since_then_excuses(excused):
    records = Records(excused)
    records.announce_leaving(10.0)
    records.send(20.0)
    assert late_to_leaving(records.site, records.sent) == []


def test_more_than_two_requests_in_a_rest_are_found():
    records = Records()
    records.reject(10.0, 3.0)
    for number in range(MAX_DURING_BACKOFF):
        records.send(11.0 + number / 10)
    records.send(10.2)  # sent before the node could react
    records.send(13.2)  # after the backoff
    assert [count for count, _ in backoffs(records.site, records.sent)] == [MAX_DURING_BACKOFF]
    assert ignored_backoffs(records.site, records.sent) == []
    records.send(12.5)
    assert len(ignored_backoffs(records.site, records.sent)) == 1
