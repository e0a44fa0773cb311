"""Chooses the server for a request by what this node knows.

Requests with a key go to the key's holder, others to the server that is likely to answer
first. Where nodes share slots, a dispatcher chooses the server, and this module checks that
the server is still eligible once the slot is granted. In all cases
:meth:`ServerChoice.exclusion` alone decides whether a server may be sent a request, and it is
called once more right before the request is sent.
"""

import random
from collections.abc import Collection
from dataclasses import dataclass

from ploverhatch.common import results
from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.results import Result
from ploverhatch.gateway.call import Call
from ploverhatch.gateway.directory import Directory
from ploverhatch.gateway.links import LinkMonitor
from ploverhatch.gateway.upstreams import Upstream, UpstreamPool
from ploverhatch.routing import balancer, sending
from ploverhatch.routing.sending import Exclusion, HolderGracePeriods
from ploverhatch.state.servers import ServerRecord

JITTER_FRACTION = 0.15
DEFAULT_ANSWER_MS = 100.0
# Callers that are refused because of one server's backoff retry spread over this time.
BACKOFF_SPREAD_MS = 200.0
RETRY_AFTER_NO_SERVER_S = 0.5


@dataclass(frozen=True, slots=True)
class Unservable:
    """Why no server may be sent a request now or after a short wait."""

    result: Result
    after_s: float  # Seconds after which the caller may retry.
    detail: str  # Text for the log: the servers whose notices are the reason, and their age.


class ServerChoice:
    """Chooses servers for the requests of one node.

    :param evacuate_ms: time after which an evacuated zone gets nothing.
    :param drain_ms: time after which a server that announced to this node that it is leaving
        gets nothing.
    :param links: the state of this node's links to servers.
    """

    def __init__(
        self,
        directory: Directory,
        pool: UpstreamPool,
        evacuate_ms: float,
        drain_ms: float,
        links: LinkMonitor,
    ) -> None:
        self._directory = directory
        self._pool = pool
        self._links = links
        self._times = HolderGracePeriods.of(drain_ms, evacuate_ms)
        # Servers that asked for a backoff and haven't recovered.
        self._backed_off: set[str] = set()

    def exclusion(self, call: Call, server_id: str) -> Exclusion | None:
        """Return why a request may not be sent to a server now, or ``None`` if it may.

        This check applies to first attempts and retries, with and without a key or a shared slot.
        """
        return sending.find_exclusion(
            self._directory.servers,
            server_id,
            call.partitioned,
            call.route.regions,
            self._times,
            elapsed_ms(),
        )

    def holder(self, call: Call) -> Upstream | None:
        """Return the server that holds a request's key, if the request may be sent to it now."""
        server_id = self._holder_id(call)
        if server_id is None or not self._directory.keymaps_trusted:
            return None
        return None if self.exclusion(call, server_id) else self._pool.get(server_id)

    def usable_upstreams(self, call: Call) -> list[Upstream]:
        """Return the servers that a request may be sent to now: its key's holder, or any."""
        if call.partitioned:
            holder = self.holder(call)
            return [holder] if holder is not None else []
        return [
            upstream
            for record in self._directory.servers.of_service(call.service)
            if not self.exclusion(call, record.server_id)
            and (upstream := self._pool.get(record.server_id)) is not None
        ]

    def _holder_id(self, call: Call) -> str | None:
        keymap = self._directory.keymaps.get(call.service)
        key = call.facts.shard_key
        found = keymap.find(key) if keymap is not None and key is not None else None
        if found is None:
            return None
        call.token = found.token
        return found.holder.server_id if self._directory.is_granted(call.service, found) else None

    def fastest(self, call: Call, tried: set[str]) -> Upstream | None:
        """Return the server that is expected to answer first, by this node's own estimates."""
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
        jitter = {
            load.server_id: random.uniform(1 - JITTER_FRACTION, 1 + JITTER_FRACTION)
            for load in loads
        }
        chosen = balancer.choose(loads, jitter)
        return self._pool.get(chosen) if chosen else None

    def upstream_for_slot(self, call: Call, server_id: str) -> Upstream | None:
        """Return the server of a granted slot, unless it left or lost the key during the wait.

        A server that recovers from a backoff gets no more requests than this node's own slots
        there allow.
        """
        if call.partitioned:
            found = self.holder(call)
            if found is None or found.record.server_id != server_id:
                return None
        else:
            found = None if self.exclusion(call, server_id) else self._pool.get(server_id)
        return found if found is not None and found.has_capacity else None

    def note_backoff(self, server_id: str) -> None:
        """Note that a server asked this node for a backoff."""
        self._backed_off.add(server_id)

    def excluded(self) -> tuple[str, ...]:
        """Return the servers whose slots are of no use to this node.

        They are backing off, or are recovering and have no capacity left for this node, or the
        links to them are cut.
        """
        notices, now_ms = self._directory.servers.notices, elapsed_ms()
        excluded = self._links.cut_servers()
        for server_id in list(self._backed_off):
            upstream = self._pool.get(server_id)
            if upstream is None or not upstream.recovering:
                self._backed_off.discard(server_id)
            elif notices.backoff_left_ms(server_id, now_ms) > 0 or not upstream.has_capacity:
                excluded.append(server_id)
        return tuple(sorted(set(excluded)))

    def connected(self, service: str) -> tuple[str, ...]:
        """Return servers of a service to which this node has an idle connection."""
        return self._pool.connected(service)

    def needs_dispatcher(self, record: ServerRecord) -> bool:
        """Whether only the group's dispatcher may grant a server's slots.

        A rate limit holds for all nodes together, and only the dispatcher counts for all of them.
        """
        servers = self._directory.servers
        if record.server_id in servers.notices.limit_per_s:
            return True
        cold = servers.is_cold(record.server_id, elapsed_ms())
        return cold and self._directory.cold_per_s(record.service) > 0

    def all_need_dispatcher(self, call: Call, tried: Collection[str]) -> bool:
        """Whether only a dispatcher may grant a slot at any eligible server.

        This is always false for a request with a key.
        """
        if call.partitioned:
            return False
        usable = [
            record
            for record in self._directory.servers.of_service(call.service)
            if record.server_id not in tried and not self.exclusion(call, record.server_id)
        ]
        return bool(usable) and all(map(self.needs_dispatcher, usable))

    def unservable(self, call: Call, tried: Collection[str] = ()) -> Unservable | None:
        """Return why no server can serve a request in time, or ``None`` if one might.

        A holder that is leaving is about to hand its keys over, which is worth a wait until the
        time for that is over. The other reasons outlast a request's time limit.

        :param tried: ids of servers that already failed this request.
        """
        known = self._directory.servers.records.values()
        records = [record for record in known if record.service == call.service]
        if not call.partitioned and any(
            record.server_id not in tried and not self.exclusion(call, record.server_id)
            for record in records
        ):
            return None
        if records and all(self._closed_by_operator(record, call) for record in records):
            return Unservable(results.NO_OWNER, RETRY_AFTER_NO_SERVER_S, call.service)
        if call.partitioned:
            server_id = self._holder_id(call)
            return self._unservable_at(call, [server_id]) if server_id is not None else None
        left = [record.server_id for record in records if record.server_id not in tried]
        return self._unservable_at(call, left)

    def _unservable_at(self, call: Call, server_ids: Collection[str]) -> Unservable | None:
        exclusions = {server_id: self.exclusion(call, server_id) for server_id in server_ids}
        backing_off = [
            server_id for server_id, exclusion in exclusions.items() if exclusion is Exclusion.RESTS
        ]
        if not exclusions or not all(exclusions.values()):
            return None
        if backing_off:
            return self._until_backoff_ends(backing_off)
        if not all(exclusion is Exclusion.LEAVES for exclusion in exclusions.values()):
            return None
        announced_ms = self._directory.servers.notices.leaving_ms
        announced = {
            name: elapsed_ms() - announced_ms[name] for name in exclusions if name in announced_ms
        }
        if call.partitioned and not announced:
            return None
        announcements = ",".join(
            f"{name}:left-{age_ms:.0f}-ms-ago" for name, age_ms in announced.items()
        )
        return Unservable(results.NO_OWNER, RETRY_AFTER_NO_SERVER_S, announcements or call.service)

    def _until_backoff_ends(self, server_ids: Collection[str]) -> Unservable:
        """Return a refusal until the first backoff ends, with retries spread from then on."""
        notices, now_ms = self._directory.servers.notices, elapsed_ms()
        left_ms, server_id = min(
            (notices.backoff_left_ms(name, now_ms), name) for name in server_ids
        )
        after_s = (left_ms + random.uniform(0.0, BACKOFF_SPREAD_MS)) / 1000
        detail = f"{server_id}:rests-{left_ms:.0f}-ms,{len(server_ids)}-rest"
        return Unservable(results.SERVERS_REST, after_s, detail)

    def _closed_by_operator(self, record: ServerRecord, call: Call) -> bool:
        """Whether an evacuation or the route's regions rule a server out."""
        return record.evacuated or not record.in_regions(call.route.regions)

    def wait_until_ms(self, call: Call) -> float:
        """Return until when a request waits for a server, in elapsed milliseconds.

        A key moves soon if its holder answers. If the holder is unresponsive, its lease has to
        expire first, which takes seconds, so the caller is refused early.
        """
        if call.partitioned and not self._directory.moves_slowly(call.service, call.token):
            return call.move_by_ms
        return call.offer_by_ms

    def _usable(self, record: ServerRecord, call: Call, tried: set[str]) -> bool:
        if record.server_id in tried or self.exclusion(call, record.server_id):
            return False
        return not self.needs_dispatcher(record)
