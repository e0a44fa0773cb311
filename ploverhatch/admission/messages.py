"""Messages between nodes about slots; any of them may be lost, late or repeated."""

import msgspec

# By server: the requests per second that it accepts from all nodes together, infinite if it no
# longer announces a rate limit; and the age of its announcement in milliseconds.
ReportedLimits = dict[str, tuple[float, float]]


class SlotRequestMessage(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Asks a dispatcher for a slot of one of a group's servers.

    ``number`` identifies the request at its sender. A slot granted after ``useful_ms`` can't
    meet the objective; one granted after ``wait_ms`` is of no use. The slot is needed for at
    most ``lease_ms``, after which it is free again without a release. ``avoid`` is a server
    that failed the request before; empty for none. ``zone`` is that of the sender;
    ``group_zone`` that of the group, empty if it has servers of all zones. ``holder`` is the
    server that must run the request; empty if any server of the group may. ``regions`` are the
    regions whose servers may run it; empty for all. ``excluded`` are servers that the sender
    may not use now. ``limits`` are the rate limits announced by the group's servers, so that a
    new dispatcher knows them from its first request on. ``served_elsewhere`` says that another
    node granted the sender slots of the group lately, or did not answer: this dispatcher may
    not know of the slots granted by that node. ``objective_ms`` is the objective of the request's
    route, and ``in_time_ms`` is what is left of it, negative once it has passed; both are 0 from
    nodes that don't tell them. ``connected`` are servers of the group to which the sender has an
    idle connection. ``stated_ms`` is the deadline that the caller stated, 0 if it stated none, and
    ``stated_left_ms`` what is left of it; ``content`` is a digest of what the caller asks for and
    of its address. ``kind`` is the name of the request's route.
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
    objective_ms: float = 0.0
    in_time_ms: float = 0.0
    connected: tuple[str, ...] = ()
    content: int = 0
    stated_ms: float = 0.0
    stated_left_ms: float = 0.0
    kind: str = ""


class SlotReply(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """Grants a slot, confirms a place in the queue, or neither.

    ``server`` is the server whose slot is granted; empty for none. ``retry_after_ms`` tells the
    sender of a rejected request when a slot is expected. ``leaving`` says that the node is
    about to stop and no longer keeps queues, so that another node must be asked.
    """

    number: int
    server: str = ""
    queued: bool = False
    retry_after_ms: float = 0.0
    leaving: bool = False


class SlotRelease(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """Releases a slot, or a place in the queue.

    ``service_ms`` is how long the server worked, 0 if that says nothing of the server;
    ``failed`` says that it was unreachable or did not answer as it should, ``unanswered`` that
    it gave no answer at all. ``limits`` has the rate limit announced in the server's answer.
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
    """Asks a node which slots of a group it holds, whichever dispatcher granted them."""

    service: str
    group_zone: str
    holder: str
    regions: tuple[str, ...] = ()


class HeldSlotsReply(msgspec.Struct, array_like=True, frozen=True, tag=14):
    """Lists the slots in use as request number, server and milliseconds left of the lease.

    ``unasked`` says that only a slot is listed that another node has just granted.
    """

    service: str
    group_zone: str
    holder: str
    regions: tuple[str, ...] = ()
    held: list[tuple[int, str, float]] = []
    unasked: bool = False
