"""A site and callers that ask at every node, some for keys and some without."""

import re
from collections import Counter

import gevent

from ploverhatch.simulation.keys.server import SAMPLE_KEYS
from tests.standin.callers import Caller
from tests.standin.site import KEYED, PLAIN

RESULT = re.compile(rb"ploverhatch-result: ([^\r]*)")
KEYS = SAMPLE_KEYS[::4]
PLAIN_CALLERS = 8
START_LIMIT_S = 20.0


class Scenario:
    """Callers of a site, and what they got."""

    def __init__(self, site, plain_callers=PLAIN_CALLERS, keys=KEYS):
        self.site = site
        self.keys = keys
        self.plain_callers = plain_callers
        self.callers = {}
        self.tasks = []

    def begin(self):
        self.callers = {
            KEYED: [Caller(f"k{key}", "/kread/a", key=key) for key in self.keys],
            PLAIN: [Caller(f"p{n}", "/read/a") for n in range(self.plain_callers)],
        }
        everybody = [*self.callers[KEYED], *self.callers[PLAIN]]
        gateways = self.site.gateways
        with gevent.Timeout(START_LIMIT_S):
            for gateway in gateways:
                for caller in everybody:
                    while caller.ask(gateway).status != 200:
                        gevent.sleep(0.05)
        for number, caller in enumerate(everybody):
            first = number % len(gateways)
            turned = gateways[first:] + gateways[:first]
            self.tasks.append(gevent.spawn(caller.ask_forever, turned))

    @property
    def sent(self):
        callers = [caller for group in self.callers.values() for caller in group]
        return {one.name: one for caller in callers for one in caller.asked}

    def asked(self, service, start_s, end_s=float("inf")):
        found = [one for caller in self.callers[service] for one in caller.asked]
        return [one for one in found if start_s <= one.sent_s < end_s and one.status]

    def served(self, service, start_s, end_s=float("inf")):
        asked = self.asked(service, start_s, end_s)
        return sum(one.status == 200 for one in asked) / len(asked)

    def unserved(self, service, start_s, end_s=float("inf")):
        """Return what the others got: how often each status, with the gateway's result."""
        lost = [one for one in self.asked(service, start_s, end_s) if one.status != 200]
        results = [RESULT.search(one.head) for one in lost]
        return Counter((one.status, r and r[1]) for one, r in zip(lost, results, strict=True))

    def upstreams(self, service):
        return [u for u in self.site.upstreams.values() if u.service == service]

    def busiest(self):
        """Return the upstream of each service that ran most."""
        return [
            max(self.upstreams(service), key=lambda upstream: len(upstream.ran))
            for service in (PLAIN, KEYED)
        ]

    def stop_callers(self):
        gevent.killall(self.tasks)

    def close(self):
        self.stop_callers()
        self.site.close()
