"""Parser of the policy language, based on lark."""

from functools import lru_cache
from importlib import resources
from typing import Any

from lark import Lark, Token, Transformer, UnexpectedInput, v_args

from ploverhatch.policy import syntax
from ploverhatch.policy.diagnostics import Diagnostic, PolicyError, Severity

DEFAULT_PRIORITY = 5
DEFAULT_SLICES = 32
DEFAULT_DEADLINE_MS = 5000
DEFAULT_WAIT_MS = 2000


def parse_duration(text: str) -> int:
    """Return the milliseconds of a duration such as ``250ms`` or ``1.5s``."""
    if text.endswith("ms"):
        return round(float(text[:-2]))
    return round(float(text[:-1]) * 1000)


def _unquote(token: Token) -> str:
    return str(token)[1:-1]


def _position(token: Token) -> syntax.Position:
    return syntax.Position(token.line or 0, token.column or 0)


class _Builder(Transformer[Token, Any]):
    """Transforms lark's parse tree into the syntax tree."""

    @v_args(inline=True)
    def equals(self, label: Token, value: Token) -> syntax.Expression:
        return syntax.Equals(str(label), _unquote(value))

    @v_args(inline=True)
    def differs(self, label: Token, value: Token) -> syntax.Expression:
        return syntax.Not(syntax.Equals(str(label), _unquote(value)))

    @v_args(inline=True)
    def has(self, label: Token) -> syntax.Expression:
        return syntax.Has(str(label))

    @v_args(inline=True)
    def negation(self, operand: syntax.Expression) -> syntax.Expression:
        return syntax.Not(operand)

    def one_of(self, children: list[Token]) -> syntax.Expression:
        values = tuple(_unquote(token) for token in children[1:])
        return syntax.OneOf(str(children[0]), values)

    def all_of(self, children: list[syntax.Expression]) -> syntax.Expression:
        return children[0] if len(children) == 1 else syntax.AllOf(tuple(children))

    def any_of(self, children: list[syntax.Expression]) -> syntax.Expression:
        return children[0] if len(children) == 1 else syntax.AnyOf(tuple(children))

    @v_args(inline=True)
    def where(self, expression: syntax.Expression) -> syntax.Expression:
        return expression

    @v_args(inline=True)
    def for_keys(self, expression: syntax.Expression) -> syntax.Expression:
        return expression

    @v_args(inline=True)
    def priority(self, value: Token) -> tuple[str, Any]:
        return ("priority", int(value))

    @v_args(inline=True)
    def slices(self, value: Token) -> tuple[str, Any]:
        return ("slices", int(value))

    @v_args(inline=True)
    def draw(self, share: Token, servers: Any, keys: Any) -> tuple[str, Any]:
        return ("draw", syntax.Draw(float(share), servers, keys, _position(share)))

    @v_args(inline=True)
    def key(self, source: Token, name: Token) -> tuple[str, Any]:
        return ("key", (str(source), str(name)))

    @v_args(inline=True)
    def mode(self, value: Token) -> tuple[str, Any]:
        return ("once", str(value) == "once")

    @v_args(inline=True)
    def deadline(self, value: Token) -> tuple[str, Any]:
        return ("deadline", parse_duration(str(value)))

    @v_args(inline=True)
    def wait(self, value: Token) -> tuple[str, Any]:
        return ("wait", parse_duration(str(value)))

    def group(self, children: list[Any]) -> syntax.Group:
        name, items = children[0], children[1:]
        values = dict(items)
        return syntax.Group(
            name=str(name),
            priority=values.get("priority", DEFAULT_PRIORITY),
            slices=values.get("slices", DEFAULT_SLICES),
            draws=tuple(value for label, value in items if label == "draw"),
            position=_position(name),
        )

    def route(self, children: list[Any]) -> syntax.Route:
        method, pattern, group = children[:3]
        values = dict(children[3:])
        source, name = values.get("key", ("", ""))
        return syntax.Route(
            method=str(method),
            pattern=_unquote(pattern),
            group=str(group),
            key_source=source,
            key_name=name,
            once=values.get("once", False),
            deadline_ms=values.get("deadline", DEFAULT_DEADLINE_MS),
            wait_ms=values.get("wait", DEFAULT_WAIT_MS),
            position=_position(pattern),
        )

    def start(self, children: list[Any]) -> syntax.Policy:
        groups = tuple(item for item in children if isinstance(item, syntax.Group))
        routes = tuple(item for item in children if isinstance(item, syntax.Route))
        return syntax.Policy(groups, routes)


@lru_cache(maxsize=1)
def _lark() -> Lark:
    grammar = resources.files("ploverhatch.policy").joinpath("grammar.lark").read_text()
    return Lark(grammar, parser="lalr", maybe_placeholders=True)


def parse_policy(source: str) -> syntax.Policy:
    """Parse the source of a policy.

    :raises PolicyError: with one diagnostic that names the expected tokens.
    """
    try:
        tree = _lark().parse(source)
    except UnexpectedInput as error:
        raise PolicyError([_syntax_diagnostic(error, source)], source) from error
    policy: syntax.Policy = _Builder().transform(tree)
    return policy


def _syntax_diagnostic(error: UnexpectedInput, source: str) -> Diagnostic:
    line, column = error.line, error.column
    if line < 1:  # end of input
        line = source.count("\n") + 1
        column = len(source.rsplit("\n", 1)[-1]) + 1
    expected = getattr(error, "accepts", None) or getattr(error, "expected", None)
    expected = expected or getattr(error, "allowed", None) or set()
    hint = "expected one of: " + ", ".join(sorted(expected)) if expected else ""
    return Diagnostic(Severity.ERROR, syntax.Position(line, column), "cannot read this", hint)
