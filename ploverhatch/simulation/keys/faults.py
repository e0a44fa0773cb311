"""Faults of the key simulation, and schedules of named or random faults.

A fault changes the cell and returns a function that ends the fault. A link that is cut leaves
calls without an answer, or refuses connections although the server at its other end lives on.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ploverhatch.sharding.messages import CallOutcome
from ploverhatch.simulation.keys.cell import KeyCell
from ploverhatch.simulation.keys.node import SERVICE
from ploverhatch.simulation.keys.server import SimKeyServer
from ploverhatch.state.incarnations import registered_name

Heal = Callable[[], None]
Fault = Callable[[KeyCell], Heal]

START_MS = 4000.0
FAULT_MS = 5000.0
MAX_FAULT_MS = 18_000.0
SETTLE_MS = 34_000.0  # covers the wait for leases that several lost leaders may have renewed
CHECK_MS = 3000.0
TAKEOVER_LIMIT_MS = 2500.0  # from a cut of nodes to when the others' keys must be served
CHECK_DURING_CUT_MS = 4000.0
MAX_ENTRY_DELAY_MS = 1300.0  # servers write their entries at least this often
STOP_MS = (2600.0, 5400.0)  # from the signal of a planned stop to the exit of the process


def _random_node(cell: KeyCell) -> str:
    return cell.world.random.choice(sorted(cell.nodes))


def _leader_or_random(cell: KeyCell) -> str:
    return cell.leader() or _random_node(cell)


def _random_server(cell: KeyCell) -> str:
    return cell.world.random.choice(
        sorted(incarnation for incarnation, server in cell.servers.items() if server.up)
    )


def _no_heal() -> None:
    return None


def kill_node(cell: KeyCell) -> Heal:
    """Kill a node."""
    cell.kill_node(_random_node(cell), cell.world.random.uniform(300, 4000))
    return _no_heal


def kill_leader(cell: KeyCell) -> Heal:
    """Kill the leader."""
    cell.kill_node(_leader_or_random(cell), cell.world.random.uniform(300, 4000))
    return _no_heal


def stop_leader(cell: KeyCell) -> Heal:
    """Start a planned stop of the leader; its process exits later and starts again."""
    name = _leader_or_random(cell)
    node = cell.nodes[name]
    node.stop()

    def end() -> None:
        if cell.nodes.get(name) is node:
            cell.kill_node(name, cell.world.random.uniform(300, 1500))

    cell.world.after(cell.world.random.uniform(*STOP_MS), end)
    return _no_heal


def kill_all(cell: KeyCell) -> Heal:
    """Kill all nodes at once."""
    for name in list(cell.nodes):
        cell.kill_node(name, cell.world.random.uniform(300, 1500))
    return _no_heal


def freeze_leader(cell: KeyCell) -> Heal:
    """Freeze the leader and thaw it later."""
    node = cell.nodes[_leader_or_random(cell)]
    node.freeze()
    return node.thaw


def suspend_leader(cell: KeyCell) -> Heal:
    """Suspend the leader's machine, which stops its timers too."""
    node = cell.nodes[_leader_or_random(cell)]
    node.suspend()
    return node.thaw


def suspend_all(cell: KeyCell) -> Heal:
    """Suspend all machines at random times within 2 s, and resume them likewise."""
    nodes = list(cell.nodes.values())
    for node in nodes:
        cell.world.after(cell.world.random.uniform(0, 2000.0), node.suspend)

    def heal() -> None:
        for node in nodes:
            cell.world.after(cell.world.random.uniform(0, 2000.0), node.thaw)

    return heal


def cut_leader_from_store(cell: KeyCell) -> Heal:
    """Cut the leader off from the store."""
    name = _leader_or_random(cell)
    cell.store.cut.add(name)
    return lambda: cell.store.cut.discard(name)


def cut_leader_by_write(cell: KeyCell) -> Heal:
    """Cut the leader off from the store by its next write of the key map.

    The write is carried out late, just before the next leader's first write of the map.
    """
    name = _leader_or_random(cell)
    cell.store.cut_by_write.add((name, SERVICE))

    def heal() -> None:
        cell.store.cut_by_write.discard((name, SERVICE))
        cell.store.cut.discard(name)

    return heal


def _cut_leader_from_servers(cell: KeyCell, outcome: CallOutcome) -> Heal:
    node = cell.nodes[_leader_or_random(cell)]
    node.cut_from_servers = outcome

    def heal() -> None:
        node.cut_from_servers = None

    return heal


def cut_leader_from_servers(cell: KeyCell) -> Heal:
    """Cut the leader off from all servers."""
    return _cut_leader_from_servers(cell, CallOutcome.NO_ANSWER)


def refuse_leader(cell: KeyCell) -> Heal:
    """Have the leader's links to all servers refuse connections."""
    return _cut_leader_from_servers(cell, CallOutcome.NOT_LISTENING)


def _cut_nodes_from_servers(cell: KeyCell, outcome: CallOutcome) -> Heal:
    """Cut all nodes but one, the leader among them, off from all servers."""
    leader = _leader_or_random(cell)
    spared = cell.world.random.choice(sorted(cell.nodes.keys() - {leader}))
    nodes = [node for name, node in cell.nodes.items() if name != spared]
    for node in nodes:
        node.cut_from_servers = outcome

    def heal() -> None:
        for node in nodes:
            node.cut_from_servers = None

    return heal


def cut_nodes_from_servers(cell: KeyCell) -> Heal:
    """Cut all nodes but one, the leader among them, off from all servers."""
    return _cut_nodes_from_servers(cell, CallOutcome.NO_ANSWER)


def refuse_nodes(cell: KeyCell) -> Heal:
    """Have the links of all nodes but one to all servers refuse connections."""
    return _cut_nodes_from_servers(cell, CallOutcome.NOT_LISTENING)


def store_down(cell: KeyCell) -> Heal:
    """Make the store unavailable."""
    cell.store.faults.down = True

    def heal() -> None:
        cell.store.faults.down = False

    return heal


def store_slow(cell: KeyCell) -> Heal:
    """Make the store answer slowly."""
    before = cell.store.faults.delay_ms
    cell.store.faults.delay_ms = 300.0

    def heal() -> None:
        cell.store.faults.delay_ms = before

    return heal


def store_loses_answers(cell: KeyCell) -> Heal:
    """Leave some writes unanswered; in some runs they are applied seconds later."""
    cell.store.faults.lost = 0.35
    cell.store.faults.late = cell.world.random.random() < 0.6

    def heal() -> None:
        cell.store.faults.lost = 0.0

    return heal


def restart_server(cell: KeyCell) -> Heal:
    """Crash a server; a server with a new name starts at its address."""
    server = cell.servers[_random_server(cell)]
    server.crash()
    delay_ms = cell.world.random.uniform(50, 4000)
    cell.world.after(delay_ms, cell.server_starter(server.port))
    return _no_heal


def rebirth(cell: KeyCell) -> Heal:
    """Crash a server and restart it under its name, twice; its entry in the store is late."""
    server = cell.servers[_random_server(cell)]
    name, rng = registered_name(server.incarnation), cell.world.random

    def crash(crashed: SimKeyServer) -> float:
        down_ms, entry_ms = rng.uniform(50, 2000), rng.uniform(0, MAX_ENTRY_DELAY_MS)
        port = crashed.port if rng.random() < 0.5 else crashed.port + 100
        cell.restart_under_same_name(crashed, port, down_ms, entry_ms)
        return down_ms + entry_ms

    def crash_again() -> None:
        incarnations = [
            server
            for incarnation, server in cell.servers.items()
            if registered_name(incarnation) == name
        ]
        if incarnations[-1].up:
            crash(incarnations[-1])

    cell.world.after(crash(server) + rng.uniform(100, 6000), crash_again)
    return _no_heal


def _cut(cell: KeyCell, pairs: set[tuple[str, str]], outcome: CallOutcome) -> Heal:
    cell.cuts |= dict.fromkeys(pairs, outcome)

    def heal() -> None:
        for pair in pairs:
            cell.cuts.pop(pair, None)

    return heal


def _cut_server(cell: KeyCell, outcome: CallOutcome) -> Heal:
    incarnation = _random_server(cell)
    return _cut(cell, {(name, incarnation) for name in cell.nodes}, outcome)


def cut_server(cell: KeyCell) -> Heal:
    """Cut a server off from all nodes as leaders; requests still reach it."""
    return _cut_server(cell, CallOutcome.NO_ANSWER)


def refuse_server(cell: KeyCell) -> Heal:
    """Have the links of all leaders to a server refuse connections; requests still reach it."""
    return _cut_server(cell, CallOutcome.NOT_LISTENING)


def split_leader(cell: KeyCell) -> Heal:
    """Cut the leader off from the store, and all other nodes off from up to two servers."""
    return _split_leader(cell, CallOutcome.NO_ANSWER)


def split_leader_refused(cell: KeyCell) -> Heal:
    """Split the leader off likewise, with links that refuse connections."""
    return _split_leader(cell, CallOutcome.NOT_LISTENING)


def _split_leader(cell: KeyCell, outcome: CallOutcome) -> Heal:
    leader = _leader_or_random(cell)
    incarnations = {_random_server(cell), _random_server(cell)}
    heal_cut = _cut(
        cell,
        {
            (name, incarnation)
            for name in cell.nodes
            if name != leader
            for incarnation in incarnations
        },
        outcome,
    )
    cell.store.cut.add(leader)

    def heal() -> None:
        cell.store.cut.discard(leader)
        heal_cut()

    return heal


def drain_server(cell: KeyCell) -> Heal:
    """Have a server announce that it is leaving and exit later; another server replaces it."""
    server = cell.servers[_random_server(cell)]
    server.draining = True
    cell.world.after(4000.0, server.crash)
    cell.world.after(1000.0, cell.server_starter(server.port + 100))
    return _no_heal


def evacuate(cell: KeyCell) -> Heal:
    """Evacuate about half of the servers, which stay up."""
    chosen = [incarnation for incarnation, server in cell.servers.items() if server.up]
    cell.evacuated = set(chosen[::2])

    def heal() -> None:
        cell.evacuated = set()

    return heal


def false_silence(cell: KeyCell) -> Heal:
    """Report up to two servers as unresponsive, although they answer."""
    cell.unresponsive = {_random_server(cell), _random_server(cell)}

    def heal() -> None:
        cell.unresponsive = set()

    return heal


def late_orders(cell: KeyCell) -> Heal:
    """Leave some grants and releases unanswered; such grants are applied seconds later."""
    cell.late_fraction = 0.4

    def heal() -> None:
        cell.late_fraction = 0.0

    return heal


def hot_key(cell: KeyCell) -> Heal:
    """Report most of the traffic for one key."""
    cell.hot_key = cell.world.random.choice(sorted(cell.rates()))

    def heal() -> None:
        cell.hot_key = None

    return heal


FAULTS: dict[str, Fault] = {
    fault.__name__.replace("_", "-"): fault
    for fault in (
        kill_node,
        kill_leader,
        stop_leader,
        kill_all,
        freeze_leader,
        suspend_leader,
        suspend_all,
        cut_leader_from_store,
        cut_leader_from_servers,
        refuse_leader,
        cut_nodes_from_servers,
        refuse_nodes,
        store_down,
        store_slow,
        store_loses_answers,
        restart_server,
        rebirth,
        cut_server,
        refuse_server,
        split_leader,
        split_leader_refused,
        drain_server,
        evacuate,
        false_silence,
        late_orders,
        hot_key,
        cut_leader_by_write,
    )
}

# Cuts of links, and the same with links that refuse connections.
REFUSING = {
    "cut-server": "refuse-server",
    "cut-leader-from-servers": "refuse-leader",
    "split-leader": "split-leader-refused",
}
# Left out of random schedules, so that the schedule of a seed is the same as without them.
NODE_CUTS = frozenset({"cut-nodes-from-servers", "refuse-nodes"})
LATE_WRITES = frozenset({"cut-leader-by-write"})
NOT_DRAWN = NODE_CUTS | LATE_WRITES
REFUSED_FRACTION = 0.5  # of the links that are cut in random schedules


@dataclass(frozen=True)
class KeyVerdict:
    """The result of a schedule. ``unserved`` holds the keys that were not served again."""

    seed: int
    faults: tuple[str, ...]
    violations: tuple[str, ...]
    unserved: tuple[int, ...]
    requests: int

    @property
    def clean(self) -> bool:
        """Whether no invariant was violated and every key was served again."""
        return not self.violations and not self.unserved


def run_schedule(seed: int, names: Sequence[str]) -> KeyVerdict:
    """Inject faults at random times, end them, and return the verdict."""
    cell = KeyCell(seed)
    world = cell.world
    world.run_until(START_MS)
    end_ms = START_MS
    for name in names:
        start_ms = START_MS + world.random.uniform(0, FAULT_MS)
        length_ms = world.random.uniform(500, MAX_FAULT_MS)
        end_ms = max(end_ms, start_ms + length_ms)
        world.after(start_ms - world.now_ms, _injection(cell, FAULTS[name], length_ms))
    world.run_until(end_ms + SETTLE_MS)
    check_from_ms = world.now_ms
    world.run_until(check_from_ms + CHECK_MS)
    return KeyVerdict(
        seed=seed,
        faults=tuple(names),
        violations=tuple(cell.violations()),
        unserved=tuple(cell.unserved(check_from_ms)),
        requests=sum(len(hold.starts_ms) for hold in cell.journal.holds),
    )


def run_during_cut(seed: int, name: str) -> KeyVerdict:
    """Check keys while a cut lasts, from ``TAKEOVER_LIMIT_MS`` after its start.

    ``unserved`` of the verdict holds the keys that no server served to the nodes that reach
    servers.
    """
    cell = KeyCell(seed)
    world = cell.world
    world.run_until(START_MS + world.random.uniform(0, FAULT_MS))
    heal = FAULTS[name](cell)
    through = {name for name, node in cell.nodes.items() if cell.reaches_servers(node)}
    world.run_until(world.now_ms + TAKEOVER_LIMIT_MS)
    check_from_ms = world.now_ms
    world.run_until(check_from_ms + CHECK_DURING_CUT_MS)
    unserved = cell.unserved(check_from_ms, through)
    heal()
    world.run_until(world.now_ms + SETTLE_MS)
    return KeyVerdict(
        seed=seed,
        faults=(name,),
        violations=tuple(cell.violations()),
        unserved=tuple(unserved),
        requests=sum(len(hold.starts_ms) for hold in cell.journal.holds),
    )


def _injection(cell: KeyCell, fault: Fault, length_ms: float) -> Callable[[], None]:
    def run() -> None:
        heal = fault(cell)
        cell.world.after(length_ms, heal)

    return run


def run_seed(seed: int) -> KeyVerdict:
    """Run a schedule of one to five random faults."""
    world = KeyCell(seed, nodes=0, servers=0).world
    count = world.random.randint(1, 5)
    drawn = sorted(FAULTS.keys() - REFUSING.values() - NOT_DRAWN)
    names = [world.random.choice(drawn) for _ in range(count)]
    # Drawn apart, so that the schedule of a seed is otherwise the same.
    links = random.Random(f"links of {seed}")
    return run_schedule(
        seed, [REFUSING.get(name, name) if _is_refused(links) else name for name in names]
    )


def _is_refused(links: random.Random) -> bool:
    return links.random() < REFUSED_FRACTION
