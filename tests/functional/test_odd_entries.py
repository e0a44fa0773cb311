"""Malformed entries of another writer are no servers, and leave all other entries in use.

Guards against an entry that is read without a check of its form. One entry whose spec was a list
stopped the task that follows all servers, so that every node refused every request. Servers whose
entries had no slots, or an unknown state, got default values and received requests.
"""

import json

import gevent
import pytest

from tests.functional.test_gateway import CONFIG, Site, ask, is_ready, start_site, until
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


class Marker:
    """JSON that no encoder writes; a marker stands for it in an object."""

    def __init__(self, text):
        self.marker, self._text = f"odd {len(text)}", text

    def put_into(self, body):
        """Return an answer of the store with the JSON in place of the marker."""
        return body.replace(json.dumps(self.marker).encode(), self._text)


ODD = {
    "nested": b"[" * 3000 + b"]" * 3000,
    "number too large": b"9" * 5000,
    "not a number": b"1e999999",
}
# Kinds of objects that gateways follow, with a form in which an odd value stands deep inside.
PLACES = {
    "node": ("leases", lambda odd: {"address": "127.0.0.1:99999", "zone": "z1", "strength": odd}),
    "map": ("keymaps", lambda odd: {"token": odd, "holders": [["u1", "h", odd]], "ranges": [odd]}),
    "configuration": ("config", lambda odd: {**CONFIG, "version": odd, "services": odd}),
    "evacuation": ("evacuations", lambda odd: {"zone": odd}),
    "quarantine": ("quarantine", lambda odd: {"held": [odd], "version": odd}),
}


# Guards against gateways that end, or stop following a kind, because of one object of it.
@pytest.mark.parametrize("odd", ODD)
@pytest.mark.parametrize("place", PLACES)
def test_an_odd_object_of_any_kind_hides_no_other_one(site, place, odd):
    (gateway,) = start_site(site)
    value = Marker(ODD[odd])
    site.server.rewrite = value.put_into
    kind, spec = PLACES[place]
    site.store.put(kind, "odd", spec(value.marker))
    gevent.sleep(0.3)
    site.start_upstream("u9", "plain")
    until(lambda: "u9" in gateway.directory.servers.records)
    site.store.put("config", "main", {**CONFIG, "version": "0000000c"})
    until(lambda: gateway.directory.table.version == 12)
    late = site.start_gateway("late")
    until(lambda: is_ready(late))
    for key in (0, 30_000, 65_535):
        for node in (gateway, late):
            until(lambda node=node, key=key: ask(node, b"/k/a", key)[0] == 200)
            assert ask(node, b"/p/a")[0] == 200
    assert gateway.leads


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
