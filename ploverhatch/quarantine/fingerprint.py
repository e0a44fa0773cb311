"""Tells whether two requests are the same, without keeping what they hold. Pure.

What a caller sends anew with each try (its id, its deadline, cookies) is left out.
"""

# Not from hashlib, which maps OpenSSL's library: 3.7 MB a process, measured by import.
from _blake2 import blake2b
from collections.abc import Iterable
from typing import NamedTuple
from zlib import crc32

REQUEST_DIGEST_BYTES = 16  # two contents that callers choose on purpose don't collide either
CALLER_DIGEST_BYTES = 8
LOGGED_DIGEST_BYTES = 4  # of a digest, in logs
SHORT_DIGEST_BYTES = 4


class Fingerprint(NamedTuple):
    """Digests of what is asked for, and of who asks."""

    request_digest: bytes  # begins with the hint
    caller_digest: bytes

    def __str__(self) -> str:
        return f"{format_digest(self.request_digest)}/{format_digest(self.caller_digest)}"


def format_digest(digest: bytes) -> str:
    """Return a digest as logs show it."""
    return digest[-LOGGED_DIGEST_BYTES:].hex()


def short_digest(target: bytes, body: bytes) -> bytes:
    """Return what all equal requests share, and few others.

    Nodes make the digests of those requests only whose hint is that of a request under
    which a server ended. With digests of all of them a request took 1.05 times as long,
    one with a body of 64 KB 1.26 times (benchmarks.quarantine).
    """
    return crc32(target, len(body)).to_bytes(SHORT_DIGEST_BYTES)


def fingerprint(hint: bytes, content: Iterable[bytes], caller: Iterable[bytes]) -> Fingerprint:
    """Return the fingerprint of a request.

    :param content: method, host, target, key and body.
    :param caller: the address that the request came from, and its credentials.
    """
    return Fingerprint(
        hint + _digest(content, REQUEST_DIGEST_BYTES), _digest(caller, CALLER_DIGEST_BYTES)
    )


def _digest(parts: Iterable[bytes], size: int) -> bytes:
    digest = blake2b(digest_size=size)
    for part in parts:
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.digest()
