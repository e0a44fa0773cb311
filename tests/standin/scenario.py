"""A stand-in site with callers that send to every gateway, some with keys and some without."""

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
    """A site, its callers, and records of the requests that they sent."""

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
        all_callers = [*self.callers[KEYED], *self.callers[PLAIN]]
        gateways = self.site.gateways
        with gevent.Timeout(START_LIMIT_S):
            for gateway in gateways:
                for caller in all_callers:
                    while caller.ask(gateway).status != 200:
                        gevent.sleep(0.05)
        for number, caller in enumerate(all_callers):
            first = number % len(gateways)
            rotated = gateways[first:] + gateways[:first]
            self.tasks.append(gevent.spawn(caller.ask_forever, rotated))

    @property
    def sent(self):
        callers = [caller for group in self.callers.values() for caller in group]
        return {request.name: request for caller in callers for request in caller.asked}

    def asked(self, service, start_s, end_s=float("inf")):
        found = [request for caller in self.callers[service] for request in caller.asked]
        return [sent for sent in found if start_s <= sent.sent_s < end_s and sent.status]

    def served(self, service, start_s, end_s=float("inf")):
        asked = self.asked(service, start_s, end_s)
        return sum(request.status == 200 for request in asked) / len(asked)

    def unserved(self, service, start_s, end_s=float("inf")):
        """Count the answers of a span that aren't 200, by status and result code of the gateway."""
        lost = [sent for sent in self.asked(service, start_s, end_s) if sent.status != 200]
        results = [RESULT.search(sent.head) for sent in lost]
        return Counter((sent.status, r and r[1]) for sent, r in zip(lost, results, strict=True))

    def upstreams(self, service):
        return [u for u in self.site.upstreams.values() if u.service == service]

    def busiest(self):
        """Return, for each service, the upstream that ran the most requests."""
        return [
            max(self.upstreams(service), key=lambda upstream: len(upstream.ran))
            for service in (PLAIN, KEYED)
        ]

    def stop_callers(self):
        gevent.killall(self.tasks)

    def close(self):
        self.stop_callers()
        self.site.close()
