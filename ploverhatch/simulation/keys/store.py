"""A simulated store with compare-and-set, and its faults."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from ploverhatch.simulation.world import World

ANSWER_MS = 4.0
TIMEOUT_MS = 1500.0
LATE_MS = (1000.0, 6000.0)


class StoreResult(Enum):
    """Result of a call to the store."""

    DONE = "done"
    CONFLICT = "conflict"
    FAILED = "failed"  # the call had no effect
    UNKNOWN = "unknown"  # the write may have been applied, or be applied later


@dataclass
class StoreFaults:
    """The faults in force."""

    down: bool = False
    delay_ms: float = ANSWER_MS
    lost: float = 0.0  # fraction of writes that are applied but not answered
    late: bool = False  # whether those writes are applied seconds later


@dataclass(frozen=True)
class StoredItem:
    """A stored object with the revision of its last change."""

    value: Any
    revision: int


@dataclass(frozen=True, eq=False)
class _HeldWrite:
    """A write without an answer that is carried out before the next one of its object."""

    node: str
    name: str
    value: Any
    revision: int
    sent_ms: float


Answer = Callable[[StoreResult, StoredItem | None], None]


class SimStore:
    """Objects by name; all changes take their revisions from one counter."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.faults = StoreFaults()
        self.items: dict[str, StoredItem] = {}
        self.revision = 0
        self.cut: set[str] = set()  # nodes that can't reach the store
        # Nodes that are cut off by their next write of an object, by node and object.
        self.cut_by_write: set[tuple[str, str]] = set()
        self._held: list[_HeldWrite] = []
        self.watchers: dict[str, Callable[[str, StoredItem], None]] = {}

    def _reachable(self, node: str) -> bool:
        return not self.faults.down and node not in self.cut

    def read(self, node: str, name: str, answer: Answer) -> None:
        """Read one object."""

        def serve() -> None:
            if self._reachable(node):
                item = self.items.get(name)
                self.world.after(delay, lambda: answer(StoreResult.DONE, item))
            else:
                self.world.after(TIMEOUT_MS, lambda: answer(StoreResult.FAILED, None))

        delay = self.faults.delay_ms / 2
        self.world.after(delay, serve)

    def write(self, node: str, name: str, value: Any, revision: int, answer: Answer) -> None:
        """Write one object if its revision is ``revision``; 0 means that it must be absent."""

        def serve() -> None:
            if (node, name) in self.cut_by_write:
                self.cut_by_write.discard((node, name))
                self.cut.add(node)
                self._held.append(_HeldWrite(node, name, value, revision, self.world.now_ms))
            if not self._reachable(node):
                self.world.after(TIMEOUT_MS, lambda: answer(StoreResult.UNKNOWN, None))
                return
            self._apply_held(node, name)
            if self.world.random.random() < self.faults.lost:
                if self.faults.late:
                    self.world.after(
                        self.world.random.uniform(*LATE_MS),
                        lambda: self._apply_late(name, value, revision),
                    )
                else:
                    self._apply(name, value, revision)
                self.world.after(TIMEOUT_MS, lambda: answer(StoreResult.UNKNOWN, None))
            else:
                result, item = self._apply(name, value, revision)
                self.world.after(delay, lambda: answer(result, item))

        delay = self.faults.delay_ms / 2
        self.world.after(delay, serve)

    def _apply_held(self, node: str, name: str) -> None:
        """Carry out the held writes of an object, since another node is about to write it."""
        for write in [write for write in self._held if write.name == name and write.node != node]:
            self._held.remove(write)
            age_ms = self.world.now_ms - write.sent_ms
            if LATE_MS[0] <= age_ms <= LATE_MS[1]:
                self._apply(write.name, write.value, write.revision)

    def _apply_late(self, name: str, value: Any, revision: int) -> None:
        self._apply(name, value, revision)

    def _apply(self, name: str, value: Any, revision: int) -> tuple[StoreResult, StoredItem | None]:
        current = self.items.get(name)
        if (current.revision if current else 0) != revision:
            return StoreResult.CONFLICT, current
        self.revision += 1
        item = StoredItem(value, self.revision)
        self.items[name] = item
        for node, watcher in self.watchers.items():
            self.world.after(self.faults.delay_ms, self._notify(node, watcher, name, item))
        return StoreResult.DONE, item

    def _notify(
        self, node: str, watcher: Callable[[str, StoredItem], None], name: str, item: StoredItem
    ) -> Callable[[], None]:
        def deliver() -> None:
            if self._reachable(node):
                watcher(name, item)
            else:  # a watch that breaks is resumed from the last change it delivered
                self.world.after(500.0, deliver)

        return deliver
