"""Stand-in of an upstream, as a process of its own, that answers before it has read a long body.

Its answers lack a length: they end with the connection (PROTOCOL.md and RULES.md, MIXED, allow
both). It sends an answer in parts, then reads the rest of the request, then closes. It prints its
port, and a line for each request that it begins and ends.

    python3 streaming.py SERVER_ID
"""

import socket
import sys
import threading
import time

FIRST_BYTES = 65_536  # of a request that are read before the answer begins
PARTS, PART_S = 10, 0.1


def whole_body(request_id):
    """Return the body of the answer to a request."""
    return b"".join(
        b"%s part %02d of %02d\n" % (request_id, number + 1, PARTS) for number in range(PARTS)
    )


def serve(connection, server_id):
    """Answer the one request of a connection."""
    data = b""
    while b"\r\n\r\n" not in data or len(data) < FIRST_BYTES:
        more = connection.recv(FIRST_BYTES)
        if not more:
            return
        data += more
    head = data.partition(b"\r\n\r\n")[0]
    fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
    request_id, length = fields[b"request-id"], int(fields[b"content-length"])
    if fields.get(b"expect-instance") != server_id:
        connection.sendall(
            b"HTTP/1.1 421 Other\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nNot-Executed: 1\r\n"
            b"Content-Length: 0\r\nConnection: close\r\n\r\n" % (request_id, server_id)
        )
        return
    print("begins", request_id.decode(), flush=True)
    body = whole_body(request_id)
    connection.sendall(
        b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal.%d\r\nConnection: close\r\n\r\n"
        % (request_id, len(body))
    )
    size = len(body) // PARTS
    for number in range(PARTS):
        connection.sendall(body[number * size : (number + 1) * size])
        time.sleep(PART_S)
    left = len(head) + 4 + length - len(data)
    while left > 0 and (more := connection.recv(1 << 20)):
        left -= len(more)
    print("ends", request_id.decode(), flush=True)


def main():
    """Listen, and serve each connection in a thread."""
    server_id = sys.argv[1].encode()
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, FIRST_BYTES)
        listener.bind(("127.0.0.1", 0))
        listener.listen(64)
        print(listener.getsockname()[1], flush=True)
        while True:
            connection, _ = listener.accept()
            threading.Thread(target=answer, args=(connection, server_id), daemon=True).start()


def answer(connection, server_id):
    """Serve a connection and close it."""
    with connection:
        try:
            serve(connection, server_id)
        except OSError:
            pass


if __name__ == "__main__":
    main()
