"""An id of the code that a process runs, so that its log shows which version wrote it."""

import os
from importlib import import_module
from pathlib import Path

SHOWN_DIGITS = 12
UNKNOWN = "-"
_PACKAGE = Path(__file__).parent.parent
_CACHE = "__pycache__"
# hashlib would load the OpenSSL library, which takes 3.7 MB in each process. The module is
# imported by name, since type checkers don't know this part of the standard library.
_sha1 = import_module("_sha1").sha1


def code_id() -> str:
    """Return the first digits of ``git rev-parse COMMIT:ploverhatch``, git's id of the package.

    Each call reads all files of the package: 1.1 MB, which takes 6 ms. The id is ``UNKNOWN``
    where the files can't be read.
    """
    try:
        return _tree(str(_PACKAGE)).hex()[:SHOWN_DIGITS]
    except OSError:
        return UNKNOWN  # for example, when the package is imported from a zip archive


def _tree(folder: str) -> bytes:
    """Return git's id of a folder: the hash of its entries' modes, names and ids, in order."""
    rows = []
    for entry in os.scandir(folder):
        if entry.is_dir():
            if entry.name != _CACHE:
                rows.append((f"{entry.name}/", b"40000", entry.name, _tree(entry.path)))
        else:
            rows.append((entry.name, b"100644", entry.name, _blob(entry.path)))
    entries = [b"%s %s\0%s" % (mode, name.encode(), id_) for _, mode, name, id_ in sorted(rows)]
    return _object(b"tree", b"".join(entries))


def _blob(path: str) -> bytes:
    with open(path, "rb", buffering=0) as file:
        return _object(b"blob", file.read())


def _object(kind: bytes, data: bytes) -> bytes:
    digest: bytes = _sha1(b"%s %d\0" % (kind, len(data)) + data).digest()
    return digest
