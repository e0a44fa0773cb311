"""Encoding of messages in envelopes, and the numbers of their types."""

from typing import Any

from ploverhatch.transport import wire

_MESSAGES: dict[int, type] = {
    1: wire.VoteRequest,
    2: wire.VoteReply,
    3: wire.AppendRequest,
    4: wire.AppendReply,
    5: wire.SnapshotRequest,
    6: wire.TimeoutNow,
    7: wire.NodeStatus,
    8: wire.StatusReply,
    9: wire.Subscribe,
    10: wire.StreamUpdate,
    11: wire.StreamAck,
    12: wire.RecordRequest,
    13: wire.RecordReply,
    14: wire.WhoRequest,
    15: wire.ClusterReport,
    16: wire.Redirect,
}
_KINDS = {message_type: kind for kind, message_type in _MESSAGES.items()}

PROTOCOL_VERSION = 1


class MalformedFrameError(ValueError):
    """A frame does not parse, or has an unknown version or message type."""


def pack(
    message: Any,
    *,
    sender: str,
    recipient: str = "",
    correlation: int = 0,
    reply: bool = False,
    deadline_ms: int = 0,
) -> bytes:
    """Encode a message in its envelope."""
    envelope = wire.Envelope(
        version=PROTOCOL_VERSION,
        correlation=correlation,
        reply=reply,
        deadline_ms=deadline_ms,
        sender=sender,
        recipient=recipient,
        kind=_KINDS[type(message)],
        payload=bytes(message),
    )
    return bytes(envelope)


def unpack(data: bytes) -> tuple[wire.Envelope, Any]:
    """Decode an envelope and its message.

    :raises MalformedFrameError: when any part does not parse.
    """
    try:
        envelope = wire.Envelope().parse(data)
        message_type = _MESSAGES.get(envelope.kind)
        if envelope.version != PROTOCOL_VERSION or message_type is None:
            raise MalformedFrameError(f"version {envelope.version} kind {envelope.kind}")
        return envelope, message_type().parse(envelope.payload)
    except MalformedFrameError:
        raise
    except Exception as error:  # The codec raises many types on bad input.
        raise MalformedFrameError(str(error)) from error
