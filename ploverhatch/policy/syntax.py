"""Immutable syntax tree of the policy language.

Durations are in milliseconds, shares are fractions of a server's slots, and
``line`` and ``column`` count from one.
"""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Position:
    """Position in the policy source."""

    line: int = 0
    column: int = 0


@dataclass(frozen=True)
class Equals:
    """Selector: the label has this value."""

    label: str
    value: str


@dataclass(frozen=True)
class OneOf:
    """Selector: the label has one of these values."""

    label: str
    values: tuple[str, ...]


@dataclass(frozen=True)
class Has:
    """Selector: the label is present."""

    label: str


@dataclass(frozen=True)
class Not:
    """Selector: the operand does not match."""

    operand: "Expression"


@dataclass(frozen=True)
class AllOf:
    """Selector: every operand matches."""

    operands: tuple["Expression", ...]


@dataclass(frozen=True)
class AnyOf:
    """Selector: at least one operand matches."""

    operands: tuple["Expression", ...]


Expression = Equals | OneOf | Has | Not | AllOf | AnyOf


@dataclass(frozen=True)
class Draw:
    """A share of the slots of the selected servers that a group may use.

    ``servers`` selects the servers and ``keys`` the keys of the group; ``None`` selects all.
    """

    share: float
    servers: Expression | None
    keys: Expression | None = None
    position: Position = field(default=Position(), compare=False)


@dataclass(frozen=True)
class Group:
    """A group of keys, its priority (1 is the highest) and its draws on servers."""

    name: str
    priority: int
    slices: int
    draws: tuple[Draw, ...]
    position: Position = field(default=Position(), compare=False)


@dataclass(frozen=True)
class Route:
    """Requests with a method and a path pattern, routed to a group."""

    method: str
    pattern: str
    group: str
    key_source: str
    key_name: str
    once: bool
    deadline_ms: int
    wait_ms: int
    position: Position = field(default=Position(), compare=False)


@dataclass(frozen=True)
class Policy:
    """A parsed policy."""

    groups: tuple[Group, ...]
    routes: tuple[Route, ...]


def matches(expression: Expression | None, labels: dict[str, str]) -> bool:
    """Return whether a selector matches the labels of a server or key; ``None`` matches all."""
    match expression:
        case None:
            return True
        case Equals(label, value):
            return labels.get(label) == value
        case OneOf(label, values):
            return labels.get(label) in values
        case Has(label):
            return label in labels
        case Not(operand):
            return not matches(operand, labels)
        case AllOf(operands):
            return all(matches(operand, labels) for operand in operands)
        case AnyOf(operands):
            return any(matches(operand, labels) for operand in operands)
