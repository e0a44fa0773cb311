"""What a time-out tells of its server and its request, and of bystanders."""

import gevent
import pytest

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.quarantine import messages
from tests.functional.test_quarantine import HELD, QuarantineBench

DEADLINE = [(b"Request-Deadline-Ms", b"450")]


@pytest.fixture
def bench():
    return QuarantineBench()


def freeze_servers(bench, count, path=b"/once/a"):
    """Have servers freeze one after the other under a request."""
    for _ in range(count):
        upstream = bench.add_life()
        upstream.behaviour.hang = True
        assert bench.ask(path, headers=DEADLINE).status == 504
        bench.directory.remove_server(upstream.server_id)
        bench.pool.sync(bench.directory.servers.records)


def test_a_server_that_answers_others_meanwhile_is_slow(bench):
    upstream = bench.add_life()
    upstream.behaviour.work_s = 0.6
    asked = gevent.spawn(bench.ask, b"/once/a", headers=DEADLINE)
    gevent.sleep(0.1)
    upstream.behaviour.work_s = 0.0
    assert bench.ask(b"/once/b").status == 200
    assert asked.get().status == 504
    assert bench.quarantine.known_count == 0


def test_a_time_out_sooner_than_the_server_works_tells_nothing(bench):
    upstream = bench.add_life()
    upstream.behaviour.hang = True
    assert bench.ask(b"/once/a", headers=[(b"Request-Deadline-Ms", b"100")]).status == 504
    assert bench.quarantine.known_count == 0


def test_a_process_that_stood_still_itself_does_not_judge(bench):
    upstream = bench.add_life()
    upstream.behaviour.hang = True
    started_ms = elapsed_ms()
    bench.quarantine._ran_until_ms = lambda: started_ms
    assert bench.ask(b"/once/a", headers=DEADLINE).status == 504
    assert bench.quarantine.known_count == 0


def test_one_frozen_server_counts_once_whoever_asks(bench):
    upstream = bench.add_life()
    upstream.behaviour.hang = True
    for _ in range(4):
        bench.ask(b"/once/a", headers=DEADLINE)
    assert bench.quarantine.quarantined_count == 0


def test_what_is_answered_elsewhere_meanwhile_is_a_bystander(bench):
    """A popular read at servers that freeze by themselves stays available."""
    for _ in range(4):
        frozen = bench.add_life()
        frozen.behaviour.hang = True
        asked = gevent.spawn(bench.ask, b"/once/a", headers=DEADLINE)
        gevent.sleep(0.1)
        bench.directory.remove_server(frozen.server_id)
        sound = bench.add_life()
        gevent.sleep(0)
        assert bench.ask(b"/once/a").status == 200
        assert asked.get().status == 504
        bench.directory.remove_server(sound.server_id)
    assert bench.quarantine.quarantined_count == 0


def test_who_may_have_frozen_servers_is_tried_again_soon(bench):
    """What a server froze from is never sure, so the first hold is short."""
    freeze_servers(bench, 3)
    bench.add_life()
    reply = bench.ask(b"/once/a")
    assert [value for name, value in reply.headers if name == b"Ploverhatch-Result"] == HELD
    (after_s,) = [float(value) for name, value in reply.headers if name == b"Retry-After"]
    assert 0 < after_s <= 3


def test_that_a_server_froze_is_told_to_the_other_nodes(bench):
    freeze_servers(bench, 3)
    gevent.sleep(0.05)
    told = [message for message, _ in bench.sent][-1]
    other = QuarantineBench()
    other.quarantine.handle_report(told, ("10.0.0.3", 7000))
    assert other.result(headers=()) == HELD
    ends = messages.decode(told.records[0], elapsed_ms()).crashes
    assert [end.frozen for end in ends] == [True] * 3
