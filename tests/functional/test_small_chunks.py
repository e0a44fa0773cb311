"""Sound messages whose chunks are so small that their framing exceeds their content."""

import gevent
import pytest
from gevent import socket
from hypothesis import given
from hypothesis import strategies as st

from ploverhatch.gateway.caller_server import CallerServer
from ploverhatch.gateway.messages import CallerReply
from ploverhatch.routing.route_table import ClientLimits
from ploverhatch.transport.answer_match import AnswerMatch
from ploverhatch.transport.http_connection import HostPort, _AnswerReader
from tests.functional.test_forwarder import Bench
from tests.standin.upstream import RawUpstream

HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
)
# (bytes, bytes of a chunk): more framing than content in each, and more than the longest head.
SIZES = [(30_000, 1), (100_000, 4), (200_000, 3)]


def chunked(body, chunk_bytes):
    parts = [body[start : start + chunk_bytes] for start in range(0, len(body), chunk_bytes)]
    return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"


# Such answers were taken for ones without end, and their callers told 502.
@pytest.mark.parametrize(("size", "chunk_bytes"), SIZES)
def test_an_answer_in_small_chunks_is_served_whole(size, chunk_bytes):
    bench = Bench()
    body = bytes(range(250)) * (size // 250)
    bench.add(RawUpstream(HEAD + chunked(body, chunk_bytes)), "u1")
    reply = bench.ask(b"/once/", b"POST")
    assert (reply.status, reply.body == body) == (200, True)


# Such uploads were rejected with 431.
@pytest.mark.parametrize(("size", "chunk_bytes"), SIZES)
def test_an_upload_in_small_chunks_is_taken_whole(size, chunk_bytes):
    taken = []

    def take(request):
        taken.append(request.body)
        return CallerReply(200)

    server = CallerServer(HostPort("127.0.0.1", 0), take, ClientLimits)
    server.start()
    body = bytes(range(250)) * (size // 250)
    with socket.create_connection(("127.0.0.1", server.port)) as sock, gevent.Timeout(10.0):
        sock.sendall(b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
        sock.sendall(chunked(body, chunk_bytes))
        assert sock.recv(65536).startswith(b"HTTP/1.1 200 ")
    server.stop()
    assert taken == [body]


@given(
    st.lists(st.tuples(st.integers(1, 40), st.integers(0, 8)), min_size=1, max_size=4000),
    st.integers(1, 65536),
)
def test_no_sound_chunks_are_taken_for_an_answer_without_end(chunks, read_bytes):
    """Chunks are (bytes, leading zeros of the size); the answer arrives in reads of one size."""
    data = HEAD + b"".join(
        b"0" * zeros + b"%x\r\n%b\r\n" % (size, b"x" * size) for size, zeros in chunks
    )
    reader = _AnswerReader(b"GET", lambda answer: AnswerMatch.OWN, 1 << 20)
    for start in range(0, len(data), read_bytes):
        reader.feed(data[start : start + read_bytes])
    reader.feed(b"0\r\n\r\n")
    assert reader.complete
    assert len(reader.answer.body) == sum(size for size, _ in chunks)
