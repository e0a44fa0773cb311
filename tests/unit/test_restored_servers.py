"""Servers that a store shows as before, since it came back from a copy."""

from ploverhatch.state.servers import STALE_AFTER_RESTORE_MS, ServerRecord, ServerSet


def record(draining=False):
    return ServerRecord("s0", "svc", "10.0.0.1", 9000, "z1", 2, draining)


def restored(*records):
    servers = ServerSet()
    for item in records:
        servers.put(item, 0.0)
    return servers


def test_one_that_drains_goes_on_to_do_so():
    servers = restored(record(draining=True))
    servers.note_store_restored(100.0)
    servers.put(record(), 100.0)
    assert servers.records["s0"].draining


def test_one_that_has_left_does_not_come_back():
    servers = restored(record(draining=True))
    servers.remove("s0", 50.0)
    servers.note_store_restored(100.0)
    servers.put(record(), 100.0)
    assert servers.records == {}


def test_one_whose_entry_was_missing_while_the_store_was_away_comes_back():
    servers = restored(record())
    servers.remove("s0", 50.0)
    servers.note_store_restored(100.0)
    servers.put(record(), 100.0)
    assert not servers.records["s0"].draining


def test_otherwise_an_entry_is_taken_as_it_is():
    servers = restored(record(draining=True))
    servers.put(record(), 100.0)
    assert not servers.records["s0"].draining
    servers = restored(record(draining=True))
    servers.note_store_restored(100.0)
    servers.put(record(), 100.0 + STALE_AFTER_RESTORE_MS)
    assert not servers.records["s0"].draining
