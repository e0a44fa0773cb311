"""Digests by which equal requests are recognized without storing their content.

Fields that a client changes with each try (its request id, its deadline, cookies) are left out.
This module does no I/O and reads no clock.
"""

# Importing hashlib instead would load OpenSSL's library into the process, which takes 3.7 MB.
from _blake2 import blake2b
from collections.abc import Iterable
from typing import NamedTuple
from zlib import crc32

# Long enough that callers can't construct two requests with the same digest.
REQUEST_DIGEST_BYTES = 16
CALLER_DIGEST_BYTES = 8
LOGGED_DIGEST_BYTES = 4
SHORT_DIGEST_BYTES = 4


class Fingerprint(NamedTuple):
    """Digests of a request and of its caller."""

    request_digest: bytes  # begins with the short digest
    caller_digest: bytes

    def __str__(self) -> str:
        return f"{format_digest(self.request_digest)}/{format_digest(self.caller_digest)}"


def format_digest(digest: bytes) -> str:
    """Return the abbreviated form of a digest for logs, in hexadecimal."""
    return digest[-LOGGED_DIGEST_BYTES:].hex()


def short_digest(target: bytes, body: bytes) -> bytes:
    """Return a cheap digest: the same for equal requests, and different for most others.

    Nodes compute the full digests only of requests whose short digest is that of a request
    under which a server crashed. With full digests of all requests, a request took 1.05 times
    as long, and one with a body of 64 KB 1.26 times (benchmarks.quarantine).
    """
    return crc32(target, len(body)).to_bytes(SHORT_DIGEST_BYTES)


def fingerprint(prefix: bytes, content: Iterable[bytes], caller: Iterable[bytes]) -> Fingerprint:
    """Return the fingerprint of a request.

    :param prefix: the short digest.
    :param content: method, host, target, key and body.
    :param caller: the address that the request came from, and its credentials.
    """
    return Fingerprint(
        prefix + _digest(content, REQUEST_DIGEST_BYTES), _digest(caller, CALLER_DIGEST_BYTES)
    )


def _digest(parts: Iterable[bytes], size: int) -> bytes:
    digest = blake2b(digest_size=size)
    for part in parts:
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.digest()
