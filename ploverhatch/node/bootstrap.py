"""Bootstrap task: finds the cell, or founds an epoch of it.

A cell is a group of nodes that replicate one log; its voters elect the leader. A new epoch
is founded when the cell has lost its quorum for good.

A node asks the seeds and the voters that the platform records whether they belong to a
running cell. It founds an epoch only by compare-and-set on the cell object of the
platform, under the rules of ``membership.recovery``.
"""

import gevent

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.logs import PartLogger
from ploverhatch.membership.recovery import CellRecord, Evidence, RecoveryWatch
from ploverhatch.node.control import ControlTask, FoundCell
from ploverhatch.node.platform_sync import KIND_CELL, cell_body, member_to_json
from ploverhatch.node.view import StateView
from ploverhatch.store.interface import (
    ChangeUnknownError,
    PlatformStore,
    StoredObject,
    StoreUnavailableError,
    VersionConflictError,
)
from ploverhatch.transport import wire
from ploverhatch.transport.peers import PeerNetwork, PeerRefusedError, PeerUnreachableError

LOG = PartLogger("bootstrap")

ASK_TIMEOUT_S = 0.5
RETRY_PAUSE_S = 0.2
LEADERLESS_MS = 3000.0

Address = tuple[str, int]


def parse_address(text: str) -> Address:
    """Parse ``host:port``.

    :raises ValueError: the port is not a number.
    """
    host, _, port = text.rpartition(":")
    return host, int(port)


class BootstrapTask:
    """Finds or founds the cell; the node calls it while it knows no leader."""

    def __init__(
        self,
        member: wire.Member,
        cell: str,
        seeds: tuple[str, ...],
        store: PlatformStore,
        network: PeerNetwork,
        control: ControlTask,
        view: StateView,
    ) -> None:
        self._member = member
        self._cell = cell
        self._seeds = [parse_address(seed) for seed in seeds]
        self._store = store
        self._network = network
        self._control = control
        self._view = view
        self._watch: RecoveryWatch | None = None

    def find_cell(self) -> list[wire.Member]:
        """Ask the known addresses in turn and return the voters of the running cell.

        The list is empty if no cell was found. In that case this node may found an epoch,
        of which it is the only voter.
        """
        record = self._read_record()
        addresses = self._candidate_addresses(record)
        for address in addresses:
            reply = self._request_status(address)
            if reply is not None and reply.voters and reply.leader_id:
                return list(reply.voters)
        if record is not None:
            self._consider_founding(record)
        return []

    def recover_leaderless(self) -> None:
        """Found an epoch as a surviving voter, if the rules allow it."""
        record = self._read_record()
        if record is not None:
            self._consider_founding(record)

    # ---- finding the cell ------------------------------------------------------

    def _read_record(self) -> StoredObject | None:
        """Return the cell object, with version 0 if absent; ``None`` if it cannot be read."""
        try:
            found = self._store.get(KIND_CELL, self._cell)
        except StoreUnavailableError:
            return None
        return found or StoredObject(KIND_CELL, self._cell, 0, {"epoch": 0, "voters": []})

    def _candidate_addresses(self, record: StoredObject | None) -> list[Address]:
        addresses = list(self._seeds)
        if record is not None:
            addresses += [(row["host"], row["port"]) for row in record.body["voters"]]
        mine = (self._member.host, self._member.port)
        return [address for address in dict.fromkeys(addresses) if address != mine]

    def _request_status(self, address: Address, recipient: str = "") -> wire.StatusReply | None:
        try:
            _, reply = self._network.request(
                address, recipient, wire.WhoRequest(ask=True), ASK_TIMEOUT_S
            )
        except PeerUnreachableError:
            return None
        return reply if isinstance(reply, wire.StatusReply) else None

    def _evidence(self, row: dict[str, object]) -> Evidence:
        address = (str(row["host"]), int(str(row["port"])))
        try:
            envelope, reply = self._network.request(
                address, "", wire.WhoRequest(ask=True), ASK_TIMEOUT_S
            )
        except PeerRefusedError:
            return Evidence.REFUSED
        except PeerUnreachableError:
            return Evidence.SILENT
        if envelope.sender != row["node_id"]:
            return Evidence.REPLACED
        return self._compare_logs(reply)

    def _compare_logs(self, reply: object) -> Evidence:
        if not isinstance(reply, wire.StatusReply):
            return Evidence.ALIVE
        replica = self._control.replica
        mine = (replica.log.last_term, replica.log.last_index)
        if (reply.last_term, reply.last_index) > mine:
            return Evidence.ALIVE_AHEAD
        same = set(replica.voters) == {member.node_id for member in reply.voters}
        return Evidence.ALIVE_SAME if same else Evidence.ALIVE

    # ---- founding --------------------------------------------------------------

    def _consider_founding(self, record: StoredObject) -> None:
        rows = {str(row["node_id"]): row for row in record.body["voters"]}
        cell_record = CellRecord(record.version, int(record.body["epoch"]), tuple(rows))
        if self._watch is None or self._watch.record != cell_record:
            self._watch = RecoveryWatch(self._member.node_id, cell_record)
        known = self._control.replica.voters
        rows |= {node_id: member_to_json(member) for node_id, member in known.items()}
        evidence = {
            node_id: self._evidence(row)
            for node_id, row in rows.items()
            if node_id != self._member.node_id
        }
        if self._watch.observe(evidence, tuple(known), elapsed_ms()):
            self._found_epoch(record, cell_record)

    def _found_epoch(self, record: StoredObject, cell_record: CellRecord) -> None:
        membership = wire.MembershipChange(epoch=cell_record.epoch + 1, voters=[self._member])
        operation = f"found/{self._member.node_id}/{membership.epoch}"
        try:
            self._store.put(KIND_CELL, self._cell, cell_body(membership), record.version, operation)
        except VersionConflictError:
            return
        except ChangeUnknownError:
            if not self._founding_was_stored(operation):
                return
        except StoreUnavailableError:
            return
        survived = self._member.node_id in cell_record.voter_ids
        LOG.info("Founding an epoch.", epoch=membership.epoch, survived=survived)
        self._control.post(FoundCell(membership, survived))

    def _founding_was_stored(self, operation: str) -> bool:
        """Tell, by reading the object back, whether a write without a reply was stored."""
        for _ in range(20):
            try:
                current = self._store.get(KIND_CELL, self._cell)
            except StoreUnavailableError:
                gevent.sleep(RETRY_PAUSE_S)
                continue
            return current is not None and current.operation == operation
        return False
