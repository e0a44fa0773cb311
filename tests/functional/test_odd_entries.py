"""Entries of servers that another program wrote: they name no server, and the others hold.

Seen: one entry whose spec was a list made every node refuse every request. Entries without
slots, or in a state that nobody knows, were sent requests.

Cause: an entry was merged and read as if its parts had the form that servers write; what had
another form broke the task that follows all servers, or was made up from defaults.
"""

import gevent
import pytest

from tests.functional.test_gateway import Site, ask, is_ready, start_site, until
from tests.standin.malformed_entries import CHANGES, malformed_record
from tests.standin.upstream import Upstream

ODD_SERVICE = "plain"


@pytest.fixture
def site():
    made = Site()
    yield made
    made.close()


def _put_odd(site, name, change):
    """Put an entry of a server that would run requests, changed by another writer."""
    upstream = site.upstreams[name] = Upstream(name)
    site.store.put("servers", name, *malformed_record(upstream, ODD_SERVICE, change))
    return upstream


def test_entries_of_another_writer_name_no_server_and_leave_the_others(site):
    (gateway,) = start_site(site)
    odd = [_put_odd(site, name, change) for name, change in CHANGES.items()]
    site.start_upstream("u9", "plain")
    until(lambda: "u9" in gateway.directory.servers.records)
    for key in range(60):
        assert ask(gateway, b"/p/a")[0] == 200
        assert ask(gateway, b"/k/a", key)[0] == 200
    assert [upstream.server_id for upstream in odd if upstream.arrived] == []
    late = site.start_gateway("late")
    until(lambda: is_ready(late))
    # A service that no configuration names may be named by the next one.
    known = {"u1", "u2", "u3", "u9", "service-unknown"}
    assert set(late.directory.servers.records) == known
    assert set(gateway.directory.servers.records) == known
    gevent.sleep(0.5)
    assert gateway.leads


def test_odd_objects_of_our_own_kinds_stop_neither_election_nor_other_services(site):
    site.store.put("leases", "node-odd", ["x"])
    site.store.put("keymaps", "another", {"token": "x"})
    (gateway,) = start_site(site)
    assert gateway.leads
    assert [ask(gateway, b"/k/a", key)[0] for key in (0, 30_000, 65_535)] == [200] * 3


def test_an_entry_that_another_writer_replaced_names_no_server_any_more(site):
    (gateway,) = start_site(site)
    site.start_upstream("u9", "plain")
    until(lambda: "u9" in gateway.directory.servers.records)
    site.store.put("servers", "u3", [1], "x")
    until(lambda: "u3" not in gateway.directory.servers.records)
    before = len(site.upstreams["u3"].arrived)
    assert [ask(gateway, b"/p/a")[0] for _ in range(20)] == [200] * 20
    assert len(site.upstreams["u3"].arrived) == before
    site.store.put("servers", "u3", *site.upstreams["u3"].record("plain"))
    until(lambda: "u3" in gateway.directory.servers.records)
