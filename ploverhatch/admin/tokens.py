"""Operators' bearer tokens: read from a file, compared in constant time."""

import hmac
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path


class Role(IntEnum):
    """What a token allows; a higher role includes the lower."""

    NONE = 0
    READ = 1
    OPERATE = 2


_ROLES = {"read": Role.READ, "operate": Role.OPERATE}


@dataclass(frozen=True)
class TokenList:
    """Known tokens. An empty list allows nothing."""

    tokens: tuple[tuple[Role, str], ...] = ()

    def role_of(self, authorization: str) -> Role:
        """Return the role of an ``Authorization`` header's token."""
        scheme, _, token = authorization.partition(" ")
        given = token.strip().encode() if scheme.lower() == "bearer" else b""
        found = Role.NONE
        for role, known in self.tokens:  # all are compared, whatever matches
            if hmac.compare_digest(given, known.encode()):
                found = max(found, role)
        return found


class TokenFileError(ValueError):
    """A line of the token file is not ``read TOKEN`` or ``operate TOKEN``."""


def load_tokens(path: str) -> TokenList:
    """Read a token file; an empty path gives an empty list."""
    if not path:
        return TokenList()
    tokens = []
    for number, line in enumerate(Path(path).read_text(encoding="utf-8").splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        words = line.split()
        if len(words) != 2 or words[0] not in _ROLES:
            raise TokenFileError(f"{path}:{number}: expected 'read TOKEN' or 'operate TOKEN'")
        tokens.append((_ROLES[words[0]], words[1]))
    return TokenList(tuple(tokens))
