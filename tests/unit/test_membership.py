"""Tests of the choice of voters and of the founding of epochs."""

import pytest

from ploverhatch.membership.recovery import CellRecord, Evidence, RecoveryWatch
from ploverhatch.membership.voters import (
    AddLearner,
    Candidate,
    ChangeVoters,
    VoterView,
    choose_voters,
    recovery_stays_safe,
)
from ploverhatch.transport import wire

ZONE_OF = {"a": "1", "b": "2", "c": "3", "d": "1", "e": "2", "f": "3"}
MEMBERS = {name: wire.Member(node_id=name, zone=zone) for name, zone in ZONE_OF.items()}


def view(voters, nodes, *, lost="", leaving="", learners="", caught_up="", recorded=None):
    return VoterView(
        leader_id=voters[0],
        wanted=3,
        voters={name: MEMBERS[name] for name in voters},
        nodes={name: Candidate(MEMBERS[name], name in leaving) for name in nodes},
        lost=frozenset(lost),
        learners=frozenset(learners),
        caught_up=frozenset(caught_up),
        recorded=frozenset(voters if recorded is None else recorded),
    )


TABLE = [
    (view("abc", "abcdef"), None),
    (view("a", "ab"), "learn b"),
    (view("a", "ab", learners="b"), None),
    (view("a", "ab", learners="b", caught_up="b"), "ab"),
    (view("a", "ad"), None),  # no second voter in the same zone
    (view("abc", "abdef", lost="c"), "learn f"),
    (view("abc", "abdef", lost="c", learners="f", caught_up="f"), "abcf"),
    (view("abcf", "abdef", lost="c"), "abf"),
    (view("abc", "ab", lost="c"), None),  # no replacement, so c stays a voter
    (view("abc", "abc", leaving="c"), "ab"),
    (view("abc", "abcd", leaving="a"), "learn d"),
    (view("abcf", "abcf", leaving="a"), "bcf"),
    # The store has recorded neither f nor e: without b, two of three voters would be unknown.
    (view("abf", "abef", lost="b", recorded="ab", learners="e", caught_up="e"), "abfe"),
    (view("aef", "aef", recorded="abc", leaving="e", caught_up="b"), "af"),
]


@pytest.mark.parametrize(("given", "expected"), TABLE)
def test_next_step_for_voters(given, expected):
    step = choose_voters(given)
    if expected is None:
        assert step is None
    elif expected.startswith("learn"):
        assert step == AddLearner(MEMBERS[expected[-1]])
    else:
        assert isinstance(step, ChangeVoters)
        assert {member.node_id for member in step.voters} == set(expected)


def test_unknown_voters_stay_a_minority():
    assert recovery_stays_safe("abd", "abc")
    assert not recovery_stays_safe("ade", "abc")


DEAD, ALIVE, SILENT = Evidence.REFUSED, Evidence.ALIVE, Evidence.SILENT
FOUNDING = [
    # node that asks, evidence by voter, voters in its log, whether it may found an epoch
    ("x", {"a": DEAD, "b": DEAD, "c": DEAD}, "", True),
    ("x", {"a": DEAD, "b": Evidence.REPLACED, "c": DEAD}, "", True),
    ("x", {"a": DEAD, "b": DEAD, "c": SILENT}, "", False),
    ("x", {"a": DEAD, "b": DEAD, "c": ALIVE}, "", False),
    ("a", {"b": DEAD, "c": DEAD}, "abc", True),
    ("a", {"b": DEAD, "c": SILENT}, "abc", False),
    ("a", {"b": DEAD, "c": ALIVE}, "abc", False),
    ("a", {"b": DEAD, "c": DEAD, "d": ALIVE}, "abd", False),  # the node's own log is newer
    ("a", {"b": Evidence.ALIVE_SAME, "c": DEAD, "d": DEAD}, "abcd", True),
    # b may still decide with the voters abc.
    ("a", {"b": ALIVE, "c": DEAD, "d": DEAD}, "abcd", False),
    ("a", {"b": DEAD, "c": DEAD, "d": Evidence.ALIVE_AHEAD}, "abcd", False),
]


@pytest.mark.parametrize(("node", "evidence", "known", "expected"), FOUNDING)
def test_epoch_is_founded_only_on_proof(node, evidence, known, expected):
    watch = RecoveryWatch(node, CellRecord(4, 1, ("a", "b", "c")))
    assert not watch.observe(evidence, known, 0.0)
    assert watch.observe(evidence, known, 2000.0) is expected


def test_interrupted_proof_starts_over():
    watch = RecoveryWatch("x", CellRecord(4, 1, ("a",)))
    watch.observe({"a": DEAD}, "", 0.0)
    watch.observe({"a": ALIVE}, "", 1000.0)
    assert not watch.observe({"a": DEAD}, "", 2000.0)


def test_first_cell_is_founded_at_once():
    assert RecoveryWatch("x", CellRecord(0, 0, ())).observe({}, "", 0.0)
