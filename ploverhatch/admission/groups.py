"""Groups of servers that share a queue, and the node that keeps it.

The servers of a service form one group, or one group per zone if they are many, so that no node
keeps a queue for hundreds of servers. A group's *dispatcher* is the node (of its zone, if the
group has one) that ranks first by a hash of group and node (rendezvous hashing): nodes that know
the same members agree on it, and a change of members moves few groups. A server that holds keys
is a group by itself, since only it can run the requests for its keys. This module does no I/O
and reads no clock.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace
from zlib import crc32

from ploverhatch.state.servers import ServerRecord

MAX_GROUP_SERVERS = 48  # a service with more servers is divided by zone


@dataclass(frozen=True, slots=True)
class GroupName:
    """Name of a group.

    ``zone`` is empty if the group has servers of all zones. ``holder`` is the server that is a
    group by itself; empty for other groups. ``regions`` are the regions whose servers may be
    used, sorted; empty for all.
    """

    service: str
    zone: str = ""
    holder: str = ""
    regions: tuple[str, ...] = ()

    def __str__(self) -> str:
        return f"{self.service}/{self.zone}/{self.holder}{'/'.join(('', *self.regions))}"


def groups_of(
    records: Collection[ServerRecord], regions: Collection[str] = ()
) -> dict[GroupName, int]:
    """Return the groups of a service's servers that may get requests, and their sizes.

    :param regions: regions whose servers may be used; empty for all.
    """
    usable = [record for record in records if not record.leaving and record.in_regions(regions)]
    divided = len(usable) > MAX_GROUP_SERVERS
    allowed = tuple(sorted(regions))
    names = [GroupName(item.service, item.zone if divided else "", "", allowed) for item in usable]
    return dict(Counter(names))


def members_of(name: GroupName, records: Iterable[ServerRecord]) -> list[ServerRecord]:
    """Return those of a service's servers that belong to a group and may get requests."""
    if name.holder:
        return [record for record in records if record.server_id == name.holder]
    return [
        record
        for record in records
        if not record.leaving and name.zone in {"", record.zone} and record.in_regions(name.regions)
    ]


def dispatcher_of(name: GroupName, nodes: Mapping[str, str], skipped: Collection[str]) -> str:
    """Return the address of the node that keeps a group's queue; empty if there is none.

    :param nodes: zones by address.
    :param skipped: addresses of nodes that are left out, for example for not answering.
    """
    usable = [address for address in nodes if address not in skipped]
    near = [address for address in usable if nodes[address] == name.zone]
    return max(near or usable, key=lambda address: _rank(name, address), default="")


def _rank(name: GroupName, address: str) -> tuple[int, str]:
    # Groups with different regions share servers, and one node must count a server's rate.
    everywhere = replace(name, regions=())
    return crc32(f"{everywhere}|{address}".encode()), address
