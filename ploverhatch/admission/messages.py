"""What nodes say to each other about slots. All of it may be lost, late or repeated."""

import msgspec

# By server: requests a second that it takes from all nodes together, infinite where it names
# no limit any more, and how many milliseconds ago it said so.
ReportedLimits = dict[str, tuple[float, float]]


class SlotRequestMessage(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Ask for a slot of one of a group's servers.

    ``number`` names the request at its sender. An answer is in time if the slot is
    given within ``useful_ms``; ``wait_ms`` is how long a slot is of use at all, and
    ``hold_ms`` for how long it is needed at most: after it the slot is free again
    though nobody gave it back. ``avoid`` is a server that failed the request
    before; empty for none. ``zone`` is that of the node that asks, ``group_zone``
    that of the group, empty where it has all servers of the service. ``holder`` is
    the server that must run the request; empty where any of the group may. ``regions``
    are those whose servers may run it; empty for all. ``barred`` are servers that the
    sender may not use now, whatever others may. ``limits`` are the words of the group's
    servers on the rate that they take, so that a new dispatcher knows them from the first.
    ``elsewhere`` says that another node gave the sender slots of the group lately, or did not
    answer: that one's slots are not known to this dispatcher.
    """

    number: int
    service: str
    group_zone: str
    holder: str
    zone: str
    priority: int
    useful_ms: float
    wait_ms: float
    lease_ms: float
    avoid: str = ""
    regions: tuple[str, ...] = ()
    excluded: tuple[str, ...] = ()
    limits: ReportedLimits = {}
    served_elsewhere: bool = False


class SlotReply(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """The answer: a server's slot, a place in the queue, or neither.

    ``server`` is the server whose slot is given. ``after_ms`` says to one that is
    turned away when a slot can be expected. ``leaving`` says that the node is about
    to stop and keeps no queues any more: another one is to be asked.
    """

    number: int
    server: str = ""
    queued: bool = False
    retry_after_ms: float = 0.0
    leaving: bool = False


class SlotRelease(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """Give a slot back, or a place in the queue.

    ``took_ms`` is how long the server worked, 0 where that says nothing of it;
    ``failed`` that it could not be reached or did not answer as it should, and
    ``unanswered`` that it said nothing at all. ``limits`` has what the server's answer said
    of the rate that it takes.
    """

    number: int
    service: str
    group_zone: str
    holder: str
    service_ms: float = 0.0
    failed: bool = False
    unanswered: bool = False
    regions: tuple[str, ...] = ()
    limits: ReportedLimits = {}


class HeldSlotsRequest(msgspec.Struct, array_like=True, frozen=True, tag=13):
    """Asks a node which slots of a group it holds, whoever gave them."""

    service: str
    group_zone: str
    holder: str
    regions: tuple[str, ...] = ()


class HeldSlotsReply(msgspec.Struct, array_like=True, frozen=True, tag=14):
    """The answer: of each slot its request's number, its server and the milliseconds left."""

    service: str
    group_zone: str
    holder: str
    regions: tuple[str, ...] = ()
    held: list[tuple[int, str, float]] = []
