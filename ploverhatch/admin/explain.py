"""Explains which route, owner and servers a request or key matches."""

from typing import Any

from ploverhatch.admin.node_view import View
from ploverhatch.common.keyspace import hash_key
from ploverhatch.policy.printer import print_expression
from ploverhatch.policy.syntax import matches
from ploverhatch.policy.table import extract_key


def explain_request(view: View, method: str, path: str) -> dict[str, Any]:
    """Return the route that a method and path match, and the explanation of its key."""
    bare, _, query = path.partition("?")
    match = view.policy.match(method, bare) if view.policy else None
    if match is None:
        return {"matched": False, "reason": f"no route for {method} {bare}"}
    route = match.route
    key = extract_key(match, query, {})
    document = {
        "matched": True,
        "route": f"{route.method} {route.pattern}",
        "once": route.once,
        "key_from": f"{route.key_source} {route.key_name}",
        "deadline_ms": route.deadline_ms,
        "wait_ms": route.wait_ms,
    }
    return document | explain_key(view, route.group, key)


def explain_key(view: View, group: str, key: str) -> dict[str, Any]:
    """Return the owner of a key, its token, and the servers that are allowed to own it."""
    if view.policy is None or group not in view.policy.groups:
        return {"group": group, "reason": "no such group"}
    key_hash = hash_key(group, key)
    owner = view.state.assignments.find(group, key_hash)
    labels = view.state.configuration.key_labels(group).get(key, {})
    draws = view.policy.draws_for_key(group, labels)
    return {
        "group": group,
        "key": key,
        "key_hash": f"{key_hash:016x}",
        "key_labels": labels,
        "owner": owner.server if owner else "",
        "token": owner.token if owner else 0,
        "slice": [f"{owner.range.first:016x}", f"{owner.range.last:016x}"] if owner else [],
        "generation": view.state.configuration.generation,
        "draws": [
            {
                "share": draw.share,
                "servers_where": print_expression(draw.servers) if draw.servers else "all",
                "keys_where": print_expression(draw.keys) if draw.keys else "all",
                "selected": sorted(
                    name
                    for name, spec in view.servers.items()
                    if matches(draw.servers, spec.selector_labels)
                ),
            }
            for draw in draws
        ],
    }
