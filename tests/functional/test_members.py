"""All nodes know the same members, which share queues and retry budgets."""

import re

import gevent
import pytest
from gevent import socket

from ploverhatch.gateway.elector import Elector
from ploverhatch.store.objects import Listing, VersionedObject
from tests.standin.site import StandinSite

GATEWAYS = 4
KNOWN_WITHIN_S = 8.0
NODES = re.compile(rb"^ploverhatch_nodes (\d+)$", re.MULTILINE)


@pytest.fixture
def site():
    made = StandinSite(GATEWAYS)
    yield made
    made.close()


def nodes_known_to(gateway):
    try:
        with socket.create_connection(("127.0.0.1", gateway.ready), 1.0) as sock:
            sock.sendall(b"GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            answer = b""
            while part := sock.recv(65536):
                answer += part
    except OSError:
        return 0
    found = NODES.search(answer)
    return int(found[1]) if found else 0


# Guards against a leader of a starting site that reads the members before the others have
# registered, and not again in its term: it shared no slots with them, and used the retry budget of
# all nodes alone.
def test_the_leader_knows_the_nodes_that_start_beside_it(site):
    known = []
    with gevent.Timeout(KNOWN_WITHIN_S, False):
        while known != [GATEWAYS] * GATEWAYS:
            gevent.sleep(0.2)
            known = [nodes_known_to(gateway) for gateway in site.gateways]
    assert known == [GATEWAYS] * GATEWAYS


class Leases:
    """A store whose listings are empty, at a revision that the test sets."""

    def __init__(self):
        self.revision = 10
        self.created = []

    def list_all(self, kind, stale=False):
        return Listing((), self.revision)

    def create(self, kind, name, spec):
        self.created.append(name)
        return VersionedObject(name, 20, spec)


def read_lease(leases, revision, elector):
    leases.revision = revision
    elector._read_lease()
    return leases.created.count("node-n1")


# Guards against a node that registers repeatedly where stale listings are older than its
# registration.
def test_a_node_registers_again_only_where_its_object_is_surely_gone():
    leases = Leases()
    elector = Elector(leases, "n1", "life", "127.0.0.1:1", lambda: None, lambda: None)
    assert read_lease(leases, 10, elector) == 1
    assert read_lease(leases, 15, elector) == 1
    assert read_lease(leases, 25, elector) == 2
