"""Key maps as they are told between nodes: what changed since the last one told."""

import msgspec

from ploverhatch.common.logs import PartLogger
from ploverhatch.gateway import keymap_codec
from ploverhatch.gateway.directory import Directory
from ploverhatch.relay.messages import RelayedChange, SnapshotItem
from ploverhatch.sharding.keymap import KeyMap, changed_ranges, patched
from ploverhatch.store.objects import ObjectChange, UnreadableObjectError, VersionedObject

LOG = PartLogger("relay")


class KeymapRelay:
    """Encodes and takes changes of key maps."""

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        self._told: dict[str, KeyMap] = {}  # by service, as last told by this node

    def change_of(self, keymap: KeyMap) -> RelayedChange | None:
        """Return what to tell of a map; ``None`` when it was told already."""
        before = self._told.get(keymap.service)
        if before is not None and before.revision >= keymap.revision:
            return None
        self._told[keymap.service] = keymap
        if before is None or keymap.service in self._directory.outdated_keymaps:
            # After a restore nodes may know different maps at one revision.
            self._directory.outdated_keymaps.discard(keymap.service)
            return RelayedChange(
                keymap.service, keymap.revision, keymap_codec.encode_keymap(keymap)
            )
        ranges = changed_ranges(before, keymap)
        part = KeyMap(keymap.service, ranges, keymap.token, keymap.revision)
        content = keymap_codec.encode_keymap(part)
        return RelayedChange(keymap.service, keymap.revision, content, base=before.revision)

    def encode(self, change: ObjectChange) -> RelayedChange | None:
        """Return what to tell of a change that this node's own watch reported."""
        keymap = self._directory.keymaps.get(change.object.name)
        return None if change.gone or keymap is None else self.change_of(keymap)

    def items(self) -> list[SnapshotItem]:
        """Return all maps that this node knows, whole."""
        nothing = msgspec.Raw(msgspec.msgpack.encode(None))
        return [
            SnapshotItem(service, keymap.revision, _encoded(keymap), nothing)
            for service, keymap in self._directory.keymaps.items()
        ]

    def apply(self, change: RelayedChange) -> bool:
        """Take a change; false when the map that it builds on is not known."""
        if change.gone:
            return True  # nobody takes a map away while its service is there
        known = self._directory.keymaps.get(change.name)
        if known is not None and known.revision >= change.revision:
            return True
        try:
            told = keymap_codec.decode_keymap(
                VersionedObject(change.name, change.revision, change.spec)
            )
        except UnreadableObjectError as error:
            LOG.error("Told map not understood.", service=change.name, cause=error)
            return False
        if not change.base:
            return self._directory.put_keymap(told)
        whole = patched(known, told) if known and known.revision == change.base else None
        return whole is not None and self._directory.put_keymap(whole)

    def begin_term(self) -> None:
        """Tell what changes from here on: the others know the same maps, or ask."""
        self._told = dict(self._directory.keymaps)


def _encoded(keymap: KeyMap) -> msgspec.Raw:
    return msgspec.Raw(msgspec.msgpack.encode(keymap_codec.encode_keymap(keymap)))
