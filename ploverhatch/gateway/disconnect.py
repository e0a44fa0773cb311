"""Detects that a caller has disconnected while its request is served."""

import math
import select
import socket as stdlib_socket
from typing import Any

import gevent

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.gateway.messages import CallerGoneError

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Checks for a caller's reset, which arrives one round trip after the interim answer: 2 to 6 ms
# where the caller is near. The platform allows servers to work for a caller that has
# disconnected for 0.5 s at most.
FIRST_CHECK_S = 0.01
CHECK_INTERVAL_S = 0.05
# How long a request whose caller may have left already waits for the reply to a probe.
PROBE_WAIT_S = 0.015
# A caller that accepted an interim answer may disconnect later, so it is sent another one.
PROBE_INTERVAL_MS = 350.0
_READ_EVENT = 1  # libev's number for "readable"
_RESET = select.POLLERR | select.POLLHUP
_PEEK = stdlib_socket.MSG_PEEK | stdlib_socket.MSG_DONTWAIT


class DisconnectWatch:
    """Context manager that raises :class:`CallerGoneError` when the caller has disconnected.

    The error is raised in the task that enters the context. The callbacks run in the hub while
    that task waits, and throw into it at once, as ``gevent.Timeout`` does; after ``__exit__``
    no error can arrive.

    While unread bytes of a further request wait, the end of the caller's bytes can't be read.
    It is then checked for at a fixed interval.

    The end of the caller's bytes does not prove that the caller disconnected: it may have shut
    down its sending side only, and still wait for its answer. So it is probed with an interim
    answer, which every HTTP/1.1 caller ignores (RFC 9110, 15.2) and to which a caller that has
    disconnected replies with a reset.

    :param may_probe: whether the caller accepts interim answers. Where it doesn't, its request
        is served to the end.
    """

    def __init__(self, sock: Any, may_probe: bool) -> None:
        self._socket = sock
        self._may_probe = may_probe
        self._task = gevent.getcurrent()
        loop = gevent.get_hub().loop
        self._readable = loop.io(sock.fileno(), _READ_EVENT)
        self._checks = loop.timer(FIRST_CHECK_S, CHECK_INTERVAL_S)
        self._probed_ms = -math.inf

    def __enter__(self) -> "DisconnectWatch":
        self._readable.start(self._on_readable)
        return self

    def __exit__(self, *_: object) -> None:
        for watcher in (self._readable, self._checks):
            watcher.stop()
            watcher.close()

    def await_first_probe(self) -> None:
        """Wait for the reply to a probe if the caller's bytes have ended already.

        A request may be read long after its caller left, if this process was busy.

        :raises CallerGoneError: when the caller has disconnected.
        """
        self._on_readable()
        if self._probed_ms > -math.inf:
            gevent.sleep(PROBE_WAIT_S)
            self._probed_ms = elapsed_ms()

    def _on_readable(self) -> None:
        """Bytes, or their end, have arrived."""
        try:
            ended = not self._socket._sock.recv(1, _PEEK)
        except BlockingIOError:
            return
        except OSError:
            self._throw()
            return
        self._readable.stop()
        if ended:
            self._probe()
        self._checks.start(self._check)

    def _probe(self) -> bool:
        """Send an interim answer, unless one was sent lately; return whether it was sent."""
        if not self._may_probe or elapsed_ms() - self._probed_ms < PROBE_INTERVAL_MS:
            return False
        self._probed_ms = elapsed_ms()
        try:
            self._socket._sock.send(CONTINUE, stdlib_socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False  # Answers wait unread: the caller is connected, or a later send will fail.
        except OSError:
            self._throw()
        return True

    def _check(self) -> None:
        events = _events(self._socket)
        if events & _RESET:
            self._throw()
        elif events & select.POLLRDHUP and self._probe():
            self._checks.stop()
            self._checks.start(self._check)  # A reset replies within a round trip.

    def _throw(self) -> None:
        self._readable.stop()
        self._checks.stop()
        self._task.throw(CallerGoneError())


def is_reset(sock: Any) -> bool:
    """Whether the other end has reset a connection, or it is closed here.

    The end of the other end's bytes alone is no reset.
    """
    return bool(_events(sock) & _RESET)


def _events(sock: Any) -> int:
    fd = sock.fileno()
    if fd < 0:  # closed by this process, as at its end
        return int(select.POLLHUP)
    poll = select.poll()
    poll.register(fd, select.POLLRDHUP)
    return next((event for _, event in poll.poll(0)), 0)
