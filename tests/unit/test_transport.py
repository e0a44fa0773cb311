"""Tests of frames, envelopes and lengths of HTTP bodies, most of them with malformed input."""

import pytest

from ploverhatch.transport import framing, wire
from ploverhatch.transport.http_server import AmbiguousLengthError, check_framing
from ploverhatch.transport.registry import MalformedFrameError, pack, unpack


class Stream:
    """A socket that delivers prepared bytes, at most three at a time."""

    def __init__(self, data):
        self.data = data

    def recv(self, size):
        piece, self.data = self.data[: min(size, 3)], self.data[min(size, 3) :]
        return piece


def test_frame_survives_any_segmentation():
    stream = Stream(framing.encode_frame(b"hello frame") + framing.encode_frame(b""))
    assert framing.read_frame(stream) == b"hello frame"
    assert framing.read_frame(stream) == b""


@pytest.mark.parametrize(
    ("data", "error"),
    [
        (b"", framing.StreamClosedError),
        (b"\0\0", framing.StreamClosedError),
        (b"\0\0\0\x05abc", framing.StreamClosedError),
        (b"\xff\xff\xff\xff", framing.FrameTooLargeError),
    ],
)
def test_broken_stream_is_an_error(data, error):
    with pytest.raises(error):
        framing.read_frame(Stream(data))


def test_envelope_round_trip():
    message = wire.AppendRequest(term=4, entries=[wire.LogEntry(index=9, payload=b"x")])
    envelope, parsed = unpack(pack(message, sender="a", recipient="b", correlation=7))
    assert (envelope.sender, envelope.recipient, envelope.correlation) == ("a", "b", 7)
    assert parsed == message


@pytest.mark.parametrize(
    "data",
    [
        b"\xff\xff\xff",
        bytes(wire.Envelope(version=99, kind=1)),
        bytes(wire.Envelope(version=1, kind=250)),
        bytes(wire.Envelope(version=1, kind=1, payload=b"\xff\xff")),
        b"",
    ],
)
def test_malformed_envelope_is_refused(data):
    with pytest.raises(MalformedFrameError):
        unpack(data)


@pytest.mark.parametrize(
    ("lengths", "encodings"),
    [
        (["5", "5"], []),
        (["5"], ["chunked"]),
        (["+5"], []),
        (["5 "], []),
        (["-1"], []),
        ([], ["gzip, chunked"]),
        ([], ["chunked", "chunked"]),
        ([""], []),
    ],
)
def test_ambiguous_length_is_refused(lengths, encodings):
    with pytest.raises(AmbiguousLengthError):
        check_framing(lengths, encodings)
