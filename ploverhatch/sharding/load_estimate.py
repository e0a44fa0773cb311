"""What the reports of all nodes say of one service. Pure; times in milliseconds."""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from ploverhatch.sharding.leader_core import LeaderCore
from ploverhatch.sharding.load import AnswerTimes, KeyLoad
from ploverhatch.state.servers import ServerRecord


@dataclass(frozen=True, slots=True)
class LoadEstimate:
    """Requests a second by key, work per request by server, and who answers nobody."""

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
) -> LoadEstimate:
    """Reckon what the reports say by now.

    A server that falls behind is judged by what it completes; of another one, what it
    completes bounds what its answers tell, since these include its queue.

    :param limited: servers that named a limit: what they complete and whether they answer
        tells how few requests they are sent.
    """
    rates = load.rates(now_ms)
    asked = core.rates_by_holder(service, rates, now_ms)
    usual_ms = times.service_ms([record.server_id for record in records])
    service_ms = {}
    for record in records:
        name, slots = record.server_id, record.slots
        most_ms = times.max_service_ms(name, slots, now_ms)
        behind_ms = None
        if name not in limited:
            behind_ms = times.saturated_service_ms(name, slots, asked.get(name, 0.0), now_ms)
        service_ms[name] = behind_ms or min(usual_ms[name], most_ms)
    silent = {
        name
        for name, rate in asked.items()
        if name not in limited and times.is_unresponsive(name, rate, now_ms)
    }
    return LoadEstimate(now_ms, rates, service_ms, silent)
