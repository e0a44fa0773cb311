"""An entry of another writer that is nested more deeply than parsers go, beside sound ones.

Seen: one entry of 3,000 levels of lists, three gateways. What ran was served, but once the
servers of a service had been replaced nothing of it was, until somebody removed the entry; a
gateway that started then served nothing at all.

Cause: parsers that recurse refuse a text as a whole where it is nested more deeply than their
stack goes, some 950 levels less what is on it already. The mended text of a page went through
one of them too, so that page and report were no answers, and a node knew what it had known.

Proof: each listing ends in `not the expected form: maximum recursion depth exceeded while
deserializing an object`; 600 and 930 levels are served before, 960, 985, 3,000 and 200,000 are not.
"""

import json

import pytest

from tests.functional.test_gateway import Site, ask, is_ready, start_site, until
from tests.standin.upstream import Upstream

GATEWAYS = 3
LEVELS = [600, 930, 960, 985, 3000, 200_000]


@pytest.fixture
def site():
    made = Site()
    yield made
    made.close()


class Nested:
    """Stands in an entry for lists in lists, which no encoder would write."""

    def __init__(self, levels):
        self.marker = f"nested {levels} levels"
        self.text = b"[" * levels + b"]" * levels

    def put_into(self, body):
        """Return a body of the store's with the lists in it."""
        return body.replace(json.dumps(self.marker).encode(), self.text)


def put_nested(site, levels):
    """Have another writer put an entry that else is a server's."""
    nested = Nested(levels)
    upstream = site.upstreams["deep"] = Upstream("deep")
    spec, status = upstream.record("plain")
    spec["info"]["more"] = nested.marker
    site.server.rewrite = nested.put_into
    site.store.put("servers", "deep", spec, status)


def replace_servers(site, service, names):
    for name in names:
        site.start_upstream(f"{name}-next", service)
    for name in names:
        site.store.remove("servers", name)


def served(gateways, path=b"/p/a", count=10):
    return [ask(gateway, path)[0] for gateway in gateways for _ in range(count)].count(200) / (
        count * len(gateways)
    )


@pytest.mark.parametrize("levels", LEVELS)
def test_a_nested_entry_takes_no_other_along(site, levels):
    gateways = start_site(site, GATEWAYS)
    put_nested(site, levels)
    until(lambda: served(gateways) == 1.0)
    replace_servers(site, "plain", ["u3"])
    until(lambda: all("u3" not in gateway.directory.servers.records for gateway in gateways))
    until(lambda: all("u3-next" in gateway.directory.servers.records for gateway in gateways))
    assert served(gateways) == 1.0
    late = site.start_gateway("late")
    until(lambda: is_ready(late))
    assert served([late]) == 1.0
    assert any(gateway.leads for gateway in gateways)
