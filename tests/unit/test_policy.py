"""Policy language: parsing, checks and matching."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ploverhatch.policy import syntax
from ploverhatch.policy.compiler import compile_policy
from ploverhatch.policy.diagnostics import PolicyError
from ploverhatch.policy.parser import parse_policy
from ploverhatch.policy.printer import print_policy
from ploverhatch.policy.table import extract_key

GROUP = "group g { draw share 1.0 from servers; }\n"

FAULTS = [
    ("group g { draw share 2 from servers; }", "a share must be above 0 and at most 1"),
    ("group g { slices 4; }", "draws on no servers"),
    (GROUP + GROUP, "defined twice"),
    (GROUP + 'route GET "/a/{k}" to h { key path k; }', "no group h"),
    (GROUP + 'route GET "/a/{k}" to g { }', "names no key"),
    (GROUP + 'route GET "/a/{k}" to g { key path j; }', "no parameter j"),
    (
        GROUP + 'route GET "/a/{k}" to g { key path k; }\nroute GET "/a/{j}" to g { key path j; }',
        "can never match",
    ),
    (
        GROUP + 'route GET "/a/{k}" to g { key path k; deadline 1s; wait 2s; }',
        "wait is longer than the deadline",
    ),
]


@pytest.mark.parametrize(("source", "message"), FAULTS)
def test_fault_is_diagnosed_with_a_caret(source, message):
    with pytest.raises(PolicyError) as caught:
        compile_policy(source)
    text = str(caught.value)
    assert message in text
    assert "^" in text


def test_shares_on_one_server_must_add_up():
    source = """group a { draw share 0.7 from servers; }
group b { draw share 0.7 from servers; }"""
    with pytest.raises(PolicyError, match="add up to 1.4"):
        compile_policy(source, {"s": {}})


def test_selector_without_servers_is_a_warning():
    compiled = compile_policy('group g { draw share 1.0 from servers where a = "b"; }', {"s": {}})
    assert "matches no server" in compiled.warnings[0].message


def test_literal_segment_beats_parameter():
    source = GROUP + (
        'route GET "/a/{k}" to g { key path k; }\nroute GET "/a/b" to g { key query q; }'
    )
    table = compile_policy(source).table
    assert table.match("GET", "/a/b").route.key_name == "q"
    match = table.match("GET", "/a/x%2Fy")
    assert extract_key(match, "", {}) == "x/y"
    assert table.match("POST", "/a/b") is None


names = st.from_regex(r"[a-z][a-z0-9-]{0,6}", fullmatch=True).filter(
    lambda name: name not in {"not", "and", "or", "in", "has", "where", "for", "keys", "servers"}
)
values = st.text("abc xyz-09", max_size=5)
leaves = (
    st.builds(syntax.Equals, names, values)
    | st.builds(syntax.OneOf, names, st.lists(values, min_size=1, max_size=3).map(tuple))
    | st.builds(syntax.Has, names)
)
expressions = st.recursive(
    leaves,
    lambda inner: (
        st.builds(syntax.Not, inner)
        | st.builds(syntax.AllOf, st.lists(inner, min_size=2, max_size=3).map(tuple))
        | st.builds(syntax.AnyOf, st.lists(inner, min_size=2, max_size=3).map(tuple))
    ),
    max_leaves=6,
)
draws = st.builds(
    syntax.Draw,
    st.integers(1, 100).map(lambda percent: percent / 100),
    st.none() | expressions,
    st.none() | expressions,
)
groups = st.builds(
    syntax.Group,
    names,
    st.integers(1, 9),
    st.integers(1, 64),
    st.lists(draws, max_size=3).map(tuple),
)


@settings(max_examples=60, derandomize=True, database=None, deadline=None)
@given(st.lists(groups, max_size=3).map(tuple))
def test_print_and_parse_round_trip(group_list):
    policy = syntax.Policy(group_list, ())
    assert parse_policy(print_policy(policy)) == policy
