"""Planned work of an operator and random faults for a stand-in site."""

import random
import signal
from collections import Counter
from dataclasses import dataclass
from math import inf

import gevent

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.simulation.keys.server import SAMPLE_KEYS
from tests.standin.callers import Caller, ConcurrentCallers
from tests.standin.malformed_entries import CHANGES, malformed_record
from tests.standin.site import KEYED, PLAIN, configuration
from tests.standin.store_restore import restore_store
from tests.standin.upstream import Upstream

SERIES_PAUSE_S = (1.0, 2.0)  # between successive nodes of a series
SECOND_SERIES_S = (1.0, 4.0)  # delay of the second series after the start of the first
ROUND_PAUSE_S = (3.0, 6.0)
RESTART_PAUSE_S = (0.0, 1.0)
BACKGROUND_PAUSE_S = (0.2, 1.0)
RETRY_SLACKS = (20.0, 50.0, 80.0)
FAULT_PAUSE_S = (0.3, 2.5)
FAULT_DURATION_S = (0.5, 6.0)
BACKOFF_S = (0.8, 4.0)  # that an upstream asks for
OUTAGE_S = (0.1, 1.5)  # of the store before a restore
LIMITS_PER_S = (1.0, 8.0)  # requests per second that an upstream accepts
FAILING_SHARE = 0.2  # of what an upstream runs, while it fails
MAX_LIMITED = 2  # upstreams with a limit at the same time
UPSTREAM_DOWN_S = (0.1, 2.0)  # from a crash to the restart under the same id
CRASHING_PAUSE_S = (0.3, 3.0)  # between repeats of a request that crashes servers
CONCURRENT_CALLERS = (8, 40)
CONCURRENT_PAUSE_S = 0.2  # between requests of each caller
CONCURRENT_DURATION_S = 10.0  # long enough for the keys to move to their next holder
CRASHING_DURATION_S = (4.0, 16.0)


@dataclass(frozen=True)
class FaultKinds:
    """The kinds of faults that are injected, named after the options of ``tests.soak``."""

    planned_only: bool = False
    sound_store: bool = False
    wishes: bool = False
    crowds: bool = False
    drills: bool = False
    bursts: bool = False
    failures: bool = False


class PlannedWork:
    """Stops and restarts in overlapping series, with SIGHUP and new configurations in between."""

    def __init__(self, site, seed):
        self.site = site
        self.seed = seed
        self.seen = Counter()
        self._series = []
        self._stops = []

    def run(self):
        """Run pairs of overlapping series, with background tasks beside them, until killed."""
        rng = random.Random(f"{self.seed} series")
        self._series.append(gevent.spawn(self._run_background_tasks))
        for number in range(1_000_000):
            pair = [self.begin_series(f"{number} first")]
            gevent.sleep(rng.uniform(*SECOND_SERIES_S))
            pair.append(self.begin_series(f"{number} second"))
            gevent.joinall(pair)
            gevent.sleep(rng.uniform(*ROUND_PAUSE_S))

    def end(self):
        """Start no more work; stops that have begun go on."""
        gevent.killall(self._series)

    def settle(self, limit_s):
        """Wait until every stopped process has been restarted, for at most ``limit_s``."""
        gevent.joinall(self._stops, timeout=limit_s)

    def begin_series(self, name):
        """Start a series that stops each node once, in an order drawn from the series' name."""
        self.seen["series"] += 1
        series = gevent.spawn(self._stop_each, random.Random(f"{self.seed} series {name}"))
        self._series.append(series)
        return series

    def _stop_each(self, rng):
        for gateway in rng.sample(self.site.gateways, len(self.site.gateways)):
            self.stop(gateway, rng.uniform(*RESTART_PAUSE_S))
            gevent.sleep(rng.uniform(*SERIES_PAUSE_S))

    def stop(self, gateway, pause_s):
        """Send SIGTERM; for the first one, also await the end and restart after a pause."""
        incarnation = gateway.incarnation
        if incarnation.stop():
            self.seen["stop"] += 1
            self._stops.append(gevent.spawn(self._restart, gateway, incarnation, pause_s))
        elif incarnation.alive:
            self.seen["stop_again"] += 1

    def _restart(self, gateway, incarnation, pause_s):
        incarnation.finish()
        gevent.sleep(pause_s)
        if gateway.incarnation is incarnation:
            gateway.start()

    def _run_background_tasks(self):
        rng = random.Random(f"{self.seed} errands")
        while True:
            gevent.sleep(rng.uniform(*BACKGROUND_PAUSE_S))
            gateway = rng.choice(self.site.gateways)
            task = rng.choice([self.stop_again, self.hang_up, self.reconfigure])
            task(gateway, rng)

    def stop_again(self, gateway, _rng):
        """Send another SIGTERM to a stopping process."""
        if gateway.incarnation.stopping:
            self.stop(gateway, 0.0)

    def hang_up(self, gateway, rng):
        """Change a setting and have the process read its settings again."""
        gateway.write_settings(rng.choice(RETRY_SLACKS))
        if gateway.started():
            self.seen["hang_up"] += 1
            gateway.signal(signal.SIGHUP)

    def reconfigure(self, _gateway, _rng):
        """Store a new version of the configuration."""
        self.seen["reconfigure"] += 1
        self.site.version += 3
        self.site.store.put("config", "main", configuration(self.site.version))


class Faults:
    """Injects faults, with planned work in between, and heals them.

    The names of the fault methods are printed by ``tests.soak``.
    """

    def __init__(self, site, seed, planned, enabled):
        self.site = site
        self.planned = planned
        self.random = random.Random(f"{seed} faults")
        self.seen = Counter()
        self.crashing_requests = []
        self.healed_s = inf  # elapsed
        self.malformed = []  # upstreams whose entries are malformed: no request may reach them
        self._tasks = []
        store_faults = [
            self.store_refuses, self.store_silent, self.store_slow, self.store_loses,
            self.store_forgets,
        ]  # fmt: skip
        self.kinds = [
            self.kill, self.kill_all, self.freeze, self.freeze, self.stop, self.upstream_ends,
            self.upstream_leaves, self.upstream_joins, self.reconfigure, self.stop_twice,
            self.series, self.hang_up, self.killer, self.killer,
            *([] if enabled.sound_store else store_faults),
        ]  # fmt: skip
        if enabled.wishes:  # appended, so that seeds of runs without them draw the same faults
            self.kinds += [
                self.upstream_says_it_leaves, self.upstream_says_it_leaves, self.upstream_rests,
                self.upstream_rests, self.upstream_reborn, self.upstream_reborn, self.odd_entry,
            ]  # fmt: skip

        if enabled.crowds:
            self.kinds += [self.crowd, self.crowd, self.crowd, self.crowd]
        if enabled.drills:
            self.kinds += [self.store_drill] * 3 + [self.upstream_limits] * 2
        if enabled.failures:
            self.kinds += [self.upstream_fails] * 4

    def run(self):
        while True:
            gevent.sleep(self.random.uniform(*FAULT_PAUSE_S))
            kind = self.random.choice(self.kinds)
            self.seen[kind.__name__] += 1
            kind()

    def _duration_s(self):
        return self.random.uniform(*FAULT_DURATION_S)

    def later(self, task, *arguments):
        gevent.spawn_later(self._duration_s(), task, *arguments)

    def _gateway(self):
        return self.random.choice(self.site.gateways)

    def restart(self, gateway):
        if not gateway.incarnation.alive:
            gateway.start()

    def kill(self):
        gateway = self._gateway()
        gateway.kill()
        self.later(self.restart, gateway)

    def kill_all(self):
        for gateway in self.site.gateways:
            gateway.kill()
            self.later(self.restart, gateway)

    def freeze(self):
        self._gateway().incarnation.freeze(self._duration_s())

    def stop(self):
        self.planned.stop(self._gateway(), self.random.uniform(*RESTART_PAUSE_S))

    def stop_twice(self):
        gateway = self._gateway()
        self.planned.stop(gateway, self.random.uniform(*RESTART_PAUSE_S))
        pause_s = self.random.uniform(*SERIES_PAUSE_S)
        gevent.spawn_later(pause_s, self.planned.stop_again, gateway, self.random)

    def series(self):
        self.planned.begin_series(f"among faults {self.seen['series']}")

    def hang_up(self):
        self.planned.hang_up(self._gateway(), self.random)

    def reconfigure(self):
        self.planned.reconfigure(None, self.random)

    def killer(self):
        """Repeat a request that crashes its upstreams, each time at a random node."""
        number = len(self.crashing_requests)
        caller = Caller(
            f"killer{number}",
            self.random.choice(["/read/killer", "/p/killer", "/kread/killer"]) + str(number),
            f"127.0.1.{number % 250 + 1}",
            b"body %d" % number,
            crashes_server=True,
            key=self.random.choice(SAMPLE_KEYS),
            method="POST",
        )
        self.crashing_requests.append(caller)
        rng = random.Random(self.random.random())
        self._tasks.append(gevent.spawn(self._repeat, caller, rng))

    def crowd(self):
        """Have concurrent callers send a request that crashes its upstreams, at random nodes."""
        number, key = len(self.crashing_requests), self.random.choice(SAMPLE_KEYS)
        path = self.random.choice(["/read/crowd", "/kread/crowd"]) + str(number)
        callers = [
            Caller(f"crowd{number}-{n}", path, f"127.0.2.{n + 1}", crashes_server=True, key=key)
            for n in range(self.random.randint(*CONCURRENT_CALLERS))
        ]
        self.crashing_requests.append(ConcurrentCallers(f"crowd{number}", path, callers))
        for caller in callers:
            rng = random.Random(self.random.random())
            self._tasks.append(gevent.spawn(self._send_concurrently, caller, rng))

    def _send_concurrently(self, caller, rng):
        gevent.sleep(rng.uniform(0.0, CONCURRENT_PAUSE_S))
        end_s = elapsed_ms() / 1000 + CONCURRENT_DURATION_S
        while elapsed_ms() / 1000 < end_s:
            gevent.spawn(caller.ask, rng.choice(self.site.gateways))
            gevent.sleep(CONCURRENT_PAUSE_S * rng.uniform(0.8, 1.2))

    def _repeat(self, caller, rng):
        end_s = elapsed_ms() / 1000 + rng.uniform(*CRASHING_DURATION_S)
        while elapsed_ms() / 1000 < end_s:
            gevent.spawn(caller.ask, rng.choice(self.site.gateways))
            gevent.sleep(rng.uniform(*CRASHING_PAUSE_S))

    def _store_fault(self, name, value, healed):
        now_s, duration_s = elapsed_ms() / 1000, self._duration_s()
        self.site.store_faults.append((now_s, now_s + duration_s))
        setattr(self.site.store.faults, name, value)
        self.site.store.wake()
        gevent.spawn_later(duration_s, setattr, self.site.store.faults, name, healed)

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
        self.site.store_faults.append((elapsed_ms() / 1000, elapsed_ms() / 1000))
        self.site.store.compact()

    def store_drill(self):
        """Restore the store later from a copy that is made now, after a short outage."""
        self.later(self._restore, self.site.store.copy())

    def _restore(self, copy):
        outage_s, now_s = self.random.uniform(*OUTAGE_S), elapsed_ms() / 1000
        self.site.store_faults.append((now_s, now_s + outage_s))
        self.site.store.faults.refuse = 503
        gevent.sleep(outage_s)
        restore_store(self.site.store, copy, watches_end=self.random.random() < 0.5)
        self.site.store.faults.refuse = 0

    def upstream_limits(self):
        """Have an upstream announce a rate limit until the faults are healed."""
        upstream = self._random_upstream()
        limited = [other for other in self.site.upstreams.values() if other.behaviour.limit]
        if upstream is not None and upstream not in limited and len(limited) < MAX_LIMITED:
            upstream.behaviour.limit = f"{self.random.uniform(*LIMITS_PER_S):.1f}"

    def _random_upstream(self):
        """Return a random upstream that serves and stays, or ``None`` if at most four do."""
        alive = [
            upstream
            for upstream in self.site.upstreams.values()
            if ("servers", upstream.server_id) in self.site.store.objects
            and upstream.crashed_s is None
            and not upstream.behaviour.leaving
        ]
        return self.random.choice(alive) if len(alive) > 4 else None

    def upstream_ends(self):
        upstream = self._random_upstream()
        if upstream is not None and upstream.service == KEYED:
            upstream.crash()
            self.later(self.site.drop_record, upstream)
            self.later(self.site.start_upstream, upstream.service)

    def upstream_leaves(self):
        upstream = self._random_upstream()
        if upstream is not None:
            record = upstream.record(upstream.service, state="draining")
            self.site.store.put("servers", upstream.server_id, *record)
            gevent.spawn_later(4.0, self.site.drop_record, upstream)
            self.later(self.site.start_upstream, upstream.service)

    def upstream_says_it_leaves(self):
        """Have an upstream announce its leaving in answers before its store entry shows it."""
        upstream = self._random_upstream()
        if upstream is not None:
            upstream.behaviour.leaving = True
            self.site.start_upstream(upstream.service)
            self.later(self._leave_in_store, upstream)

    def _leave_in_store(self, upstream):
        """Mark an upstream as draining in the store, and remove its entry 4 s later."""
        record = upstream.record(upstream.service, state="draining")
        if upstream.crashed_s is None:
            self.site.store.put("servers", upstream.server_id, *record)
            gevent.spawn_later(4.0, self.site.drop_record, upstream)

    def upstream_rests(self):
        """Have an upstream reject requests and ask for backoff, for a time."""
        upstream = self._random_upstream()
        if upstream is not None:
            upstream.behaviour.backoff_s = self.random.uniform(*BACKOFF_S)
            self.later(setattr, upstream.behaviour, "backoff_s", 0.0)

    def upstream_fails(self):
        """Have an upstream end a part of the requests that it runs with error statuses."""
        upstream = self._random_upstream()
        if upstream is not None:
            upstream.behaviour.failing_share = FAILING_SHARE
            self.later(setattr, upstream.behaviour, "failing_share", 0.0)

    def upstream_reborn(self):
        """Crash an upstream and start it again under its id, at its old or a new address."""
        upstream = self._random_upstream()
        if upstream is not None:
            pause_s, elsewhere = self.random.uniform(*UPSTREAM_DOWN_S), self.random.random() < 0.7
            self._tasks.append(
                gevent.spawn(self.site.restart_upstream, upstream, pause_s, elsewhere)
            )

    def odd_entry(self):
        """Store a malformed server entry of another writer for a time."""
        name = f"odd-{len(self.malformed)}"
        upstream = self.site.upstreams[name] = Upstream(name)
        upstream.service = PLAIN
        self.malformed.append(upstream)
        change = CHANGES[self.random.choice(sorted(CHANGES))]
        self.site.store.put("servers", name, *malformed_record(upstream, PLAIN, change))
        self.later(self.site.store.remove, "servers", name)

    def upstream_joins(self):
        if len(self.site.upstreams) < 30:
            self.site.start_upstream(KEYED)

    def heal(self):
        gevent.killall(self._tasks)
        self.healed_s = elapsed_ms() / 1000
        for upstream in self.site.upstreams.values():
            upstream.behaviour.limit = ""
            upstream.behaviour.failing_share = 0.0
        faults = self.site.store.faults
        faults.refuse = faults.lose_answers = 0
        faults.silent = False
        faults.delay_s = 0.0
        for gateway in self.site.gateways:
            gateway.signal(signal.SIGCONT)
