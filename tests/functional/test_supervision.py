"""Unexpected errors and malformed objects of the store don't end the process."""

import gevent
import msgspec
import pytest

from ploverhatch.gateway import supervisor
from ploverhatch.gateway.keymap_codec import decode_keymap, decode_lease
from ploverhatch.gateway.supervisor import run_forever
from ploverhatch.store.objects import UnreadableObjectError, VersionedObject
from tests.functional.test_forwarder import WHOLE, Bench, field
from tests.functional.test_gateway import CONFIG, Site
from tests.standin.upstream import RawUpstream


@pytest.fixture
def site():
    made = Site()
    yield made
    made.close()


def test_a_task_that_fails_starts_again(monkeypatch):
    monkeypatch.setattr(supervisor, "RESTART_S", 0.0)
    runs = []
    failures = []

    def job():
        runs.append(len(runs))
        if len(runs) < 3:
            raise RuntimeError("unexpected")

    run_forever("job", job, lambda: failures.append(len(runs)))
    assert (runs, failures) == ([0, 1, 2], [1, 2])


def test_a_killed_task_ends():
    task = gevent.spawn(run_forever, "job", lambda: gevent.sleep(60))
    gevent.sleep(0)
    task.kill(timeout=1)
    assert task.ready()


UNREADABLE_MAPS = {
    "not an object": "text",
    "no ranges": {"token": 1, "holders": []},
    "a holder that is not there": {
        "token": 1,
        "holders": [],
        "ranges": [[0, 65535, 0, 1, True, []]],
    },
    "a negative holder": {
        "token": 1,
        "holders": [["s", "10.0.0.1", 1]],
        "ranges": [[0, 65535, -1, 1, True, []]],
    },
    "an earlier holder that is not there": {
        "token": 1,
        "holders": [["s", "10.0.0.1", 1]],
        "ranges": [[0, 65535, 0, 1, True, [4]]],
    },
}


@pytest.mark.parametrize("spec", UNREADABLE_MAPS.values(), ids=UNREADABLE_MAPS.keys())
def test_a_malformed_map_is_reported(spec):
    with pytest.raises(UnreadableObjectError):
        decode_keymap(VersionedObject("keyed", 1, spec))


def test_a_malformed_lease_is_reported():
    with pytest.raises(UnreadableObjectError):
        decode_lease(VersionedObject("leader", 1, {"node": 7}))


def test_an_unreadable_map_leaves_the_last_one_in_force(site):
    gateway = started(site)
    known = gateway.directory.keymaps["keyed"]
    site.store.put("keymaps", "keyed", {"token": "x"})
    site.store.put("keymaps", "other", msgspec.to_builtins({"token": "y"}))
    gevent.sleep(1.5)  # The watch is repeated within a second.
    assert gateway.directory.keymaps["keyed"].ranges == known.ranges
    assert not any(task.ready() for task in gateway._tasks)


def test_an_unreadable_lease_does_not_end_the_election(site):
    site.store.put("leases", "leader", 7)
    gateway = site.start_gateway("node-1")
    gevent.sleep(1.0)
    assert not gateway.leads
    site.store.remove("leases", "leader")
    with gevent.Timeout(5):
        while not gateway.leads:
            gevent.sleep(0.05)


def test_a_leader_whose_action_breaks_off_lets_another_lead(site, monkeypatch):
    gateway = started(site)
    leader = gateway._leader

    def broken(_action):
        raise RuntimeError("unexpected")

    leader._handlers = dict.fromkeys(leader._handlers, broken)
    with gevent.Timeout(5):
        while gateway.leads:
            gevent.sleep(0.05)
    assert site.store.objects["leases", "leader"]["spec"]["released"]


def test_a_fault_of_ours_is_answered_as_unknown(monkeypatch):
    bench = Bench()
    bench.add(RawUpstream(WHOLE), "u1")

    def broken(*_):
        raise RuntimeError("unexpected")

    monkeypatch.setattr(bench.forwarder._dialect, "classify_answer", broken)
    reply = bench.ask(b"/once/a", b"POST")
    assert (reply.status, field(reply, b"ploverhatch-result")) == (500, [b"3005"])


def started(site):
    site.store.put("config", "main", CONFIG)
    site.start_upstream("s1", "keyed", sharded=True)
    gateway = site.start_gateway("node-1")
    with gevent.Timeout(10):
        while not gateway.leads or not all(item.settled for item in settled_ranges(gateway)):
            gevent.sleep(0.05)
    return gateway


def settled_ranges(gateway):
    keymap = gateway.directory.keymaps.get("keyed")
    return keymap.ranges if keymap and keymap.ranges else [Unsettled]


class Unsettled:
    """A range of a map that does not exist yet."""

    settled = False
