"""Cost of finding the owner of a key, for several numbers of servers."""

import itertools
import timeit

from ploverhatch.common.keyspace import even_ranges, hash_key
from ploverhatch.state.assignment import AssignmentTable, Slice, _GroupSlices

SERVERS = (10, 100, 1000, 19_000)
SLICES_PER_SERVER = 16
ROUNDS = 50_000


def lookup_costs_us():
    """Return microseconds per hash and lookup, by number of servers."""
    costs = {}
    for servers in SERVERS:
        table = AssignmentTable()
        group = table._groups.setdefault("g", _GroupSlices())
        for number, span in enumerate(even_ranges("g", servers * SLICES_PER_SERVER)):
            group.firsts.append(span.first)
            group.slices.append(Slice(span, f"s{number % servers}", 1))
        keys = [f"key-{number}" for number in range(1000)]

        numbers = itertools.cycle(range(len(keys)))

        def find(keys=keys, table=table, numbers=numbers):
            return table.find("g", hash_key("g", keys[next(numbers)]))

        costs[servers] = round(timeit.timeit(find, number=ROUNDS) / ROUNDS * 1e6, 3)
    return costs


if __name__ == "__main__":
    print(lookup_costs_us())
