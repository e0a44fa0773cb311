"""Which servers share a queue, and which node keeps it. Pure.

The servers of a service form one group, or one a zone where they are many, so
that no node has to keep a queue of hundreds. A group's *dispatcher* is the node
(of the zone) that ranks first by a hash of both (rendezvous hashing): nodes that
know the same members agree on it, and a change of members moves few groups. A
server that holds keys is a group by itself: only it can run its keys' requests.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace
from zlib import crc32

from ploverhatch.state.servers import ServerRecord

MAX_GROUP_SERVERS = 48  # of a group of a whole service: more are divided by zone


@dataclass(frozen=True, slots=True)
class GroupName:
    """Names a group; ``zone`` is empty where it has all servers of the service.

    ``holder`` is the server that is a group by itself; empty for other groups.
    ``regions`` are those whose servers may be used, in order; empty for all.
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

    :param regions: whose servers may be used; all where none is named.
    """
    usable = [record for record in records if not record.leaving and record.in_regions(regions)]
    divided = len(usable) > MAX_GROUP_SERVERS
    allowed = tuple(sorted(regions))
    names = [GroupName(item.service, item.zone if divided else "", "", allowed) for item in usable]
    return dict(Counter(names))


def members_of(name: GroupName, records: Iterable[ServerRecord]) -> list[ServerRecord]:
    """Return the servers of a group that may get requests, of a service's records."""
    if name.holder:
        return [record for record in records if record.server_id == name.holder]
    return [
        record
        for record in records
        if not record.leaving and name.zone in {"", record.zone} and record.in_regions(name.regions)
    ]


def dispatcher_of(name: GroupName, nodes: Mapping[str, str], passed: Collection[str]) -> str:
    """Return the address of the node that keeps a group's queue; empty without any.

    :param nodes: zones by address.
    :param passed: nodes that did not answer lately.
    """
    usable = [address for address in nodes if address not in passed]
    near = [address for address in usable if nodes[address] == name.zone]
    return max(near or usable, key=lambda address: _rank(name, address), default="")


def _rank(name: GroupName, address: str) -> tuple[int, str]:
    # Groups of different regions share servers, whose rates one node must count.
    everywhere = replace(name, regions=())
    return crc32(f"{everywhere}|{address}".encode()), address
