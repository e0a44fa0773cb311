"""Which server a request may go to, by what this node knows.

Requests with a key go to its holder, others to the server that is likely to answer
first. Where all nodes share slots, a dispatcher chooses, and this is asked whether the
server is still right when the slot has come. Whatever the way, :meth:`ServerChoice.bar`
alone decides what may be sent to a server, and is asked once more right before the send.
"""

import random
from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

from ploverhatch.common import results
from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.results import Result
from ploverhatch.gateway.call import Call
from ploverhatch.gateway.directory import Directory
from ploverhatch.gateway.upstreams import Upstream, UpstreamPool
from ploverhatch.routing import balancer
from ploverhatch.state.servers import ServerRecord

DRAINING_HOLDER_MS = 700.0  # how long a draining server still gets its keys' requests
# Of the time until a server that says that it leaves gets nothing from the node that heard
# it: how long its keys' requests still go there. The rest is for those already on their way.
LEAVING_HOLDER_PART = 0.6
# Of the time until an evacuated zone gets nothing: how long its servers still get their
# keys' requests while these wait for a new holder. Another part goes by until this node
# hears of the evacuation, and a request that was sent may take a while to arrive.
EVACUATED_HOLDER_PART = 0.3
JITTER = 0.15
DEFAULT_ANSWER_MS = 100.0
REST_SPREAD_MS = 200.0  # callers that are told of one rest come back spread over so long
RETRY_AFTER_NO_SERVER_S = 0.5


class Bar(Enum):
    """Why a request may not be sent to a server now."""

    GONE = "gone"  # it has no record
    REGION = "region"  # the route is not served there
    LEAVES = "leaves"
    RESTS = "rests"  # it asked this node for a rest


@dataclass(frozen=True, slots=True)
class Hopeless:
    """No server may be sent a request, and no short wait changes that."""

    result: Result
    after_s: float  # when its caller may come back


class ServerChoice:
    """Looks servers up for the requests of one node.

    :param evacuate_ms: until an evacuated zone gets nothing.
    :param drain_ms: until a server that said to this node that it leaves gets nothing.
    """

    def __init__(
        self, directory: Directory, pool: UpstreamPool, evacuate_ms: float, drain_ms: float
    ) -> None:
        self._directory = directory
        self._pool = pool
        self._evacuated_holder_ms = evacuate_ms * EVACUATED_HOLDER_PART
        self._leaving_holder_ms = drain_ms * LEAVING_HOLDER_PART
        self._rested: set[str] = set()  # servers that asked for a rest and have not recovered

    def bar(self, call: Call, server_id: str) -> Bar | None:
        """Return why a request may not be sent to a server now; ``None``: it may.

        First tries and repeats, with and without a key or a shared slot, all ask here.
        """
        servers = self._directory.servers
        record = servers.records.get(server_id)
        if record is None:
            return Bar.GONE  # it has ended, though the pool may not know yet
        if not record.lies_in(call.route.regions):
            return Bar.REGION
        if servers.standings.rest_left_ms(server_id, elapsed_ms()) > 0:
            return Bar.RESTS
        if record.leaving and (not call.partitioned or self._left_long_ago(record)):
            return Bar.LEAVES
        return None

    def holder(self, call: Call) -> Upstream | None:
        """Return the server that holds a request's key and may be sent it now."""
        server_id = self._holder_id(call)
        if server_id is None or not self._directory.keymaps_trusted:
            return None
        return None if self.bar(call, server_id) else self._pool.get(server_id)

    def _holder_id(self, call: Call) -> str | None:
        keymap = self._directory.keymaps.get(call.service)
        key = call.facts.shard_key
        found = keymap.find(key) if keymap is not None and key is not None else None
        if found is None:
            return None
        call.token = found.token
        return found.holder.server_id if self._directory.is_granted(call.service, found) else None

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
        """Return the server of a slot, unless it left or lost the key during the wait.

        One that comes back from a rest takes what this node's own slots there allow.
        """
        if call.partitioned:
            found = self.holder(call)
            if found is None or found.record.server_id != server_id:
                return None
        else:
            found = None if self.bar(call, server_id) else self._pool.get(server_id)
        return found if found is not None and found.has_room else None

    def note_rest(self, server_id: str) -> None:
        """A server asked this node for a rest."""
        self._rested.add(server_id)

    def barred(self) -> tuple[str, ...]:
        """Return the servers that a dispatcher need not give: they rest, or recover from it."""
        standings, now_ms = self._directory.servers.standings, elapsed_ms()
        barred = []
        for server_id in list(self._rested):
            upstream = self._pool.get(server_id)
            if upstream is None or not upstream.recovering:
                self._rested.discard(server_id)
            elif standings.rest_left_ms(server_id, now_ms) > 0 or not upstream.has_room:
                barred.append(server_id)
        return tuple(sorted(barred))

    def needs_dispatcher(self, record: ServerRecord) -> bool:
        """Whether only the group's dispatcher may give a server's slots: it counts for all."""
        cold = self._directory.servers.is_cold(record.server_id, elapsed_ms())
        return cold and self._directory.cold_per_s(record.service) > 0

    def hopeless(self, call: Call, tried: Collection[str] = ()) -> Hopeless | None:
        """Return when to come back if it is known that no server may be sent a request.

        A holder that leaves is about to hand its keys over, which is worth a wait, unless
        the time for that is over. All else a wait within a request's time changes nothing of.
        """
        known = self._directory.servers.records.values()
        records = [record for record in known if record.service == call.service]
        if not call.partitioned and any(
            record.server_id not in tried and not self.bar(call, record.server_id)
            for record in records
        ):
            return None
        if records and all(self._shut(record, call) for record in records):
            return Hopeless(results.NO_OWNER, RETRY_AFTER_NO_SERVER_S)
        if call.partitioned:
            server_id = self._holder_id(call)
            return self._hopeless_at(call, [server_id]) if server_id is not None else None
        left = [record.server_id for record in records if record.server_id not in tried]
        return self._hopeless_at(call, left)

    def _hopeless_at(self, call: Call, server_ids: Collection[str]) -> Hopeless | None:
        bars = {server_id: self.bar(call, server_id) for server_id in server_ids}
        resting = [server_id for server_id, bar in bars.items() if bar is Bar.RESTS]
        if not bars or not all(bars.values()):
            return None
        if resting:
            return Hopeless(results.SERVERS_REST, self._rest_over_s(resting))
        standings = self._directory.servers.standings
        if all(bar is Bar.LEAVES for bar in bars.values()) and (
            not call.partitioned or any(standings.leaves(server_id) for server_id in bars)
        ):
            return Hopeless(results.NO_OWNER, RETRY_AFTER_NO_SERVER_S)
        return None

    def _rest_over_s(self, server_ids: Collection[str]) -> float:
        """Return when the first of some rests is over; callers come back spread from then on."""
        standings, now_ms = self._directory.servers.standings, elapsed_ms()
        left_ms = min(standings.rest_left_ms(server_id, now_ms) for server_id in server_ids)
        return (left_ms + random.uniform(0.0, REST_SPREAD_MS)) / 1000

    def _shut(self, record: ServerRecord, call: Call) -> bool:
        """Whether operators want nothing sent to a server."""
        return record.evacuated or not record.lies_in(call.route.regions)

    def wait_until_ms(self, call: Call) -> float:
        """Return until when a request waits for a server.

        A move whose holder answers is over soon. Where the holder is silent, its
        lease has to lapse, which takes seconds: then the caller is told early.
        """
        if call.partitioned and not self._directory.moves_slowly(call.service, call.token):
            return call.move_by_ms
        return call.offer_by_ms

    def _left_long_ago(self, record: ServerRecord) -> bool:
        """Whether a server is leaving for so long that its keys' requests go there no more."""
        servers, now_ms = self._directory.servers, elapsed_ms()
        said_ms = servers.standings.leaving_ms.get(record.server_id)
        if said_ms is not None and now_ms - said_ms > self._leaving_holder_ms:
            return True
        since_ms = servers.leaving_since.get(record.server_id)
        if since_ms is None or not (record.draining or record.evacuated):
            return False
        limit_ms = DRAINING_HOLDER_MS if record.draining else self._evacuated_holder_ms
        return now_ms - since_ms > limit_ms

    def _usable(self, record: ServerRecord, call: Call, tried: set[str]) -> bool:
        if record.server_id in tried or self.bar(call, record.server_id):
            return False
        return not self.needs_dispatcher(record)
