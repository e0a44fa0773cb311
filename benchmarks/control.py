"""Benchmarks of the control plane with separate processes.

They measure the cost of an idle node, the spread of a configuration, the cost of running a request
at most once, and the time of a drain.
"""

import gc
import json
import statistics
import time
from pathlib import Path

import gevent

from benchmarks.hop import cpu_s
from tests.processes import Cell

NODES = 6
IDLE_S = 6.0
CHANGES = 15
REQUESTS = 150
BACKENDS = {"weights": 4, "permits": 4}


def idle_cost(cell):
    """Return the mean and largest processor use and bytes sent of the nodes, and largest memory."""
    before = {node: (cpu_s(node.process.pid), sent_bytes(cell, node)) for node in cell.nodes}
    time.sleep(IDLE_S)  # the measured span
    shares, rates, memory = [], [], []
    for node, (cpu_before_s, bytes_before) in before.items():
        shares.append((cpu_s(node.process.pid) - cpu_before_s) / IDLE_S * 100)
        rates.append((sent_bytes(cell, node) - bytes_before) / IDLE_S)
        status = Path(f"/proc/{node.process.pid}/status").read_text()
        memory.append(int(status.split("VmRSS:")[1].split()[0]) / 1024)
    return {
        "core_percent_mean": round(statistics.mean(shares), 2),
        "core_percent_largest": round(max(shares), 2),
        "bytes_per_s_mean": round(statistics.mean(rates)),
        "bytes_per_s_largest": round(max(rates)),
        "memory_mb_largest": round(max(memory)),
    }


def sent_bytes(cell, node):
    """Return the number of bytes that a node sent to other nodes."""
    text = cell.client(node, "admin_port").exchange("GET", "/metrics").body.decode()
    marker = 'ploverhatch_peer_counters{counter="sent_bytes"}'
    rows = [line for line in text.splitlines() if line.startswith(marker)]
    return float(rows[0].split()[1]) if rows else 0.0


def configuration_spread(cell):
    """Return the time in ms from the acceptance of a change until every node shows it."""
    spans = []
    path = "/api/objects/key-labels/weights"
    for number in range(CHANGES):
        known = cell.admin(cell.nodes[0], "GET", path)
        version = known.json()["version"] if known.status == 200 else 0
        condition = {"If-Match": f'"{version}"'} if version else {"If-None-Match": "*"}
        body = {"keys": {"hive": {"n": str(number)}}}
        answer = cell.admin(cell.nodes[number % NODES], "PUT", path, body, condition)
        accepted_s = time.monotonic()
        wanted = answer.json()["version"]

        def await_version(node, wanted=wanted):
            while True:
                found = cell.admin(node, "GET", path)
                if found.status == 200 and found.json()["version"] >= wanted:
                    return
                gevent.sleep(0.001)

        gevent.joinall([gevent.spawn(await_version, node) for node in cell.nodes])
        spans.append((time.monotonic() - accepted_s) * 1000)
    return {"median_ms": round(statistics.median(spans), 1), "worst_ms": round(max(spans), 1)}


def once_cost(cell):
    """Return the median latency in ms of a repeatable and of an at-most-once request."""
    figures = {}
    for name, call in (
        ("repeatable", lambda node, n: cell.get(node, f"/weights/k{n}")),
        ("at most once", lambda node, n: cell.post(node, f"/permits/k{n}", key=f"b-{n}")),
    ):
        spans = []
        for number in range(REQUESTS):
            started_s = time.perf_counter()
            answer = call(cell.nodes[number % NODES], number)
            assert answer.status == 200
            spans.append((time.perf_counter() - started_s) * 1000)
        figures[name] = round(statistics.median(spans[REQUESTS // 5 :]), 2)
    return figures


def drain_time(cell):
    """Return the time in ms from the drain signal of a server to the start of its last request."""
    end_s = time.monotonic() + 4
    number = 0
    cell.backend_call("weights-1", "behaviour", {"draining": True})
    signalled_ms = time.monotonic() * 1000
    while time.monotonic() < end_s:
        cell.get(cell.nodes[number % NODES], f"/weights/d{number}")
        number += 1
    rows = cell.backend_call("weights-1", "executions")
    starts = [row["started_ms"] for row in rows if row["started_ms"] > signalled_ms]
    return {"last_new_work_ms": round(max(starts, default=signalled_ms) - signalled_ms)}


def main():
    """Run all benchmarks and print their figures as JSON."""
    gc.disable()
    with Cell(nodes=NODES, backends=BACKENDS) as cell:
        figures = {
            "idle": idle_cost(cell),
            "configuration": configuration_spread(cell),
            "median_ms": once_cost(cell),
            "drain": drain_time(cell),
        }
    print(json.dumps(figures, indent=2))


if __name__ == "__main__":
    main()
