"""Interface of the platform's object store and machine list.

URLs and field names of the platform are known only to implementations of
:class:`PlatformStore`.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Any


class StoreUnavailableError(ConnectionError):
    """The store did not answer or refused the call; a read may be retried."""


class ChangeUnknownError(StoreUnavailableError):
    """The answer to a change was lost or unexpected: the change may have taken effect."""


class VersionConflictError(Exception):
    """The object is at another version.

    ``current`` is the object at its present version, or ``None`` if it is unknown or absent.
    """

    def __init__(self, current: "StoredObject | None") -> None:
        super().__init__("version conflict")
        self.current = current


class HistoryCompactedError(Exception):
    """The watch starts before the oldest change that the store keeps; list all objects again."""


@dataclass(frozen=True)
class StoredObject:
    """An object at one version; a version is the revision of the whole store at the write."""

    kind: str
    name: str
    version: int
    body: dict[str, Any]
    operation: str = ""  # identifies the change that wrote this version
    deleted: bool = False


@dataclass(frozen=True)
class ObjectList:
    """Objects, and the revision of the store at which they were read."""

    revision: int
    items: tuple[StoredObject, ...]


@dataclass(frozen=True)
class Machine:
    """A machine of the platform's machine list."""

    name: str
    host: str
    port: int
    leaving: bool


class PlatformStore(ABC):
    """A store of versioned objects with watches, and the machine list.

    Every method raises :class:`StoreUnavailableError` when the store refuses
    the call or does not answer in time.
    """

    @abstractmethod
    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or ``None`` if it is absent."""

    @abstractmethod
    def list(self) -> ObjectList:
        """Return all objects."""

    @abstractmethod
    def put(
        self, kind: str, name: str, body: dict[str, Any], expected: int, operation: str
    ) -> StoredObject:
        """Write an object if it is at version ``expected`` (0: absent).

        ``operation`` identifies the change; the object stores it.

        :raises VersionConflictError: when the object is at another version.
        :raises ChangeUnknownError: when the answer was lost or unexpected.
        """

    @abstractmethod
    def delete(self, kind: str, name: str, expected: int, operation: str) -> int:
        """Delete an object that is at version ``expected``; return the store's new revision.

        :raises VersionConflictError: when the object is at another version.
        :raises ChangeUnknownError: when the answer was lost or unexpected.
        """

    @abstractmethod
    def watch(self, after: int, wait_s: float) -> ObjectList:
        """Wait up to ``wait_s`` seconds for changes after revision ``after``.

        The list may be empty.

        :raises HistoryCompactedError: when the store has dropped changes after ``after``.
        """

    @abstractmethod
    def machines(self) -> tuple[Machine, ...]:
        """Return the machine list, which may be out of date."""
