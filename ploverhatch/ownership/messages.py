"""Messages between the control leader and a back end, independent of their encoding.

A lease ends at ``expires_clock_ms`` on the *server's own* elapsed clock. The leader
computes this time from the clock reading in the last reply of the server, so a
delayed or repeated message can never lengthen a lease.
"""

from dataclasses import dataclass

from ploverhatch.common.keyspace import SliceRange


@dataclass(frozen=True)
class Grant:
    """Permission to execute requests for one slice under one fencing token."""

    range: SliceRange
    token: int


@dataclass(frozen=True)
class SyncRequest:
    """Renews the lease of a server and changes its grants, in one call.

    ``epoch`` and ``term`` fence off earlier leaders, and ``sequence`` fences off
    out-of-order calls of one leader. If ``full`` is set, ``grants`` replaces all grants
    of the server.
    """

    epoch: int
    term: int
    sequence: int
    boot_id: str
    expires_clock_ms: float
    full: bool = False
    grants: tuple[Grant, ...] = ()
    revokes: tuple[SliceRange, ...] = ()


@dataclass(frozen=True)
class SyncReply:
    """Reply of a server to a ``SyncRequest``.

    ``accepted`` is false if the call was fenced off or named another ``boot_id``; then
    nothing changed. ``busy`` lists the revoked ranges in which requests still execute.
    """

    accepted: bool
    boot_id: str
    clock_ms: float
    busy: tuple[SliceRange, ...] = ()
    draining: bool = False
