"""What callers get while servers leave, rest, or start again: before, meanwhile, afterwards.

    python -m benchmarks.wishes

Four gateway processes, four servers with keys and four without, stand-ins of both store and
servers, in processes of this machine. Shares of requests served, per phase; requests that
came too late to a server that leaves; rests in which more than two came.
"""

import sys
from collections.abc import Callable

import gevent

from tests.functional.test_servers_that_leave_or_rest import Scenario, now_s
from tests.standin.notice_checks import backoffs, ignored_backoffs, late_to_leaving
from tests.standin.site import KEYED, PLAIN, StandinSite

BEFORE_S, MEANWHILE_S, AFTERWARDS_S = 2.0, 6.0, 4.0
REST_S = 3.0


def leave(play, service):
    play.busiest()[service == KEYED].behaviour.leaving = True


def rest(play, service):
    upstream = play.busiest()[service == KEYED]
    upstream.behaviour.backoff_s = REST_S
    gevent.spawn_later(MEANWHILE_S - REST_S, setattr, upstream.behaviour, "backoff_s", 0.0)


def all_rest(play, service):
    for upstream in play.upstreams(service):
        upstream.behaviour.backoff_s = REST_S
        gevent.spawn_later(MEANWHILE_S - REST_S, setattr, upstream.behaviour, "backoff_s", 0.0)


def reborn(play, service):
    gevent.spawn(play.site.restart_upstream, play.busiest()[service == KEYED], 0.2)


CASES: list[tuple[str, Callable, str]] = [
    ("one of four leaves", leave, PLAIN),
    ("one of four leaves", leave, KEYED),
    ("one of four rests", rest, PLAIN),
    ("one of four rests", rest, KEYED),
    ("all rest", all_rest, PLAIN),
    ("all rest", all_rest, KEYED),
    ("one is reborn elsewhere", reborn, KEYED),
]


def measure(name, act, service):
    """Run one case and print its line."""
    play = Scenario(StandinSite(4, keyed=4, plain=4))
    try:
        play.begin()
        first_s = now_s()
        gevent.sleep(BEFORE_S)
        start_s = now_s()
        act(play, service)
        gevent.sleep(MEANWHILE_S)
        end_s = now_s()
        gevent.sleep(AFTERWARDS_S)
        play.stop_callers()
        served = [
            play.served(service, *span)
            for span in ((first_s, start_s), (start_s, end_s), (end_s, now_s()))
        ]
        late, broken = late_to_leaving(play.site, play.sent), ignored_backoffs(play.site, play.sent)
        asked = len(backoffs(play.site, play.sent))
        shares = " ".join(f"{share:.3f}" for share in served)
        count = len(play.asked(service, start_s, end_s))
        print(
            f"{name}, {service}: served {shares} of {count} meanwhile; "
            f"late {len(late)}, rests {asked}, broken {len(broken)}"
        )
    finally:
        play.close()


def main():
    """Run all cases."""
    print("served before, meanwhile, afterwards")
    for case in CASES:
        measure(*case)
        sys.stdout.flush()


if __name__ == "__main__":
    main()
