"""Cost that the quarantine adds to a request, relative to its whole time at a node.

    python -m benchmarks.quarantine

One process runs callers, node and server, so a request takes longer than in production.
Rounds of the three cases alternate; each figure is the median of its rounds.
"""

import statistics
import timeit

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.gateway.messages import CallerRequest
from ploverhatch.quarantine.record import CrashEvent, CrashRecord
from tests.functional.test_quarantine import QuarantineBench

ROUNDS = 15
REQUESTS = 200
SUSPECTS = 64
BODIES = (0, 300, 65_536)


class Case:
    """A forwarder with records of some suspect requests, and a request that is not suspect."""

    def __init__(self, suspects, body_bytes):
        self._bench = QuarantineBench()
        self._bench.budget.slack = 1e9
        self._bench.add_server()
        self._body = b"x" * body_bytes
        for number in range(suspects):
            crash = CrashEvent(f"s{number}", b"c", "n", elapsed_ms() - 30, elapsed_ms())
            self._bench.quarantine._ledger.merge(b"%d" % number, CrashRecord((crash,)))

    def ask(self):
        fields = [(b"Host", b"h.example"), (b"Request-Id", b"r1")]
        request = CallerRequest(b"POST", b"/read/a", fields, self._body, elapsed_ms(), b"10.0.0.9")
        assert self._bench.forwarder.handle(request).status == 200


def ratios():
    """Return figures by body size in bytes.

    The figures are the time of a request without suspects in microseconds, the time with suspects
    relative to it, and the ratio of two measurements without suspects, which shows the noise.
    """
    found = {}
    for size in BODIES:
        cases = {"none": Case(0, size), "again": Case(0, size), "suspects": Case(SUSPECTS, size)}
        times = {name: [] for name in cases}
        for _ in range(ROUNDS):
            for name, case in cases.items():
                times[name].append(timeit.timeit(case.ask, number=REQUESTS) / REQUESTS)
        median = {name: statistics.median(values) for name, values in times.items()}
        found[size] = {
            "us": round(median["none"] * 1e6),
            "suspects": round(median["suspects"] / median["none"], 3),
            "noise": round(median["again"] / median["none"], 3),
        }
    return found


if __name__ == "__main__":
    print(ratios())
