"""Interface of the store of versioned objects that a gateway uses.

The store is linearizable, and durable except for a restore from a snapshot.
Its wire names are known only to implementations of :class:`ObjectStore`.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Any


class StoreCallError(ConnectionError):
    """The store did not execute the call; the call may be retried."""


class UnreadableObjectError(StoreCallError):
    """An object that gateways write is malformed; it can be used once it has been rewritten."""


class WatchInterruptedError(StoreCallError):
    """This process cancelled its own watch, to start another one."""


class OutcomeUnknownError(StoreCallError):
    """The answer to a change was lost: the change may take effect, even later."""


class RevisionConflictError(Exception):
    """The object is at another revision, exists already or is absent.

    ``current`` is the object at its present revision, or ``None``.
    """

    def __init__(self, current: "VersionedObject | None") -> None:
        super().__init__("revision conflict")
        self.current = current


class HistoryDroppedError(Exception):
    """The store no longer knows all changes since the given revision: list the objects again."""


@dataclass(frozen=True, slots=True)
class VersionedObject:
    """An object at one revision; ``spec`` and ``status`` are JSON values."""

    name: str
    revision: int
    spec: Any
    status: Any = None


@dataclass(frozen=True, slots=True)
class ObjectChange:
    """A change that a watch reported; ``gone`` is true for a removal."""

    object: VersionedObject
    gone: bool


@dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind; ``revision`` is that of the store at the time of the read."""

    items: tuple[VersionedObject, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class ChangeBatch:
    """Changes after a revision; the next watch continues from ``revision``."""

    changes: tuple[ObjectChange, ...]
    revision: int


class ObjectStore(ABC):
    """A store of objects by kind and name.

    Every method raises :class:`StoreCallError` when the call was not executed
    or not answered in time.
    """

    @abstractmethod
    def list_all(self, kind: str, stale: bool = False) -> Listing:
        """Return all objects of a kind; with ``stale``, the listing may be some seconds old."""

    @abstractmethod
    def get(self, kind: str, name: str) -> VersionedObject | None:
        """Return an object, or ``None`` if it is absent."""

    @abstractmethod
    def watch(self, kind: str, after: int, wait_s: float) -> ChangeBatch:
        """Wait up to ``wait_s`` seconds for changes of a kind after revision ``after``.

        The batch may be empty.

        :raises HistoryDroppedError: when the store no longer knows all changes since ``after``.
        """

    @abstractmethod
    def create(self, kind: str, name: str, spec: Any) -> VersionedObject:
        """Create an object.

        :raises RevisionConflictError: when the object exists.
        :raises OutcomeUnknownError: when the answer was lost.
        """

    @abstractmethod
    def replace(self, kind: str, name: str, spec: Any, revision: int) -> VersionedObject:
        """Replace an object that is at ``revision``.

        :raises RevisionConflictError: when the object is absent or at another revision.
        :raises OutcomeUnknownError: when the answer was lost.
        """

    @abstractmethod
    def interrupt(self) -> None:
        """Cancel waiting watches, so that their callers start new ones."""
