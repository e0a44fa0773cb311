"""Checks exclusive ownership of keys by the servers' own records alone.

The check is independent of the decision code. The simulation uses it, and so does the soak test
with real processes.
"""

from collections import defaultdict
from collections.abc import Iterable
from itertools import combinations

from ploverhatch.simulation.keys.server import Hold

OVERLAP_MS = 500.0


def find_violations(holds: Iterable[Hold]) -> list[str]:
    """Return the violations: two holders of a key at once, or a token that did not rise.

    An overlap in which both holders started requests is always a violation. Another overlap is a
    violation if it is longer than ``OVERLAP_MS`` and neither hold began with a grant that was
    held up or applied late. The token of a hold need not rise if the server applied its grant late,
    which no sender can prevent.
    """
    by_key: dict[int, list[Hold]] = defaultdict(list)
    for hold in holds:
        by_key[hold.key].append(hold)
    found = []
    for key_holds in by_key.values():
        found += _token_violations(key_holds)
        for first, second in combinations(key_holds, 2):
            found += _overlap_violations(first, second)
    return found


def _token_violations(holds: list[Hold]) -> list[str]:
    highest: dict[str, int] = {}
    found = []
    for hold in sorted(holds, key=lambda hold: hold.since_ms):
        others = [
            token for incarnation, token in highest.items() if incarnation != hold.incarnation
        ]
        if not hold.late and others and hold.token <= max(others):
            found.append(
                f"key {hold.key}: {hold.incarnation} took it at token {hold.token}, not above"
            )
        highest[hold.incarnation] = max(highest.get(hold.incarnation, 0), hold.token)
    return found


def _overlap_violations(first: Hold, second: Hold) -> list[str]:
    if first.incarnation == second.incarnation:
        return []
    start = max(first.since_ms, second.since_ms)
    end = min(first.until_ms, second.until_ms)
    if start >= end:
        return []
    both = all(any(start <= moment < end for moment in hold.starts_ms) for hold in (first, second))
    if both:
        return [f"key {first.key}: {first.incarnation} and {second.incarnation} both ran requests"]
    end = min(first.proven_until_ms, second.proven_until_ms)
    delayed = any(hold.late or hold.held_up for hold in (first, second))
    if end - start > OVERLAP_MS and not delayed:
        return [
            f"key {first.key}: {first.incarnation} and {second.incarnation} held it "
            f"{end - start:.0f} ms"
        ]
    return []
