"""Servers and callers that send bytes without end, in a process of their own.

    python -m tests.standin.endless answer FORM WHERE
    python -m tests.standin.endless ask FORM PORT COUNT
    python -m tests.standin.endless datagrams FORM PORT
    python -m tests.standin.endless relay - PORT FILE

The first one prints the port that it listens on. It answers ``WHERE`` (``requests``, or
``control`` for grants and releases) by a form of :data:`ANSWERS`, and the other calls soundly. The
second one opens connections and sends a form of :data:`REQUESTS` on each, again and again. The
third one sends datagrams, ``noise`` or ``fragments``. The fourth one passes connections on to a
port; once a file exists, it answers by the form that the file names. All go on until they are
ended, but no connection carries more than ``MAX_BYTES``.
"""

import itertools
import socket
import subprocess
import sys
import threading
import time
from contextlib import contextmanager, suppress
from pathlib import Path

import msgspec

from ploverhatch.relay.messages import Fragment

MAX_BYTES = 400 << 20
SLOW_S = 0.01  # between the parts of the forms in SLOW
_X = b"x" * 65_536
_SEALED = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n"
_CHUNKED = _SEALED + b"Transfer-Encoding: chunked\r\n\r\n"
_LENGTH = b"Content-Length: 1000000000000000\r\n\r\n"

# The first bytes of an answer, and what follows without end.
ANSWERS = {
    "body-without-length": (_SEALED + b"\r\n", _X),
    "body-with-length": (_SEALED + _LENGTH, _X),
    "chunks": (_CHUNKED, b"10000\r\n" + _X + b"\r\n"),
    "chunks-of-a-byte": (_CHUNKED, b"1\r\nx\r\n" * 10_000),
    "chunk-extension": (_CHUNKED + b"10000;e=", _X),
    "fields-after-the-last-chunk": (_CHUNKED + b"0\r\n", b"X-Field: 1\r\n" * 5000),
    "fields": (b"HTTP/1.1 200 OK\r\n", b"X-Field: 1\r\n" * 5000),
    "one-field": (b"HTTP/1.1 200 OK\r\nX-Field: ", _X),
    "reason": (b"HTTP/1.1 200 ", _X),
    "interim-answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2000),
    "empty-lines": (b"", b"\r\n" * 30_000),
    "slow-head": (b"HTTP/1.1 200 OK\r\n", b"X-Field: 1\r\n" * 40),
    "slow-body": (_SEALED + b"\r\n", b"x" * 400),
}
_HEAD = b"POST /p/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: e\r\n"
REQUESTS = {
    "one-field": (b"GET /read/a HTTP/1.1\r\nX-Field: ", _X),
    "fields": (b"GET /read/a HTTP/1.1\r\n", b"X-Field: 1\r\n" * 5000),
    "target": (b"GET /", _X),
    "empty-lines": (b"", b"\r\n" * 30_000),
    "chunks": (_HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"10000\r\n" + _X + b"\r\n"),
    "chunks-of-a-byte": (_HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n" * 10_000),
    "chunk-extension": (_HEAD + b"Transfer-Encoding: chunked\r\n\r\n10000;e=", _X),
    "fields-after-the-last-chunk": (
        _HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-Field: 1\r\n" * 5000,
    ),
    "body-with-length": (_HEAD + b"Content-Length: 67108000\r\n\r\n", _X),
    "requests": (b"", b"GET /none/ HTTP/1.1\r\nHost: h.example\r\n\r\n" * 1000),
    "noise": (b"", b"\x00\x01noise" * 8000),
}
SLOW = {"slow-head", "slow-body"}


def send_forever(sock, form, first, part):
    """Send until the connection is closed or ``MAX_BYTES`` were sent."""
    with suppress(OSError):
        sock.sendall(first)
        for _ in range(MAX_BYTES // len(part)):
            sock.sendall(part)
            if form in SLOW:
                time.sleep(SLOW_S)


def answer_forever(form, where):
    listener = socket.create_server(("127.0.0.1", 0), backlog=128)
    print(listener.getsockname()[1], flush=True)
    while True:
        sock, _ = listener.accept()
        threading.Thread(target=_answer, args=(sock, form, where), daemon=True).start()


def _answer(sock, form, where):
    with suppress(OSError), sock:
        while data := sock.recv(65_536):
            is_control = data.startswith(b"POST /ploverhatch/")
            if is_control != (where == "control"):
                fields = (
                    b"" if is_control else b"Response-Seal: s\r\nRequest-Id: %s\r\n" % _id(data)
                )
                sock.sendall(
                    b"HTTP/1.1 200 OK\r\n%sHandover: h\r\nContent-Length: 0\r\n\r\n" % fields
                )
                continue
            first, part = ANSWERS[form]
            send_forever(sock, form, first.replace(b"%s", _id(data)), part)
            return


def _id(data):
    for row in data.split(b"\r\n"):
        if row.lower().startswith(b"request-id: "):
            return row[12:]
    return b""


def ask_forever(form, port, count):
    for _ in range(count):
        threading.Thread(target=_ask, args=(form, port), daemon=True).start()
    threading.Event().wait()


def _ask(form, port):
    while True:
        with suppress(OSError), socket.create_connection(("127.0.0.1", port), 2.0) as sock:
            sock.settimeout(2.0)
            send_forever(sock, form, *REQUESTS[form])
        time.sleep(0.02)


DATAGRAMS = {
    "noise": lambda number: b"\x00\x01noise",
    "fragments": lambda number: msgspec.msgpack.encode(Fragment(number, 0, 64, b"x" * 7000)),
}


def send_datagrams(form, port):
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    for number in itertools.count():
        with suppress(OSError):
            sock.sendto(DATAGRAMS[form](number), ("127.0.0.1", port))


def relay_forever(port, file):
    listener = socket.create_server(("127.0.0.1", 0), backlog=128)
    print(listener.getsockname()[1], flush=True)
    while True:
        near, _ = listener.accept()
        far = socket.create_connection(("127.0.0.1", port))
        threading.Thread(target=_pass_on, args=(near, far), daemon=True).start()
        threading.Thread(target=_pass_back, args=(far, near, Path(file)), daemon=True).start()


def _pass_on(near, far):
    with suppress(OSError):
        while data := near.recv(65_536):
            far.sendall(data)
    with suppress(OSError):
        far.shutdown(socket.SHUT_RDWR)


def _pass_back(far, near, file):
    with suppress(OSError), near:
        while data := far.recv(65_536):
            if file.exists():
                form = file.read_text()
                send_forever(near, form, *ANSWERS[form])
                return
            near.sendall(data)


@contextmanager
def endless(*arguments):
    """Run the program; yields the port that it listens on, if any."""
    command = [sys.executable, "-m", "tests.standin.endless", *map(str, arguments)]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        listens = arguments[0] in {"answer", "relay"}
        yield int(process.stdout.readline()) if listens else None
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


if __name__ == "__main__":
    kind, form_name, *rest = sys.argv[1:]
    if kind == "answer":
        answer_forever(form_name, *rest)
    elif kind == "ask":
        ask_forever(form_name, *map(int, rest))
    elif kind == "relay":
        relay_forever(int(rest[0]), rest[1])
    else:
        send_datagrams(form_name, int(rest[0]))
