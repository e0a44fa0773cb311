"""Syntax tree of the policy language, immutable.

Durations are in milliseconds, shares are fractions of a server's slots, and
``line``/``column`` count from one.
"""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Position:
    """Place in the policy source."""

    line: int = 0
    column: int = 0


@dataclass(frozen=True)
class Equals:
    """The label has this value."""

    label: str
    value: str


@dataclass(frozen=True)
class OneOf:
    """The label has one of these values."""

    label: str
    values: tuple[str, ...]


@dataclass(frozen=True)
class Has:
    """The label is present."""

    label: str


@dataclass(frozen=True)
class Not:
    """The operand does not hold."""

    operand: "Expression"


@dataclass(frozen=True)
class AllOf:
    """Every operand holds."""

    operands: tuple["Expression", ...]


@dataclass(frozen=True)
class AnyOf:
    """At least one operand holds."""

    operands: tuple["Expression", ...]


Expression = Equals | OneOf | Has | Not | AllOf | AnyOf


@dataclass(frozen=True)
class Draw:
    """A group may use a share of the slots of the selected servers.

    ``servers`` or ``keys`` being ``None`` selects all.
    """

    share: float
    servers: Expression | None
    keys: Expression | None = None
    position: Position = field(default=Position(), compare=False)


@dataclass(frozen=True)
class Group:
    """A group of keys, its priority (1 goes first) and what it draws on."""

    name: str
    priority: int
    slices: int
    draws: tuple[Draw, ...]
    position: Position = field(default=Position(), compare=False)


@dataclass(frozen=True)
class Route:
    """Requests of one method and path pattern that go to one group."""

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
    """A whole parsed policy."""

    groups: tuple[Group, ...]
    routes: tuple[Route, ...]


def matches(expression: Expression | None, labels: dict[str, str]) -> bool:
    """Evaluate a selector over the labels of one server or key."""
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
