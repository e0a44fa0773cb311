"""A small HTTP/1.1 reader and writer for asyncio streams."""

import asyncio
from dataclasses import dataclass, field


@dataclass
class Message:
    """A request or an answer; names of fields are in lower case."""

    start: list[str]
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def closes(self) -> bool:
        return self.fields.get("connection", "").lower() == "close"


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message, or ``None`` at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    rows = head.decode("latin-1").split("\r\n")
    message = Message(rows[0].split(" ", 2))
    for row in rows[1:]:
        name, colon, value = row.partition(":")
        if colon:
            message.fields[name.strip().lower()] = value.strip()
    try:
        if message.fields.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readline()).split(b";")[0], 16):
                message.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readline()
        else:
            message.body = await reader.readexactly(int(message.fields.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return message


def encode(start: str, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with a body of stated length."""
    rows = [start, *(f"{name}: {value}" for name, value in fields.items())]
    rows.append(f"Content-Length: {len(body)}")
    return "\r\n".join(rows).encode("latin-1") + b"\r\n\r\n" + body


async def ask(
    port: int, start: str, fields: dict[str, str], body: bytes = b"", limit_s: float = 10.0
) -> Message | None:
    """Send one request on a new connection and return the answer; ``None`` without a whole one."""
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(encode(start, fields, body))
            while True:
                answer = await read_message(reader)
                if answer is None or int(answer.start[1]) >= 200:
                    return answer
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
