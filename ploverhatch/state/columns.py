"""Conversion of slices to and from the columns of a snapshot.

Packed columns are far cheaper to encode than one message per slice.
"""

from collections.abc import Iterable, Iterator

from ploverhatch.common.keyspace import SliceRange
from ploverhatch.state.assignment import Slice
from ploverhatch.transport import wire


def to_columns(slices: Iterable[Slice]) -> wire.SliceColumns:
    """Encode slices; names of groups and servers are replaced by their numbers."""
    groups: dict[str, int] = {}
    servers: dict[str, int] = {}
    columns = wire.SliceColumns()
    for item in slices:
        columns.group.append(groups.setdefault(item.range.group, len(groups)))
        columns.first.append(item.range.first)
        columns.last.append(item.range.last)
        columns.server.append(servers.setdefault(item.server, len(servers)))
        columns.token.append(item.token)
    columns.groups = list(groups)
    columns.servers = list(servers)
    return columns


def from_columns(columns: wire.SliceColumns) -> Iterator[Slice]:
    """Decode the slices of a snapshot, in their order."""
    rows = zip(
        columns.group, columns.first, columns.last, columns.server, columns.token, strict=True
    )
    for group, first, last, server, token in rows:
        span = SliceRange(columns.groups[group], first, last)
        yield Slice(span, columns.servers[server], token)
