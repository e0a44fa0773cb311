"""Notices that a caller has left while its request is served."""

import math
import select
import socket as stdlib_socket
from typing import Any

import gevent

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.gateway.messages import CallerGoneError

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Looks for a caller's reset, which takes one round trip after the question: 2 to 6 ms where
# it is near. Servers are to be at work for 0.5 s at most for a caller that has left (the
# platform's pages).
FIRST_LOOK_S = 0.01
LOOK_S = 0.05
ASK_AGAIN_MS = 350.0  # a caller that read on when it was asked may leave later
_READ_EVENT = 1  # libev's number for "readable"
_RESET = select.POLLERR | select.POLLHUP
_PEEK = stdlib_socket.MSG_PEEK | stdlib_socket.MSG_DONTWAIT


class DisconnectWatch:
    """Raises :class:`CallerGoneError` into the task when the caller has left.

    The callbacks run in the hub while the task waits, and throw into it at once, as
    ``gevent.Timeout`` does; after ``__exit__`` none can arrive.

    While more of its bytes wait, as a further request, their end isn't read: it is looked for
    at a steady pace.

    The end of a caller's bytes is no proof that it left: it may have ended its sending side
    and read on, and would be cut with its answer under way. It is asked by an interim answer,
    which every HTTP/1.1 caller passes over (RFC 9110, 15.2): one that has left resets the
    connection.

    :param may_ask: whether the caller takes interim answers. One that doesn't is served to
        the end.
    """

    def __init__(self, sock: Any, may_ask: bool) -> None:
        self._socket = sock
        self._may_ask = may_ask
        self._task = gevent.getcurrent()
        loop = gevent.get_hub().loop
        self._readable = loop.io(sock.fileno(), _READ_EVENT)
        self._looks = loop.timer(FIRST_LOOK_S, LOOK_S)
        self._asked_ms = -math.inf

    def __enter__(self) -> None:
        self._readable.start(self._came)

    def __exit__(self, *_: object) -> None:
        for watcher in (self._readable, self._looks):
            watcher.stop()
            watcher.close()

    def _came(self) -> None:
        """Bytes came, or their end."""
        try:
            ended = not self._socket._sock.recv(1, _PEEK)
        except BlockingIOError:
            return
        except OSError:
            self._throw()
            return
        self._readable.stop()
        if ended:
            self._ask()
        self._looks.start(self._look)

    def _ask(self) -> None:
        if not self._may_ask or elapsed_ms() - self._asked_ms < ASK_AGAIN_MS:
            return
        self._asked_ms = elapsed_ms()
        try:
            self._socket._sock.send(CONTINUE, stdlib_socket.MSG_DONTWAIT)
        except BlockingIOError:
            return  # it has answers to read, so it is there, or a send will find out
        except OSError:
            self._throw()

    def _look(self) -> None:
        events = _events(self._socket)
        if events & _RESET:
            self._throw()
        elif events & select.POLLRDHUP:
            self._ask()

    def _throw(self) -> None:
        self._readable.stop()
        self._looks.stop()
        self._task.throw(CallerGoneError())


def is_reset(sock: Any) -> bool:
    """Whether the other end has reset a connection; the end of its bytes alone is no reset."""
    return bool(_events(sock) & _RESET)


def _events(sock: Any) -> int:
    fd = sock.fileno()
    if fd < 0:  # closed here, as by the end of the process
        return int(select.POLLHUP)
    poll = select.poll()
    poll.register(fd, select.POLLRDHUP)
    return next((event for _, event in poll.poll(0)), 0)
