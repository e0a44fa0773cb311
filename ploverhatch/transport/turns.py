"""Gives other tasks their turn while one task reads bytes that are always there."""

import gevent

# Parts of a body in one turn from which parsing them took long.
MAX_PARTS = 500
_PAUSE_S = 0.0001


def give_turn(parts: int) -> None:
    """Let other tasks run.

    gevent polls sockets and timers once in up to 50 turns that end by ``sleep(0)``, which is too
    rare for long ones.

    :param parts: the parts of a body that were parsed in this turn.
    """
    gevent.sleep(_PAUSE_S if parts > MAX_PARTS else 0)
