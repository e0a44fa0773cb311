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
