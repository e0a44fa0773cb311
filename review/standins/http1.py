"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of the review."""

import asyncio
import re
import time


class Message:
    """A request or an answer that was read whole."""

    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_message(reader, is_answer=False):
    """Read one message; return None at the end of the bytes."""
    while True:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        lines = head[:-4].decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers.setdefault(name.strip().lower(), value.strip())
        if is_answer and lines[0].split(" ")[1].startswith("1"):
            continue  # An interim answer.
        body = b""
        length = int(headers.get("content-length", "0"))
        if length:
            try:
                body = await reader.readexactly(length)
            except (asyncio.IncompleteReadError, ConnectionError):
                return None
        return Message(lines[0], headers, body)


def encode_answer(status, headers=(), body=b""):
    rows = [f"HTTP/1.1 {status} Answer"]
    rows += [f"{name}: {value}" for name, value in headers]
    rows.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(rows) + "\r\n\r\n").encode("latin-1") + body


async def ask(port, method, target, headers=(), body=b"", timeout_s=5.0, connection=None):
    """Send one request; return the answer, or None without a whole one, and the connection.

    The connection is None where it can't be used again.
    """
    try:
        if connection is None:
            connection = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), 1.0)
        reader, writer = connection
        rows = [f"{method} {target} HTTP/1.1"]
        rows += [f"{name}: {value}" for name, value in headers]
        if body or method in ("POST", "PUT"):
            rows.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(rows) + "\r\n\r\n").encode() + body)
        await writer.drain()
        answer = await asyncio.wait_for(read_message(reader, is_answer=True), timeout_s)
    except (OSError, TimeoutError, asyncio.TimeoutError):
        answer = None
    if answer is None or answer.get("connection").lower() == "close":
        if connection is not None:
            connection[1].close()
        connection = None
    return answer, connection


class Client:
    """Keeps connections to one gateway, and observes ``Keep-Alive`` and ``Connection: close``."""

    def __init__(self, port):
        self._port = port
        self._idle = []  # (connection, time until which it may be used again)

    async def ask(self, method, target, headers, body=b"", timeout_s=4.0):
        """Send a request on a kept or a new connection; return the answer, or None."""
        now_s = time.monotonic()
        while self._idle and self._idle[0][1] <= now_s:
            self._idle.pop(0)[0][1].close()
        connection = self._idle.pop()[0] if self._idle else None
        answer, connection = await ask(
            self._port, method, target, headers, body, timeout_s, connection
        )
        if connection is not None:
            stated = re.search(r"timeout=(\d+)", answer.get("keep-alive"))
            limit_s = float(stated[1]) * 0.8 if stated else 1.0
            self._idle.append((connection, time.monotonic() + limit_s))
            self._idle.sort(key=lambda row: row[1])
        return answer
