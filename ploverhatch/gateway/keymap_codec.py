"""Encoding of key maps, leases and node objects in the store."""

from typing import TypeVar

import msgspec

from ploverhatch.leadership.election import LeaseObject
from ploverhatch.sharding.keymap import Holder, KeyMap, KeyRange, Standby
from ploverhatch.store.objects import UnreadableObjectError, VersionedObject
from ploverhatch.store.revisions import same_era

T = TypeVar("T")


class _StoredHolder(msgspec.Struct, array_like=True):
    server: str
    host: str
    port: int


class _StoredRange(msgspec.Struct, array_like=True):
    first: int
    last: int
    holder: int  # an index into the map's holders
    token: int
    settled: bool
    previous: list[int]
    standbys: list[tuple[int, int]] = []  # index of the holder, reserved token
    former_standbys: list[int] = []

    @property
    def named(self) -> list[int]:
        """Indices of all holders that the range refers to."""
        standbys = [index for index, _ in self.standbys]
        return [self.holder, *self.previous, *standbys, *self.former_standbys]


class _StoredMap(msgspec.Struct):
    token: int
    holders: list[_StoredHolder]
    ranges: list[_StoredRange]
    base: int = 0  # revision of the map that this one replaced
    writer: str = ""  # the term of leadership in which it was written


class Member(msgspec.Struct, frozen=True):
    """A node's own object.

    ``address`` is where the node receives datagrams, as ``host:port``. ``strength`` is the share
    of the resources needed to lead that its machine has, 0 to 1.
    """

    address: str = ""
    zone: str = ""
    strength: float = 0.0


class _StoredLease(msgspec.Struct):
    node: str
    life: str
    address: str
    renewal: int = 0
    released: bool = False
    earlier_ms: float = 0.0
    strength: float = 1.0
    term: int = 0


def encode_keymap(keymap: KeyMap) -> object:
    """Return the content of a key map's object."""
    holders: dict[Holder, int] = {}
    ranges = [
        _StoredRange(
            item.first,
            item.last,
            holders.setdefault(item.holder, len(holders)),
            item.token,
            item.settled,
            [holders.setdefault(holder, len(holders)) for holder in item.previous],
            [
                (holders.setdefault(standby.holder, len(holders)), standby.token)
                for standby in item.standbys
            ],
            [holders.setdefault(holder, len(holders)) for holder in item.former_standbys],
        )
        for item in keymap.ranges
    ]
    stored = [_StoredHolder(item.server_id, item.host, item.port) for item in holders]
    return msgspec.to_builtins(
        _StoredMap(keymap.token, stored, ranges, keymap.revision, keymap.writer)
    )


def decode_keymap(item: VersionedObject) -> KeyMap:
    """Decode a key map.

    :raises UnreadableObjectError: when the object is malformed.
    """
    stored = _read(item, _StoredMap)
    holders = [Holder(row.server, row.host, row.port) for row in stored.holders]
    known = range(len(holders))
    for row in stored.ranges:
        if any(index not in known for index in row.named):
            raise UnreadableObjectError(f"{item.name}: a range names no holder")
    ranges = tuple(
        KeyRange(
            row.first,
            row.last,
            holders[row.holder],
            row.token,
            row.settled,
            tuple(holders[index] for index in row.previous),
            tuple(Standby(holders[index], token) for index, token in row.standbys),
            tuple(holders[index] for index in row.former_standbys),
        )
        for row in stored.ranges
    )
    return KeyMap(item.name, ranges, stored.token, item.revision, stored.writer)


def predates_restore(item: VersionedObject) -> bool:
    """Whether a key map was written before the store was restored from a snapshot.

    Maps that were written after the snapshot are lost then.

    :raises UnreadableObjectError: when the object is malformed.
    """
    return not same_era(_read(item, _StoredMap).base, item.revision)


def encode_lease(lease: LeaseObject, renewal: int) -> object:
    """Return the content of the lease's object.

    :param renewal: a number that rises with each write, so that every renewal changes the object.
    """
    return msgspec.to_builtins(
        _StoredLease(
            lease.node,
            lease.incarnation,
            lease.address,
            renewal,
            lease.released,
            round(lease.earlier_ms + 1),
            lease.strength,
            lease.term,
        )
    )


def decode_lease(item: VersionedObject) -> LeaseObject:
    """Decode a lease.

    :raises UnreadableObjectError: when the object is malformed.
    """
    stored = _read(item, _StoredLease)
    return LeaseObject(
        item.revision,
        stored.node,
        stored.life,
        stored.address,
        stored.released,
        stored.earlier_ms,
        stored.strength,
        stored.term,
    )


def encode_member(member: Member) -> object:
    """Return the content of a node's own object."""
    return msgspec.to_builtins(member)


def decode_member(item: VersionedObject) -> Member:
    """Decode a node's own object; its address is empty where an earlier version wrote none.

    :raises UnreadableObjectError: when the object is malformed.
    """
    return _read(item, Member) if item.spec is not None else Member()


def _read(item: VersionedObject, form: type[T]) -> T:
    try:
        return msgspec.convert(item.spec, form)
    except ValueError as error:
        raise UnreadableObjectError(f"{item.name}: {error}") from error
