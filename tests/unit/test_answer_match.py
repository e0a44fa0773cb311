"""Answers on a kept connection, some of them sent a second time, and which request takes each."""

import hypothesis.strategies as st
from hypothesis import given

from ploverhatch.transport.answer_match import AnswerMatch, match_answer
from ploverhatch.transport.http_connection import KEPT_IDS

# Requests on one connection: whether the server names the request in its answer, and whether it
# sends this answer a second time where the next one is due.
EXCHANGES = st.lists(st.tuples(st.booleans(), st.booleans()), min_size=1, max_size=3 * KEPT_IDS)


def take_answer(request_id, answers, earlier):
    """Return the answer that a request takes of those that arrive for it, or ``None``."""
    for owner, named in answers:
        match = match_answer(request_id, owner if named else b"", earlier)
        if match is AnswerMatch.OWN:
            return owner
        if match is AnswerMatch.UNKNOWN:
            return None
    return None


@given(EXCHANGES)
def test_no_request_takes_another_ones_answer(exchanges):
    copies = []
    for number, (named, repeated) in enumerate(exchanges):
        request_id = b"r%d" % number
        earlier = [b"r%d" % before for before in range(max(0, number - KEPT_IDS), number)]
        own = (request_id, named)
        taken = take_answer(request_id, [*copies, own], earlier)
        assert taken in {request_id, None}
        if taken is None:
            return  # The connection is closed.
        copies = [own] if repeated else []


@given(EXCHANGES)
def test_where_servers_name_requests_each_gets_its_answer(exchanges):
    copies = []
    for number, (_, repeated) in enumerate(exchanges):
        request_id = b"r%d" % number
        earlier = [b"r%d" % before for before in range(max(0, number - KEPT_IDS), number)]
        own = (request_id, True)
        assert take_answer(request_id, [*copies, own], earlier) == request_id
        copies = [own] if repeated else []


def test_the_only_request_of_a_connection_takes_an_answer_without_an_id():
    assert match_answer(b"r", b"", ()) is AnswerMatch.OWN
    assert match_answer(b"", b"", ()) is AnswerMatch.OWN
    assert match_answer(b"r", b"another", ()) is AnswerMatch.UNKNOWN
