"""Diagnostics of the policy compiler: place, message, hint."""

from dataclasses import dataclass
from enum import Enum

from ploverhatch.policy.syntax import Position


class Severity(Enum):
    """An error refuses the policy; a warning does not."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True)
class Diagnostic:
    """One finding of the parser or compiler."""

    severity: Severity
    position: Position
    message: str
    hint: str = ""

    def render(self, source: str, name: str = "policy") -> str:
        """Format with the source line and a caret below the column."""
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
    """The policy has errors; ``diagnostics`` lists all of them."""

    def __init__(self, diagnostics: list[Diagnostic], source: str = "") -> None:
        self.diagnostics = diagnostics
        self.source = source
        super().__init__("\n".join(item.render(source) for item in diagnostics))
