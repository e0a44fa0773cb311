"""An upstream sends some answers twice; the second one comes where the next answer is due."""

import asyncio
import os
import random
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.standins import site  # noqa: E402
from review.standins.http1 import Client  # noqa: E402
from review.standins.store import Store  # noqa: E402
from review.standins.upstream import Upstream  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = os.environ.get("SEED", str(time.time_ns()))
SECONDS = 95.0
UPSTREAMS = 5
FAULTY = 3  # share 0.6, the largest of the pages
EXTRA_SHARE = 0.03  # of the answers to requests
EPISODE_S, PAUSE_S = 5.0, 1.0
RATE_LIMIT = 1  # requests that an upstream takes in a tenth of a second; it answers others 429
GATEWAYS = 2
PAIRS_PER_S = 9.0  # requests come in pairs, for keys of one upstream
WITHIN_S = 0.03
WIDTH = 65_536 // UPSTREAMS
NOT_RUN = {408, 421, 429, 503}  # statuses that promise that a request has not run
CONFIG = {
    "version": "00000007",
    "services": [
        {
            "name": "keyed",
            "health_path": "/health",
            "max_connections": 110,
            "protocol": "h1",
            "tls": False,
            "sharded": True,
            "warm_s": 2.0,
            "grants": "call",
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "virtual_hosts": [
        {
            "host": "h.example",
            "route_paths": [
                {
                    "name": "r-1",
                    "path_prefix": "/k/",
                    "kind": "unsafe",
                    "timeout_ms": 1200,
                    "target_latency_ms": 600,
                    "priority": 0,
                    "service": "keyed",
                    "max_attempts": int(os.environ.get("MAX_ATTEMPTS", "2")),
                }
            ],
        }
    ],
}


class SentTwice:
    """Says which answers to requests are sent twice: rejections, few enough of all answers."""

    def __init__(self, start_s):
        self._start_s, self._answers, self._twice = start_s, 0, 0

    def __call__(self, text):
        """Return whether an answer is sent twice; called for each answer of an upstream."""
        if " to grant " in text or " to release " in text:
            return False
        self._answers += 1
        active = (time.monotonic() - self._start_s) % (EPISODE_S + PAUSE_S) < EPISODE_S
        few = self._twice + 1 <= EXTRA_SHARE * self._answers
        if not (active and few and text.startswith("429 ")):
            return False
        self._twice += 1
        return True


async def main(record, folder, gateways):
    store = Store()
    await store.start()
    store.put("config", "main", CONFIG)
    rng = random.Random(SEED)
    start_s = time.monotonic()
    upstreams = []
    for number in range(UPSTREAMS):
        upstream = Upstream(
            f"i-{number:08x}",
            "keyed",
            record,
            slots=4,
            queue=4,
            sharded=True,
            rate_limit=RATE_LIMIT,
        )
        await upstream.start()
        if TROUBLE and number < FAULTY:
            upstream.twice = SentTwice(start_s)
        upstreams.append(upstream)
        store.put("servers", upstream.server_id, *upstream.record())
    for number in range(GATEWAYS):
        gateway = site.Gateway(number + 1, store.port, folder)
        gateways.append(gateway)
        gateway.start()
    await site.until_ready(gateways)
    record(f"seed {SEED}, trouble {TROUBLE}")
    clients = [Client(gateway.front) for gateway in gateways]
    answers, tasks, begun_s = {}, [], time.monotonic()

    async def send(client, request_id, key):
        headers = [
            ("Host", "h.example"),
            ("Request-Id", request_id),
            ("Request-Deadline-Ms", "1200"),
            ("Shard-Key", str(key)),
            ("Work-Ms", "250"),
        ]
        record(f"sent {request_id} key {key}")
        answer = await client.ask("POST", "/k/x", headers, b"{}")
        answers[request_id] = answer.status if answer else 0
        record(f"answered {request_id}: {answers[request_id]}")

    while time.monotonic() - begun_s < SECONDS:
        await asyncio.sleep(rng.expovariate(PAIRS_PER_S))
        client = rng.choice(clients)
        first = rng.randrange(UPSTREAMS) * WIDTH
        for _ in range(2):
            key = first + rng.randrange(WIDTH)
            tasks.append(asyncio.ensure_future(send(client, f"{len(tasks):016x}", key)))
            await asyncio.sleep(WITHIN_S)
    await asyncio.gather(*tasks)
    await asyncio.sleep(1.5)
    runs = Counter(run.request_id for upstream in upstreams for run in upstream.runs)
    broken = [
        f"REFUSED broken: {request_id} was answered {status} and ran"
        for request_id, status in answers.items()
        if status in NOT_RUN and runs[request_id]
    ]
    broken += [
        f"TWICE broken: {request_id} ran {count} times"
        for request_id, count in runs.items()
        if count > 1
    ]
    for line in broken:
        record(line)
    statuses = Counter(answers.values())
    extra = sum(upstream.extras for upstream in upstreams)
    sent = sum(upstream.answers for upstream in upstreams)
    summary = (
        f"requests {len(tasks)}, answers {dict(statuses)}, runs {sum(runs.values())}, "
        f"answers of upstreams {sent}, answers too many {extra}, "
        f"rules broken {len(broken)} times"
    )
    record(summary)
    print(summary)
    ended = [gateway.node for gateway in gateways if gateway.process.poll() is not None]
    if ended or statuses[200] < len(tasks) / 2:
        record(f"not a sound run; ended: {ended}")
        return 2
    return 1 if broken else 0


def test_a_request_that_is_refused_has_not_run_and_never_will():
    """Run the case; the process ends with its exit code."""
    site.run_script(main, FOLDER)


if __name__ == "__main__":
    test_a_request_that_is_refused_has_not_run_and_never_will()
