"""Measurements of how the control costs grow with size, for docs/CAPACITY.md.

Each measurement runs at four sizes or more. A straight line is fitted, and the largest deviation
from it is reported. Times are processor times of this process.
"""

import json
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import gevent
import numpy

from ploverhatch.common.keyspace import even_ranges
from ploverhatch.common.timing import ControlTiming
from ploverhatch.consensus.actions import Send
from ploverhatch.consensus.replica import Replica
from ploverhatch.control.compiled import CompiledConfiguration
from ploverhatch.emulator.deployment import LOOPBACK
from ploverhatch.emulator.platform import PlatformEmulator
from ploverhatch.node.process import Node
from ploverhatch.ownership.controller import OwnershipController, SyncCall
from ploverhatch.ownership.messages import SyncReply
from ploverhatch.ownership.placement import Condition, PlacementLimits, PlacementView, plan
from ploverhatch.policy.compiler import compile_policy
from ploverhatch.settings.loader import validate
from ploverhatch.settings.model import Settings
from ploverhatch.state.assignment import AssignmentTable, Slice
from ploverhatch.state.commands import make_entry
from ploverhatch.state.configuration import KIND_POLICY, KIND_SERVER, ServerSpec
from ploverhatch.state.replicated import ReplicatedState, restore
from ploverhatch.transport import wire
from ploverhatch.transport.registry import pack, unpack

POLICY = "group g { slices 64; draw share 1.0 from servers; }"
HOLLOW_SPAN_S = 4.0


@dataclass(frozen=True)
class Fit:
    """A straight line fitted to measured values.

    ``error`` is the largest deviation of a value from the line, relative to the value.
    """

    name: str
    unit: str
    per: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    slope: float
    base: float
    error: float


def fit(name: str, unit: str, per: str, sizes: list[int], values: list[float]) -> Fit:
    """Fit a straight line to the values by least squares."""
    slope, base = numpy.polyfit(sizes, values, 1)
    fitted = [slope * size + base for size in sizes]
    error = max(
        abs(value - line) / max(abs(value), 1e-12)
        for value, line in zip(values, fitted, strict=True)
    )
    rounded = tuple(float(f"{value:.4g}") for value in values)
    return Fit(name, unit, per, tuple(sizes), rounded, float(slope), float(base), float(error))


def _cpu_us(action: Callable[[], object], rounds: int) -> float:
    """Return processor microseconds per call of ``action``, the minimum of three measurements."""
    best = float("inf")
    for _ in range(3):
        started_s = time.process_time()
        for _ in range(rounds):
            action()
        best = min(best, (time.process_time() - started_s) / rounds * 1e6)
    return best


def _table(slices: int, servers: int) -> AssignmentTable:
    table = AssignmentTable()
    for number, span in enumerate(even_ranges("g", slices)):
        table.put(Slice(span, f"server-{number % servers:05d}", number + 1))
    return table


def _specs(servers: int) -> dict[str, ServerSpec]:
    return {
        f"server-{number:05d}": ServerSpec(
            f"server-{number:05d}", LOOPBACK, 1, "z", 4, 100, {"tier": "a"}, False
        )
        for number in range(servers)
    }


# ---- measurements ------------------------------------------------------------


def log_entries() -> list[Fit]:
    """Measure the processor time of a voter group per committed record command."""
    sizes, values = [32, 64, 128, 256], []
    for size in sizes:
        values.append(_cpu_us(partial(_commit_batch, size), 5))
    return [fit("commit, three voters, codec included", "us", "entry", sizes, values)]


def _commit_batch(size: int) -> None:
    members = [wire.Member(node_id=f"r{number}", zone=f"z{number}") for number in range(3)]
    membership = wire.MembershipChange(epoch=1, voters=members)
    replicas = {}
    for member in members:
        state = ReplicatedState(membership=membership)
        replicas[member.node_id] = Replica(member.node_id, ControlTiming(), state)
    leader = replicas["r0"]
    leader.start(0.0)
    pending = [("r0", action) for action in leader.tick(5000.0)]
    _deliver(replicas, pending)
    commands = [
        wire.RecordClaim(record_id=f"g/{number:020d}", claim_id="0123456789abcdef", fingerprint=7)
        for number in range(size)
    ]
    _, actions = leader.propose(commands, 5001.0)
    _deliver(replicas, [("r0", action) for action in actions])
    assert len(leader.state.records.records) == size


def _deliver(replicas: dict[str, Replica], pending: list) -> None:
    """Deliver messages between replicas, encoded and decoded, until none is pending."""
    while pending:
        sender, action = pending.pop(0)
        if not isinstance(action, Send):
            continue
        _, message = unpack(pack(action.message, sender=sender))
        replies = replicas[action.recipient].receive(sender, message, 5001.0)
        pending += [(action.recipient, reply) for reply in replies]


def lease_renewals() -> list[Fit]:
    """Measure the processor time of a leader per server and renewal, without sockets."""
    sizes, values = [50, 100, 200, 400], []
    for size in sizes:
        values.append(_renewal_round_us(size))
    return [fit("renewal round of the leader", "us", "server", sizes, values)]


def _renewal_round_us(servers: int) -> float:
    timing = ControlTiming()
    state = ReplicatedState(membership=wire.MembershipChange(epoch=1))
    state.assignments = _table(servers * 8, servers)
    controller = OwnershipController(timing, 1, state, 0.0)
    controller.configure(compile_policy(POLICY).table, _specs(servers), 0.0)
    clock = [0.0]

    def renewal_round() -> None:
        clock[0] += timing.renew_ms + 1
        for _ in range(2):
            for action in controller.tick(clock[0], True):
                if isinstance(action, SyncCall):
                    reply = SyncReply(True, "boot", clock[0])
                    controller.handle_reply(action.server, action.request, reply, clock[0])

    renewal_round()
    return _cpu_us(renewal_round, 3)


def placement_rounds() -> list[Fit]:
    """Measure the processor time of a placement round that finds little to move."""
    sizes, values = [250, 500, 1000, 2000], []
    for size in sizes:
        view = PlacementView(
            policy=compile_policy(POLICY).table,
            servers=_specs(100),
            conditions=dict.fromkeys(_specs(100), Condition.UP),
            assignments=_table(size, 100),
            loads={("g", span.first): 10.0 for span in even_ranges("g", size)},
        )
        values.append(_cpu_us(partial(plan, view, PlacementLimits(), 1e6), 3))
    return [fit("placement round, 100 servers", "us", "slice", sizes, values)]


def assignment_memory() -> list[Fit]:
    """Measure memory and snapshot costs per slice in the view of a node."""
    sizes = [2000, 4000, 8000, 16_000]
    memory, encode, decode, size_bytes = [], [], [], []
    for size in sizes:
        tracemalloc.start()
        table = _table(size, 500)
        memory.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        state = ReplicatedState(assignments=table)
        data = bytes(state.snapshot(with_records=False))
        size_bytes.append(float(len(data)))
        started_s = time.process_time()
        bytes(state.snapshot(with_records=False))
        encode.append((time.process_time() - started_s) * 1e6)
        started_s = time.process_time()
        restore(wire.Snapshot().parse(data))
        decode.append((time.process_time() - started_s) * 1e6)
    return [
        fit("assignment table", "bytes", "slice", sizes, [float(value) for value in memory]),
        fit("snapshot size", "bytes", "slice", sizes, size_bytes),
        fit("snapshot encode", "us", "slice", sizes, encode),
        fit("snapshot decode and restore", "us", "slice", sizes, decode),
    ]


def record_memory() -> list[Fit]:
    """Measure the memory per completion record with an answer of 200 bytes."""
    sizes, values = [1000, 2000, 4000, 8000], []
    for size in sizes:
        tracemalloc.start()
        state = ReplicatedState()
        for number in range(size):
            name = f"group/{number:032d}"
            claim = wire.RecordClaim(record_id=name, claim_id="0123456789abcdef")
            state.apply(make_entry(2 * number + 1, 1, 0, claim))
            complete = wire.RecordComplete(
                record_id=name, claim_id="0123456789abcdef", status=200,
                body=bytes(200), body_kept=True,
            )  # fmt: skip
            state.apply(make_entry(2 * number + 2, 1, 0, complete))
        values.append(float(tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
    return [fit("completion record", "bytes", "record", sizes, values)]


def configuration_changes() -> list[Fit]:
    """Measure the processor time in which a node applies a change of one server object."""
    sizes, values = [100, 200, 400, 800], []
    for size in sizes:
        state = ReplicatedState()
        body = json.dumps({"port": 1, "zone": "z", "slots": 4, "labels": {"tier": "a"}})
        objects = [
            wire.ObjectChange(kind=KIND_SERVER, name=f"server-{number}", version=1, body=body)
            for number in range(size)
        ]
        policy = wire.ObjectChange(
            kind=KIND_POLICY, name="main", version=1, body=json.dumps({"source": POLICY})
        )
        first = wire.ConfigurationChange(generation=1, objects=[policy, *objects])
        state.configuration.apply(first)
        compiled = CompiledConfiguration()
        compiled.refresh(state.configuration)
        generation = [1]

        def change(
            state: ReplicatedState = state,
            compiled: CompiledConfiguration = compiled,
            generation: list[int] = generation,
            item: wire.ObjectChange = objects[0],
        ) -> None:
            generation[0] += 1
            command = wire.ConfigurationChange(generation=generation[0], objects=[item])
            state.apply(make_entry(generation[0], 1, 0, command))
            compiled.refresh(state.configuration)

        values.append(_cpu_us(change, 20))
    return [fit("configuration change at a node", "us", "server object", sizes, values)]


def assignment_stream() -> list[Fit]:
    """Measure the processor time to encode, and to decode and apply, a batch of moves."""
    sizes, encode, apply = [16, 32, 64, 128], [], []
    for size in sizes:
        change = wire.AssignmentChange(
            slices=[
                wire.SliceAssignment(span.group, span.first, span.last, "server-00001")
                for span in even_ranges("g", size)
            ]
        )
        entry = make_entry(1, 1, 0, change)
        update = wire.StreamUpdate(epoch=1, through_index=1, entries=[entry])
        encode.append(_cpu_us(partial(make_entry, 1, 1, 0, change), 20))
        data = pack(update, sender="n")

        def receive(data: bytes = data) -> None:
            _, message = unpack(data)
            ReplicatedState().apply(message.entries[0])

        apply.append(_cpu_us(receive, 20))
    return [
        fit("assignment entry, encode", "us", "slice", sizes, encode),
        fit("assignment entry, decode and apply", "us", "slice", sizes, apply),
    ]


def hollow_nodes() -> list[Fit]:
    """Measure processor time and sent bytes of real nodes without requests, all in this process."""
    sizes, cpu, sent = [8, 16, 32, 64], [], []
    for size in sizes:
        share, rate = _run_hollow(size)
        cpu.append(share * 1000)
        sent.append(rate)
    return [
        fit("hollow nodes, all roles, no back ends", "ms/s", "node", sizes, cpu),
        fit("hollow nodes, bytes sent between nodes", "bytes/s", "node", sizes, sent),
    ]


def _run_hollow(count: int) -> tuple[float, float]:
    platform = PlatformEmulator((LOOPBACK, 0))
    platform.store.change(KIND_POLICY, "main", 0, {"body": {"source": POLICY}}, False)
    nodes: list[Node] = []
    for number in range(count):
        document = {
            "node": {"name": f"n{number}", "zone": f"z{number % 3}"},
            "platform": {"url": platform.url},
            "cell": {"seeds": [f"{LOOPBACK}:{node.member.port}" for node in nodes[:1]]},
        }
        node = Node(validate(Settings, document, "hollow"))
        node.start()
        nodes.append(node)
    _wait_settled(nodes)
    before_s = time.process_time()
    before_bytes = sum(node.network.counters["sent_bytes"] for node in nodes)
    gevent.sleep(HOLLOW_SPAN_S)
    cpu = (time.process_time() - before_s) / HOLLOW_SPAN_S
    sent = sum(node.network.counters["sent_bytes"] for node in nodes) - before_bytes
    for node in nodes:
        node.stop()
    platform.close()
    return cpu, sent / HOLLOW_SPAN_S


def _wait_settled(nodes: list[Node]) -> None:
    for _ in range(400):
        if all(node.view.ready and len(node.view.state.membership.voters) == 3 for node in nodes):
            return
        gevent.sleep(0.05)
    raise TimeoutError("hollow nodes did not settle")


def owner_lookup() -> list[Fit]:
    """Measure the processor time of an owner lookup by number of slices."""
    sizes, values = [1000, 4000, 16_000, 64_000], []
    for size in sizes:
        table = _table(size, 500)
        values.append(_cpu_us(partial(table.find, "g", 1 << 60), 20_000))
    return [fit("owner lookup", "us", "slice", sizes, values)]


MEASUREMENTS: dict[str, Callable[[], list[Fit]]] = {
    "log": log_entries,
    "renewals": lease_renewals,
    "placement": placement_rounds,
    "memory": assignment_memory,
    "records": record_memory,
    "configuration": configuration_changes,
    "stream": assignment_stream,
    "lookup": owner_lookup,
    "hollow": hollow_nodes,
}
