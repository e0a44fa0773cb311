"""Golden files of simulated sessions: the events that concern one key, in order.

The files contain no times, and tokens are numbered by first use, so that only a change of
behaviour changes a file. To accept a change, run with UPDATE_GOLDEN=1 and read the difference.
"""

import os
from pathlib import Path
from unittest import mock

import pytest

from ploverhatch.policy.compiler import compile_policy
from ploverhatch.policy.diagnostics import PolicyError
from ploverhatch.policy.parser import parse_policy
from ploverhatch.policy.printer import print_policy
from ploverhatch.simulation.checker import Checker
from ploverhatch.simulation.cluster import Cluster
from ploverhatch.simulation.node import SimulatedNode
from ploverhatch.simulation.server import SimulatedServer
from ploverhatch.state.commands import ASSIGNMENT_KIND, decode_command

GOLDEN = Path(__file__).parents[1] / "golden"
SAMPLES = Path(__file__).parents[2] / "etc"


def compare(name, text):
    path = GOLDEN / name
    if os.environ.get("UPDATE_GOLDEN"):
        path.write_text(text)
    assert path.read_text() == text


class Session:
    """Records the commits, grants, revocations and runs that concern one key."""

    def __init__(self, seed):
        self.lines = []
        self.tokens = {}
        self.seen = set()
        self.cluster = Cluster(seed)
        self.key = self.cluster.all_keys()[-1]

    def token(self, value):
        return f"t{self.tokens.setdefault(value, len(self.tokens) + 1)}"

    def record(self, line):
        if not self.lines or self.lines[-1] != line:
            self.lines.append(line)

    def committed(self, entry):
        group, key_hash = self.key
        if entry.kind != ASSIGNMENT_KIND:
            return
        for item in decode_command(entry).slices:
            inside = item.group == group and item.first <= key_hash <= item.last
            if inside and entry.index not in self.seen:
                self.seen.add(entry.index)
                self.record(f"commit  {item.server or 'nobody'} owns the slice")

    def synced(self, server, request, reply):
        group, key_hash = self.key
        if not reply.accepted:
            return
        for span in request.revokes:
            if span.group == group and span.contains(key_hash):
                self.record(f"revoke  {server.name}")
        for grant in request.grants:
            if grant.range.group == group and grant.range.contains(key_hash):
                self.record(f"grant   {server.name} {self.token(grant.token)}")
        if request.full and not any(
            grant.range.group == group and grant.range.contains(key_hash)
            for grant in request.grants
        ):
            self.record(f"replace {server.name} holds nothing of the key")

    def ran(self, run):
        if run.key == self.key:
            self.record(f"run     {run.server} {self.token(run.token)}")

    def run(self, steps, end_ms=9000.0):
        real_publish, real_sync = SimulatedNode._published, SimulatedServer.sync
        real_started = Checker.started
        session = self

        def publish(node, entry):
            real_publish(node, entry)
            session.committed(entry)

        def sync(server, request, reply):
            def answer(found):
                session.synced(server, request, found)
                reply(found)

            real_sync(server, request, answer)

        def started(checker, run):
            real_started(checker, run)
            session.ran(run)

        with (
            mock.patch.object(SimulatedNode, "_published", publish),
            mock.patch.object(SimulatedServer, "sync", sync),
            mock.patch.object(Checker, "started", started),
        ):
            for at_ms, step in steps:
                self.cluster.world.after(at_ms, lambda step=step: self.run_step(step))
            self.cluster.world.run_until(end_ms)
        assert self.cluster.checker.violations == []
        return "\n".join([*self.lines, ""])

    def run_step(self, step):
        self.record(f"-- {step.__name__.replace('_', ' ')}")
        step(self.cluster, self.owner())

    def owner(self):
        if not hasattr(self, "first_owner"):
            self.first_owner = self.cluster.look_up(self.key, self.cluster.world.random)[0]
        return self.first_owner


def drain_the_owner(cluster, owner):
    cluster.platform.servers[owner]["drain"] = True
    cluster.platform.generation += 1


def freeze_the_owner(cluster, owner):
    cluster.servers[owner].freeze()


def thaw_the_old_owner(cluster, owner):
    cluster.servers[owner].thaw()


def kill_the_owner(cluster, owner):
    cluster.servers[owner].kill()


def restart_the_owner(cluster, owner):
    cluster.restart_server(owner)


def kill_the_leader(cluster, _owner):
    name = next(name for name, node in cluster.nodes.items() if node.core.replica.is_leader)
    cluster.restart_node(name)


def lose_all_nodes(cluster, _owner):
    for name in sorted(cluster.nodes):
        cluster.restart_node(name)


SESSIONS = {
    "grant": [],
    "planned-move": [(4000, drain_the_owner)],
    "thaw-of-old-owner": [(4000, freeze_the_owner), (7000, thaw_the_old_owner)],
    "restart-of-owner": [(4000, restart_the_owner)],
    "loss-of-owner": [(4000, kill_the_owner)],
    "change-of-leader": [(4000, kill_the_leader)],
    "loss-of-all-nodes": [(4000, lose_all_nodes)],
}


@pytest.mark.parametrize("name", sorted(SESSIONS))
def test_session(name):
    end_ms = 14_000.0 if name == "loss-of-all-nodes" else 9000.0
    compare(f"session-{name}.txt", Session(5).run(SESSIONS[name], end_ms))


@pytest.mark.parametrize("name", ["uplands", "gauteng-east"])
def test_compiled_policy(name):
    source = (SAMPLES / f"{name}.policy").read_text()
    compare(f"{name}.policy", print_policy(parse_policy(source)))


def test_diagnostics():
    source = (GOLDEN / "faulty.policy").read_text()
    with pytest.raises(PolicyError) as caught:
        compile_policy(source, {"s1": {"tier": "a"}})
    compare("faulty.diagnostics.txt", f"{caught.value}\n")
