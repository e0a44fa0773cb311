"""Diagnostics of the policy compiler: position, message and hint."""

from dataclasses import dataclass
from enum import Enum

from ploverhatch.policy.syntax import Position


class Severity(Enum):
    """Severity of a diagnostic; only an error makes the policy invalid."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True)
class Diagnostic:
    """One error or warning of the parser or the compiler."""

    severity: Severity
    position: Position
    message: str
    hint: str = ""

    def render(self, source: str, name: str = "policy") -> str:
        """Format the diagnostic with its source line and a caret below the column.

        :param name: the name of the source, for the first line of the output.
        """
        lines = source.splitlines()
        place = self.position
        head = f"{name}:{place.line}:{place.column}: {self.severity.value}: {self.message}"
        rows = [head]
        if 0 < place.line <= len(lines):
            rows.append(f"    {lines[place.line - 1]}")
            rows.append("    " + " " * (place.column - 1) + "^")
        if self.hint:
            rows.append(f"    hint: {self.hint}")
        return "\n".join(rows)


class PolicyError(Exception):
    """A policy has errors; ``diagnostics`` lists all of them."""

    def __init__(self, diagnostics: list[Diagnostic], source: str = "") -> None:
        self.diagnostics = diagnostics
        self.source = source
        super().__init__("\n".join(item.render(source) for item in diagnostics))
