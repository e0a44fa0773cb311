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


Answer = Callable[[StoreResult, StoredItem | None], None]


class SimStore:
    """Objects by name; all changes take their revisions from one counter."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.faults = StoreFaults()
        self.items: dict[str, StoredItem] = {}
        self.revision = 0
        self.cut: set[str] = set()  # nodes that can't reach the store
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
            if not self._reachable(node):
                self.world.after(TIMEOUT_MS, lambda: answer(StoreResult.UNKNOWN, None))
            elif self.world.random.random() < self.faults.lost:
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
