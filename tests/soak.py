"""Randomized faults over real gateway processes, against our stand-ins.

    python -m tests.soak --seconds 300 --seed 1

A client sends requests that may run once at most, each with an id of its own;
faults come at random: processes killed, frozen and stopped, the store away,
slow, losing answers and its history, upstreams ending, leaving and joining.
At the end all is healed and judged from the upstreams' records alone. Exit
code 1 when a promise was broken; the gateways' logs are kept then.
"""

import random
import shutil
import signal
import sys
import time
from collections import Counter

import click
import gevent
from gevent import socket

from ploverhatch.simulation.keys.judge import judge
from ploverhatch.simulation.keys.server import SAMPLE_KEYS
from tests.standin.site import KEYED, StandinSite, configuration

REQUEST_PAUSE_S = 0.01
CLIENTS = 6
ANSWER_LIMIT_S = 4.0
FAULT_PAUSE_S = (0.3, 2.5)
FAULT_LENGTH_S = (0.5, 6.0)
RECOVERY_LIMIT_S = 40.0
NO_ANSWER = 0
NOT_RUN = {429, 503}


class Load:
    """Clients, and what they saw."""

    def __init__(self, site, chance):
        self.site = site
        self.random = chance
        self.answers = {}  # id -> (status, body)
        self.count = 0

    def run(self):
        while True:
            gevent.sleep(REQUEST_PAUSE_S)
            gateway = self.random.choice(self.site.gateways)
            keyed = self.random.random() < 0.7
            self.ask(gateway, self.random.choice(SAMPLE_KEYS) if keyed else None)

    def ask(self, gateway, key):
        self.count += 1
        name = f"r{self.count}"
        path = "/p/a" if key is None else "/k/a"
        head = (
            f"POST {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {name}\r\n"
            f"Request-Deadline-Ms: 2000\r\nConnection: close\r\nContent-Length: 0\r\n"
        )
        if key is not None:
            head += f"Shard-Key: {key}\r\n"
        self.answers[name] = status, _ = exchange(gateway.front, (head + "\r\n").encode())
        return status


def exchange(port, payload):
    """Return status and body; status 0 when no whole answer came."""
    data = b""
    try:
        with gevent.Timeout(ANSWER_LIMIT_S, OSError):
            sock = socket.create_connection(("127.0.0.1", port))
            with sock:
                sock.sendall(payload)
                while part := sock.recv(65536):
                    data += part
    except OSError:
        return NO_ANSWER, b""
    head, _, body = data.partition(b"\r\n\r\n")
    return (int(head.split()[1]), body) if head else (NO_ANSWER, b"")


class Faults:
    """Brings faults about and heals them."""

    def __init__(self, site, chance):
        self.site = site
        self.random = chance
        self.seen = Counter()
        self.kinds = [
            self.kill, self.kill_all, self.freeze, self.stop, self.store_refuses,
            self.store_silent, self.store_slow, self.store_loses, self.store_forgets,
            self.upstream_ends, self.upstream_leaves, self.upstream_joins, self.reconfigure,
        ]  # fmt: skip

    def run(self):
        while True:
            gevent.sleep(self.random.uniform(*FAULT_PAUSE_S))
            kind = self.random.choice(self.kinds)
            self.seen[kind.__name__] += 1
            kind()

    def later(self, task, *arguments):
        gevent.spawn_later(self.random.uniform(*FAULT_LENGTH_S), task, *arguments)

    def _gateway(self):
        return self.random.choice(self.site.gateways)

    def restart(self, gateway):
        if gateway.process.poll() is not None:
            gateway.start()

    def kill(self):
        gateway = self._gateway()
        gateway.end()
        self.later(self.restart, gateway)

    def kill_all(self):
        for gateway in self.site.gateways:
            gateway.end()
            self.later(self.restart, gateway)

    def freeze(self):
        gateway = self._gateway()
        gateway.signal(signal.SIGSTOP)
        self.later(gateway.signal, signal.SIGCONT)

    def stop(self):
        gateway = self._gateway()
        gateway.signal(signal.SIGTERM)
        gevent.spawn_later(8.0, self.restart, gateway)

    def _store_fault(self, name, value, healed):
        setattr(self.site.store.faults, name, value)
        self.site.store.wake()
        self.later(setattr, self.site.store.faults, name, healed)

    def store_refuses(self):
        self._store_fault("refuse", self.random.choice([429, 503]), 0)

    def store_silent(self):
        self._store_fault("silent", True, False)

    def store_slow(self):
        self._store_fault("delay_s", 0.3, 0.0)

    def store_loses(self):
        self.site.store.faults.lose_late_s = self.random.choice([0.0, 2.0])
        self._store_fault("lose_answers", self.random.randint(1, 3), 0)

    def store_forgets(self):
        self.site.store.compact()

    def _some_upstream(self):
        alive = [
            upstream
            for upstream in self.site.upstreams.values()
            if ("servers", upstream.server_id) in self.site.store.objects
        ]
        return self.random.choice(alive) if len(alive) > 4 else None

    def _remove(self, upstream):
        if ("servers", upstream.server_id) in self.site.store.objects:
            self.site.store.remove("servers", upstream.server_id)

    def upstream_ends(self):
        upstream = self._some_upstream()
        if upstream is not None and upstream.service == KEYED:
            upstream.end()
            self.later(self._remove, upstream)
            self.later(self.site.start_upstream, upstream.service)

    def upstream_leaves(self):
        upstream = self._some_upstream()
        if upstream is not None:
            record = upstream.record(upstream.service, state="draining")
            self.site.store.put("servers", upstream.server_id, *record)
            gevent.spawn_later(4.0, self._remove, upstream)
            self.later(self.site.start_upstream, upstream.service)

    def upstream_joins(self):
        if len(self.site.upstreams) < 30:
            self.site.start_upstream(KEYED)

    def reconfigure(self):
        self.site.version += 3
        self.site.store.put("config", "main", configuration(self.site.version))

    def heal(self):
        faults = self.site.store.faults
        faults.refuse = faults.lose_answers = 0
        faults.silent = False
        faults.delay_s = 0.0
        for gateway in self.site.gateways:
            gateway.signal(signal.SIGCONT)


def broken_promises(site, load):
    """Return what the upstreams' records show."""
    runs = Counter(name for name, _ in site.ran())
    by_name = dict(site.ran())
    found = [f"{name} ran {count} times" for name, count in runs.items() if count > 1]
    for name, (status, body) in load.answers.items():
        if status in NOT_RUN and runs[name]:
            found.append(f"{name} was answered {status} and ran")
        if status == 200 and body != b"answer of " + by_name.get(name, "?").encode():
            found.append(f"{name} got another's answer")
    return found + judge(site.journal.holds)


def recovered(site, load):
    """Whether every key is served by every gateway again."""
    return all(load.ask(gateway, key) == 200 for gateway in site.gateways for key in SAMPLE_KEYS)


def soak(seconds, seed):
    """Run one soak; return what was broken, the load, the faults and the site."""
    chance = random.Random(seed)
    site = StandinSite()
    load = Load(site, chance)
    faults = Faults(site, chance)
    gevent.sleep(4.0)
    clients = [gevent.spawn(load.run) for _ in range(CLIENTS)]
    trouble = gevent.spawn(faults.run)
    gevent.sleep(seconds)
    trouble.kill()
    gevent.sleep(FAULT_LENGTH_S[1] + 3.0)
    faults.heal()
    gevent.killall(clients)
    found = []
    deadline = time.monotonic() + RECOVERY_LIMIT_S
    while not recovered(site, load):
        if time.monotonic() > deadline:
            found.append("not every key is served again")
            break
        gevent.sleep(0.5)
    return found + broken_promises(site, load), load, faults, site


@click.command()
@click.option("--seconds", default=60.0, show_default=True, help="How long faults come.")
@click.option("--seed", default=1, show_default=True)
@click.option("--keep-logs", type=click.Path(file_okay=False), help="Where logs go if it fails.")
def main(seconds, seed, keep_logs):
    found, load, faults, site = soak(seconds, seed)
    statuses = Counter(status for status, _ in load.answers.values())
    click.echo(f"seed {seed}: {load.count} requests, answers {dict(statuses)}")
    click.echo(f"faults {dict(faults.seen)}")
    for sentence in found[:20]:
        click.echo(f"  {sentence}")
    if found and keep_logs:
        shutil.copytree(site.folder.name, keep_logs, dirs_exist_ok=True)
    site.close()
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()
