"""Bearer tokens of operators, read from a file and compared in constant time."""

import hmac
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path


class Role(IntEnum):
    """Permissions of a token; a higher role includes the lower ones."""

    NONE = 0
    READ = 1
    OPERATE = 2


_ROLES = {"read": Role.READ, "operate": Role.OPERATE}


@dataclass(frozen=True)
class TokenList:
    """The valid tokens with their roles. An empty list permits nothing."""

    tokens: tuple[tuple[Role, str], ...] = ()

    def role_of(self, authorization: str) -> Role:
        """Return the role of the token in an ``Authorization`` header."""
        scheme, _, token = authorization.partition(" ")
        presented = token.strip().encode() if scheme.lower() == "bearer" else b""
        found = Role.NONE
        # Compares all tokens, so that the time doesn't show which token matched.
        for role, known in self.tokens:
            if hmac.compare_digest(presented, known.encode()):
                found = max(found, role)
        return found


class TokenFileError(ValueError):
    """A line of the token file is neither ``read TOKEN`` nor ``operate TOKEN``."""


def load_tokens(path: str) -> TokenList:
    """Read a token file; an empty path stands for an empty list.

    :raises TokenFileError: if a line is malformed; the message states its number.
    :raises OSError: if the file can't be read.
    """
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
