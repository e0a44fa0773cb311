"""Key maps as they are relayed between nodes: the ranges that changed since the last one."""

from dataclasses import replace

import msgspec

from ploverhatch.common.logs import PartLogger
from ploverhatch.gateway import keymap_codec
from ploverhatch.gateway.directory import Directory
from ploverhatch.relay.messages import RelayedChange, SnapshotItem
from ploverhatch.sharding.keymap import KeyMap, changed_ranges, patched
from ploverhatch.store.objects import ObjectChange, UnreadableObjectError, VersionedObject

LOG = PartLogger("relay")


class KeymapRelay:
    """Encodes and applies changes of key maps."""

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        self._relayed: dict[str, KeyMap] = {}  # as last relayed by this node, by service

    def change_of(self, keymap: KeyMap) -> RelayedChange | None:
        """Return the change to relay for a map; ``None`` when it was relayed already."""
        before = self._relayed.get(keymap.service)
        if before is not None and before.revision >= keymap.revision:
            return None
        self._relayed[keymap.service] = keymap
        if before is None or keymap.service in self._directory.outdated_keymaps:
            # After a restore nodes may know different maps at one revision.
            self._directory.outdated_keymaps.discard(keymap.service)
            return RelayedChange(
                keymap.service, keymap.revision, keymap_codec.encode_keymap(keymap)
            )
        ranges = changed_ranges(before, keymap)
        part = replace(keymap, ranges=ranges)
        content = keymap_codec.encode_keymap(part)
        return RelayedChange(keymap.service, keymap.revision, content, base=before.revision)

    def encode(self, change: ObjectChange) -> RelayedChange | None:
        """Return the change to relay for one that this node's watch reported."""
        keymap = self._directory.keymaps.get(change.object.name)
        return None if change.gone or keymap is None else self.change_of(keymap)

    def items(self) -> list[SnapshotItem]:
        """Return all known maps in full."""
        nothing = msgspec.Raw(msgspec.msgpack.encode(None))
        return [
            SnapshotItem(service, keymap.revision, _encoded(keymap), nothing)
            for service, keymap in self._directory.keymaps.items()
        ]

    def apply(self, change: RelayedChange) -> bool:
        """Apply a relayed change; false when the map that it is based on is not known."""
        if change.gone:
            return True  # nobody removes a map while its service exists
        known = self._directory.keymaps.get(change.name)
        if known is not None and known.revision >= change.revision:
            return True
        try:
            relayed = keymap_codec.decode_keymap(
                VersionedObject(change.name, change.revision, change.spec)
            )
        except UnreadableObjectError as error:
            LOG.error("Relayed key map is malformed.", service=change.name, cause=error)
            return False
        if not change.base:
            return self._directory.put_keymap(relayed)
        whole = patched(known, relayed) if known and known.revision == change.base else None
        return whole is not None and self._directory.put_keymap(whole)

    def begin_term(self) -> None:
        """Relay only changes from here on: the others know the same maps, or ask for them."""
        self._relayed = dict(self._directory.keymaps)


def _encoded(keymap: KeyMap) -> msgspec.Raw:
    return msgspec.Raw(msgspec.msgpack.encode(keymap_codec.encode_keymap(keymap)))
