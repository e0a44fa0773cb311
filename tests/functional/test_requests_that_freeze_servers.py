"""What a timeout shows of its server, its request and bystanders."""

import gevent
import pytest

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.quarantine import messages
from tests.functional.test_quarantine import QUARANTINED, QuarantineBench

DEADLINE = [(b"Request-Deadline-Ms", b"450")]


@pytest.fixture
def bench():
    return QuarantineBench()


def freeze_servers(bench, count, path=b"/once/a"):
    """Have servers freeze in succession under a request."""
    for _ in range(count):
        upstream = bench.add_server()
        upstream.behaviour.hang = True
        assert bench.ask(path, headers=DEADLINE).status == 504
        bench.directory.remove_server(upstream.server_id)
        bench.pool.sync(bench.directory.servers.records)


def test_a_server_that_answers_others_meanwhile_is_not_frozen(bench):
    upstream = bench.add_server()
    upstream.behaviour.work_s = 0.6
    asked = gevent.spawn(bench.ask, b"/once/a", headers=DEADLINE)
    gevent.sleep(0.1)
    upstream.behaviour.work_s = 0.0
    assert bench.ask(b"/once/b").status == 200
    assert asked.get().status == 504
    assert bench.quarantine.known_count == 0


def test_a_timeout_shorter_than_the_usual_service_time_shows_nothing(bench):
    upstream = bench.add_server()
    upstream.behaviour.hang = True
    assert bench.ask(b"/once/a", headers=[(b"Request-Deadline-Ms", b"100")]).status == 504
    assert bench.quarantine.known_count == 0


def test_a_process_that_was_suspended_itself_reports_no_frozen_server(bench):
    upstream = bench.add_server()
    upstream.behaviour.hang = True
    started_ms = elapsed_ms()
    bench.quarantine._ran_until_ms = lambda: started_ms
    assert bench.ask(b"/once/a", headers=DEADLINE).status == 504
    assert bench.quarantine.known_count == 0


def test_one_frozen_server_counts_once_for_all_callers(bench):
    upstream = bench.add_server()
    upstream.behaviour.hang = True
    for _ in range(4):
        bench.ask(b"/once/a", headers=DEADLINE)
    assert bench.quarantine.quarantined_count == 0


def test_a_request_that_is_answered_elsewhere_meanwhile_is_a_bystander(bench):
    """A popular read at servers that freeze by themselves stays available."""
    for _ in range(4):
        frozen = bench.add_server()
        frozen.behaviour.hang = True
        asked = gevent.spawn(bench.ask, b"/once/a", headers=DEADLINE)
        gevent.sleep(0.1)
        bench.directory.remove_server(frozen.server_id)
        sound = bench.add_server()
        gevent.sleep(0)
        assert bench.ask(b"/once/a").status == 200
        assert asked.get().status == 504
        bench.directory.remove_server(sound.server_id)
    assert bench.quarantine.quarantined_count == 0


def test_a_request_that_may_have_frozen_servers_is_tried_again_soon(bench):
    """Why a server froze is never certain, so that the first quarantine is short."""
    freeze_servers(bench, 3)
    bench.add_server()
    reply = bench.ask(b"/once/a")
    assert [value for name, value in reply.headers if name == b"Ploverhatch-Result"] == QUARANTINED
    (after_s,) = [float(value) for name, value in reply.headers if name == b"Retry-After"]
    assert 0 < after_s <= 3


def test_a_frozen_server_is_reported_to_the_other_nodes(bench):
    freeze_servers(bench, 3)
    gevent.sleep(0.05)
    report = [message for message, _ in bench.sent][-1]
    other = QuarantineBench()
    other.quarantine.handle_report(report, ("10.0.0.3", 7000))
    assert other.result(headers=()) == QUARANTINED
    crashes = messages.decode(report.records[0], elapsed_ms()).crashes
    assert [crash.frozen for crash in crashes] == [True] * 3
