"""Evaluation of a run from the execution logs of the back ends."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from itertools import pairwise

from ploverhatch.bench.load import LoadResult
from ploverhatch.common.results import RESULTS
from ploverhatch.emulator.backend import Execution

MIN_PAUSES = 20


def double_runs(executions: Iterable[Execution]) -> list[str]:
    """Return idempotency keys that ran more than once."""
    counts = Counter(
        (item.group, item.idempotency_key) for item in executions if item.idempotency_key
    )
    return [f"{group}/{key}" for (group, key), count in counts.items() if count > 1]


def ownership_overlaps(executions: Iterable[Execution]) -> list[str]:
    """Return keys for which two server processes executed requests at the same time.

    A key is also returned if an execution began under a lower token than an earlier execution.
    """
    faults = []
    by_key: dict[tuple[str, int], list[Execution]] = defaultdict(list)
    for item in executions:
        by_key[(item.group, item.key_hash)].append(item)
    for (group, key_hash), items in by_key.items():
        items.sort(key=lambda item: item.started_ms)
        latest_end: dict[str, float] = {}
        highest_token = 0
        for item in items:
            overlap = [
                boot
                for boot, ended_ms in latest_end.items()
                if boot != item.boot_id and ended_ms > item.started_ms
            ]
            if overlap or item.token < highest_token:
                faults.append(f"{group}/{key_hash:016x} at {item.started_ms:.1f}")
            highest_token = max(highest_token, item.token)
            latest_end[item.boot_id] = max(latest_end.get(item.boot_id, 0.0), item.ended_ms)
    return faults


def imbalance(
    executions: Iterable[Execution], servers: dict[str, tuple[str, int]]
) -> dict[str, float]:
    """Return the ratio of the highest to the mean utilization by group of servers.

    :param servers: group and slots by server name.
    """
    busy: dict[str, float] = defaultdict(float)
    for item in executions:
        busy[item.server] += item.ended_ms - item.started_ms
    by_group: dict[str, list[float]] = defaultdict(list)
    for name, (group, slots) in servers.items():
        by_group[group].append(busy[name] / slots)
    return {
        group: max(values) / (sum(values) / len(values)) if sum(values) else 1.0
        for group, values in by_group.items()
    }


def describe_load(result: LoadResult) -> list[str]:
    """Return lines that describe the results that callers received."""
    lines = [f"requests {result.total}, answered by the owner {result.answered}"]
    for code, count in sorted(result.results.items()):
        known = RESULTS.get(int(code)) if code.isdigit() else None
        lines.append(f"  {code} {known.name if known else ''}: {count}")
    figures = ", ".join(
        f"p{percentile:g} {result.percentile_ms(percentile):.1f} ms"
        for percentile in (50, 90, 99, 100)
    )
    lines.append(f"latency: {figures}")
    if result.dropped:
        lines.append(f"not sent, too many in flight: {result.dropped}")
    return lines


def unavailable_ms(executions: Iterable[Execution], usual_factor: float = 5.0) -> list[float]:
    """Return the unavailable time of each key in ms, in ascending order.

    The unavailable time of a key is the excess of its longest pause between two executions over
    ``usual_factor`` times its median pause, or zero. Keys with fewer than ``MIN_PAUSES`` pauses are
    left out, since their median is unreliable.
    """
    starts_by_key: dict[tuple[str, int], list[float]] = defaultdict(list)
    for item in executions:
        starts_by_key[(item.group, item.key_hash)].append(item.started_ms)
    found = []
    for starts_ms in starts_by_key.values():
        starts_ms.sort()
        pauses = sorted(later - earlier for earlier, later in pairwise(starts_ms))
        if len(pauses) < MIN_PAUSES:
            continue
        usual = pauses[len(pauses) // 2] * usual_factor
        found.append(max(0.0, pauses[-1] - usual))
    return sorted(found)
