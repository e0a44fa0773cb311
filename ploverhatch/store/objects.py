"""What a gateway needs of a store of versioned objects with watches.

The store is linearizable and keeps everything it acknowledged; nothing
outside an implementation of :class:`ObjectStore` knows its wire names.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Any


class StoreCallError(ConnectionError):
    """The store did not carry out the call; it may be tried again."""


class UnreadableObjectError(StoreCallError):
    """An object of ours does not have our form; to be used only once it has."""


class WatchInterruptedError(StoreCallError):
    """This process broke its own watch off, to ask anew."""


class OutcomeUnknownError(StoreCallError):
    """The answer to a change was lost: it may have happened, or happen later."""


class RevisionConflictError(Exception):
    """The object is at another revision, exists already or is absent.

    ``current`` is the object as it is, or ``None``.
    """

    def __init__(self, current: "VersionedObject | None") -> None:
        super().__init__("revision conflict")
        self.current = current


class HistoryDroppedError(Exception):
    """Changes since the given revision are no longer known: list again."""


@dataclass(frozen=True, slots=True)
class VersionedObject:
    """One object: ``spec`` and ``status`` are JSON values."""

    name: str
    revision: int
    spec: Any
    status: Any = None


@dataclass(frozen=True, slots=True)
class ObjectChange:
    """A change that a watch reported."""

    object: VersionedObject
    gone: bool


@dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind; ``revision`` is the store's when they were read."""

    items: tuple[VersionedObject, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class ChangeBatch:
    """Changes after a revision, and the revision to continue from."""

    changes: tuple[ObjectChange, ...]
    revision: int


class ObjectStore(ABC):
    """Objects by kind and name.

    Every method raises :class:`StoreCallError` when the call was not carried
    out or not answered in time.
    """

    @abstractmethod
    def list_all(self, kind: str, stale: bool = False) -> Listing:
        """Return all objects of a kind; ``stale`` ones may be seconds old."""

    @abstractmethod
    def get(self, kind: str, name: str) -> VersionedObject | None:
        """Return one object, or ``None``."""

    @abstractmethod
    def watch(self, kind: str, after: int, wait_s: float) -> ChangeBatch:
        """Wait for changes of a kind after a revision; may return none.

        :raises HistoryDroppedError: when ``after`` is too old.
        """

    @abstractmethod
    def create(self, kind: str, name: str, spec: Any) -> VersionedObject:
        """Make an object.

        :raises RevisionConflictError: when it exists.
        :raises OutcomeUnknownError: when the answer was lost.
        """

    @abstractmethod
    def replace(self, kind: str, name: str, spec: Any, revision: int) -> VersionedObject:
        """Replace an object that is at ``revision``.

        :raises RevisionConflictError: when it is not.
        :raises OutcomeUnknownError: when the answer was lost.
        """

    @abstractmethod
    def interrupt(self) -> None:
        """Break off waiting watches, so that their callers ask anew."""
