"""The rule that tells a link that is cut from a server that is down."""

import math

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ploverhatch.routing.connectivity import REPORT_KEPT_MS, Connectivity

NODE, OTHER_NODE = ("10.0.0.2", 7000), ("10.0.0.3", 7000)
SERVERS = ["s1", "s2", "s3"]


def after_failed_probes(begun_ms=0.0):
    """Return the state of a node whose probes of all servers have failed."""
    state = Connectivity()
    for server_id in SERVERS:
        state.note_unreached(server_id, begun_ms)
    state.note_probes(begun_ms)
    return state


def cut_off(now_ms=0.0):
    state = after_failed_probes(now_ms)
    state.note_node(NODE, True, now_ms)
    assert state.is_cut_off(now_ms)
    return state


# ---- cut off from all servers ---------------------------------------------------------------


# Guards against a node that takes an outage of all servers for a cut of its own links.
@pytest.mark.parametrize("report", [None, False])
def test_without_a_node_that_reaches_servers_no_node_is_cut_off(report):
    state = after_failed_probes()
    if report is not None:
        state.note_node(NODE, report, 0.0)
    assert state.probes_failed
    assert not state.is_cut_off(0.0)
    assert not any(state.link_is_cut(server_id, 0.0) for server_id in SERVERS)


# Guards against a node that gives up on its links at the first failed connection.
def test_failed_connections_alone_are_a_suspicion_only():
    state = Connectivity()
    for server_id in SERVERS:
        state.note_unreached(server_id, 10.0)
    state.note_node(NODE, True, 10.0)
    assert state.is_suspect
    assert not state.is_cut_off(10.0)


# Guards against cuts that are found only if the other node's report comes last.
@pytest.mark.parametrize("report_first", [True, False])
def test_failed_probes_and_a_node_that_reaches_servers_are_a_cut(report_first):
    state = Connectivity()
    if report_first:
        state.note_node(NODE, True, 0.0)
    state.note_probes(0.0)
    if not report_first:
        state.note_node(NODE, True, 0.0)
    assert state.is_cut_off(0.0)
    assert all(state.link_is_cut(server_id, 0.0) for server_id in SERVERS)


# Guards against a round of probes that fails although a server answered while it ran.
@pytest.mark.parametrize("reached_ms", [100.0, 150.0])
def test_an_answer_during_the_probes_outweighs_those_that_failed(reached_ms):
    state = Connectivity()
    state.note_node(NODE, True, 100.0)
    state.note_reached("s1", reached_ms)
    state.note_probes(begun_ms=100.0)
    assert not state.is_cut_off(reached_ms)


# Guards against requests that go through another node after the link is up again.
def test_an_answer_ends_a_cut_at_once():
    state = cut_off()
    state.note_reached("s2", 1.0)
    assert not state.is_cut_off(1.0)
    assert not state.probes_failed and not state.is_suspect
    assert not any(state.link_is_cut(server_id, 1.0) for server_id in SERVERS)


# Guards against a node that stays cut off after its probes succeed.
def test_the_next_round_of_probes_ends_a_cut_if_it_reaches_a_server():
    state = cut_off()
    state.note_reached("s1", 520.0)
    state.note_probes(begun_ms=500.0)
    assert not state.is_cut_off(520.0)


# Guards against cuts that rest on what a node said long ago.
def test_reports_of_nodes_expire():
    state = cut_off()
    assert state.is_cut_off(REPORT_KEPT_MS - 1.0)
    assert not state.is_cut_off(REPORT_KEPT_MS)
    assert state.reaching_nodes(REPORT_KEPT_MS) == frozenset()
    state.note_node(NODE, True, REPORT_KEPT_MS)
    assert state.is_cut_off(REPORT_KEPT_MS)


# Guards against a node that is asked for help after it said that it is cut off too.
def test_the_latest_report_of_a_node_replaces_its_earlier_ones():
    state = cut_off()
    state.note_node(NODE, False, 1.0)
    assert not state.is_cut_off(1.0)
    assert (state.reaching_nodes(1.0), state.cut_nodes(1.0)) == (frozenset(), {NODE})
    state.note_node(OTHER_NODE, True, 1.0)
    assert state.is_cut_off(1.0)
    assert (state.reaching_nodes(1.0), state.cut_nodes(1.0)) == ({OTHER_NODE}, {NODE})
    assert state.cut_nodes(1.0 + REPORT_KEPT_MS) == frozenset()


# ---- the link to a single server ------------------------------------------------------------


def with_one_unreached():
    state = Connectivity()
    state.note_reached("s2", 0.0)
    state.note_unreached("s1", 0.0)
    return state


# Guards against a server that counts as ended since one node's link to it refuses.
def test_a_server_is_neither_cut_nor_down_without_another_nodes_report():
    state = with_one_unreached()
    state.note_node(NODE, True, 0.0)  # reaches some server
    assert state.unreached == {"s1"}
    assert not state.link_is_cut("s1", 0.0)
    assert not state.is_down("s1", 0.0)


# Guards against a report on one server that counts for another.
@pytest.mark.parametrize("reached", [True, False])
def test_another_nodes_report_tells_a_cut_link_from_a_server_that_is_down(reached):
    state = with_one_unreached()
    state.note_elsewhere("s1", reached, 0.0)
    assert state.link_is_cut("s1", 0.0) is reached
    assert state.is_down("s1", 0.0) is not reached
    assert not state.link_is_cut("s2", 0.0)
    assert not state.is_down("s2", 0.0)


# Guards against a server that counts as down although a later report says that it is reached.
@pytest.mark.parametrize("reached", [True, False])
def test_the_latest_report_of_a_server_counts(reached):
    state = with_one_unreached()
    state.note_elsewhere("s1", not reached, 0.0)
    state.note_elsewhere("s1", reached, 1.0)
    assert state.link_is_cut("s1", 1.0) is reached
    assert state.is_down("s1", 1.0) is not reached


# Guards against conclusions on a server that outlast what they rest on.
@pytest.mark.parametrize("reached", [True, False])
def test_reports_of_servers_expire(reached):
    state = with_one_unreached()
    state.note_elsewhere("s1", reached, 0.0)
    last_ms = REPORT_KEPT_MS - 1.0
    assert state.link_is_cut("s1", last_ms) or state.is_down("s1", last_ms)
    assert not state.link_is_cut("s1", REPORT_KEPT_MS)
    assert not state.is_down("s1", REPORT_KEPT_MS)


# Guards against a server that this node reaches, and still leaves to other nodes.
@pytest.mark.parametrize("reached", [True, False])
def test_a_server_that_is_reached_again_is_neither_cut_nor_down(reached):
    state = with_one_unreached()
    state.note_elsewhere("s1", reached, 0.0)
    state.note_reached("s1", 1.0)
    assert state.unreached == frozenset()
    assert not state.link_is_cut("s1", 1.0)
    assert not state.is_down("s1", 1.0)
    state.note_unreached("s1", 2.0)  # The old report says nothing of a new failure.
    assert not state.link_is_cut("s1", 2.0)
    assert not state.is_down("s1", 2.0)


# Guards against late replies that mark a server which this node reaches.
@pytest.mark.parametrize("reached", [True, False])
def test_a_report_of_a_server_that_this_node_reaches_is_dropped(reached):
    state = Connectivity()
    state.note_reached("s1", 0.0)
    state.note_elsewhere("s1", reached, 1.0)
    assert not state.link_is_cut("s1", 1.0)
    assert not state.is_down("s1", 1.0)


# Guards against a suspicion that other servers' answers don't clear.
def test_a_failure_is_a_suspicion_until_any_server_is_reached():
    state = with_one_unreached()
    assert state.is_suspect
    state.note_reached("s2", 1.0)
    assert not state.is_suspect
    assert state.unreached == {"s1"}


# Guards against probes of servers that have been removed, and a memory that only grows.
def test_only_known_servers_are_kept():
    state = Connectivity()
    for server_id in SERVERS:
        state.note_reached(server_id, 0.0)
        state.note_unreached(server_id, 1.0)
        state.note_elsewhere(server_id, True, 1.0)
    state.keep_only(["s2"])
    assert state.unreached == {"s2"}
    assert [name for name in SERVERS if state.reached_ms(name) > -math.inf] == ["s2"]
    assert [name for name in SERVERS if state.link_is_cut(name, 1.0)] == ["s2"]
    state.note_unreached("s1", 2.0)  # a new server of the same name
    assert not state.link_is_cut("s1", 2.0)


# Guards against probes of servers that nobody has reached for long.
def test_the_times_at_which_servers_were_reached_last_are_known():
    state = Connectivity()
    for now_ms, server_id in enumerate(["s1", "s2", "s3", "s1"]):
        state.note_reached(server_id, float(now_ms))
    assert [state.reached_ms(name) for name in ("s1", "s2", "s3")] == [3.0, 1.0, 2.0]
    assert state.last_reached_ms == state.reached_ms("s1") == 3.0


# ---- any order of events --------------------------------------------------------------------

servers = st.sampled_from(SERVERS)
nodes = st.sampled_from([NODE, OTHER_NODE])


class AnyOrder(RuleBasedStateMachine):
    """A node whose connections, probes and reports end in any order; times are milliseconds."""

    def __init__(self):
        super().__init__()
        self.state = Connectivity()
        self.now_ms = 0.0
        self.round_begun_ms = None  # of the round of probes that runs
        self.failed_round_ms = None  # begin of the last round, if it failed
        self.reached_ms = -math.inf
        self.last_failed = {}  # by server, whether its last connection failed
        self.reports = {}  # (whether it reaches servers, time), by node
        self.server_reports = {}  # times of reports that a server is reached, by server

    @rule(by_ms=st.sampled_from([0.0, 1.0, 250.0, 999.0, REPORT_KEPT_MS]))
    def time_passes(self, by_ms):
        self.now_ms += by_ms

    @rule(server_id=servers)
    def server_is_reached(self, server_id):
        self.state.note_reached(server_id, self.now_ms)
        self.reached_ms = self.now_ms
        self.last_failed[server_id] = False

    @rule(server_id=servers)
    def connection_fails(self, server_id):
        self.state.note_unreached(server_id, self.now_ms)
        self.last_failed[server_id] = True

    @precondition(lambda self: self.round_begun_ms is None)
    @rule()
    def probes_begin(self):
        self.round_begun_ms = self.now_ms

    @precondition(lambda self: self.round_begun_ms is not None)
    @rule()
    def probes_end(self):
        begun_ms, self.round_begun_ms = self.round_begun_ms, None
        self.state.note_probes(begun_ms)
        self.failed_round_ms = begun_ms if self.reached_ms < begun_ms else None

    @rule(node=nodes, reaches=st.booleans())
    def node_reports(self, node, reaches):
        self.state.note_node(node, reaches, self.now_ms)
        self.reports[node] = reaches, self.now_ms

    @rule(server_id=servers, reached=st.booleans())
    def node_reports_of_server(self, server_id, reached):
        self.state.note_elsewhere(server_id, reached, self.now_ms)
        if reached:
            self.server_reports[server_id] = self.now_ms

    @rule(kept=st.sets(servers))
    def servers_are_removed(self, kept):
        self.state.keep_only(kept)
        self.last_failed = {name: self.last_failed[name] for name in kept & self.last_failed.keys()}

    def is_current(self, at_ms):
        return self.now_ms - at_ms < REPORT_KEPT_MS

    @invariant()
    def cut_off_exactly_by_failed_probes_and_a_current_report(self):
        nothing_reached = (
            self.failed_round_ms is not None and self.reached_ms < self.failed_round_ms
        )
        reported = any(reaches and self.is_current(at) for reaches, at in self.reports.values())
        assert self.state.is_cut_off(self.now_ms) is (nothing_reached and reported)

    @invariant()
    def a_link_is_cut_only_after_a_failure_and_by_a_current_report(self):
        if self.state.is_cut_off(self.now_ms):
            return
        for server_id in SERVERS:
            if self.state.link_is_cut(server_id, self.now_ms):
                assert self.last_failed.get(server_id)
                assert self.is_current(self.server_reports[server_id])

    @invariant()
    def no_server_is_both_cut_and_down(self):
        if not self.state.is_cut_off(self.now_ms):
            assert not any(
                self.state.link_is_cut(name, self.now_ms) and self.state.is_down(name, self.now_ms)
                for name in SERVERS
            )


# Guards against an order of events that leaves a node cut off, or a server's link cut, by mistake.
TestAnyOrder = AnyOrder.TestCase
TestAnyOrder.settings = settings(max_examples=100, stateful_step_count=30, deadline=None)
