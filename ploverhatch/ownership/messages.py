"""Messages between the control leader and a back end, free of any wire form.

Lease rule: a lease ends at ``expires_clock_ms`` on the *server's own* elapsed
clock. The leader computes it from a reading that the server sent in its last
reply, so a delayed or repeated message can never lengthen a lease.
"""

from dataclasses import dataclass

from ploverhatch.common.keyspace import SliceRange


@dataclass(frozen=True)
class Grant:
    """Permission to execute requests of one slice under one token."""

    range: SliceRange
    token: int


@dataclass(frozen=True)
class SyncRequest:
    """Renew the lease and change grants, in one call per server.

    ``epoch`` and ``term`` fence out earlier leaders, ``sequence`` out-of-order
    calls of one leader. ``full`` replaces all grants.
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
    """A server's answer.

    ``accepted`` is false when the call was fenced out or named another boot;
    then nothing changed. ``busy`` lists revoked ranges that still execute.
    """

    accepted: bool
    boot_id: str
    clock_ms: float
    busy: tuple[SliceRange, ...] = ()
    draining: bool = False
