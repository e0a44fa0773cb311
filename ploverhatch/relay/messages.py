"""What the leader tells: changes of objects, whole kinds, and how current its view is."""

from typing import Any

import msgspec


class RelayedChange(msgspec.Struct, array_like=True, frozen=True):
    """One change of one object.

    ``base`` is 0 for a whole object. Otherwise ``spec`` is what differs from
    the object at that revision, in the form of the kind's own codec.
    """

    name: str
    revision: int
    spec: Any
    status: Any = None
    gone: bool = False
    base: int = 0


class RelayedUpdate(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """All changes of a kind after the store's revision ``base``, up to ``through_revision``.

    Sent in ``parts`` messages, since a datagram is short; numbered from 0.
    """

    kind: str
    base: int
    through_revision: int
    changes: list[RelayedChange]
    part: int = 0
    parts: int = 1


class Claim(msgspec.Struct, array_like=True, frozen=True):
    """All changes up to ``through_revision`` were relayed; none was missing ``age_ms`` ago."""

    through_revision: int
    age_ms: float


class Beacon(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """The leader's claims by kind; a kind that it can't speak for is left out.

    ``lease_revision`` rises with each renewal of the leader's lease, so that
    beacons of different leaders can be ordered; the last one was sent
    ``renewed_age_ms`` ago. ``sent_ms`` is the earliest time at which the beacon
    can have been sent, on the clock of the node that it is for: a beacon that
    was held up, or is read after a pause of the process, is known to be old.
    ``address`` is where the leader takes reports, for a node that cannot read
    the lease. ``granted`` holds, by service, the fencing tokens of moving ranges
    whose new holders have them, before a map in the store says so. ``leaving`` holds the
    servers that said in answers that they leave, and how many milliseconds ago. ``limits``
    holds some of the words that servers said on the rate that they take, all in turn.
    ``promoted`` holds, by service, the revision of the map in the store and the tokens of
    its standbys that were promoted since: ranges of these are with no other server.
    """

    lease_revision: int
    renewed_age_ms: float
    claims: dict[str, Claim]
    sent_ms: float = float("-inf")
    address: str = ""
    granted: dict[str, list[int]] = {}
    leaving: dict[str, float] = {}
    limits: dict[str, tuple[float, float]] = {}
    promoted: dict[str, tuple[int, list[int]]] = {}


class SnapshotItem(msgspec.Struct, array_like=True, frozen=True):
    """One object of a snapshot; its content is encoded once and passed on as it is."""

    name: str
    revision: int
    spec: msgspec.Raw
    status: msgspec.Raw


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """All objects of a kind at a revision; nothing was missing ``age_ms`` before the answer.

    ``packed`` is the list of items, encoded and compressed.
    """

    kind: str
    through_revision: int
    age_ms: float
    packed: bytes


class Fragment(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """A part of a message that is longer than a datagram, after its compression."""

    number: int  # of the message, at its sender
    part: int
    parts: int
    data: bytes
