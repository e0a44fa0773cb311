"""Cost of the router compared with a bare proxy, and of owner lookup at several sizes.

The result is in requests per second of processor time of the process under test, read from its
/proc entry, so it doesn't depend on the load of the callers' process.
"""

import gc
import json
import os
import time
from pathlib import Path

import gevent
from hdrh.histogram import HdrHistogram

from benchmarks.lookup import lookup_costs_us
from ploverhatch.transport.http_client import HttpClient
from tests.processes import Cell, Program

CALLERS = 16
SPAN_S = 3.0
QUIET_RATE = 100
POLICY = """
group weights { slices 12; draw share 1.0 from servers; }
route GET "/weights/{hive}" to weights { key path hive; deadline 8s; wait 6s; }
"""
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_s(pid):
    """Return the processor seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


class Target:
    """A server process under test."""

    def __init__(self, name, port, pid):
        self.name = name
        self.client = HttpClient("127.0.0.1", port, 64)
        self.pid = pid

    def saturate(self):
        """Return requests per processor second and per second, with all callers busy."""
        done = [0]
        end_s = time.monotonic() + SPAN_S

        def call(number):
            while time.monotonic() < end_s:
                answer = self.client.exchange("GET", f"/weights/h{number}-{done[0] % 50}")
                assert answer.status == 200
                done[0] += 1

        before_s = cpu_s(self.pid)
        gevent.joinall([gevent.spawn(call, number) for number in range(CALLERS)])
        return done[0] / (cpu_s(self.pid) - before_s), done[0] / SPAN_S

    def latency(self, rate):
        """Return the median and the 99th percentile of the latency in ms at a fixed rate."""
        histogram = HdrHistogram(1, 10_000_000, 3)

        def call(number):
            started = time.perf_counter()
            self.client.exchange("GET", f"/weights/h{number % 50}")
            histogram.record_value(max(1, int((time.perf_counter() - started) * 1e6)))

        start_s = time.monotonic()
        tasks = []
        for number in range(int(rate * SPAN_S)):
            gevent.sleep(max(0.0, start_s + number / rate - time.monotonic()))
            tasks.append(gevent.spawn(call, number))
        gevent.joinall(tasks)
        return [histogram.get_value_at_percentile(p) / 1000 for p in (50, 99)]


def main():
    """Run the benchmark and print its figures as JSON."""
    gc.disable()  # keeps pauses of the caller out of the latencies
    with Cell(nodes=1, backends={"weights": 2}, policy=POLICY, slots=64, service_ms=0) as cell:
        backend = cell.backends["weights-1"]
        hop = Program("emulator", "hop", "--target-port", str(backend.ready["port"]))
        unchecked = cell.backend_call("weights-1", "behaviour", {"open": True})
        assert unchecked["open"]
        node = cell.nodes[0]
        targets = [
            Target("bare hop", hop.ready["port"], hop.process.pid),
            Target("router", node.ready["http_port"], node.process.pid),
        ]
        figures = {}
        for target in targets:
            target.saturate()  # warm up
            per_cpu_s, per_s = target.saturate()
            figures[target.name] = {"per_cpu_s": round(per_cpu_s), "per_s": round(per_s)}
        half = figures["router"]["per_s"] / 2
        for target in targets:
            figures[target.name]["quiet_ms"] = target.latency(QUIET_RATE)
            figures[target.name]["half_load_ms"] = target.latency(half)
        hop.kill()
    ratio = figures["router"]["per_cpu_s"] / figures["bare hop"]["per_cpu_s"]
    figures["ratio"] = round(ratio, 3)
    figures["lookup_us"] = lookup_costs_us()
    print(json.dumps(figures, indent=2))


if __name__ == "__main__":
    main()
