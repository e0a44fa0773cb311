"""Logs and metrics of a gateway: bounded, non-blocking, and sufficient to explain a request."""

import logging
import os
import shutil
import socket
import subprocess
from contextlib import suppress
from pathlib import Path

import gevent
import pytest
from click.testing import CliRunner

import ploverhatch
from ploverhatch.cli.explain_request import explain, read_lines
from ploverhatch.cli.main import main
from ploverhatch.common.code_id import code_id
from ploverhatch.common.log_output import BufferedOutput
from ploverhatch.gateway.answer_record import (
    MAX_NAMES,
    NAMES_PER_LINE,
    AnswerRecord,
    SentAnswer,
)
from ploverhatch.gateway.metrics import GatewayMetrics
from ploverhatch.gateway.request_log import AttemptNote, RequestTrace
from ploverhatch.routing.gateway_attempts import AttemptResult
from ploverhatch.transport.unacknowledged import unacknowledged_bytes
from tests.unit.test_platform_adapter import SETTINGS


def record(text):
    return logging.LogRecord("absl", logging.INFO, "", 0, text, None, None)


@pytest.fixture
def pipe():
    """Return both ends of a pipe; a waiting writer is allowed to finish before they are closed."""
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    yield reading, writing
    os.set_blocking(reading, False)
    with suppress(BlockingIOError):
        while os.read(reading, 65536):
            gevent.sleep(0.01)
    os.close(reading)
    os.close(writing)


def test_lines_reach_the_reader(pipe):
    output = BufferedOutput(pipe[1], "n1")
    output.emit(record("[part] Sentence. a=1"))
    gevent.sleep(0.01)
    line = os.read(pipe[0], 1000).decode()
    assert line.endswith(" n1 I [part] Sentence. a=1\n")


def test_a_pipe_that_is_not_read_blocks_nothing(pipe):
    output = BufferedOutput(pipe[1], "n1", capacity=100)
    started = gevent.get_hub().loop.now()
    for number in range(5000):
        output.emit(record(f"[part] Line. number={number} " + "x" * 100))
        if number % 100 == 0:
            gevent.sleep(0)
    gevent.get_hub().loop.update_now()
    assert gevent.get_hub().loop.now() - started < 2.0
    assert len(output._lines) <= 100
    assert output.dropped > 0


def test_dropped_lines_are_counted_in_the_next_line(pipe):
    output = BufferedOutput(pipe[1], "n1", capacity=3)
    for number in range(10):
        output.emit(record(f"line {number}"))
    gevent.sleep(0.01)
    os.read(pipe[0], 10_000)
    output.emit(record("after"))
    gevent.sleep(0.01)
    text = os.read(pipe[0], 10_000).decode()
    assert "[log] Lines dropped. count=7" in text
    assert text.endswith("after\n")


def trace(**changes):
    values = {"request_id": "r1", "route": "rt", "service": "svc", "key": 7, "version": 3}
    return RequestTrace(**{**values, "objective_ms": 100.0, **changes})


def test_ordinary_requests_are_not_logged(caplog):
    ordinary = trace(attempts=[AttemptNote("s1", 4, 1.0, 50.0, AttemptResult.ANSWERED)])
    with caplog.at_level(logging.INFO, "absl"):
        ordinary.finish(200, 1000, "", 60.0)
    assert caplog.messages == []


EXTRAORDINARY = {
    "late": ([AttemptResult.ANSWERED], 200, 1000, 150.0),
    "repeated": ([AttemptResult.LOST, AttemptResult.ANSWERED], 200, 1000, 60.0),
    "refused": ([], 503, 2101, 20.0),
    "answered with a promise": ([AttemptResult.ANSWERED], 503, 1000, 60.0),
    "lost": ([AttemptResult.LOST], 502, 3001, 30.0),
    "timed out": ([AttemptResult.TIMED_OUT], 504, 3002, 900.0),
}


@pytest.mark.parametrize("name", EXTRAORDINARY)
def test_each_extraordinary_request_is_logged_in_one_line(name, caplog):
    attempts, status, code, took_ms = EXTRAORDINARY[name]
    notes = [AttemptNote("s1", 4, 1.0, 50.0, result) for result in attempts]
    with caplog.at_level(logging.INFO, "absl"):
        trace(attempts=notes).finish(status, code, "", took_ms)
    (line,) = caplog.messages
    fields = read_lines([line])[0].fields
    assert (fields["request"], fields["status"], fields["result"]) == ("r1", str(status), str(code))
    assert (fields["route"], fields["version"], fields["key"]) == ("rt", "3", "7")
    assert fields["attempts"].count("s1@4") == len(attempts)


LOG = """\
10:00:00.000 n1 I [elector] Leadership won. predecessor=-
10:00:01.000 n1 I [leader] Keys move. service=svc first=0 last=9 to=s1 token=4
10:00:01.100 n1 I [leader] Keys move. service=other first=0 last=9 to=s9 token=4
10:00:02.000 n2 I [request] Request ended. request=r1 status=502 result=3001 detail=lost \
took_ms=30 route=rt service=svc key=7 version=3 attempts=s1@4:lost:1+29
"""


def test_explain_prints_the_answer_the_attempts_and_the_key_moves():
    output = "\n".join(explain("r1", read_lines(LOG.splitlines())))
    assert "3001 ANSWER_LOST" in output
    assert "attempt 1: s1@4 after 1 ms, lost in 29 ms" in output
    assert "to=s1 token=4" in output
    assert "service=other" not in output


def test_explain_tells_which_nodes_a_request_was_sent_on_to():
    trace = RequestTrace("r9", received_ms=100.0)
    trace.note_forwarding("10.0.0.2:7540", AttemptResult.DECLINED, 101.0, 103.0)
    trace.note_forwarding("10.0.0.3:7540", AttemptResult.ANSWERED, 103.0, 140.0)
    text = (
        f"x I [request] Request ended. request=r9 status=200 result=1000 via={'|'.join(trace.via)}"
    )
    output = "\n".join(explain("r9", read_lines([text])))
    assert "sent on to another node: 10.0.0.2:7540 after 1 ms, declined in 2 ms" in output
    assert "sent on to another node: 10.0.0.3:7540 after 3 ms, answered in 37 ms" in output
    assert "no attempt reached a server" not in output


def test_explain_request_command(tmp_path):
    path = tmp_path / "log"
    path.write_text(LOG)
    found = CliRunner().invoke(main, ["explain-request", "r1", str(path)])
    assert found.exit_code == 0
    assert "answer: 502 after 30 ms" in found.output
    missing = CliRunner().invoke(main, ["explain-request", "r2", str(path)])
    assert missing.exit_code == 1


def test_gateway_command_checks_settings(tmp_path):
    path = tmp_path / "node.toml"
    path.write_bytes(SETTINGS)
    checked = CliRunner().invoke(main, ["gateway", "--settings", str(path), "--check"])
    assert checked.exit_code == 0
    assert "front-1" in checked.output
    path.write_bytes(SETTINGS.replace(b"zone", b"zones"))
    wrong = CliRunner().invoke(main, ["gateway", "--settings", str(path), "--check"])
    assert wrong.exit_code == 2
    assert "zone" in wrong.output


def test_metrics_text():
    metrics = GatewayMetrics()
    for took_ms in (5.0, 30.0, 5000.0):
        metrics.count_request(1000, took_ms)
    metrics.count_request(2101, 60.0)
    metrics.attempts["answered"] += 3
    metrics.gauge("leading", lambda: 1.0)
    rows = metrics.text().decode().splitlines()
    assert 'ploverhatch_requests_total{result="1000"} 3' in rows
    assert 'ploverhatch_attempts_total{outcome="answered"} 3' in rows
    assert 'ploverhatch_request_ms_bucket{le="50"} 2' in rows
    assert 'ploverhatch_request_ms_bucket{le="+Inf"} 4' in rows
    assert "ploverhatch_leading 1" in rows


def test_a_request_whose_caller_got_no_answer_is_logged(caplog):
    trace = RequestTrace("r1", "route", "service")
    with caplog.at_level(logging.INFO, "absl"):
        trace.log_unanswered("caller-gone", 12.4)
    (line,) = [row.getMessage() for row in caplog.records]
    assert line.startswith("[request] Request without answer. request=r1 status=0 result=0")
    assert "detail=caller-gone took_ms=12" in line


def fake_answers(*sizes):
    return [SentAnswer(f"r{number}", 200, size) for number, size in enumerate(sizes)]


def test_answers_of_a_stop_are_logged_many_to_a_line(caplog):
    answers = AnswerRecord()
    with caplog.at_level(logging.INFO, "absl"):
        for answer in fake_answers(*[10] * (NAMES_PER_LINE + 1)):
            answers.note([answer], 0)
        answers.flush()
    assert [line.count(":200") for line in caplog.messages] == [NAMES_PER_LINE, 1]
    assert answers.taken == NAMES_PER_LINE + 1


def test_the_number_of_logged_ids_is_bounded(caplog):
    answers = AnswerRecord()
    with caplog.at_level(logging.INFO, "absl"):
        answers.note(fake_answers(*[10] * (MAX_NAMES + 100)), 0)
        answers.flush()
    assert sum(line.count(":200") for line in caplog.messages) == MAX_NAMES
    assert answers.taken == MAX_NAMES + 100


@pytest.mark.parametrize(("unacknowledged", "untaken"), [(0, 0), (1, 1), (10, 1), (11, 2), (99, 3)])
def test_unacknowledged_bytes_belong_to_the_last_answers_of_a_connection(
    caplog, unacknowledged, untaken
):
    answers = AnswerRecord()
    with caplog.at_level(logging.INFO, "absl"):
        answers.note(fake_answers(30, 20, 10), unacknowledged)
    assert (answers.taken, answers.untaken) == (3 - untaken, untaken)
    names = [read_lines([line])[0].fields["request"] for line in caplog.messages]
    assert names == ["r2", "r1", "r0"][:untaken]


def test_answers_of_unknown_state_count_as_neither_taken_nor_untaken(caplog):
    """Guards against logging answers as taken although nothing shows that they were."""
    answers = AnswerRecord()
    with caplog.at_level(logging.INFO, "absl"):
        answers.note(fake_answers(30, 20, 10), None)
        answers.note(fake_answers(30), 0)
        answers.flush()
    assert (answers.taken, answers.untaken, answers.unknown) == (1, 0, 3)
    assert [line.count("|") for line in caplog.messages] == [0]


def test_bytes_that_are_not_read_are_unacknowledged():
    """The caller's receive window is full, so the rest stays in the send buffer."""
    listener = socket.create_server(("127.0.0.1", 0))
    caller = socket.create_connection(listener.getsockname())
    sock, _ = listener.accept()
    with listener, caller, sock:
        assert unacknowledged_bytes(sock) == 0
        sock.setblocking(False)
        with suppress(BlockingIOError):
            while True:
                sock.send(b"x" * 65536)
        assert unacknowledged_bytes(sock) > 0
    assert unacknowledged_bytes(sock) is None


STOP_LOG = """\
10:00:00.000 n1 I [gateway] Stopping. busy=2 connections=3
10:00:00.100 n1 I [callers] Answers taken. requests=r1:200|r2:503
10:00:00.200 n1 W [callers] Answer not taken. request=r3 status=200 unacknowledged=7 size=90
10:00:00.300 n1 W [callers] Request without answer. request=r4 cause=process-ends took_ms=41
"""
REQUEST_ENDINGS = {
    "r1": "answer: 200, taken by the caller",
    "r2": "answer: 503, taken by the caller",
    "r3": "200, written whole; 7 of 90 bytes weren't acknowledged",
    "r4": "no whole answer left, after 41 ms: process-ends",
}


@pytest.mark.parametrize("name", REQUEST_ENDINGS)
def test_explain_prints_how_a_request_ended_at_a_stop(name):
    assert REQUEST_ENDINGS[name] in "\n".join(explain(name, read_lines(STOP_LOG.splitlines())))


def test_the_code_id_is_gits_id_of_the_package(tmp_path):
    """A log can be matched to its commit by ``git rev-parse COMMIT:ploverhatch``."""
    package = Path(ploverhatch.__file__).parent
    ignored = shutil.ignore_patterns("__pycache__")
    shutil.copytree(package, tmp_path / "ploverhatch", ignore=ignored)

    def git(*words):
        done = subprocess.run(
            ["git", *words], cwd=tmp_path, check=True, capture_output=True, text=True
        )
        return done.stdout.strip()

    git("init", "--quiet")
    git("add", "ploverhatch")
    assert git("write-tree", "--prefix=ploverhatch/").startswith(code_id())


STOPS = {
    "clean": (["Stopping. busy=1", "Stopped. busy=0 untaken=0", "Started. code=a"], 0),
    "busy": (["Stopping. busy=1", "Stopped. busy=2 untaken=0"], 1),
    "killed": (["Stopping. busy=1", "Started. code=a"], 1),
    "not over yet": (["Stopping. busy=1"], 0),
    "started only": (["Started. code=a", "Started. code=a"], 0),
}


@pytest.mark.parametrize("name", STOPS)
def test_explain_stops_fails_if_a_stop_cut_requests(tmp_path, name):
    sentences, code = STOPS[name]
    path = tmp_path / "log"
    path.write_text("".join(f"10:00:00.000 n1 I [gateway] {row}\n" for row in sentences))
    assert CliRunner().invoke(main, ["explain-stops", str(path)]).exit_code == code


def test_explain_stops_counts_requests_cut_at_the_exit_of_a_process(tmp_path):
    path = tmp_path / "log"
    path.write_text(STOP_LOG)
    result = CliRunner().invoke(main, ["explain-stops", str(path)])
    assert result.exit_code == 1
    assert "1 requests cut at the end" in result.output
