"""Which server a request may go to, by what this node knows.

Requests with a key go to its holder, others to the server that is likely to answer
first. Where all nodes share slots, a dispatcher chooses, and this is asked whether the
server is still right when the slot has come.
"""

import random

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.gateway.call import Call
from ploverhatch.gateway.directory import Directory
from ploverhatch.gateway.upstreams import Upstream, UpstreamPool
from ploverhatch.routing import balancer
from ploverhatch.state.servers import ServerRecord

DRAINING_HOLDER_MS = 700.0  # how long a draining server still gets its keys' requests
# Of the time until an evacuated zone gets nothing: how long its servers still get their
# keys' requests while these wait for a new holder. Another part goes by until this node
# hears of the evacuation, and a request that was sent may take a while to arrive.
EVACUATED_HOLDER_PART = 0.3
JITTER = 0.15
DEFAULT_ANSWER_MS = 100.0


class ServerChoice:
    """Looks servers up for the requests of one node.

    :param evacuate_ms: until an evacuated zone gets nothing.
    """

    def __init__(self, directory: Directory, pool: UpstreamPool, evacuate_ms: float) -> None:
        self._directory = directory
        self._pool = pool
        self._evacuated_holder_ms = evacuate_ms * EVACUATED_HOLDER_PART

    def holder(self, call: Call) -> Upstream | None:
        """Return the server that holds a request's key and may be sent it now."""
        keymap = self._directory.keymaps.get(call.service)
        key = call.facts.shard_key
        found = keymap.find(key) if keymap is not None and key is not None else None
        if found is None:
            return None
        call.token = found.token
        if not self._directory.is_granted(call.service, found):
            return None
        if not self._directory.keymaps_trusted:
            return None
        server_id = found.holder.server_id
        record = self._directory.servers.records.get(server_id)
        if record is None:
            return None  # it has ended, though the pool may not know yet
        if not record.lies_in(call.route.regions):
            return None
        if self._left_long_ago(server_id):
            return None
        return self._pool.get(server_id)

    def cheapest(self, call: Call, tried: set[str]) -> Upstream | None:
        """Return the server that answers first, as far as this node alone knows."""
        upstreams = [
            upstream
            for record in self._directory.servers.of_service(call.service)
            if self._usable(record, call, tried) and (upstream := self._pool.get(record.server_id))
        ]
        times = [upstream.answer_time for upstream in upstreams]
        answered = [time.mean_ms for time in times if time.count]
        usual_ms = sum(answered) / len(answered) if answered else DEFAULT_ANSWER_MS
        now_ms = elapsed_ms()
        servers = self._directory.servers
        loads = [
            upstream.load(usual_ms, servers.is_cold(upstream.record.server_id, now_ms))
            for upstream in upstreams
        ]
        jitter = {load.server_id: random.uniform(1 - JITTER, 1 + JITTER) for load in loads}
        chosen = balancer.choose(loads, jitter)
        return self._pool.get(chosen) if chosen else None

    def of_slot(self, call: Call, server_id: str) -> Upstream | None:
        """Return the server of a slot, unless it left or lost the key during the wait."""
        if call.partitioned:
            holder = self.holder(call)
            return holder if holder and holder.record.server_id == server_id else None
        record = self._directory.servers.records.get(server_id)
        if record is None or record.leaving or not record.lies_in(call.route.regions):
            return None
        return self._pool.get(server_id)

    def needs_dispatcher(self, record: ServerRecord) -> bool:
        """Whether only the group's dispatcher may give a server's slots: it counts for all."""
        cold = self._directory.servers.is_cold(record.server_id, elapsed_ms())
        return cold and self._directory.cold_per_s(record.service) > 0

    def nobody_may(self, call: Call) -> bool:
        """Whether operators want nothing sent to any server of the service: no wait helps."""
        records = self._directory.servers.of_service(call.service)
        regions = call.route.regions
        return bool(records) and all(
            record.evacuated or not record.lies_in(regions) for record in records
        )

    def wait_until_ms(self, call: Call) -> float:
        """Return until when a request waits for a server.

        A move whose holder answers is over soon. Where the holder is silent, its
        lease has to lapse, which takes seconds: then the caller is told early.
        """
        if call.partitioned and not self._directory.moves_slowly(call.service, call.token):
            return call.move_by_ms
        return call.offer_by_ms

    def _left_long_ago(self, server_id: str) -> bool:
        """Whether a server is leaving for so long that its keys' requests go there no more."""
        servers = self._directory.servers
        since_ms = servers.leaving_since.get(server_id)
        if since_ms is None:
            return False
        drains = servers.records[server_id].draining
        limit_ms = DRAINING_HOLDER_MS if drains else self._evacuated_holder_ms
        return elapsed_ms() - since_ms > limit_ms

    def _usable(self, record: ServerRecord, call: Call, tried: set[str]) -> bool:
        if record.leaving or record.server_id in tried:
            return False
        if not record.lies_in(call.route.regions):
            return False
        return not self.needs_dispatcher(record)
