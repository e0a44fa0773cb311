"""Availability for callers while servers leave, ask for backoff, or restart.

    python -m benchmarks.wishes

Four gateway processes run on this machine, with stand-ins of the store, of four servers with keys
and of four without. The output is the fraction of requests served before, during and after the
event, the number of requests that reached a leaving server too late, and the number of backoffs
during which more than two requests arrived.
"""

import sys
from collections.abc import Callable

import gevent

from tests.functional.test_servers_that_leave_or_rest import Scenario, now_s
from tests.standin.notice_checks import backoffs, ignored_backoffs, late_to_leaving
from tests.standin.site import KEYED, PLAIN, StandinSite

BEFORE_S, MEANWHILE_S, AFTERWARDS_S = 2.0, 6.0, 4.0
BACKOFF_S = 3.0


def leave(scenario, service):
    scenario.busiest()[service == KEYED].behaviour.leaving = True


def back_off(scenario, service):
    upstream = scenario.busiest()[service == KEYED]
    upstream.behaviour.backoff_s = BACKOFF_S
    gevent.spawn_later(MEANWHILE_S - BACKOFF_S, setattr, upstream.behaviour, "backoff_s", 0.0)


def all_back_off(scenario, service):
    for upstream in scenario.upstreams(service):
        upstream.behaviour.backoff_s = BACKOFF_S
        gevent.spawn_later(MEANWHILE_S - BACKOFF_S, setattr, upstream.behaviour, "backoff_s", 0.0)


def restart(scenario, service):
    gevent.spawn(scenario.site.restart_upstream, scenario.busiest()[service == KEYED], 0.2)


CASES: list[tuple[str, Callable, str]] = [
    ("one of four leaves", leave, PLAIN),
    ("one of four leaves", leave, KEYED),
    ("one of four rests", back_off, PLAIN),
    ("one of four rests", back_off, KEYED),
    ("all rest", all_back_off, PLAIN),
    ("all rest", all_back_off, KEYED),
    ("one is reborn elsewhere", restart, KEYED),
]


def measure(name, act, service):
    """Run one case and print a line with its results."""
    scenario = Scenario(StandinSite(4, keyed=4, plain=4))
    try:
        scenario.begin()
        first_s = now_s()
        gevent.sleep(BEFORE_S)
        start_s = now_s()
        act(scenario, service)
        gevent.sleep(MEANWHILE_S)
        end_s = now_s()
        gevent.sleep(AFTERWARDS_S)
        scenario.stop_callers()
        served = [
            scenario.served(service, *span)
            for span in ((first_s, start_s), (start_s, end_s), (end_s, now_s()))
        ]
        late, ignored = (
            late_to_leaving(scenario.site, scenario.sent),
            ignored_backoffs(scenario.site, scenario.sent),
        )
        asked = len(backoffs(scenario.site, scenario.sent))
        shares = " ".join(f"{share:.3f}" for share in served)
        count = len(scenario.asked(service, start_s, end_s))
        print(
            f"{name}, {service}: served {shares} of {count} meanwhile; "
            f"late {len(late)}, rests {asked}, broken {len(ignored)}"
        )
    finally:
        scenario.close()


def main():
    """Run all cases."""
    print("served before, meanwhile, afterwards")
    for case in CASES:
        measure(*case)
        sys.stdout.flush()


if __name__ == "__main__":
    main()
