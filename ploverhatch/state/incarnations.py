"""Names of lives of servers. Pure.

A server may start again under the name that it is registered with. It then holds and knows
nothing of before, so what was granted to one life, or learned of it, concerns no other: all
that the product keeps of a server it keeps by the name of its life. A life is named by the
server's name and the time of its start, where the platform tells that.
"""

_MARK = "~"


def incarnation_id(name: str, started_ms: int) -> str:
    """Return the name of a life.

    :param started_ms: Unix milliseconds of its start; 0 where nobody tells.
    """
    return f"{name}{_MARK}{started_ms}" if started_ms else name


def registered_name(server_id: str) -> str:
    """Return the name that a life's server is registered with."""
    name, mark, born = server_id.rpartition(_MARK)
    return name if mark and born.isdigit() else server_id


def started_ms(server_id: str) -> int:
    """Return when a life began; 0 where nobody told."""
    _, mark, born = server_id.rpartition(_MARK)
    return int(born) if mark and born.isdigit() else 0


def is_later_incarnation(server_id: str, other: str) -> bool:
    """Whether a life proves that another one of the same server is over.

    Not where one of them has no time: it may be the same life, told by an earlier version.
    """
    if registered_name(server_id) != registered_name(other):
        return False
    return 0 < started_ms(other) < started_ms(server_id)
