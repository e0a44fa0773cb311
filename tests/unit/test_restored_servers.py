"""Server records that are outdated because the store was restored from a copy."""

from ploverhatch.state.servers import STALE_AFTER_RESTORE_MS, ServerRecord, ServerSet


def record(draining=False):
    return ServerRecord("s0", "svc", "10.0.0.1", 9000, "z1", 2, draining)


def restored(*records):
    servers = ServerSet()
    for item in records:
        servers.put(item, 0.0)
    return servers


def test_a_draining_server_is_still_draining():
    servers = restored(record(draining=True))
    servers.note_store_restored(100.0)
    servers.put(record(), 100.0)
    assert servers.records["s0"].draining


def test_a_server_that_has_left_is_not_added_again():
    servers = restored(record(draining=True))
    servers.remove("s0", 50.0)
    servers.note_store_restored(100.0)
    servers.put(record(), 100.0)
    assert servers.records == {}


def test_a_server_whose_entry_was_missing_while_the_store_was_unavailable_is_added_again():
    servers = restored(record())
    servers.remove("s0", 50.0)
    servers.note_store_restored(100.0)
    servers.put(record(), 100.0)
    assert not servers.records["s0"].draining


def test_otherwise_an_entry_is_applied_unchanged():
    servers = restored(record(draining=True))
    servers.put(record(), 100.0)
    assert not servers.records["s0"].draining
    servers = restored(record(draining=True))
    servers.note_store_restored(100.0)
    servers.put(record(), 100.0 + STALE_AFTER_RESTORE_MS)
    assert not servers.records["s0"].draining
