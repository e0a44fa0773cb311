"""A leader loses its link to the store as it writes a move; the next leader forgets a standby."""

import asyncio
import os
import sys
import time
from pathlib import Path

from review.parts.http import ask
from review.parts.site import CouldNotRunError, Site, request_id, trouble
from review.parts.store import Store
from review.parts.upstream import KEYS, Upstream

GATEWAYS = 3
UPSTREAMS = 7  # one of them leaves: 0.14 of the service
CUT_S = 5.5
LATE_S = 1.0, 6.0  # after it was sent, a write without an answer is carried out
WATCHED_S = 14.0
SAMPLE_S = 0.02
LEASE, MAPS = "leader", "/ploverhatch/objects/keymaps"  # as the gateways name them in the store
BOTH_S = 0.5  # for longer than this, two up upstreams may not hold the same keys


def configuration() -> dict:
    service = {
        "name": "keyed",
        "health_path": "/health",
        "max_connections": 110,
        "protocol": "h1",
        "tls": False,
        "sharded": True,
        "warm_s": 2.0,
        "grants": "call",
    }
    route = {
        "name": "r-1",
        "path_prefix": "/a/",
        "kind": "safe",
        "timeout_ms": 2000,
        "target_latency_ms": 500,
        "priority": 1,
        "service": "keyed",
        "max_attempts": 2,
    }
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    return {
        "version": f"{1:08x}",
        "services": [service],
        "limits": limits,
        "virtual_hosts": [{"host": "a.example", "route_paths": [route]}],
    }


class Judge:
    """Looks at who holds each key, as the upstreams know it."""

    def __init__(self, site: Site, upstreams: list[Upstream]) -> None:
        self.site, self.upstreams = site, upstreams
        self.since: dict[tuple[int, str, str], float] = {}
        self.longest: dict[tuple[str, str], tuple[float, int]] = {}  # seconds and keys

    async def watch(self) -> None:
        while True:
            now = time.monotonic()
            both = {}
            for key in KEYS:
                held = [u for u in self.upstreams if u.leases.get(key, (0, 0.0))[1] > now]
                for one in held:
                    for other in held:
                        if one.id < other.id:
                            both[key, one.id, other.id] = self.since.get(
                                (key, one.id, other.id), now
                            )
            for (key, one, other), since in both.items():
                if (key, one, other) not in self.since:
                    self.site.note(f"key {key} is held by {one} and {other}")
                longest, keys = self.longest.get((one, other), (0.0, 0))
                new = (key, one, other) not in self.since
                self.longest[one, other] = max(longest, now - since), keys + new
            for key, one, other in self.since.keys() - both.keys():
                self.site.note(f"key {key} is no longer held by both {one} and {other}")
            self.since = both
            await asyncio.sleep(SAMPLE_S)


async def send_all(site: Site, gateway, number: int, answers: list) -> None:
    async def one(key: int) -> None:
        name, sent = request_id(), time.monotonic()
        answer = await ask(
            gateway.front,
            "GET /a/1 HTTP/1.1",
            {
                "Host": "a.example",
                "Request-Id": name,
                "Request-Deadline-Ms": "2000",
                "Shard-Key": str(key),
            },
            b"",
            4.0,
        )
        answers.append((sent, name, gateway.node, key, answer.start[1] if answer else "none"))

    tasks = set()
    while True:
        number += 1
        task = asyncio.create_task(one(KEYS[number * 37 % len(KEYS)]))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(0.03)


async def run(site: Site) -> int:
    store, runs = Store(), []
    store.put("config", "main", configuration())
    zones = ("z1", "z2", "z3")
    upstreams = [
        Upstream(store, runs, "keyed", zones[number % 3], sharded=True)
        for number in range(UPSTREAMS)
    ]
    for upstream in upstreams:
        await upstream.start()
        upstream.register()
    await site.start([await store.start(f"front-{number}") for number in range(GATEWAYS)])
    answers = []
    for number, gateway in enumerate(site.gateways):
        asyncio.create_task(send_all(site, gateway, number * 300, answers))
    judge = Judge(site, upstreams)
    watch = asyncio.create_task(judge.watch())
    await asyncio.sleep(8.0)

    def leader() -> str:
        lease = store.kinds.get("leases", {}).get(LEASE)
        return lease["spec"]["node"] if lease else ""

    first = leader()
    site.say(f"{first} leads")
    held: list[tuple[float, dict]] = []

    def intercept(machine: str, method: str, path: str, document: dict) -> bool:
        if not path.startswith(MAPS):
            return False
        if machine == first and not held:
            held.append((time.monotonic(), document))
            store.cut.add(first)
            site.say(f"{first} loses its link to the store while it writes a move of keys")
            return True
        if machine != first and held and not done:
            sent, late = held[0]
            item = store.kinds["keymaps"]["keyed"]
            after_s = time.monotonic() - sent
            holds = late["metadata"]["revision"] == item["metadata"]["revision"]
            if LATE_S[0] <= after_s <= LATE_S[1] and holds:
                done.append(machine)
                store.put("keymaps", "keyed", late["spec"], status=item["status"])
                site.say(f"{after_s:.2f} s after it was sent that write is carried out")
                site.say(f"just after it, the first write of {machine} arrives")
        return False

    done: list[str] = []
    if trouble():
        store.intercept = intercept
    leaving = next(upstream for upstream in upstreams if upstream.leases)
    leaving.state = "draining"
    leaving.beat()
    site.say(f"{leaving.id} announces that it is draining")
    began = time.monotonic()
    while time.monotonic() - began < WATCHED_S:
        if held and time.monotonic() - began > CUT_S and first in store.cut:
            store.cut.discard(first)
            site.say(f"{first} reaches the store again")
        await asyncio.sleep(0.05)
    watch.cancel()
    site.say(f"{leader()} leads")
    for entry in runs:
        site.note(f"{entry['id']} of key {entry['key']} run by {entry['by']}", entry["t"])
    for sent, name, node, key, status in answers:
        site.note(f"{name} of key {key} sent to {node}, answered {status}", sent)
    for upstream in upstreams:
        for call in upstream.grants:
            site.note(f"{upstream.id} takes {call}", call["t"])
    for (one, other), (longest, keys) in sorted(judge.longest.items()):
        site.say(f"{one} and {other} hold the same keys for {longest:.2f} s, {keys} keys looked at")
    if trouble() and not (held and done):
        raise CouldNotRunError("no move was under way, or no other node led")
    return 1 if any(longest > BOTH_S for longest, _ in judge.longest.values()) else 0


def main() -> int:
    site = Site(Path(__file__).parent / "record.txt")
    try:
        loop = asyncio.new_event_loop()
        return loop.run_until_complete(run(site))
    except (CouldNotRunError, OSError) as error:
        site.say(f"couldn't run: {error}")
        return 2
    finally:
        site.close()


if __name__ == "__main__":
    code = main()
    sys.stdout.flush()
    os._exit(code)  # tasks of the stand-ins are left as they are
