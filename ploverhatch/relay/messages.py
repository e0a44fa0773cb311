"""Messages of the leader's relay: changes of objects, snapshots of kinds, and beacons."""

from typing import Any

import msgspec


class RelayedChange(msgspec.Struct, array_like=True, frozen=True):
    """One change of one object.

    If ``base`` is 0, ``spec`` is the whole object. Otherwise it is the difference from the object
    at revision ``base``, in the format of the kind's codec. ``gone`` means that the object was
    removed.
    """

    name: str
    revision: int
    spec: Any
    status: Any = None
    gone: bool = False
    base: int = 0


class RelayedUpdate(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """All changes of a kind after the store's revision ``base``, up to ``through_revision``.

    They are sent in ``parts`` messages, numbered from 0, since the size of a datagram is limited.
    """

    kind: str
    base: int
    through_revision: int
    changes: list[RelayedChange]
    part: int = 0
    parts: int = 1


class Claim(msgspec.Struct, array_like=True, frozen=True):
    """The leader's claim for a kind: its view was complete ``age_ms`` milliseconds ago.

    It has relayed all changes up to ``through_revision``, and there were no others by then.
    """

    through_revision: int
    age_ms: float


class Beacon(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """The leader's periodic message, with its claims by kind.

    A kind is left out if the leader doesn't know all its changes.

    ``lease_revision`` rises with each renewal of the leader's lease, so that beacons of different
    leaders can be ordered. The last renewal was sent ``renewed_age_ms`` ago. ``sent_ms`` is the
    earliest time at which the beacon can have been sent, on the clock of the node that receives
    it, so that a node recognises a beacon as old if it was delayed, or is read after the process
    was suspended. ``address`` is the leader's address for reports, for a node that can't read the
    lease. ``granted`` has, by service, the fencing tokens of moving ranges that their new holders
    have acknowledged, before a map in the store shows it. ``leaving`` has the servers that
    announced in answers that they leave, and how many milliseconds ago. ``limits`` has a part of
    the rate limits that servers announced; successive beacons go through all of them in turn.
    ``promoted`` has, by service, the revision of the map in the store and the tokens of its
    standbys that were promoted since. The ranges of these standbys are held by no other server.
    ``speeds`` has a part of the speeds of servers that surely differ from the usual one of their
    service; successive beacons go through all of them in turn. So the next leader knows them.

    ``released`` marks the last beacon of a leader that has released its lease. It has the
    revision of the released lease, and no claims.
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
    released: bool = False
    speeds: dict[str, float] = {}


class SnapshotItem(msgspec.Struct, array_like=True, frozen=True):
    """One object of a snapshot; its content stays encoded, so that it is encoded only once."""

    name: str
    revision: int
    spec: msgspec.Raw
    status: msgspec.Raw


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """All objects of a kind at revision ``through_revision``.

    No later change existed ``age_ms`` milliseconds before the answer. ``packed`` is the encoded
    and compressed list of :class:`SnapshotItem`.
    """

    kind: str
    through_revision: int
    age_ms: float
    packed: bytes


class Fragment(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """A part of a compressed message that is longer than a datagram."""

    number: int  # the sender's number of the message
    part: int
    parts: int
    data: bytes
