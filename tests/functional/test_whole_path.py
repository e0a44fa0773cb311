"""End to end, with separate processes: callers, nodes, platform and back ends."""

from tests.processes import Cell


def test_request_reaches_the_owner_through_every_node():
    with Cell(nodes=3, backends={"weights": 2, "permits": 1}) as cell:
        for node in cell.nodes:
            answer = cell.get(node, "/weights/hive-7", echo="a")
            assert answer.status == 200
            assert answer.headers["ploverhatch-result"] == "1000"
            assert answer.json()["echo"] == "a"
        servers = {cell.get(node, "/weights/hive-7").json()["server"] for node in cell.nodes}
        assert len(servers) == 1


def test_repeat_through_another_node_runs_once():
    with Cell(nodes=3, backends={"weights": 1, "permits": 2}) as cell:
        first = cell.post(cell.nodes[0], "/permits/p1", key="once-1")
        assert first.status == 200
        repeat = cell.until(
            lambda: cell.post(cell.nodes[1], "/permits/p1", key="once-1"),
            lambda answer: answer.headers["ploverhatch-result"] == "1001",
        )
        assert repeat.body == first.body
        other = cell.post(cell.nodes[2], "/permits/p2", key="once-1")
        assert other.status == 422
        runs = [row for row in cell.executions() if row["idempotency_key"] == "once-1"]
        assert len(runs) == 1


# Callers were told 503 for what a back end had run and failed, and a repeat recalled the 503.
def test_a_failure_of_what_ran_is_not_told_as_not_run():
    with Cell(nodes=1, backends={"weights": 1, "permits": 1}) as cell:
        (node,) = cell.nodes
        for name in cell.backends:
            cell.backend_call(name, "behaviour", {"answer_status": 503})
        first = cell.post(node, "/permits/p1", key="once-1")
        repeat = cell.until(  # until the run is recorded
            lambda: cell.post(node, "/permits/p1", key="once-1"),
            lambda answer: answer.headers["ploverhatch-result"] != "3003",
        )
        read = cell.get(node, "/weights/hive-7")
        for answer in (first, repeat, read):
            assert (answer.status, answer.headers["ploverhatch-result"]) == (502, "3006")
            assert answer.headers["ploverhatch-outcome"] == "unknown"
        runs = [row for row in cell.executions() if row["idempotency_key"] == "once-1"]
        assert len(runs) == 1
