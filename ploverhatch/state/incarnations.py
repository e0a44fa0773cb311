"""Identifiers of server incarnations.

A server may restart under the name it is registered with. It then holds no grants and has no
memory of its previous run, so grants to one incarnation and knowledge of it don't apply to
another: all state of a server is kept by its incarnation. An incarnation's identifier consists
of the registered name and of the time of the start, where the platform reports that.

This module does no I/O and reads no clock.
"""

_SEPARATOR = "~"


def incarnation_id(name: str, started_ms: int) -> str:
    """Return the identifier of an incarnation.

    :param name: the registered name of the server.
    :param started_ms: Unix time of its start in milliseconds; 0 where it is unknown.
    """
    return f"{name}{_SEPARATOR}{started_ms}" if started_ms else name


def registered_name(server_id: str) -> str:
    """Return the name under which the server of an incarnation is registered."""
    name, separator, start = server_id.rpartition(_SEPARATOR)
    return name if separator and start.isdigit() else server_id


def started_ms(server_id: str) -> int:
    """Return the start of an incarnation in Unix milliseconds; 0 where it is unknown."""
    _, separator, start = server_id.rpartition(_SEPARATOR)
    return int(start) if separator and start.isdigit() else 0


def is_later_incarnation(server_id: str, other: str) -> bool:
    """Return whether an incarnation proves that another one of the same server has ended.

    It doesn't where the start of one of them is unknown: both may then be the same
    incarnation, one of them written by an earlier version of the software.
    """
    if registered_name(server_id) != registered_name(other):
        return False
    return 0 < started_ms(other) < started_ms(server_id)
