"""What a gateway knows: configuration, servers and key maps, as last heard.

The feeds write it, all others read it. Each part only moves forward: an older
configuration or key map never replaces a newer one within one life.
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
from ploverhatch.sharding.standbys import promote
from ploverhatch.state.server_notices import NO_LIMIT, NO_NOTICE, RateLimit, ServerNotice
from ploverhatch.state.servers import ServerRecord, ServerSet

LOG = PartLogger("directory")

OWN_LIMIT_MS = 1000.0  # a server's word is reported for so long, since reports may be lost
MOST_LIMITS = 64  # servers whose limits one message holds
SLOW_MOVE_MS = 400.0  # a move that takes longer waits for a lease to lapse


class Directory:
    """The present view; ``changed`` is raised on every change.

    :param zone_regions: the region of each zone.
    """

    def __init__(self, zone_regions: Mapping[str, str] | None = None) -> None:
        self.changed = Signal()
        self.servers = ServerSet(zone_regions or {})
        self.keymaps: dict[str, KeyMap] = {}
        self.servers_known = False
        self.keymaps_known = False
        self.keymaps_current_ms = elapsed_ms()  # the key maps were surely current then
        # Services whose maps in the store, restored from a snapshot, are older than those known.
        self.outdated_keymaps: set[str] = set()
        # Tokens of moving ranges whose new holder acknowledged the grant, by service.
        self.granted: dict[str, frozenset[int]] = {}
        # Tokens of standbys that were promoted by the maps known, by service.
        self.promoted: dict[str, frozenset[int]] = {}
        self._told_promoted: dict[str, tuple[int, Collection[int]]] = {}  # by a map's revision
        self._heard_limits: dict[str, float] = {}  # by server: when it last spoke of its limit
        self._told_limit = ""  # the last server whose word was told
        self._table: RouteTable | None = None
        # Since when ranges move, by service and token.
        self._moving_since_ms: dict[str, dict[int, float]] = {}

    @property
    def table(self) -> RouteTable | None:
        """The configuration in force, or ``None`` before the first."""
        return self._table

    def client_limits(self) -> ClientLimits:
        """What callers may send."""
        return self._table.limits if self._table else ClientLimits()

    def apply_table(self, table: RouteTable) -> None:
        """Take a configuration unless a newer one is in force."""
        if self._table is not None and table.version <= self._table.version:
            return
        self._table = table
        LOG.info("Configuration taken.", version=table.version)
        self.changed.raise_()

    def put_server(self, record: ServerRecord) -> None:
        """Take a server's record."""
        known = self.servers.records.get(record.server_id)
        before = self.servers.put(record, elapsed_ms())
        if before:
            LOG.warning("Server has started again.", server=record.server_id, before=before)
        if known is None or known.draining != record.draining:
            LOG.info(
                "Server heard of.",
                server=record.server_id,
                service=record.service,
                draining=record.draining,
            )
        self.changed.raise_()

    def remove_server(self, name: str) -> None:
        """The record of a server is gone, by its registered name."""
        self.servers.remove(name, elapsed_ms())
        LOG.info("Server record gone.", server=name)
        self.changed.raise_()

    def apply_notice(
        self, server_id: str, notice: ServerNotice, asked_ms: float | None = None
    ) -> None:
        """An answer to this node says something of its server.

        :param asked_ms: when the request was sent; now where that is not known.
        """
        news = self.servers.apply_notice(server_id, notice, elapsed_ms(), asked_ms)
        if news.leaving:
            LOG.info("Server says that it leaves.", server=server_id, by="its-answer")
        if news.backoff_ms:
            LOG.info("Server asks for rest.", server=server_id, for_ms=round(news.backoff_ms))
        if notice.limit_per_s is not None and server_id in self.servers.notices.limits:
            self._heard_limits[server_id] = elapsed_ms()
        if news.limit_per_s is not None:
            self._log_limit(server_id, news.limit_per_s, "its-answer")
        if news != NO_NOTICE:
            self.changed.raise_()

    def _log_limit(self, server_id: str, per_s: float, by: str) -> None:
        if per_s == NO_LIMIT:
            LOG.info("Server names no limit any more.", server=server_id, by=by)
        else:
            LOG.info("Server names a limit.", server=server_id, per_s=f"{per_s:g}", by=by)

    def note_leaving(self, ages_ms: Mapping[str, float], by: str) -> None:
        """Another node tells which servers said that they leave, and how long ago."""
        now_ms = elapsed_ms()
        for server_id, age_ms in ages_ms.items():
            if self.servers.note_reported_leaving(server_id, now_ms - age_ms, now_ms):
                LOG.info(
                    "Server says that it leaves.",
                    server=server_id,
                    by=by,
                    age_ms=round(age_ms),
                )
                self.changed.raise_()

    def note_rate_limits(self, told: ReportedLimits, by: str) -> None:
        """Another node tells what servers said of the rate that they take."""
        now_ms = elapsed_ms()
        for server_id, (per_s, age_ms) in told.items():
            if self.servers.note_reported_limit(server_id, RateLimit(per_s, now_ms - age_ms)):
                self._log_limit(server_id, per_s, by)
                self.changed.raise_()

    def rate_limits_of(self, server_ids: Iterable[str]) -> ReportedLimits:
        """Return what some servers said of the rate that they take, as far as is known."""
        limits, now_ms = self.servers.notices.limits, elapsed_ms()
        return {
            name: (limits[name].per_s, now_ms - limits[name].announced_ms)
            for name in server_ids
            if name in limits
        }

    def own_rate_limits(self) -> ReportedLimits:
        """Return what answers to this node said lately, for the leader."""
        now_ms = elapsed_ms()
        self._heard_limits = {
            name: heard_ms
            for name, heard_ms in self._heard_limits.items()
            if now_ms - heard_ms < OWN_LIMIT_MS
        }
        latest = sorted(self._heard_limits, key=self._heard_limits.__getitem__)
        return self.rate_limits_of(latest[-MOST_LIMITS:])

    def next_rate_limits(self) -> ReportedLimits:
        """Return the words to tell next; all are told in turn, since messages are short."""
        known = sorted(self.servers.notices.limits)
        after = [name for name in known if name > self._told_limit]
        told = [*after, *known][: min(MOST_LIMITS, len(known))]
        self._told_limit = told[-1] if told else ""
        return self.rate_limits_of(told)

    def leaving_ages_ms(self) -> dict[str, float]:
        """Return the servers that said that they leave and whose records don't, and when."""
        now_ms, records = elapsed_ms(), self.servers.records
        return {
            name: now_ms - ms
            for name, ms in self.servers.notices.leaving_ms.items()
            if not records[name].draining
        }

    def replace_servers(self, records: list[ServerRecord]) -> None:
        """Take a whole listing of servers."""
        self.servers.replace_all(records, elapsed_ms())
        self.servers_known = True
        self.changed.raise_()

    def set_evacuated(self, zones: Collection[str]) -> None:
        """Take the zones whose servers are to get nothing.

        Servers of a zone that is taken back count as cold for as long as after a start.
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
            LOG.info("Zone is taken back.", zone=zone)
        self.changed.raise_()

    def cold_per_s(self, service: str) -> float:
        """Return how many requests a second a cold server of a service sustains; 0: no bound."""
        known = self._table.services.get(service) if self._table else None
        return known.cold_per_s if known else 0.0

    def note_server_replaced(self, server_id: str) -> None:
        """Another server answered at the address: this one has surely ended."""
        if server_id in self.servers.records:
            LOG.warning("Address belongs to another server now.", server=server_id)
            self.servers.forget_address(server_id)
            self.changed.raise_()

    @property
    def keymaps_trusted(self) -> bool:
        """Whether requests may go where the key maps say."""
        return view.map_is_trusted(self.keymaps_current_ms, elapsed_ms())

    def note_keymaps(self, current_ms: float) -> None:
        """The key maps were surely current at a time, on the elapsed clock."""
        self.keymaps_current_ms = max(self.keymaps_current_ms, current_ms)

    def put_keymap(self, keymap: KeyMap) -> bool:
        """Take a key map unless it or a newer one is known; true if it was taken."""
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
        # The leader's beacon may have overtaken the map.
        self.note_promoted(keymap.service, *self._told_promoted.get(keymap.service, (0, ())))
        return True

    def note_promoted(self, service: str, revision: int, tokens: Collection[int]) -> bool:
        """The leader has promoted standbys by a map while the store takes none.

        :returns: whether that is news, for the map that is known.
        """
        self._told_promoted[service] = (revision, tokens)
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
        """New holders have acknowledged ranges that move, though no map says so yet.

        A token names one grant for ever, so it does not matter who tells it, or when.
        """
        known = self.granted.get(service, frozenset())
        news = frozenset(tokens) - known
        if news:
            self._keep_granted(service, known | news)
            self.changed.raise_()

    def _keep_granted(self, service: str, tokens: frozenset[int]) -> None:
        """Keep the tokens of ranges that move, or that are newer than the map."""
        keymap = self.keymaps.get(service)
        if keymap is not None:
            moving = {item.token for item in keymap.moving}
            tokens = frozenset(t for t in tokens if t in moving or t > keymap.token)
        self.granted[service] = tokens

    def settled_keymap(self, service: str) -> KeyMap:
        """Return the map known, with the ranges settled that their new holders acknowledged.

        A holder acknowledges a grant after all previous ones have released or lapsed.
        """
        return settle(self.keymaps[service], lambda item: self.is_granted(service, item))

    def is_granted(self, service: str, item: KeyRange) -> bool:
        """Whether a range's holder may be sent requests."""
        return item.settled or item.token in self.granted.get(service, ())

    def moves_slowly(self, service: str, token: int) -> bool:
        """Whether a range has moved for longer than a move takes whose holder answers."""
        since_ms = self._moving_since_ms.get(service, {}).get(token)
        return since_ms is not None and elapsed_ms() - since_ms > SLOW_MOVE_MS

    def expire_servers(self) -> None:
        """Drop vanished servers whose grace is over."""
        if self.servers.expire(elapsed_ms()):
            self.changed.raise_()
