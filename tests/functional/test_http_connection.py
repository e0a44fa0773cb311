"""Tests of a client connection with complete, truncated, excess, late and malformed answers."""

from socket import IPPROTO_TCP, TCP_USER_TIMEOUT

import gevent
import pytest

from ploverhatch.transport.http_connection import (
    AnswerCutError,
    HostPort,
    HttpConnection,
    NotConnectedError,
)
from tests.standin.upstream import RawUpstream

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
COMPLETE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\nok"


def exchange(*answers, close=False, method=b"GET", payload=REQUEST):
    server = RawUpstream(*answers, close=close)
    connection = HttpConnection(server.address)
    connection.open(1.0)
    with gevent.Timeout(2.0):
        return connection, connection.exchange(method, payload)


COMPLETE_ANSWERS = {
    "length": ([COMPLETE], False, True),
    "chunks": ([CHUNKED], False, True),
    "until the end": ([UNFRAMED], True, False),
    "interim first": ([b"HTTP/1.1 100 Continue\r\n\r\n" + COMPLETE], False, True),
    "asks to close": ([COMPLETE.replace(b"OK\r\n", b"OK\r\nConnection: close\r\n")], False, False),
    "second answer too": ([COMPLETE + COMPLETE], False, False),
    "garbage after it": ([COMPLETE + b"\x00\x01garbage"], False, False),
}


@pytest.mark.parametrize("name", COMPLETE_ANSWERS)
def test_whole_answers(name):
    answers, close, reusable = COMPLETE_ANSWERS[name]
    connection, answer = exchange(*answers, close=close)
    assert (answer.status, answer.body) == (200, b"ok")
    assert connection.reusable is reusable


BROKEN_ANSWERS = {
    "closed before": ([None], True),
    "cut in the head": ([b"HTTP/1.1 200 OK\r\nContent-Le"], True),
    "cut in the body": ([b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"], True),
    "cut in the chunks": ([b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok"], True),
    # It raised an error that callers of the connection don't expect; a leader gave its lease back.
    "switches protocols": (
        [b"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"],
        False,
    ),
    # It was taken for an interim answer without a body, so the caller waited for its deadline.
    "interim with a body": ([b"HTTP/1.1 199 Odd\r\nContent-Length: 2\r\n\r\nok"], False),
    "not an answer": ([b"\x16\x03\x01 hello"], False),
    "two lengths": ([b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok"], True),
}


# Guards against answers in a version of the protocol that the connection doesn't speak.
@pytest.mark.parametrize("version", [b"HTTP/2.0", b"HTTP/0.9", b"HTTP/3.0"])
def test_answers_of_other_versions(version):
    with pytest.raises(AnswerCutError):
        exchange(COMPLETE.replace(b"HTTP/1.1", version))


def test_an_answer_of_version_1_0_is_whole():
    connection, answer = exchange(COMPLETE.replace(b"HTTP/1.1", b"HTTP/1.0"))
    assert (answer.status, answer.body, connection.reusable) == (200, b"ok", False)


@pytest.mark.parametrize("name", BROKEN_ANSWERS)
def test_broken_answers(name):
    answers, close = BROKEN_ANSWERS[name]
    with pytest.raises(AnswerCutError):
        exchange(*answers, close=close)


def test_a_reset_does_not_end_an_answer_without_length():
    class Resetting(RawUpstream):
        def _serve(self, sock, address):
            sock.recv(100)  # Unread bytes remain, so that closing the socket sends a reset.
            sock.sendall(UNFRAMED)
            gevent.sleep(0.05)
            sock.close()

    server = Resetting()
    connection = HttpConnection(server.address)
    connection.open(1.0)
    with pytest.raises(AnswerCutError):
        connection.exchange(b"GET", REQUEST + b"x" * 500)


def test_late_bytes_on_an_idle_connection_are_noticed():
    server = RawUpstream(COMPLETE)
    connection = HttpConnection(server.address)
    connection.open(1.0)
    connection.exchange(b"GET", REQUEST)
    assert connection.is_usable()

    late = RawUpstream(COMPLETE + b"", COMPLETE)
    connection = HttpConnection(late.address)
    connection.open(1.0)
    connection.exchange(b"GET", REQUEST)
    connection._socket.sendall(REQUEST)  # causes a second answer, which no exchange reads
    gevent.sleep(0.05)
    assert not connection.is_usable()


def test_a_connection_that_was_closed_is_not_usable():
    server = RawUpstream(COMPLETE, close=True)
    connection = HttpConnection(server.address)
    connection.open(1.0)
    connection.exchange(b"GET", REQUEST)
    gevent.sleep(0.05)
    assert not connection.is_usable()


def test_keep_alive_seconds_are_read():
    answer = COMPLETE.replace(b"OK\r\n", b"OK\r\nKeep-Alive: timeout=7, max=9\r\n")
    connection, _ = exchange(answer)
    assert connection.idle_timeout_s == 7.0


def test_a_refused_connection_sends_nothing():
    server = RawUpstream()
    address = server.address
    server.close()
    with pytest.raises(NotConnectedError) as failure:
        HttpConnection(address).open(1.0)
    assert failure.value.refused


def test_an_early_answer_to_a_long_body_spoils_the_connection():
    early = b"HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n"
    body = b"x" * (20 << 20)
    payload = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    connection, answer = exchange(early, method=b"POST", payload=payload)
    assert answer.status == 413
    assert not connection.reusable


@pytest.mark.parametrize(("text", "host", "port"), [("10.0.0.1:80", "10.0.0.1", 80)])
def test_host_port(text, host, port):
    assert HostPort.parse(text) == (host, port)
    for wrong in ("10.0.0.1", "10.0.0.1:x"):
        with pytest.raises(ValueError, match="."):
            HostPort.parse(wrong)


def test_keepalive_probes_give_up_by_their_number_alone():
    """Guards against a user timeout, which a library may set and which overrules the number."""
    server = RawUpstream(COMPLETE)
    connection = HttpConnection(server.address)
    connection.open(1.0)
    connection._socket.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, 2000)
    connection.enable_keepalive()
    assert connection._socket.getsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT) == 0


def test_a_reset_that_the_sending_task_sees_does_not_end_an_answer_without_length():
    """A part of an answer was passed on as a whole one.

    The server crashed while it answered a long request that was still being sent. The kernel
    reported the reset to the task that sent, and an ordinary end to the one that read.
    """

    class Crashing(RawUpstream):
        def _serve(self, sock, address):
            sock.recv(100)
            sock.sendall(UNFRAMED)
            gevent.sleep(0.1)  # The client waits for room to send the rest.
            sock.close()  # Unread bytes remain, so this sends a reset.

    body = b"x" * (20 << 20)
    payload = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    for _ in range(5):
        server = Crashing()
        connection = HttpConnection(server.address)
        connection.open(1.0)
        with pytest.raises(AnswerCutError), gevent.Timeout(2.0):
            connection.exchange(b"POST", payload)
        server.close()
