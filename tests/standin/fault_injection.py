"""What happens to a stand-in site: planned work of its operator, and faults."""

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

SERIES_PAUSE_S = (1.0, 2.0)  # from one node of a series to the next
SECOND_SERIES_S = (1.0, 4.0)  # after the first one began
ROUND_PAUSE_S = (3.0, 6.0)
RESTART_PAUSE_S = (0.0, 1.0)
ERRAND_PAUSE_S = (0.2, 1.0)
RETRY_SLACKS = (20.0, 50.0, 80.0)
FAULT_PAUSE_S = (0.3, 2.5)
FAULT_LENGTH_S = (0.5, 6.0)
REST_S = (0.8, 4.0)  # that an upstream asks for
AWAY_S = (0.1, 1.5)  # of the store in a drill
LIMITS = (1.0, 8.0)  # requests a second that an upstream takes
MOST_LIMITED = 2  # upstreams at a time
REBIRTH_S = (0.1, 2.0)  # from its crash to its next start
KILLER_PAUSE_S = (0.3, 3.0)  # between repeats of a request that ends servers
CROWD = (8, 40)  # callers
CROWD_PAUSE_S = 0.2  # of each one
CROWD_LENGTH_S = 10.0  # long enough for the keys to be with their next holder
KILLER_LENGTH_S = (4.0, 16.0)


@dataclass(frozen=True)
class FaultKinds:
    """What kinds of trouble come."""

    planned_only: bool = False
    sound_store: bool = False
    wishes: bool = False
    crowds: bool = False
    drills: bool = False


class PlannedWork:
    """Stops with a restart, in series that overlap; SIGHUP and changes in between."""

    def __init__(self, site, seed):
        self.site = site
        self.seed = seed
        self.seen = Counter()
        self._series = []
        self._stops = []

    def run(self):
        """Keep two overlapping series going, and errands beside them."""
        chance = random.Random(f"{self.seed} series")
        self._series.append(gevent.spawn(self._run_errands))
        for number in range(1_000_000):
            pair = [self.begin_series(f"{number} first")]
            gevent.sleep(chance.uniform(*SECOND_SERIES_S))
            pair.append(self.begin_series(f"{number} second"))
            gevent.joinall(pair)
            gevent.sleep(chance.uniform(*ROUND_PAUSE_S))

    def end(self):
        """Begin nothing more; stops that were begun are finished."""
        gevent.killall(self._series)

    def settle(self, limit_s):
        """Wait until every process that was stopped has been started again."""
        gevent.joinall(self._stops, timeout=limit_s)

    def begin_series(self, name):
        """Stop each node in turn, in an order of the series' own."""
        self.seen["series"] += 1
        series = gevent.spawn(self._stop_each, random.Random(f"{self.seed} series {name}"))
        self._series.append(series)
        return series

    def _stop_each(self, chance):
        for gateway in chance.sample(self.site.gateways, len(self.site.gateways)):
            self.stop(gateway, chance.uniform(*RESTART_PAUSE_S))
            gevent.sleep(chance.uniform(*SERIES_PAUSE_S))

    def stop(self, gateway, pause_s):
        """Send SIGTERM; where it is the first, see to the end and to the next start."""
        life = gateway.incarnation
        if life.stop():
            self.seen["stop"] += 1
            self._stops.append(gevent.spawn(self._restart, gateway, life, pause_s))
        elif life.alive:
            self.seen["stop_again"] += 1

    def _restart(self, gateway, life, pause_s):
        life.finish()
        gevent.sleep(pause_s)
        if gateway.incarnation is life:
            gateway.start()

    def _run_errands(self):
        chance = random.Random(f"{self.seed} errands")
        while True:
            gevent.sleep(chance.uniform(*ERRAND_PAUSE_S))
            gateway = chance.choice(self.site.gateways)
            errand = chance.choice([self.stop_again, self.hang_up, self.reconfigure])
            errand(gateway, chance)

    def stop_again(self, gateway, _chance):
        """Send SIGTERM once more to a process that stops."""
        if gateway.incarnation.stopping:
            self.stop(gateway, 0.0)

    def hang_up(self, gateway, chance):
        """Have a process read its settings again, some of which changed."""
        gateway.write_settings(chance.choice(RETRY_SLACKS))
        if gateway.started():
            self.seen["hang_up"] += 1
            gateway.signal(signal.SIGHUP)

    def reconfigure(self, _gateway, _chance):
        """Put a new configuration into the store."""
        self.seen["reconfigure"] += 1
        self.site.version += 3
        self.site.store.put("config", "main", configuration(self.site.version))


class Faults:
    """Brings faults about and heals them; planned work comes in between."""

    def __init__(self, site, seed, planned, trouble):
        self.site = site
        self.planned = planned
        self.random = random.Random(f"{seed} faults")
        self.seen = Counter()
        self.crashing_requests = []
        self.healed_s = inf  # elapsed
        self.malformed = []  # upstreams whose entries name none to use
        self._tasks = []
        of_store = [
            self.store_refuses, self.store_silent, self.store_slow, self.store_loses,
            self.store_forgets,
        ]  # fmt: skip
        self.kinds = [
            self.kill, self.kill_all, self.freeze, self.freeze, self.stop, self.upstream_ends,
            self.upstream_leaves, self.upstream_joins, self.reconfigure, self.stop_twice,
            self.series, self.hang_up, self.killer, self.killer,
            *([] if trouble.sound_store else of_store),
        ]  # fmt: skip
        if trouble.wishes:  # apart, so that the seeds of runs without them stay what they were
            self.kinds += [
                self.upstream_says_it_leaves, self.upstream_says_it_leaves, self.upstream_rests,
                self.upstream_rests, self.upstream_reborn, self.upstream_reborn, self.odd_entry,
            ]  # fmt: skip

        if trouble.crowds:
            self.kinds += [self.crowd, self.crowd, self.crowd, self.crowd]
        if trouble.drills:
            self.kinds += [self.store_drill] * 3 + [self.upstream_limits] * 2

    def run(self):
        while True:
            gevent.sleep(self.random.uniform(*FAULT_PAUSE_S))
            kind = self.random.choice(self.kinds)
            self.seen[kind.__name__] += 1
            kind()

    def _length_s(self):
        return self.random.uniform(*FAULT_LENGTH_S)

    def later(self, task, *arguments):
        gevent.spawn_later(self._length_s(), task, *arguments)

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
        self._gateway().incarnation.freeze(self._length_s())

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
        """Have a request that ends its upstreams come again and again, at any node."""
        number = len(self.crashing_requests)
        killer = Caller(
            f"killer{number}",
            self.random.choice(["/read/killer", "/p/killer", "/kread/killer"]) + str(number),
            f"127.0.1.{number % 250 + 1}",
            b"body %d" % number,
            crashes_server=True,
            key=self.random.choice(SAMPLE_KEYS),
            method="POST",
        )
        self.crashing_requests.append(killer)
        chance = random.Random(self.random.random())
        self._tasks.append(gevent.spawn(self._repeat, killer, chance))

    def crowd(self):
        """Have many callers ask at once for what ends its upstreams, at any node."""
        number, key = len(self.crashing_requests), self.random.choice(SAMPLE_KEYS)
        path = self.random.choice(["/read/crowd", "/kread/crowd"]) + str(number)
        callers = [
            Caller(f"crowd{number}-{n}", path, f"127.0.2.{n + 1}", crashes_server=True, key=key)
            for n in range(self.random.randint(*CROWD))
        ]
        self.crashing_requests.append(ConcurrentCallers(f"crowd{number}", path, callers))
        for caller in callers:
            chance = random.Random(self.random.random())
            self._tasks.append(gevent.spawn(self._press, caller, chance))

    def _press(self, caller, chance):
        gevent.sleep(chance.uniform(0.0, CROWD_PAUSE_S))
        end_s = elapsed_ms() / 1000 + CROWD_LENGTH_S
        while elapsed_ms() / 1000 < end_s:
            gevent.spawn(caller.ask, chance.choice(self.site.gateways))
            gevent.sleep(CROWD_PAUSE_S * chance.uniform(0.8, 1.2))

    def _repeat(self, killer, chance):
        end_s = elapsed_ms() / 1000 + chance.uniform(*KILLER_LENGTH_S)
        while elapsed_ms() / 1000 < end_s:
            gevent.spawn(killer.ask, chance.choice(self.site.gateways))
            gevent.sleep(chance.uniform(*KILLER_PAUSE_S))

    def _store_fault(self, name, value, healed):
        now_s, length_s = elapsed_ms() / 1000, self._length_s()
        self.site.store_faults.append((now_s, now_s + length_s))
        setattr(self.site.store.faults, name, value)
        self.site.store.wake()
        gevent.spawn_later(length_s, setattr, self.site.store.faults, name, healed)

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
        """Have the store be away in a while, and come back as it is now."""
        self.later(self._drill, self.site.store.copy())

    def _drill(self, copy):
        away_s, now_s = self.random.uniform(*AWAY_S), elapsed_ms() / 1000
        self.site.store_faults.append((now_s, now_s + away_s))
        self.site.store.faults.refuse = 503
        gevent.sleep(away_s)
        restore_store(self.site.store, copy, watches_end=self.random.random() < 0.5)
        self.site.store.faults.refuse = 0

    def upstream_limits(self):
        """Have one name a limit from now on."""
        upstream = self._some_upstream()
        limited = [one for one in self.site.upstreams.values() if one.behaviour.limit]
        if upstream is not None and upstream not in limited and len(limited) < MOST_LIMITED:
            upstream.behaviour.limit = f"{self.random.uniform(*LIMITS):.1f}"

    def _some_upstream(self):
        alive = [
            upstream
            for upstream in self.site.upstreams.values()
            if ("servers", upstream.server_id) in self.site.store.objects
            and upstream.crashed_s is None
            and not upstream.behaviour.leaving
        ]
        return self.random.choice(alive) if len(alive) > 4 else None

    def upstream_ends(self):
        upstream = self._some_upstream()
        if upstream is not None and upstream.service == KEYED:
            upstream.crash()
            self.later(self.site.drop_record, upstream)
            self.later(self.site.start_upstream, upstream.service)

    def upstream_leaves(self):
        upstream = self._some_upstream()
        if upstream is not None:
            record = upstream.record(upstream.service, state="draining")
            self.site.store.put("servers", upstream.server_id, *record)
            gevent.spawn_later(4.0, self.site.drop_record, upstream)
            self.later(self.site.start_upstream, upstream.service)

    def upstream_says_it_leaves(self):
        """Have one say so in its answers; the store is told later, and then it ends."""
        upstream = self._some_upstream()
        if upstream is not None:
            upstream.behaviour.leaving = True
            self.site.start_upstream(upstream.service)
            self.later(self._leave_for_good, upstream)

    def _leave_for_good(self, upstream):
        record = upstream.record(upstream.service, state="draining")
        if upstream.crashed_s is None:
            self.site.store.put("servers", upstream.server_id, *record)
            gevent.spawn_later(4.0, self.site.drop_record, upstream)

    def upstream_rests(self):
        """Have one turn requests away and ask for rest, for a while."""
        upstream = self._some_upstream()
        if upstream is not None:
            upstream.behaviour.backoff_s = self.random.uniform(*REST_S)
            self.later(setattr, upstream.behaviour, "backoff_s", 0.0)

    def upstream_reborn(self):
        """Have one crash and start again under its id, at its address or elsewhere."""
        upstream = self._some_upstream()
        if upstream is not None:
            pause_s, elsewhere = self.random.uniform(*REBIRTH_S), self.random.random() < 0.7
            self._tasks.append(
                gevent.spawn(self.site.restart_upstream, upstream, pause_s, elsewhere)
            )

    def odd_entry(self):
        """Have another writer put an entry, or write over one of an upstream for a while."""
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
        faults = self.site.store.faults
        faults.refuse = faults.lose_answers = 0
        faults.silent = False
        faults.delay_s = 0.0
        for gateway in self.site.gateways:
            gateway.signal(signal.SIGCONT)
