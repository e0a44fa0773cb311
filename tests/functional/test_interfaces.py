"""Tests of the interfaces for callers and operators with real processes.

They cover malformed input, roles and lost races.
"""

import json
import socket
import subprocess
import sys

import pytest

from tests.processes import TOKEN, Cell


@pytest.fixture(scope="module")
def cell():
    with Cell(nodes=2, backends={"weights": 2, "permits": 1}) as running:
        yield running


def raw(cell, data):
    """Send bytes to a node and return the beginning of its answer."""
    port = cell.nodes[0].ready["http_port"]
    with socket.create_connection(("127.0.0.1", port), timeout=5) as sock:
        sock.sendall(data)
        return sock.recv(65536).decode()


RAW = [
    (b"POST /permits/p HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx", "2001"),
    (
        b"POST /permits/p HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        "2001",
    ),
    (b"POST /permits/p HTTP/1.1\r\nContent-Length: one\r\n\r\n", "2001"),
    (b"GET /weights/h HTTP/1.1\r\n" + b"A: b\r\n" * 150 + b"\r\n", "2006"),
    (b"GET /weights/h HTTP/1.1\r\nA: " + b"b" * 70000 + b"\r\n\r\n", "2006"),
]


@pytest.mark.parametrize(("data", "code"), RAW)
def test_ambiguous_or_oversized_head_is_refused(cell, data, code):
    answer = raw(cell, data)
    assert f"Ploverhatch-Result: {code}" in answer
    assert '"outcome": "not-run"' in answer


CALLS = [
    ("GET", "/nowhere", {}, b"", "2002"),
    ("POST", "/permits/p", {}, b"", "2004"),
    ("POST", "/permits/p", {"Idempotency-Key": "k" * 201}, b"", "2004"),
    ("POST", "/permits/p", {"Idempotency-Key": "k"}, b"x" * (1 << 20 | 1), "2005"),
    ("GET", "/weights/h", {"Request-Deadline-Ms": "soon"}, b"", "2001"),
    ("GET", "/weights/h", {"Request-Deadline-Ms": "2000"}, b"", "1000"),
]


@pytest.mark.parametrize(("method", "path", "headers", "body", "code"), CALLS)
def test_call_gets_its_result_code(cell, method, path, headers, body, code):
    answer = cell.client(cell.nodes[0]).exchange(method, path, headers, body)
    assert answer.headers["ploverhatch-result"] == code
    if code != "1000":
        assert answer.headers["content-type"] == "application/problem+json"
        assert answer.json()["code"] == int(code)


def test_header_of_the_internal_protocol_is_not_taken_from_callers(cell):
    headers = {"Slice-Token": "1", "Slice-Group": "permits", "Echo": "x"}
    answer = cell.client(cell.nodes[0]).exchange("GET", "/weights/h", headers)
    assert answer.headers["ploverhatch-result"] == "1000"


def test_operators_need_a_token_and_a_version(cell):
    node = cell.nodes[0]
    body = {"keys": {"hive-1": {"load": "heavy"}}}
    plain = cell.client(node, "admin_port")
    assert plain.exchange("GET", "/api/status").status == 401
    wrong = {"Authorization": f"Bearer {TOKEN}x"}
    assert plain.exchange("GET", "/api/status", wrong).status == 401
    path = "/api/objects/key-labels/weights"
    assert cell.admin(node, "PUT", path, body).status == 428
    created = cell.admin(node, "PUT", path, body, {"If-None-Match": "*"})
    assert created.status == 200
    lost = cell.admin(node, "PUT", path, body, {"If-None-Match": "*"})
    assert lost.status == 412
    assert lost.headers["etag"] == created.headers["etag"]
    seen = cell.until(
        lambda: cell.admin(cell.nodes[1], "GET", path), lambda answer: answer.status == 200
    )
    assert seen.json()["body"] == body


def test_bad_policy_is_refused_with_its_place(cell):
    answer = cell.admin(
        cell.nodes[0], "PUT", "/api/objects/policy/main", {"source": "group g {\n  oops;\n}"},
        {"If-Match": '"1"'},
    )  # fmt: skip
    assert answer.status == 422
    assert "policy:2:3" in answer.json()["detail"]


def test_health_and_metrics_need_no_token(cell):
    plain = cell.client(cell.nodes[0], "admin_port")
    assert plain.exchange("GET", "/healthz").status == 200
    assert plain.exchange("GET", "/readyz").status == 200
    cell.get(cell.nodes[0], "/weights/h")
    metrics = plain.exchange("GET", "/metrics").body.decode()
    assert 'ploverhatch_requests_total{group="weights",result="OK"}' in metrics


def run_ctl(cell, *arguments):
    address = f"127.0.0.1:{cell.nodes[0].ready['admin_port']}"
    command = [
        sys.executable, "-m", "ploverhatch.cli", "ctl", "--node", address,
        "--token-file", cell.tokens.name, *arguments,
    ]  # fmt: skip
    return subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)


def test_ctl_drains_a_server_and_explains_a_key(cell):
    done = run_ctl(cell, "drain", "weights-1", "--wait")
    assert done.returncode == 0, done.stderr
    assert "in force on 2 nodes" in done.stdout
    cell.until(
        lambda: cell.admin(cell.nodes[0], "GET", "/api/assignments?group=weights").json()["slices"],
        lambda rows: all(row["server"] == "weights-2" for row in rows),
    )
    explained = json.loads(run_ctl(cell, "explain", "weights", "hive-1").stdout)
    assert explained["owner"] == "weights-2"
    assert run_ctl(cell, "drain", "weights-1", "--undo", "--wait").returncode == 0


def test_ctl_reports_a_lost_race_by_exit_code(cell):
    path = cell.tokens.name + ".json"
    with open(path, "w", encoding="utf-8") as file:
        json.dump({"keys": {}}, file)
    result = run_ctl(cell, "put", "key-labels", "permits", path, "--version", "1")
    assert result.returncode == 3
    assert "4001" in result.stderr


def test_fault_of_the_router_is_answered_as_unknown():
    from unittest import mock

    from ploverhatch.node.metrics import NodeMetrics
    from ploverhatch.node.router import Router
    from ploverhatch.node.view import StateView
    from ploverhatch.settings.model import LimitsSection

    router = Router(StateView("n"), None, LimitsSection(), None, NodeMetrics().router)
    with mock.patch.object(Router, "_read_call", side_effect=TypeError):
        reply = router.handle({})
    assert reply.status == 500
    assert ("Ploverhatch-Outcome", "unknown") in reply.headers
