"""Load and service times of one service, estimated from the reports of all nodes.

This module does no I/O and reads no clock.
"""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from ploverhatch.sharding.leader_core import LeaderCore
from ploverhatch.sharding.load import AnswerTimes, KeyLoad
from ploverhatch.state.servers import ServerRecord


@dataclass(frozen=True, slots=True)
class LoadEstimate:
    """Requests per second by key, service time by server, and the unresponsive servers.

    ``taken_ms`` is the time of the estimate.
    """

    taken_ms: float
    rates: Mapping[int, float]
    service_ms: Mapping[str, float]
    unresponsive: Collection[str]


def estimate(
    service: str,
    records: Sequence[ServerRecord],
    core: LeaderCore,
    load: KeyLoad,
    times: AnswerTimes,
    now_ms: float,
    limited: Collection[str] = (),
    speeds: Mapping[str, float] | None = None,
) -> LoadEstimate:
    """Return the estimate at ``now_ms``.

    The service time of a server that falls behind follows from the requests it completes. For
    other servers, their completed requests bound the estimate from answer times, since answer
    times include the queue.

    :param limited: servers that announced a rate limit. They are sent few requests, so neither
        a low count of completed requests nor missing answers says anything about them.
    :param speeds: relative speeds of servers that surely differ, learned over their lives.
    """
    rates = load.rates(now_ms)
    asked = core.rates_by_holder(service, rates, now_ms)
    usual_ms = times.service_ms([record.server_id for record in records], speeds)
    service_ms = {}
    for record in records:
        name, slots = record.server_id, record.slots
        most_ms = times.max_service_ms(name, slots, now_ms)
        behind_ms = None
        if name not in limited:
            behind_ms = times.saturated_service_ms(name, slots, asked.get(name, 0.0), now_ms)
        service_ms[name] = behind_ms or min(usual_ms[name], most_ms)
    unresponsive = {
        name
        for name, rate in asked.items()
        if name not in limited and times.is_unresponsive(name, rate, now_ms)
    }
    return LoadEstimate(now_ms, rates, service_ms, unresponsive)
