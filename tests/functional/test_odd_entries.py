"""Malformed entries of another writer are no servers, and leave all other entries in use.

Guards against an entry that is read without a check of its form. One entry whose spec was a list
stopped the task that follows all servers, so that every node refused every request. Servers whose
entries had no slots, or an unknown state, got default values and received requests.
"""

import gevent
import pytest

from tests.functional.test_gateway import Site, ask, is_ready, start_site, until
from tests.standin.malformed_entries import CHANGES, malformed_record
from tests.standin.upstream import Upstream

SERVICE = "plain"


@pytest.fixture
def site():
    running_site = Site()
    yield running_site
    running_site.close()


def _put_malformed(site, name, change):
    """Write the malformed entry of a server that would run requests."""
    upstream = site.upstreams[name] = Upstream(name)
    site.store.put("servers", name, *malformed_record(upstream, SERVICE, change))
    return upstream


def test_entries_of_another_writer_name_no_server_and_leave_the_others(site):
    (gateway,) = start_site(site)
    malformed_servers = [_put_malformed(site, name, change) for name, change in CHANGES.items()]
    site.start_upstream("u9", "plain")
    until(lambda: "u9" in gateway.directory.servers.records)
    for key in range(60):
        assert ask(gateway, b"/p/a")[0] == 200
        assert ask(gateway, b"/k/a", key)[0] == 200
    assert [upstream.server_id for upstream in malformed_servers if upstream.arrived] == []
    late = site.start_gateway("late")
    until(lambda: is_ready(late))
    # An entry whose service the configuration lacks is valid: a later one may add the service.
    known = {"u1", "u2", "u3", "u9", "service-unknown"}
    assert set(late.directory.servers.records) == known
    assert set(gateway.directory.servers.records) == known
    gevent.sleep(0.5)
    assert gateway.leads


def test_malformed_objects_of_the_gateways_kinds_stop_neither_election_nor_other_services(site):
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
