"""Messages between nodes about their links to servers; any of them may be lost or repeated."""

import msgspec


class LinkQuery(msgspec.Struct, array_like=True, frozen=True, tag=15):
    """Asks a node whether it reaches a server, or any server if ``server_id`` is empty.

    The sender has not reached it for ``failed_ms`` milliseconds; only what was reached since
    counts.
    """

    server_id: str = ""
    failed_ms: float = 0.0


class LinkReply(msgspec.Struct, array_like=True, frozen=True, tag=16):
    """Says whether its sender reaches the server of a query, or any server."""

    server_id: str
    reached: bool
