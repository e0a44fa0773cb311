"""Check a parsed policy and compile it to a :class:`PolicyTable`."""

from dataclasses import dataclass

from ploverhatch.policy.diagnostics import Diagnostic, PolicyError, Severity
from ploverhatch.policy.parser import parse_policy
from ploverhatch.policy.syntax import Group, Policy, Position, Route, matches
from ploverhatch.policy.table import PolicyTable, TrieNode, is_parameter

MAX_SLICES = 1 << 16
SHARE_TOLERANCE = 1e-9

ServerLabels = dict[str, dict[str, str]]


@dataclass(frozen=True)
class Compilation:
    """A compiled table and the warnings about its source."""

    table: PolicyTable
    warnings: tuple[Diagnostic, ...]


def compile_policy(source: str, servers: ServerLabels | None = None) -> Compilation:
    """Parse, check and compile policy source.

    :param servers: labels by server name. If given, a selector that matches no
        server yields a warning, and shares on one server that add up to more
        than 1 are an error.
    :raises PolicyError: with all errors of the source.
    """
    policy = parse_policy(source)
    findings = _check(policy, servers)
    errors = [finding for finding in findings if finding.severity is Severity.ERROR]
    if errors:
        raise PolicyError(errors, source)
    table = PolicyTable(
        groups={group.name: group for group in policy.groups},
        routes=policy.routes,
        root=_build_trie(policy.routes),
    )
    return Compilation(table, tuple(findings))


def _error(position: Position, message: str, hint: str = "") -> Diagnostic:
    return Diagnostic(Severity.ERROR, position, message, hint)


def _check(policy: Policy, servers: ServerLabels | None) -> list[Diagnostic]:
    findings = _check_groups(policy)
    findings += _check_routes(policy)
    if servers is not None:
        findings += _check_selectors(policy, servers)
        findings += _check_shares(policy, servers)
    return findings


def _check_groups(policy: Policy) -> list[Diagnostic]:
    findings: list[Diagnostic] = []
    seen: set[str] = set()
    for group in policy.groups:
        if group.name in seen:
            findings.append(_error(group.position, f"group {group.name} is defined twice"))
        seen.add(group.name)
        if not 1 <= group.slices <= MAX_SLICES:
            findings.append(
                _error(group.position, f"slices of {group.name} must be 1 to {MAX_SLICES}")
            )
        if not group.draws:
            findings.append(
                _error(group.position, f"group {group.name} draws on no servers", "add a draw line")
            )
        for draw in group.draws:
            if not 0 < draw.share <= 1:
                findings.append(_error(draw.position, "a share must be above 0 and at most 1"))
    return findings


def _shape(route: Route) -> tuple[str, ...]:
    segments = route.pattern.strip("/").split("/")
    return (route.method, *("{}" if is_parameter(part) else part for part in segments))


def _check_routes(policy: Policy) -> list[Diagnostic]:
    findings: list[Diagnostic] = []
    groups = {group.name for group in policy.groups}
    shapes: dict[tuple[str, ...], Route] = {}
    for route in policy.routes:
        if route.group not in groups:
            known = ", ".join(sorted(groups)) or "none"
            findings.append(
                _error(route.position, f"no group {route.group}", f"known groups: {known}")
            )
        earlier = shapes.setdefault(_shape(route), route)
        if earlier is not route:
            findings.append(
                _error(
                    route.position,
                    f"route {route.pattern} can never match",
                    f"line {earlier.position.line} matches the same requests",
                )
            )
        findings += _check_key(route)
        if route.deadline_ms <= 0:
            findings.append(_error(route.position, "a deadline must be above zero"))
        if route.wait_ms > route.deadline_ms:
            findings.append(_error(route.position, "wait is longer than the deadline"))
    return findings


def _check_key(route: Route) -> list[Diagnostic]:
    if not route.key_source:
        return [_error(route.position, "the route names no key", "add: key path NAME;")]
    names = [part[1:-1] for part in route.pattern.strip("/").split("/") if is_parameter(part)]
    if route.key_source == "path" and route.key_name not in names:
        hint = f"path parameters: {', '.join(names) or 'none'}"
        return [_error(route.position, f"the path has no parameter {route.key_name}", hint)]
    return []


def _check_selectors(policy: Policy, servers: ServerLabels) -> list[Diagnostic]:
    return [
        Diagnostic(
            Severity.WARNING, draw.position, f"group {group.name}: the selector matches no server"
        )
        for group in policy.groups
        for draw in group.draws
        if not any(matches(draw.servers, labels) for labels in servers.values())
    ]


def _check_shares(policy: Policy, servers: ServerLabels) -> list[Diagnostic]:
    findings: list[Diagnostic] = []
    reported: set[str] = set()
    for name, labels in servers.items():
        drawing = [(group, _share_on(group, labels)) for group in policy.groups]
        total = sum(share for _, share in drawing)
        if total <= 1 + SHARE_TOLERANCE:
            continue
        last = next(group for group, share in reversed(drawing) if share)
        if last.name in reported:
            continue
        reported.add(last.name)
        parts = ", ".join(f"{group.name} {share:g}" for group, share in drawing if share)
        findings.append(
            _error(last.position, f"shares on server {name} add up to {total:g}", f"drawn: {parts}")
        )
    return findings


def _share_on(group: Group, labels: dict[str, str]) -> float:
    shares = [draw.share for draw in group.draws if matches(draw.servers, labels)]
    return max(shares, default=0.0)


def _build_trie(routes: tuple[Route, ...]) -> TrieNode:
    root = TrieNode()
    for route in routes:
        node = root
        for segment in route.pattern.strip("/").split("/"):
            if is_parameter(segment):
                node.parameter = node.parameter or TrieNode()
                node = node.parameter
            else:
                node = node.literals.setdefault(segment, TrieNode())
        node.routes[route.method] = route
    return root
