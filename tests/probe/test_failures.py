"""Tests under load in which real processes are killed, frozen, drained and restarted.

The results are checked by the execution logs of the back ends, not by the state of nodes.
"""

import signal

import pytest

from ploverhatch.bench.load import LoadGenerator
from ploverhatch.bench.summary import double_runs, ownership_overlaps
from ploverhatch.emulator.backend import Execution
from ploverhatch.settings.deployment import TrafficSection
from tests.processes import Cell

TRAFFIC = (
    TrafficSection(method="GET", path="/weights/{key}", rate=60, keys=200),
    TrafficSection(method="POST", path="/permits/{key}", rate=20, keys=200, once=True),
)
BACKENDS = {"weights": 3, "permits": 2}
ANSWERED = {"1000", "1001"}


def start_load(cell, duration_s, nodes=None, seed=1):
    import gevent

    routers = [("127.0.0.1", node.ready["http_port"]) for node in (nodes or cell.nodes)]
    generator = LoadGenerator(routers, TRAFFIC, seed)
    return gevent.spawn(generator.run, duration_s)


def check_executions(cell):
    executions = [Execution(**row) for row in cell.executions()]
    assert executions
    assert double_runs(executions) == []
    assert ownership_overlaps(executions) == []


def pause(seconds):
    import gevent

    gevent.sleep(seconds)


def test_lost_server_is_replaced_within_three_seconds():
    with Cell(nodes=3, backends=BACKENDS) as cell:
        load = start_load(cell, 5)
        pause(1.0)
        cell.backends["weights-1"].kill()
        result = load.get()
        check_executions(cell)
        # A request in flight when the server crashed may be lost; no request takes 3 s.
        assert result.percentile_ms(100) < 3000
        assert sum(result.results[code] for code in ANSWERED) >= result.total - 5, result.results


def test_frozen_server_returns_without_its_keys():
    with Cell(nodes=3, backends=BACKENDS) as cell:
        load = start_load(cell, 6)
        pause(1.0)
        cell.backends["permits-1"].signal(signal.SIGSTOP)
        pause(3.0)
        cell.backends["permits-1"].signal(signal.SIGCONT)
        result = load.get()
        check_executions(cell)
        lost = result.total - sum(result.results[code] for code in ANSWERED)
        assert lost <= 12, result.results  # sent to the frozen server: outcome unknown


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
def test_leader_lost_while_platform_is_down(number):
    with Cell(nodes=4, backends=BACKENDS) as cell:
        cell.platform_faults(down=True)
        leader = cell.until(cell.leader, bool)
        others = [node for node in cell.nodes if node is not leader]
        load = start_load(cell, 5, others)
        pause(1.0)
        leader.signal(number)
        cell.backends["weights-2"].kill()
        result = load.get()
        leader.signal(signal.SIGCONT)
        check_executions(cell)
        assert result.percentile_ms(100) < 6000
        assert sum(result.results[code] for code in ANSWERED) >= result.total - 10, result.results


def test_planned_stop_of_every_node_in_turn_fails_no_request():
    with Cell(nodes=4, backends=BACKENDS) as cell:
        for number in range(len(cell.nodes)):
            leaving = cell.nodes[0]
            load = start_load(cell, 2.5, seed=number * 10)
            pause(0.7)
            assert leaving.terminate() == 0
            cell.nodes.remove(leaving)
            cell.add_node(f"r{number + 1}", ("heath-hall", "valley-hall", "ridge-hall")[number % 3])
            result = load.get()
            assert set(result.results) <= ANSWERED, result.results
            cell.until(cell.serving, bool)
        check_executions(cell)


def test_draining_server_gets_no_new_work_after_three_seconds():
    with Cell(nodes=3, backends=BACKENDS) as cell:
        load = start_load(cell, 6)
        pause(1.0)
        cell.backend_call("weights-1", "behaviour", {"draining": True})
        pause(3.0)
        before = len(cell.backend_call("weights-1", "executions"))
        result = load.get()
        after = len(cell.backend_call("weights-1", "executions"))
        assert after == before
        assert set(result.results) <= ANSWERED, result.results
        check_executions(cell)


def test_label_changes_under_load_fail_no_request():
    with Cell(nodes=2, backends=BACKENDS) as cell:
        load = start_load(cell, 3)
        for number in range(10):
            pause(0.2)
            path = "/api/objects/server/weights-1"
            current = cell.admin(cell.nodes[0], "GET", path).json()
            body = current["body"] | {"labels": {"tier": "weights", "round": str(number)}}
            condition = {"If-Match": f'"{current["version"]}"'}
            assert cell.admin(cell.nodes[0], "PUT", path, body, condition).status == 200
        result = load.get()
        assert set(result.results) <= ANSWERED, result.results
        check_executions(cell)


def test_request_that_waits_too_long_is_refused_with_a_time_to_come_back():
    import gevent

    policy = """
    group weights { slices 4; draw share 1.0 from servers; }
    route GET "/weights/{hive}" to weights { key path hive; deadline 4s; wait 200ms; }
    """
    with Cell(nodes=1, backends={"weights": 1}, policy=policy, slots=1, service_ms=600) as cell:
        node = cell.nodes[0]
        calls = [gevent.spawn(cell.get, node, f"/weights/h{number}") for number in range(4)]
        answers = [call.get() for call in calls]
        codes = sorted(answer.headers["ploverhatch-result"] for answer in answers)
        assert codes == ["1000", "2103", "2103", "2103"]
        refused = [answer for answer in answers if answer.status == 503]
        assert all(int(answer.headers["retry-after"]) >= 1 for answer in refused)
        assert len(cell.executions()) == 1
