"""Which node leads after a change of the links to servers, with stores over sockets."""

import gevent
import msgspec
import pytest

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.gateway import keymap_codec
from ploverhatch.gateway.elector import Elector
from ploverhatch.gateway.links import LinkMonitor
from ploverhatch.platform.store import PlatformObjectStore
from ploverhatch.relay.messages import Beacon
from ploverhatch.store import kinds
from tests.functional.test_gateway import CONFIG, Site
from tests.functional.test_planned_stop_elsewhere import do_nothing, lease_of, lease_store, writes
from tests.functional.test_relay import until

__all__ = ["lease_store"]  # a fixture

NODES = 4


@pytest.fixture
def gateways():
    """Return a leader, and others that rely on its relay."""
    site = Site()
    site.store.put("config", "main", CONFIG)
    site.start_upstream("s1", "keyed", sharded=True)
    leader = site.start_gateway("node-1")
    until(lambda: leader.leads and leader.ready)
    others = [site.start_gateway(f"node-{number}") for number in range(2, NODES + 1)]
    until(lambda: all(item._relay.covered for item in others))
    until(lambda: all(item._elector.node_count == NODES for item in others))
    yield leader, others
    site.close()


class CutLinks(LinkMonitor):
    """The links of a gateway that is cut off."""

    is_cut_off = True


def cut_off(gateway):
    gateway._elector._cut_off = lambda: True
    if gateway._leader is not None:
        gateway._leader._links = CutLinks(gateway._pool, tuple, do_nothing)


class Links:
    """The links of a node to the servers."""

    cut_off = False


def start_elector(server, links, strength=1.0):
    elector = Elector(
        PlatformObjectStore(server.address),
        "n1",
        "life",
        "127.0.0.1:1",
        do_nothing,
        do_nothing,
        strength=strength,
        cut_off=lambda: links.cut_off,
    )
    elector.task = gevent.spawn(elector.run)
    return elector


def test_a_leader_that_is_cut_off_gives_the_lease_back_to_a_node_that_is_not(gateways):
    leader, others = gateways
    for gateway in [leader, *others[1:]]:
        cut_off(gateway)
    until(lambda: others[0].leads, 4.0)
    assert not leader.leads
    gevent.sleep(1.0)
    assert [item.leads for item in (leader, *others)] == [False, True, False, False]


# Guards against a time without a leader while the others rely on the beacons of the last one.
@pytest.mark.parametrize("pause_s", [0.0, 0.6, 1.2])
def test_another_node_leads_soon_after_the_lease_is_given_back(gateways, pause_s):
    leader, others = gateways
    gevent.sleep(pause_s)
    start_ms = elapsed_ms()
    leader._elector.resign()
    until(lambda: any(item.leads for item in others))
    assert elapsed_ms() - start_ms < 500.0


# Guards against a stale listing, in which the lease isn't released yet, that delays the claim.
def test_a_released_lease_is_not_read_from_a_stale_listing(gateways, monkeypatch):
    leader, others = gateways
    asked = []
    for gateway in others:
        list_all = gateway._store.list_all

        def recorded(kind, stale=False, list_all=list_all):
            if kind == kinds.LEASES:
                asked.append(stale)
            return list_all(kind, stale=stale)

        monkeypatch.setattr(gateway._store, "list_all", recorded)
    leader._elector.resign()
    until(lambda: any(item.leads for item in others))
    assert asked[0] is False


# Guards against a beacon that nodes of the version before can't read.
def test_a_beacon_of_a_release_is_compatible():
    fields = msgspec.structs.fields(Beacon)
    earlier = msgspec.defstruct(
        "Beacon",
        [(item.name, item.type) for item in fields if item.required],
        array_like=True,
        tag=3,
    )
    data = msgspec.msgpack.encode(Beacon(7, 0.0, {}, released=True))
    assert msgspec.msgpack.decode(data, type=earlier).lease_revision == 7
    data = msgspec.msgpack.encode(earlier(7, 0.0, {}))
    assert not msgspec.msgpack.decode(data, type=Beacon).released


# Guards against leadership that goes from one cut node to the next.
def test_a_node_that_is_cut_off_claims_the_lease_once_it_reaches_servers_again(lease_store):
    links = Links()
    links.cut_off = True
    elector = start_elector(lease_store, links)
    until(lambda: elector._registered)
    gevent.sleep(1.5)
    assert lease_of(lease_store) is None
    links.cut_off = False
    until(lambda: elector.state.leading, 2.0)


# Guards against a claim by a node that was cut off while it left the claim to stronger ones.
def test_a_node_that_is_cut_off_before_its_claim_leaves_the_lease(lease_store):
    member = keymap_codec.encode_member(keymap_codec.Member("127.0.0.1:2", "z1", 1.0))
    lease_store.store.put(kinds.LEASES, "node-strong", member)
    links = Links()
    elector = start_elector(lease_store, links, strength=0.5)
    until(lambda: elector._registered)
    gevent.sleep(0.1)  # The node waits for 0.5 s before it claims the lease.
    links.cut_off = True
    gevent.sleep(1.0)
    assert not elector.state.leading
    assert writes(lease_store) == ["POST"]


def test_a_node_that_is_cut_off_offers_not_to_replace_a_weak_leader(lease_store):
    links = Links()
    elector = start_elector(lease_store, links)
    until(lambda: elector.state.leading)
    assert elector.offered_strength == 1.0
    links.cut_off = True
    assert elector.offered_strength == 0.0
