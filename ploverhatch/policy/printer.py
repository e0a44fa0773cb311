"""Print a syntax tree as policy source that parses to the same tree."""

from ploverhatch.policy import syntax


def print_expression(expression: syntax.Expression) -> str:
    """Return the source of a selector, with explicit parentheses."""
    match expression:
        case syntax.Equals(label, value):
            return f'{label} = "{value}"'
        case syntax.OneOf(label, values):
            listed = ", ".join(f'"{value}"' for value in values)
            return f"{label} in [{listed}]"
        case syntax.Has(label):
            return f"has {label}"
        case syntax.Not(operand):
            return f"not ({print_expression(operand)})"
        case syntax.AllOf(operands):
            return " and ".join(f"({print_expression(operand)})" for operand in operands)
        case syntax.AnyOf(operands):
            return " or ".join(f"({print_expression(operand)})" for operand in operands)


def _print_draw(draw: syntax.Draw) -> str:
    where = f" where {print_expression(draw.servers)}" if draw.servers else ""
    keys = f" for keys where {print_expression(draw.keys)}" if draw.keys else ""
    return f"  draw share {draw.share} from servers{where}{keys};"


def _print_group(group: syntax.Group) -> str:
    rows = [f"group {group.name} {{", f"  priority {group.priority};", f"  slices {group.slices};"]
    rows += [_print_draw(draw) for draw in group.draws]
    return "\n".join([*rows, "}"])


def _print_route(route: syntax.Route) -> str:
    rows = [f'route {route.method} "{route.pattern}" to {route.group} {{']
    if route.key_source:
        rows.append(f"  key {route.key_source} {route.key_name};")
    rows.append("  once;" if route.once else "  repeatable;")
    rows.append(f"  deadline {route.deadline_ms}ms;")
    rows.append(f"  wait {route.wait_ms}ms;")
    return "\n".join([*rows, "}"])


def print_policy(policy: syntax.Policy) -> str:
    """Return the canonical source of a policy."""
    parts = [_print_group(group) for group in policy.groups]
    parts += [_print_route(route) for route in policy.routes]
    return "\n".join(parts) + "\n"
