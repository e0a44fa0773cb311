"""What ploverhatch needs of the platform: an object store and a machine list.

Nothing outside an implementation of :class:`PlatformStore` knows a URL or a
field name of the platform.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Any


class StoreUnavailableError(ConnectionError):
    """The store gave no answer; a read can be tried again."""


class ChangeUnknownError(StoreUnavailableError):
    """The answer to a change was lost: it may have taken effect."""


class VersionConflictError(Exception):
    """The object is at another version; ``current`` is it, or ``None``."""

    def __init__(self, current: "StoredObject | None") -> None:
        super().__init__("version conflict")
        self.current = current


class HistoryCompactedError(Exception):
    """The watch starts before the oldest kept change; list again."""


@dataclass(frozen=True)
class StoredObject:
    """An object at one version. Versions are revisions of the whole store."""

    kind: str
    name: str
    version: int
    body: dict[str, Any]
    operation: str = ""  # identity of the change that wrote it
    deleted: bool = False


@dataclass(frozen=True)
class ObjectList:
    """Objects at one revision of the store."""

    revision: int
    items: tuple[StoredObject, ...]


@dataclass(frozen=True)
class Machine:
    """One row of the machine list."""

    name: str
    host: str
    port: int
    leaving: bool


class PlatformStore(ABC):
    """Objects with versions and watches, and the machine list.

    Every method raises :class:`StoreUnavailableError` when the store does not
    answer in time.
    """

    @abstractmethod
    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or ``None``."""

    @abstractmethod
    def list(self) -> ObjectList:
        """Return all objects."""

    @abstractmethod
    def put(
        self, kind: str, name: str, body: dict[str, Any], expected: int, operation: str
    ) -> StoredObject:
        """Write an object if it is still at version ``expected`` (0: absent).

        :raises VersionConflictError: when it is not.
        :raises ChangeUnknownError: when the answer was lost.
        """

    @abstractmethod
    def delete(self, kind: str, name: str, expected: int, operation: str) -> int:
        """Delete an object at a version; return the store's revision."""

    @abstractmethod
    def watch(self, after: int, wait_s: float) -> ObjectList:
        """Wait for changes after a revision; may return none.

        :raises HistoryCompactedError: when ``after`` is too old.
        """

    @abstractmethod
    def machines(self) -> tuple[Machine, ...]:
        """Return the machine list, which may lag."""
