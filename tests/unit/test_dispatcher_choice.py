"""Choice of the node that is asked for slots, and of the one that enforces rate limits."""

import pytest

from ploverhatch.admission import groups
from ploverhatch.admission.dispatcher_choice import SKIPPED_MS, UNREACHABLE_MS, DispatcherChoice
from ploverhatch.admission.groups import GroupName

NAME = GroupName("svc")
MEMBERS = {f"10.0.0.{number}:7000": "z1" for number in range(1, 5)}


def ranked_nodes():
    names = []
    for _ in MEMBERS:
        names.append(groups.dispatcher_of(NAME, MEMBERS, set(names)))
    return names


FIRST, SECOND, THIRD, FOURTH = ranked_nodes()


def enforcing(choice, now_ms):
    return [node for node in MEMBERS if choice.enforces_limits(NAME, node, MEMBERS, now_ms)]


def test_the_first_node_in_rank_is_asked_and_enforces_limits():
    choice = DispatcherChoice()
    assert choice.choose(NAME, MEMBERS, 0.0) == FIRST
    assert enforcing(choice, 0.0) == [FIRST]


def test_a_node_that_misses_one_answer_is_skipped_and_still_enforces_limits():
    choice = DispatcherChoice()
    assert choice.note_no_answer(FIRST, 0.0)
    assert choice.choose(NAME, MEMBERS, 1.0) == SECOND
    assert enforcing(choice, 1.0) == [FIRST]
    assert choice.choose(NAME, MEMBERS, SKIPPED_MS) == FIRST


def test_a_node_that_stays_unresponsive_is_replaced_until_it_answers():
    choice = DispatcherChoice()
    choice.note_no_answer(FIRST, 0.0)
    choice.note_no_answer(FIRST, SKIPPED_MS)
    now_ms = SKIPPED_MS + UNREACHABLE_MS / 2
    assert choice.choose(NAME, MEMBERS, now_ms) == SECOND
    assert choice.enforces_limits(NAME, SECOND, MEMBERS, now_ms)
    assert not choice.enforces_limits(NAME, THIRD, MEMBERS, now_ms)
    choice.note_answer(FIRST)
    assert enforcing(choice, now_ms) == [FIRST]


def test_a_node_that_stops_is_replaced_at_once():
    choice = DispatcherChoice()
    choice.note_stopping(FIRST, 0.0)
    assert choice.choose(NAME, MEMBERS, 0.0) == SECOND
    assert choice.enforces_limits(NAME, SECOND, MEMBERS, 0.0)


# Guards against a first node that enforces no limits when it is asked again.
def test_a_node_that_is_asked_again_enforces_if_it_ranks_first():
    choice = DispatcherChoice()
    choice.note_no_answer(FIRST, 0.0)
    now_ms = SKIPPED_MS + UNREACHABLE_MS
    assert choice.choose(NAME, MEMBERS, now_ms) == FIRST
    assert choice.enforces_limits(NAME, FIRST, MEMBERS, now_ms)


def test_a_missing_answer_is_new_only_once():
    choice = DispatcherChoice()
    assert choice.note_no_answer(FIRST, 0.0)
    assert not choice.note_no_answer(FIRST, SKIPPED_MS / 2)


@pytest.mark.parametrize("unresponsive", [(FIRST,), (FIRST, SECOND), (FIRST, SECOND, THIRD)])
def test_the_next_in_rank_of_those_that_answer_is_asked(unresponsive):
    choice = DispatcherChoice()
    for node in unresponsive:
        choice.note_no_answer(node, 0.0)
    assert choice.choose(NAME, MEMBERS, 1.0) == ranked_nodes()[len(unresponsive)]
