"""Cost that the quarantine adds to a request, as parts of the whole way through a node.

    python -m benchmarks.quarantine

One process holds callers, node and server, so the whole way is longer than in service.
Rounds of the three cases take turns; each figure is the median of its rounds.
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
    """A forwarder with some contents under suspicion, and a request that is not."""

    def __init__(self, suspects, body_bytes):
        self._bench = QuarantineBench()
        self._bench.budget.slack = 1e9
        self._bench.add_life()
        self._body = b"x" * body_bytes
        for number in range(suspects):
            end = CrashEvent(f"s{number}", b"c", "n", elapsed_ms() - 30, elapsed_ms())
            self._bench.quarantine._ledger.merge(b"%d" % number, CrashRecord((end,)))

    def ask(self):
        fields = [(b"Host", b"h.example"), (b"Request-Id", b"r1")]
        request = CallerRequest(b"POST", b"/read/a", fields, self._body, elapsed_ms(), b"10.0.0.9")
        assert self._bench.forwarder.handle(request).status == 200


def ratios():
    """Return, by size of the body, time with suspects to time without, and without twice."""
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
