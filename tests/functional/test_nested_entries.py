"""An entry of another writer that is nested too deeply for a parser, beside valid entries.

Guards against one such entry hiding all others: gateways that ran kept their old servers and
could not serve a service once its servers had been replaced, and a gateway that started served
nothing. A recursive parser rejects its whole input at some 950 levels, less the depth of the
caller's stack, so that each listing and each report of a watch failed with `not the expected
form: maximum recursion depth exceeded while deserializing an object`. Entries of 600 and 930
levels were harmless then; those of 960, 985, 3,000 and 200,000 levels were not.
"""

import json

import pytest

from tests.functional.test_gateway import Site, ask, is_ready, start_site, until
from tests.standin.upstream import Upstream

GATEWAYS = 3
LEVELS = [600, 930, 960, 985, 3000, 200_000]


@pytest.fixture
def site():
    running_site = Site()
    yield running_site
    running_site.close()


class Nested:
    """Lists nested so deeply that no encoder writes them; a marker stands for them in an entry."""

    def __init__(self, levels):
        self.marker = f"nested {levels} levels"
        self.text = b"[" * levels + b"]" * levels

    def put_into(self, body):
        """Return an answer of the store with the lists in place of the marker."""
        return body.replace(json.dumps(self.marker).encode(), self.text)


def put_nested(site, levels):
    """Write the entry of a server with nested lists in an additional field."""
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
def test_a_nested_entry_hides_no_other_entry(site, levels):
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
