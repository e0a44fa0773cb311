"""A key leader uses only the maps that it has read in its own term."""

from types import SimpleNamespace

import gevent

from ploverhatch.gateway.directory import Directory
from ploverhatch.gateway.key_leader import KeyLeader
from ploverhatch.gateway.links import LinkMonitor
from ploverhatch.gateway.peer_connections import PeerConnections
from ploverhatch.gateway.peer_release import PeerRelease
from ploverhatch.gateway.upstreams import UpstreamPool
from ploverhatch.platform.dialect import PlatformDialect
from ploverhatch.sharding.messages import Resign
from ploverhatch.store.objects import Listing


class Elector:
    """The elector of a leader whose term ends, and whose next term begins, during a store read."""

    def __init__(self):
        seen = SimpleNamespace(term=1)
        self.state = SimpleNamespace(
            leading=True, seen=seen, inherited_until_ms=0.0, renewed_ms=0.0
        )
        self.has_authority = self.may_change = True


class SlowElector(Elector):
    """An elector that takes longer to release the lease than a leader to end its term."""

    def __init__(self):
        super().__init__()
        self.released = False

    def resign(self):
        self.state.leading = False
        gevent.sleep(0.2)
        self.released = True


def key_leader(elector, list_all):
    return KeyLeader(
        SimpleNamespace(list_all=list_all),
        Directory(),
        elector,
        PlatformDialect(),
        4000.0,
        lambda keymap: None,
        lambda service, token: None,
        lambda service, revision, tokens: None,
        LinkMonitor(UpstreamPool(""), tuple, lambda message, to: None),
        PeerRelease(tuple, PeerConnections()),
    )


# Guards against a release of the lease that breaks off with the other tasks of the term.
def test_a_lease_is_released_although_the_term_has_ended():
    elector = SlowElector()
    leader = key_leader(elector, lambda kind: Listing((), 1))
    leader._tick = lambda: leader._execute([Resign()])
    leader.run()
    gevent.sleep(0.4)
    assert elector.released


# Guards against using maps that were read in an earlier term: another leader may have changed them
# in between.
def test_maps_that_were_read_in_an_earlier_term_are_not_used():
    elector, ticks = Elector(), []

    def list_all(kind):
        elector.state.seen.term = 3
        return Listing((), 1)

    leader = key_leader(elector, list_all)

    def tick():
        ticks.append(elector.state.seen.term)
        elector.state.leading = False

    leader._tick = tick
    leader.run()
    assert ticks == []
