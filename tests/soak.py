"""Randomized faults and planned work for real gateway processes with stand-ins around them.

    python -m tests.soak --seconds 300 --seed 1
    python -m tests.soak --planned --seeds 100:150 --jobs 2

Clients send requests that may run at most once, each with its own id, on new and on kept
connections, two at once, or with the sending side closed after the request.

Faults are drawn at random: processes are killed or frozen, and for every second node a freeze also
stops the monotonic clock, as a suspension of the machine does; the store is unavailable or slow,
or loses answers or its history; upstreams crash, leave and join; and requests crash the upstreams
that run them and are repeated.

Planned work consists of stops in overlapping series, each with a kill after the grace time and a
restart, repeated SIGTERM, SIGHUP and new configurations.

With ``--planned`` there is planned work only. With ``--sound-store`` the store has no faults, so
that more of the behaviour of connected nodes is judged. With ``--wishes`` upstreams also announce
their leaving or ask for backoff in their answers and start again under their ids, and other
writers store malformed entries. With ``--crowds`` many callers send a crashing request at the same
time. With ``--bursts`` many clients come for a short time, repeat at once what is rejected, and
some leave early. With ``--drills`` the store is restored from its own copies, and upstreams
announce rate limits. With ``--failures`` upstreams end a part of what they run with error statuses.

At the end all faults are healed, and the run is judged from records alone. The exit code is 1 when
a promise was broken; the logs of the gateways are kept then.
"""

import os
import random
import shutil
import signal
import subprocess
import sys
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import click
import gevent
from gevent.pool import Pool

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.simulation.keys.server import SAMPLE_KEYS
from tests.standin.clients import Load
from tests.standin.fault_injection import FAULT_DURATION_S, FaultKinds, Faults, PlannedWork
from tests.standin.site import PORTS_VARIABLE, StandinSite
from tests.standin.verdict import Verdict, judge_soak

DRAWN_GATEWAYS = (3, 4, 6, 8, 12)
CLIENTS = (18, 4, 96)  # minimum, number for each gateway, maximum
START_LIMIT_S = 60.0
SETTLE_S = FAULT_DURATION_S[1] + 3.0
RECOVERY_LIMIT_S = 40.0
RECOVERY_CALLS = 8  # concurrent requests
SEED_MARGIN_S = 180.0  # time limit of one seed beyond the time of its faults
JOB_PORTS = 4000


@dataclass
class Soak:
    """The result of a soak, whose site is still running."""

    site: StandinSite
    load: Load
    faults: Faults
    planned: PlannedWork
    verdict: Verdict
    unserved: int  # pairs of a gateway and a key that were not served at the end

    @property
    def found(self):
        unserved = [f"{self.unserved} pairs of gateway and key are not served again"]
        return (unserved if self.unserved else []) + self.verdict.found

    @property
    def seen(self):
        """Number of times that each fault and each kind of planned work occurred."""
        return self.faults.seen + self.planned.seen


def draw_gateway_count(seed):
    """Return the number of gateways that a seed draws."""
    return random.Random(f"{seed} gateways").choice(DRAWN_GATEWAYS)


def make_site(gateways):
    """Start a site with numbers of servers that suit its number of clients."""
    keyed, plain = max(4, gateways * 2 // 3), max(2, gateways // 3)
    return StandinSite(gateways, min(keyed, 32), min(plain, 16))


def await_start(site):
    """Wait until every gateway serves, for at most ``START_LIMIT_S``."""
    gevent.sleep(4.0)
    end_s = elapsed_ms() / 1000 + START_LIMIT_S
    while elapsed_ms() / 1000 < end_s and not all(gateway.started() for gateway in site.gateways):
        gevent.sleep(0.2)


def unserved_pairs(site, load):
    """Return the number of pairs of a gateway and a key that are not served."""
    pairs = [(gateway, key) for gateway in site.gateways for key in SAMPLE_KEYS]
    statuses = Pool(RECOVERY_CALLS).map(lambda pair: load.ask(*pair), pairs)
    return sum(status != 200 for status in statuses)


def await_recovery(site, load):
    """Wait until every gateway serves every key; return the number of pairs left unserved."""
    end_s = elapsed_ms() / 1000 + RECOVERY_LIMIT_S
    while (unserved := unserved_pairs(site, load)) and elapsed_ms() / 1000 < end_s:
        gevent.sleep(0.5)
    return unserved


def soak(seconds, seed, gateways=3, **kinds):
    """Run one soak. The caller closes the site of the result; on an exception it is closed here."""
    site = make_site(gateways)
    try:
        return _soak(site, seconds, seed, FaultKinds(**kinds))
    except BaseException:
        site.close()
        raise


def _soak(site, seconds, seed, kinds):
    load = Load(site, seed)
    planned = PlannedWork(site, seed)
    faults = Faults(site, seed, planned, kinds)
    await_start(site)
    minimum, per_gateway, maximum = CLIENTS
    count = min(max(minimum, per_gateway * len(site.gateways)), maximum)
    clients = [gevent.spawn(load.run, number) for number in range(count)]
    clients += [gevent.spawn(load.run_bursts)] if kinds.bursts else []
    injection = gevent.spawn(planned.run if kinds.planned_only else faults.run)
    gevent.sleep(seconds)
    injection.kill()
    planned.end()
    if not kinds.planned_only:
        gevent.sleep(SETTLE_S)
        faults.heal()
    planned.settle(SETTLE_S)
    gevent.killall(clients)
    unserved = await_recovery(site, load)
    return Soak(site, load, faults, planned, judge_soak(site, load, faults), unserved)


def summary(seed, result):
    """Return a summary of a soak in one line."""
    statuses = Counter(status for status, _ in result.load.answers.values())
    verdict = result.verdict
    return (
        f"seed {seed}: {f'FAILED, {len(result.found)} found' if result.found else 'passed'}; "
        f"gateways {len(result.site.gateways)}, requests {result.load.count}, "
        f"answers {dict(sorted(statuses.items()))}, refused {result.load.refused}; "
        f"under stops {verdict.judged} judged, {verdict.lost} lost, {verdict.exempt} exempt, "
        f"{verdict.excused} excused; unanswered that reached no upstream {verdict.reached_none} "
        f"(met the end of listening {verdict.met_end_of_listening}), "
        f"untaken {verdict.unacknowledged}; "
        f"stops {verdict.stops}, busy {verdict.busy_stops} (requests {verdict.busy_requests}), "
        f"killed after grace {verdict.killed_after_grace}; "
        f"requests that end servers {verdict.crashing_requests}: ends {verdict.crashes}, "
        f"sends {verdict.crashing_sends}, late {verdict.late_sends}, held {verdict.quarantined}; "
        f"said that they leave {verdict.leaving}, rests asked for {verdict.backoffs}, "
        f"named limits {verdict.limited}; "
        f"bursts {result.load.bursts}, left early {verdict.left} "
        f"(on for over 100 ms {verdict.left_behind})"
    )


def run_one(seconds, seed, gateways, kinds, keep_logs):
    """Run one seed and print its result; return whether it passed."""
    result = soak(seconds, seed, gateways or draw_gateway_count(seed), **kinds)
    try:
        click.echo(summary(seed, result))
        click.echo(f"  trouble {dict(result.seen)}")
        for sentence in result.found[:20]:
            click.echo(f"  {sentence}")
        if result.found and keep_logs:
            shutil.copytree(result.site.folder.name, keep_logs, dirs_exist_ok=True)
        return not result.found
    finally:
        result.site.close()


def run_seed_in_process(seed, options, slot, keep_logs):
    """Run one seed in a separate process; return its output and whether it passed."""
    command = [sys.executable, "-m", "tests.soak", "--seed", str(seed), *options]
    if keep_logs:
        command += ["--keep-logs", str(Path(keep_logs) / f"seed-{seed}")]
    environment = {**os.environ, PORTS_VARIABLE: str(slot * JOB_PORTS)}
    process = subprocess.Popen(
        command, env=environment, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
    )
    try:
        output = gevent.get_hub().threadpool.apply(process.communicate)[0]
    finally:
        if process.poll() is None:  # on SIGTERM it ends its own child processes
            process.send_signal(signal.SIGTERM)
    return output, process.returncode == 0


def run_seeds(seeds, options, jobs, keep_logs):
    """Run seeds in parallel and print a line for each; return the number that failed."""
    waiting, failed = list(reversed(seeds)), []

    def work(slot):
        while waiting:
            seed = waiting.pop()
            output, passed = run_seed_in_process(seed, options, slot, keep_logs)
            lines = output.splitlines() or ["no output"]
            first = next((line for line in lines if line.startswith("seed ")), None)
            click.echo(first or f"seed {seed}: FAILED, did not end: {lines[-1]}")
            if not passed:
                failed.append(seed)
                click.echo("\n".join(line for line in lines[2:5]))

    workers = [gevent.spawn(work, slot) for slot in range(jobs)]
    try:
        gevent.joinall(workers, raise_error=True)
    finally:
        gevent.killall(workers)
    click.echo(f"{len(seeds)} seeds, {len(failed)} failed: {sorted(failed)}")
    return len(failed)


def handle_sigterm():
    """Have SIGTERM end this program through its clean-up; return the main greenlet."""
    main_task = gevent.getcurrent()
    gevent.signal_handler(signal.SIGTERM, lambda: gevent.kill(main_task, SystemExit(143)))
    return main_task


@click.command()
@click.option("--seconds", default=60.0, show_default=True, help="How long faults come.")
@click.option("--seed", default=1, show_default=True)
@click.option("--seeds", help="Run many seeds, FIRST:END, each in a process of its own.")
@click.option("--jobs", default=1, show_default=True, help="Seeds side by side (at most 4).")
@click.option("--gateways", type=int, help="Processes; otherwise the seed draws 3 to 12.")
@click.option("--planned", is_flag=True, help="Planned work only: stops, SIGHUP, configurations.")
@click.option("--sound-store", is_flag=True, help="No faults of the store.")
@click.option("--wishes", is_flag=True, help="Upstreams that leave, rest, are reborn; odd entries.")
@click.option("--crowds", is_flag=True, help="Many callers ask at once for what ends upstreams.")
@click.option("--bursts", is_flag=True, help="Short bursts of clients that repeat or leave early.")
@click.option("--drills", is_flag=True, help="The store comes back from copies; rate limits.")
@click.option("--failures", is_flag=True, help="Upstreams that run requests and fail them.")
@click.option("--keep-logs", type=click.Path(file_okay=False), help="Where logs go if it fails.")
def main(seconds, seed, seeds, jobs, gateways, planned, keep_logs, **kinds):
    main_task = handle_sigterm()
    if seeds:
        first, _, end = seeds.partition(":")
        options = ["--seconds", str(seconds), *(["--planned"] if planned else [])]
        options += [f"--{name.replace('_', '-')}" for name, asked in kinds.items() if asked]
        options += ["--gateways", str(gateways)] if gateways else []
        jobs = min(jobs, 4)
        sys.exit(1 if run_seeds(range(int(first), int(end)), options, jobs, keep_logs) else 0)
    limit_s = seconds + SEED_MARGIN_S
    gevent.spawn_later(limit_s, gevent.kill, main_task, SystemExit(f"not over after {limit_s} s"))
    kinds = {"planned_only": planned, **kinds}
    sys.exit(0 if run_one(seconds, seed, gateways, kinds, keep_logs) else 1)


if __name__ == "__main__":
    main()
