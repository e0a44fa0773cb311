"""Platform task: applies the configuration of the store while this node leads.

Only the leader of the cell watches the store. It also records the voters there, so that
new nodes find the cell and a node can found a new epoch by compare-and-set.
"""

import json

import gevent

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.logs import PartLogger
from ploverhatch.consensus.actions import NotLeaderError
from ploverhatch.node.control import CellRecorded, ControlTask, EpochReplaced, MachinesLeaving
from ploverhatch.node.view import StateView
from ploverhatch.store.interface import (
    HistoryCompactedError,
    ObjectList,
    PlatformStore,
    StoredObject,
    StoreUnavailableError,
    VersionConflictError,
)
from ploverhatch.transport import wire

LOG = PartLogger("platform")

KIND_CELL = "cell"
COMMIT_TIMEOUT_S = 2.0
RETRY_PAUSE_S = 0.2


def to_change(item: StoredObject) -> wire.ObjectChange:
    """Convert a stored object to its form in a log command."""
    return wire.ObjectChange(
        kind=item.kind,
        name=item.name,
        version=item.version,
        body="" if item.deleted else json.dumps(item.body),
        deleted=item.deleted,
    )


def member_to_json(member: wire.Member) -> dict[str, object]:
    """Return a member as a JSON object."""
    return {
        "node_id": member.node_id,
        "zone": member.zone,
        "host": member.host,
        "port": member.port,
        "http_port": member.http_port,
    }


def cell_body(membership: wire.MembershipChange) -> dict[str, object]:
    """Return the body of the cell object."""
    voters = [member_to_json(item) for item in membership.voters]
    return {"epoch": membership.epoch, "voters": voters}


class PlatformSync:
    """Three loops that act only while this node leads: configuration, cell, machines."""

    def __init__(
        self,
        store: PlatformStore,
        control: ControlTask,
        view: StateView,
        cell: str,
        watch_s: float,
        machines_s: float,
    ) -> None:
        self._store = store
        self._control = control
        self._view = view
        self._cell = cell
        self._watch_s = watch_s
        self._machines_s = machines_s
        self._listed = False
        self._tasks: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start the loops."""
        loops = (self._watch_loop, self._cell_loop, self._machines_loop)
        self._tasks = [gevent.spawn(self._forever, loop) for loop in loops]

    def stop(self) -> None:
        """Stop the loops."""
        gevent.killall(self._tasks, block=False)

    def _forever(self, step: object) -> None:
        assert callable(step)
        while True:
            if not self._control.leads:
                self._listed = False
                gevent.sleep(RETRY_PAUSE_S / 2)
                continue
            try:
                step()
            except StoreUnavailableError as error:
                LOG.warning("Store does not answer.", cause=error)
                gevent.sleep(RETRY_PAUSE_S)
            except (NotLeaderError, TimeoutError):
                gevent.sleep(RETRY_PAUSE_S)

    # ---- configuration --------------------------------------------------------

    def _watch_loop(self) -> None:
        if not self._listed:
            self._commit_objects(self._store.list(), replace=True)
            self._listed = True
            return
        after = self._view.state.configuration.generation
        try:
            changes = self._store.watch(after, self._watch_s)
        except HistoryCompactedError:
            self._listed = False
            return
        if changes.revision > after:
            self._commit_objects(changes, replace=False)

    def _commit_objects(self, listed: ObjectList, replace: bool) -> None:
        """Commit the objects of a list or watch result at its revision.

        The cell object is left out, since the cell itself writes it.
        """
        generation = self._view.state.configuration.generation
        if listed.revision <= generation:
            return
        objects = [to_change(item) for item in listed.items if item.kind != KIND_CELL]
        change = wire.ConfigurationChange(
            generation=listed.revision, objects=objects, replace=replace
        )
        started_ms = elapsed_ms()
        self._control.commit(change, COMMIT_TIMEOUT_S)
        if objects:
            took_ms = round(elapsed_ms() - started_ms, 1)
            LOG.info("Configuration committed.", generation=listed.revision, took_ms=took_ms)

    # ---- cell object ----------------------------------------------------------

    def _cell_loop(self) -> None:
        """Write the voters to the cell object if it differs and names no newer epoch."""
        membership = self._view.state.membership
        current = self._store.get(KIND_CELL, self._cell)
        if current is not None and int(current.body.get("epoch", 0)) > membership.epoch:
            LOG.error("Cell object names a newer epoch.", epoch=current.body.get("epoch"))
            self._control.post(EpochReplaced())
            gevent.sleep(RETRY_PAUSE_S)
            return
        wanted = cell_body(membership)
        if current is None or current.body != wanted:
            expected = current.version if current else 0
            try:
                self._store.put(KIND_CELL, self._cell, wanted, expected, "")
            except VersionConflictError:
                return
        recorded = frozenset(item.node_id for item in membership.voters)
        self._control.post(CellRecorded(recorded))
        self._sleep_until_changed(membership)

    def _sleep_until_changed(self, membership: wire.MembershipChange) -> None:
        for _ in range(20):
            gevent.sleep(RETRY_PAUSE_S / 4)
            if self._view.state.membership is not membership:
                return

    # ---- machine list ---------------------------------------------------------

    def _machines_loop(self) -> None:
        leaving = {
            (machine.host, machine.port) for machine in self._store.machines() if machine.leaving
        }
        servers = tuple(
            name for name, spec in self._view.servers.items() if (spec.host, spec.port) in leaving
        )
        self._control.post(MachinesLeaving(servers))
        gevent.sleep(self._machines_s)
