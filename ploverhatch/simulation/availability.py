"""Simulates for how long keys are unavailable after an event, in virtual time.

Each key is requested every 10 ms through a node that is up and not cut off. The unavailable time
of a key is the longest interval between two successive answers, from 500 ms before the event on,
less 10 ms.
"""

from collections.abc import Callable
from dataclasses import dataclass

import numpy

from ploverhatch.common.results import Outcome
from ploverhatch.simulation.cluster import Cluster
from ploverhatch.simulation.faults import cut_zone

EVENT_MS = 4000.0
END_MS = 11_000.0
PROBE_MS = 10.0


@dataclass(frozen=True)
class Unavailability:
    """Unavailable times of the keys that an event affects, in milliseconds.

    ``keys`` counts these keys over all runs, and ``failed`` the failed requests for any key.
    """

    event: str
    keys: int
    failed: int
    median: float
    p99: float
    worst: float


def _largest_owner(cluster: Cluster) -> str:
    leader = next(node for node in cluster.nodes.values() if node.core.replica.is_leader)
    owners = [item.server for item in leader.core.replica.state.assignments]
    return max(sorted(set(owners)), key=owners.count)


def drain_server(cluster: Cluster) -> set[str]:
    """Drain a server by configuration."""
    name = _largest_owner(cluster)
    cluster.platform.servers[name]["drain"] = True
    cluster.platform.generation += 1
    return {name}


def kill_server(cluster: Cluster) -> set[str]:
    """Kill a server permanently."""
    name = _largest_owner(cluster)
    cluster.servers[name].kill()
    return {name}


def freeze_server(cluster: Cluster) -> set[str]:
    """Freeze a server permanently."""
    name = _largest_owner(cluster)
    cluster.servers[name].freeze()
    return {name}


def kill_leader(cluster: Cluster) -> set[str]:
    """Kill the control leader permanently; all keys are affected."""
    name = next(name for name, node in cluster.nodes.items() if node.core.replica.is_leader)
    cluster.nodes[name].kill()
    return set(cluster.servers)


def kill_leader_and_server(cluster: Cluster) -> set[str]:
    """Kill the control leader and a server at the same time."""
    kill_leader(cluster)
    return kill_server(cluster)


def lose_zone(cluster: Cluster) -> set[str]:
    """Cut a zone off in both directions; the keys of its servers are affected."""
    cut_zone(cluster)
    zone = next(source for source, _ in cluster.world.faults.blocked_links)
    isolated = {
        name
        for name, server in cluster.servers.items()
        if all(
            (server.zone, other) in cluster.world.faults.blocked_links
            for other in _others(server.zone)
        )
    }
    assert zone
    return isolated


def _others(zone: str) -> list[str]:
    return [other for other in ("zone-a", "zone-b", "zone-c") if other != zone]


EVENTS: dict[str, Callable[[Cluster], set[str]]] = {
    "planned move (drain)": drain_server,
    "server killed": kill_server,
    "server frozen": freeze_server,
    "control leader killed": kill_leader,
    "leader and server killed": kill_leader_and_server,
    "zone cut off": lose_zone,
}


def measure(event: str, seeds: range) -> Unavailability:
    """Simulate an event, one of ``EVENTS``, once per seed."""
    gaps: list[float] = []
    failed = 0
    for seed in seeds:
        run_gaps, run_failed = _run(event, seed)
        gaps += run_gaps
        failed += run_failed
    values = numpy.array(gaps or [0.0])
    return Unavailability(
        event=event,
        keys=len(gaps),
        failed=failed,
        median=round(float(numpy.percentile(values, 50)), 1),
        p99=round(float(numpy.percentile(values, 99)), 1),
        worst=round(float(values.max()), 1),
    )


def _run(event: str, seed: int) -> tuple[list[float], int]:
    cluster = Cluster(seed, nodes=6, servers=6)
    world = cluster.world
    answers: dict[tuple[str, int], list[float]] = {}
    failed = [0]
    affected: set[str] = set()
    owners: dict[tuple[str, int], str] = {}

    def start_event() -> None:
        for key in cluster.all_keys():
            found = cluster.look_up(key, world.random)
            owners[key] = found[0] if found else ""
        affected.update(EVENTS[event](cluster))

    def probe() -> None:
        world.after(PROBE_MS, probe)
        for key in cluster.all_keys():
            _request(cluster, key, answers, failed)

    world.after(EVENT_MS, start_event)
    world.after(EVENT_MS / 2, probe)
    world.run_until(END_MS)
    gaps = []
    for key, moments in answers.items():
        if owners[key] in affected:
            around = [moment for moment in sorted(moments) if moment > EVENT_MS - 500]
            pauses = [later - earlier for earlier, later in zip(around, around[1:], strict=False)]
            gaps.append(max(0.0, max(pauses) - PROBE_MS))
    return gaps, failed[0]


def _request(
    cluster: Cluster,
    key: tuple[str, int],
    answers: dict[tuple[str, int], list[float]],
    failed: list[int],
) -> None:
    blocked = cluster.world.faults.blocked_links
    usable = [
        name
        for name, node in cluster.nodes.items()
        if node.alive and not all((node.zone, other) in blocked for other in _others(node.zone))
    ]
    name = cluster.world.random.choice(usable)

    def answered(_result: str, outcome: Outcome) -> None:
        if outcome is Outcome.DONE:
            answers.setdefault(key, []).append(cluster.world.now_ms)
        else:
            failed[0] += 1

    cluster.nodes[name].do(lambda: cluster.routers[name].serve(key, "", answered))
