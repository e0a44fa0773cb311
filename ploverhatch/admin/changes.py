"""Checks changes of configuration objects and writes them to the store by compare-and-set.

If the store's answer to a change is lost, the object is read back: a write is recognized by its
operation's id, a deletion by the absence of the object. A change that has not taken effect is
repeated under the same condition, so that it takes effect at most once. The outcome is "unknown"
only if the object was replaced meanwhile, or the store does not answer.
"""

import secrets
from dataclasses import dataclass
from typing import Any

import gevent

from ploverhatch.common import results
from ploverhatch.common.results import Result
from ploverhatch.policy.compiler import ServerLabels, compile_policy
from ploverhatch.policy.diagnostics import PolicyError
from ploverhatch.state.configuration import (
    KIND_KEY_LABELS,
    KIND_POLICY,
    KIND_SERVER,
    parse_server,
)
from ploverhatch.store.interface import (
    ChangeUnknownError,
    PlatformStore,
    StoredObject,
    StoreUnavailableError,
    VersionConflictError,
)

RESOLVE_ATTEMPTS = 5
RESOLVE_PAUSE_S = 0.2


@dataclass(frozen=True)
class ChangeOutcome:
    """Outcome of a change; ``version`` is the object's version, or 0 if unknown.

    After a deletion it is the revision of the store.
    """

    result: Result
    version: int = 0
    detail: str = ""


def check_body(kind: str, name: str, body: Any, servers: ServerLabels) -> str:
    """Return the first error of an object's body, or an empty string.

    :param servers: labels of each configured server, by its name.
    """
    if not isinstance(body, dict):
        return "the body must be a JSON object"
    if kind == KIND_POLICY:
        return _check_policy(str(body.get("source", "")), servers)
    if kind == KIND_SERVER:
        return _check_server(name, body)
    if kind == KIND_KEY_LABELS:
        keys = body.get("keys")
        valid = isinstance(keys, dict) and all(isinstance(row, dict) for row in keys.values())
        return "" if valid else "keys must map keys to objects of labels"
    return f"unknown kind {kind}"


def _check_policy(source: str, servers: ServerLabels) -> str:
    try:
        compile_policy(source, servers)
    except PolicyError as error:
        return str(error)
    return ""


def _check_server(name: str, body: dict[str, Any]) -> str:
    try:
        spec = parse_server(name, body)
    except (TypeError, ValueError) as error:
        return str(error)
    if not 0 < spec.port <= 65535:
        return "port must be 1 to 65535"
    if spec.slots < 1 or spec.connections < 1:
        return "slots and connections must be at least 1"
    if not all(isinstance(value, str) for value in spec.labels.values()):
        return "labels must be strings"
    return ""


class ChangeApplier:
    """Writes configuration objects to the platform's store, one at a time."""

    def __init__(self, store: PlatformStore) -> None:
        self._store = store

    def put(self, kind: str, name: str, body: dict[str, Any], expected: int) -> ChangeOutcome:
        """Write an object if its version is ``expected``; 0 means that it must be absent."""
        operation = secrets.token_hex(8)
        try:
            stored = self._store.put(kind, name, body, expected, operation)
        except VersionConflictError as error:
            return _conflict(error.current)
        except ChangeUnknownError:
            return self._resolve(kind, name, body, expected, operation)
        except StoreUnavailableError as error:
            return ChangeOutcome(results.STORE_UNAVAILABLE, detail=str(error))
        return ChangeOutcome(results.CHANGE_ACCEPTED, stored.version)

    def _resolve(
        self, kind: str, name: str, body: dict[str, Any], expected: int, operation: str
    ) -> ChangeOutcome:
        for _ in range(RESOLVE_ATTEMPTS):
            try:
                current = self._store.get(kind, name)
                if current is not None and current.operation == operation:
                    return ChangeOutcome(results.CHANGE_ACCEPTED, current.version)
                if (current.version if current else 0) != expected:
                    # This change may have been stored and replaced since.
                    return ChangeOutcome(results.CHANGE_UNKNOWN, detail="replaced meanwhile")
                stored = self._store.put(kind, name, body, expected, operation)
                return ChangeOutcome(results.CHANGE_ACCEPTED, stored.version)
            except (VersionConflictError, StoreUnavailableError):
                gevent.sleep(RESOLVE_PAUSE_S)
        return ChangeOutcome(results.CHANGE_UNKNOWN, detail="the store does not answer")

    def delete(self, kind: str, name: str, expected: int) -> ChangeOutcome:
        """Delete an object if its version is ``expected``."""
        try:
            revision = self._store.delete(kind, name, expected, secrets.token_hex(8))
        except VersionConflictError as error:
            return _conflict(error.current)
        except ChangeUnknownError:
            return self._resolve_deletion(kind, name, expected)
        except StoreUnavailableError as error:
            return ChangeOutcome(results.STORE_UNAVAILABLE, detail=str(error))
        return ChangeOutcome(results.CHANGE_ACCEPTED, revision)

    def _resolve_deletion(self, kind: str, name: str, expected: int) -> ChangeOutcome:
        for _ in range(RESOLVE_ATTEMPTS):
            try:
                current = self._store.get(kind, name)
                if current is None:
                    return ChangeOutcome(results.CHANGE_ACCEPTED)
                if current.version != expected:
                    return ChangeOutcome(results.CHANGE_UNKNOWN, detail="replaced meanwhile")
                revision = self._store.delete(kind, name, expected, secrets.token_hex(8))
                return ChangeOutcome(results.CHANGE_ACCEPTED, revision)
            except (VersionConflictError, StoreUnavailableError):
                gevent.sleep(RESOLVE_PAUSE_S)
        return ChangeOutcome(results.CHANGE_UNKNOWN, detail="the store does not answer")


def _conflict(current: StoredObject | None) -> ChangeOutcome:
    version = current.version if current else 0
    return ChangeOutcome(results.CHANGE_CONFLICT, version, f"current version {version}")
