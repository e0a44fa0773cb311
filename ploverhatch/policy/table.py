"""Compiled policy: routes in a trie of path segments, and groups by name.

The time to match a request depends on the number of its path segments, not of routes.
"""

from dataclasses import dataclass, field
from urllib.parse import parse_qs, unquote

from ploverhatch.policy.syntax import Draw, Group, Route, matches

PARAMETER = "{}"


@dataclass
class TrieNode:
    """Node of the trie: literal children, one parameter child, and routes by method."""

    literals: dict[str, "TrieNode"] = field(default_factory=dict)
    parameter: "TrieNode | None" = None
    routes: dict[str, Route] = field(default_factory=dict)


@dataclass(frozen=True)
class RouteMatch:
    """A matching route and the values of its path parameters."""

    route: Route
    parameters: dict[str, str]


def split_path(path: str) -> list[str]:
    """Return the segments of a path, each percent-decoded by itself."""
    return [unquote(segment) for segment in path.strip("/").split("/")]


def is_parameter(segment: str) -> bool:
    """Return whether a pattern segment is a parameter, as in ``{name}``."""
    return segment.startswith("{") and segment.endswith("}")


@dataclass(frozen=True)
class PolicyTable:
    """The policy as routers evaluate it, built once per configuration generation."""

    groups: dict[str, Group]
    routes: tuple[Route, ...]
    root: TrieNode

    def match(self, method: str, path: str) -> RouteMatch | None:
        """Return the matching route, or ``None`` without one.

        A literal segment takes precedence over a parameter.
        """
        segments = split_path(path)
        found = self._walk(self.root, segments, 0, method)
        if found is None:
            return None
        names = found.pattern.strip("/").split("/")
        parameters = {
            name[1:-1]: value
            for name, value in zip(names, segments, strict=True)
            if is_parameter(name)
        }
        return RouteMatch(found, parameters)

    def _walk(self, node: TrieNode, segments: list[str], depth: int, method: str) -> Route | None:
        if depth == len(segments):
            return node.routes.get(method)
        literal = node.literals.get(segments[depth])
        if literal is not None:
            found = self._walk(literal, segments, depth + 1, method)
            if found is not None:
                return found
        if node.parameter is None:
            return None
        return self._walk(node.parameter, segments, depth + 1, method)

    def draws_for_key(self, group: str, labels: dict[str, str]) -> tuple[Draw, ...]:
        """Return the draws of a group that apply to a key with these labels.

        Draws whose key selector matches replace those without a selector.
        """
        selected = tuple(
            draw for draw in self.groups[group].draws if draw.keys and matches(draw.keys, labels)
        )
        return selected or tuple(draw for draw in self.groups[group].draws if draw.keys is None)


def extract_key(match: RouteMatch, query: str, headers: dict[str, str]) -> str:
    """Return the key of a request, or an empty string where the key is absent."""
    route = match.route
    if route.key_source == "path":
        return match.parameters.get(route.key_name, "")
    if route.key_source == "query":
        return parse_qs(query).get(route.key_name, [""])[0]
    return headers.get(route.key_name.lower(), "")
