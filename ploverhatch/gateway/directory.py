"""The gateway's view of the configuration, the servers and the key maps.

The feeds write it and all other parts read it. An older configuration or key map never
replaces a newer one while the process runs.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import replace

from ploverhatch.admission.messages import ReportedLimits
from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.logs import PartLogger
from ploverhatch.common.signal import Signal
from ploverhatch.routing.route_table import ClientLimits, RouteTable
from ploverhatch.sharding import view
from ploverhatch.sharding.keymap import KeyMap, KeyRange, settle
from ploverhatch.sharding.server_speeds import USUAL_PACE, ServerSpeeds
from ploverhatch.sharding.standbys import promote
from ploverhatch.state.server_notices import NO_LIMIT, NO_NOTICE, RateLimit, ServerNotice
from ploverhatch.state.servers import ServerRecord, ServerSet

LOG = PartLogger("directory")

# A rate limit that an answer to this node announced is repeated in its reports for this time,
# since reports may be lost.
OWN_LIMIT_MS = 1000.0
MAX_LIMITS = 64  # servers whose rate limits one message holds
SLOW_MOVE_MS = 400.0  # a move that takes longer waits until a lease expires


class Directory:
    """The present view. The signal ``changed`` is raised on every change.

    :param zone_regions: the region of each zone.
    :param learn_speeds: whether the speeds of servers are learned and used.
    """

    def __init__(
        self, zone_regions: Mapping[str, str] | None = None, learn_speeds: bool = True
    ) -> None:
        self.changed = Signal()
        self.servers = ServerSet(zone_regions or {})
        self.keymaps: dict[str, KeyMap] = {}
        self.servers_known = False
        self.keymaps_known = False
        self.keymaps_current_ms = elapsed_ms()  # when the key maps were last known to be current
        # Services whose maps in a restored store are older than the known ones.
        self.outdated_keymaps: set[str] = set()
        # Tokens of moving ranges whose new holder acknowledged the grant, by service.
        self.granted: dict[str, frozenset[int]] = {}
        # Tokens of standbys that were promoted by the known maps, by service.
        self.promoted: dict[str, frozenset[int]] = {}
        # As the leader announced them: by service, a map's revision and the promoted tokens.
        self._announced_promoted: dict[str, tuple[int, Collection[int]]] = {}
        # When an answer to this node last announced a server's rate limit, by server.
        self._own_limits_ms: dict[str, float] = {}
        self.server_speeds = ServerSpeeds(learn_speeds)
        # How long work took on a server's machine at its last answer, in percent, by server.
        self._paces: dict[str, float] = {}
        self._last_relayed_limit = ""  # the server whose rate limit was relayed last
        self._table: RouteTable | None = None
        # When ranges began to move, by service and token.
        self._moving_since_ms: dict[str, dict[int, float]] = {}

    @property
    def table(self) -> RouteTable | None:
        """The configuration in force, or ``None`` before the first."""
        return self._table

    def client_limits(self) -> ClientLimits:
        """Return the limits of requests; the defaults before the first configuration."""
        return self._table.limits if self._table else ClientLimits()

    def apply_table(self, table: RouteTable) -> None:
        """Put a configuration in force unless its version is in force or a newer one is."""
        if self._table is not None and table.version <= self._table.version:
            return
        self._table = table
        LOG.info("Configuration applied.", version=table.version)
        self.changed.raise_()

    def put_server(self, record: ServerRecord) -> None:
        """Add or replace a server's record."""
        known = self.servers.records.get(record.server_id)
        before = self.servers.put(record, elapsed_ms())
        if before:
            LOG.warning("Server was restarted.", server=record.server_id, before=before)
        if known is None or known.draining != record.draining:
            LOG.info(
                "Server record received.",
                server=record.server_id,
                service=record.service,
                draining=record.draining,
            )
        self.changed.raise_()

    def remove_server(self, name: str) -> None:
        """Remove a server whose record is gone from the store, by its registered name."""
        self.servers.remove(name, elapsed_ms())
        LOG.info("Server record removed.", server=name)
        self.changed.raise_()

    def apply_notice(
        self, server_id: str, notice: ServerNotice, asked_ms: float | None = None
    ) -> None:
        """Apply the statements of a server about itself in an answer to this node.

        :param asked_ms: when the request was sent; ``None``: now.
        """
        if notice.pace is None:
            self._paces.pop(server_id, None)
        elif server_id in self.servers.records:
            self._paces[server_id] = notice.pace
        new = self.servers.apply_notice(server_id, notice, elapsed_ms(), asked_ms)
        if new.leaving:
            LOG.info("Server announced that it is leaving.", server=server_id, by="its-answer")
        if new.backoff_ms:
            LOG.info("Server asked for a backoff.", server=server_id, for_ms=round(new.backoff_ms))
        if notice.limit_per_s is not None and server_id in self.servers.notices.limits:
            self._own_limits_ms[server_id] = elapsed_ms()
        if new.limit_per_s is not None:
            self._log_limit(server_id, new.limit_per_s, "its-answer")
        if new != NO_NOTICE:
            self.changed.raise_()

    def pace_of(self, server_id: str) -> float:
        """Return the pace of a server's machine at its last answer; usual if it told none."""
        return self._paces.get(server_id, USUAL_PACE)

    def note_speeds(self, speeds: Mapping[str, float]) -> None:
        """Take over the speeds of servers that the leader has learned."""
        self.server_speeds.note_told(speeds, self.servers.records)

    def _log_limit(self, server_id: str, per_s: float, by: str) -> None:
        if per_s == NO_LIMIT:
            LOG.info("Server announced no rate limit any more.", server=server_id, by=by)
        else:
            LOG.info("Server announced a rate limit.", server=server_id, per_s=f"{per_s:g}", by=by)

    def note_leaving(self, ages_ms: Mapping[str, float], by: str) -> None:
        """Note servers that announced to another node that they are leaving.

        :param ages_ms: how long ago each server announced it.
        :param by: the source of the information, for the log.
        """
        now_ms = elapsed_ms()
        for server_id, age_ms in ages_ms.items():
            if self.servers.note_reported_leaving(server_id, now_ms - age_ms, now_ms):
                LOG.info(
                    "Server announced that it is leaving.",
                    server=server_id,
                    by=by,
                    age_ms=round(age_ms),
                )
                self.changed.raise_()

    def note_rate_limits(self, limits: ReportedLimits, by: str) -> None:
        """Note rate limits that servers announced to another node.

        :param limits: requests per second and age in milliseconds, by server.
        :param by: the source of the information, for the log.
        """
        now_ms = elapsed_ms()
        for server_id, (per_s, age_ms) in limits.items():
            if self.servers.note_reported_limit(server_id, RateLimit(per_s, now_ms - age_ms)):
                self._log_limit(server_id, per_s, by)
                self.changed.raise_()

    def rate_limits_of(self, server_ids: Iterable[str]) -> ReportedLimits:
        """Return the known rate limits of some servers, with their ages."""
        limits, now_ms = self.servers.notices.limits, elapsed_ms()
        return {
            name: (limits[name].per_s, now_ms - limits[name].announced_ms)
            for name in server_ids
            if name in limits
        }

    def own_rate_limits(self) -> ReportedLimits:
        """Return the rate limits that answers to this node announced lately, for the leader."""
        now_ms = elapsed_ms()
        self._own_limits_ms = {
            name: announced_ms
            for name, announced_ms in self._own_limits_ms.items()
            if now_ms - announced_ms < OWN_LIMIT_MS
        }
        latest = sorted(self._own_limits_ms, key=self._own_limits_ms.__getitem__)
        return self.rate_limits_of(latest[-MAX_LIMITS:])

    def next_rate_limits(self) -> ReportedLimits:
        """Return the rate limits to relay next; all get their turn, since messages are short."""
        known = sorted(self.servers.notices.limits)
        after = [name for name in known if name > self._last_relayed_limit]
        chosen = [*after, *known][: min(MAX_LIMITS, len(known))]
        self._last_relayed_limit = chosen[-1] if chosen else ""
        return self.rate_limits_of(chosen)

    def leaving_ages_ms(self) -> dict[str, float]:
        """Return how long ago servers announced that they are leaving.

        Servers whose records say that they drain are left out.
        """
        now_ms, records = elapsed_ms(), self.servers.records
        return {
            name: now_ms - ms
            for name, ms in self.servers.notices.leaving_ms.items()
            if not records[name].draining
        }

    def replace_servers(self, records: list[ServerRecord]) -> None:
        """Replace all servers by those of a listing."""
        self.servers.replace_all(records, elapsed_ms())
        self.servers_known = True
        self.changed.raise_()

    def set_evacuated(self, zones: Collection[str]) -> None:
        """Set the zones whose servers must not be sent requests.

        When the evacuation of a zone is over, its servers count as cold for as long as after
        a start.
        """
        now_ms = elapsed_ms()
        before = self.servers.evacuated
        for record in self.servers.set_evacuated(zones, now_ms):
            service = self._table.services.get(record.service) if self._table else None
            if service is not None and service.cold_per_s:
                self.servers.note_cold(record.server_id, now_ms + service.cold_ms)
        for zone in sorted(self.servers.evacuated - before):
            LOG.info("Zone is evacuated.", zone=zone)
        for zone in sorted(before - self.servers.evacuated):
            LOG.info("Zone is no longer evacuated.", zone=zone)
        self.changed.raise_()

    def cold_per_s(self, service: str) -> float:
        """Return the requests per second that a service's cold server sustains; 0: unbounded."""
        known = self._table.services.get(service) if self._table else None
        return known.cold_per_s if known else 0.0

    def note_server_replaced(self, server_id: str) -> None:
        """Forget the address of a server, since another server has answered there."""
        if server_id in self.servers.records:
            LOG.warning("Address belongs to another server now.", server=server_id)
            self.servers.forget_address(server_id)
            self.changed.raise_()

    @property
    def keymaps_trusted(self) -> bool:
        """Whether the key maps are current enough to route requests by them."""
        return view.map_is_trusted(self.keymaps_current_ms, elapsed_ms())

    def note_keymaps(self, current_ms: float) -> None:
        """Note that the key maps were current at a time, on the elapsed clock."""
        self.keymaps_current_ms = max(self.keymaps_current_ms, current_ms)

    def put_keymap(self, keymap: KeyMap) -> bool:
        """Use a key map unless it or a newer one is known; true if it was new."""
        known = self.keymaps.get(keymap.service)
        if known is not None and keymap.revision <= known.revision:
            return False
        if known is not None and keymap.token < known.token:
            LOG.warning(
                "Restored store has an older key map.",
                service=keymap.service,
                token=keymap.token,
                known=known.token,
            )
            keymap = replace(known, revision=keymap.revision)
            self.outdated_keymaps.add(keymap.service)
        self.promoted.pop(keymap.service, None)
        self._use_keymap(keymap)
        # The leader's beacon may have arrived before the map.
        self.note_promoted(keymap.service, *self._announced_promoted.get(keymap.service, (0, ())))
        return True

    def note_promoted(self, service: str, revision: int, tokens: Collection[int]) -> bool:
        """Note standbys that the leader promoted while the store accepts no new map.

        :param revision: revision of the map that names the standbys.
        :returns: whether a promotion was new for the known map.
        """
        self._announced_promoted[service] = (revision, tokens)
        keymap = self.keymaps.get(service)
        known = self.promoted.get(service, frozenset())
        if keymap is None or keymap.revision != revision or known.issuperset(tokens):
            return False
        self.promoted[service] = known | frozenset(tokens)
        LOG.info("Standbys promoted.", service=service, tokens=sorted(tokens))
        self._use_keymap(promote(keymap, self.promoted[service]))
        return True

    def _use_keymap(self, keymap: KeyMap) -> None:
        self.keymaps[keymap.service] = keymap
        earlier = self._moving_since_ms.get(keymap.service, {})
        now_ms = elapsed_ms()
        self._moving_since_ms[keymap.service] = {
            item.token: earlier.get(item.token, now_ms) for item in keymap.moving
        }
        self._keep_granted(keymap.service, self.granted.get(keymap.service, frozenset()))
        self.changed.raise_()

    def note_granted(self, service: str, tokens: Iterable[int]) -> None:
        """Note moving ranges that their new holders acknowledged before a map says so.

        A token is used for one grant only, so this holds whoever reports it and when.
        """
        known = self.granted.get(service, frozenset())
        new = frozenset(tokens) - known
        if new:
            self._keep_granted(service, known | new)
            self.changed.raise_()

    def _keep_granted(self, service: str, tokens: frozenset[int]) -> None:
        """Keep those of the tokens whose ranges move, or which are newer than the map."""
        keymap = self.keymaps.get(service)
        if keymap is not None:
            moving = {item.token for item in keymap.moving}
            tokens = frozenset(t for t in tokens if t in moving or t > keymap.token)
        self.granted[service] = tokens

    def settled_keymap(self, service: str) -> KeyMap:
        """Return the known map, with the ranges settled that their new holders acknowledged.

        A holder acknowledges a grant after all previous ones have been released or expired.
        """
        return settle(self.keymaps[service], lambda item: self.is_granted(service, item))

    def is_granted(self, service: str, item: KeyRange) -> bool:
        """Whether a range's holder may be sent requests."""
        return item.settled or item.token in self.granted.get(service, ())

    def moves_slowly(self, service: str, token: int) -> bool:
        """Whether a move has taken longer than one does where the previous holder answers."""
        since_ms = self._moving_since_ms.get(service, {}).get(token)
        return since_ms is not None and elapsed_ms() - since_ms > SLOW_MOVE_MS

    def expire_servers(self) -> None:
        """Drop servers without a record whose grace period is over, and what is known of them."""
        records = self.servers.records
        self.server_speeds.keep_only(records)
        for server_id in [name for name in self._paces if name not in records]:
            del self._paces[server_id]
        if self.servers.expire(elapsed_ms()):
            self.changed.raise_()
