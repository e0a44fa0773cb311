"""Carries out a planned stop (graceful shutdown) in the order and at the times of its plan."""

from collections.abc import Callable

import gevent

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.logs import PartLogger
from ploverhatch.gateway.caller_server import FIRST_REQUEST_S, CallerServer
from ploverhatch.gateway.forwarder import Forwarder
from ploverhatch.gateway.peer_server import PeerServer
from ploverhatch.gateway.shared_slots import (
    SharedSlots,
)
from ploverhatch.routing.planned_stop import PlannedStop

LOG = PartLogger("gateway")

POLL_S = 0.1  # interval of checks of the callers' connections


class StopSequence:
    """One stop: serves what callers still send, then answers the requests that are left.

    :param peers: serves requests that other nodes sent on to this one.
    :param leave: ends this node's duties towards the other nodes, such as leading.
    """

    def __init__(
        self,
        plan: PlannedStop,
        callers: CallerServer,
        peers: PeerServer,
        forwarder: Forwarder,
        slots: SharedSlots,
        leave: Callable[[], None],
    ) -> None:
        self._plan = plan
        self._callers = callers
        self._peers = peers
        self._forwarder = forwarder
        self._slots = slots
        self._leave = leave

    def run(self) -> None:
        """Carry out the stop; return when the process may end."""
        callers = self._callers
        self._forwarder.planned_stop = self._plan
        callers.draining = True
        self._slots.dispatch.leaving = True
        self._slots.dispatch.redirect_waiting()
        LOG.info("Stopping.", busy=callers.busy, connections=callers.open_connections)
        leaving = gevent.spawn(self._leave)
        self._sleep_until(self._plan.admission_cutoff_ms)
        self._await_empty(self._plan.listening_until_ms)
        # While new connections arrive, there is never a moment without connections, and the
        # process would end with requests under way. So it stops listening here. If connections
        # still arrive, the kernel resets those whose handshakes are under way; their number is
        # unknown.
        quiet_ms = callers.quiet_ms
        callers.stop()
        self._await_empty(self._plan.answered_by_ms)
        callers.ending = True
        given_up = self._forwarder.end_in_flight()
        self._await_empty(self._plan.end_ms)
        leaving.join(self._left_s(self._plan.end_ms))
        self._log_stopped(given_up, quiet_ms)

    def _left_s(self, until_ms: float) -> float:
        return max(0.0, (until_ms - elapsed_ms()) / 1000)

    def _sleep_until(self, until_ms: float) -> None:
        """Sleep in short intervals, since a suspension of the machine delays timers.

        The platform's time for the stop also counts suspensions.
        """
        while elapsed_ms() < until_ms:
            gevent.sleep(min(POLL_S, self._left_s(until_ms)))

    def _await_empty(self, until_ms: float) -> None:
        """Close idle connections until no caller is connected, or until the given time.

        Requests that other nodes sent on are awaited too.
        """
        while elapsed_ms() < until_ms and (self._callers.open_connections or self._peers.busy):
            self._callers.close_idle(FIRST_REQUEST_S)
            gevent.sleep(POLL_S)

    def _log_stopped(self, given_up: int, quiet_ms: float) -> None:
        self._callers.log_open_requests()
        counts, answers = self._callers.stop_counts, self._callers.answers
        LOG.info(
            "Stopped.",
            busy=self._callers.busy,
            given_up=given_up,
            took_ms=round(elapsed_ms() - self._plan.begun_ms),
            connections=self._callers.open_connections,
            opened=counts.opened,
            first=counts.first,
            later=counts.later,
            closed=counts.closed,
            crossed=counts.crossed,
            quiet_ms=round(quiet_ms),
            taken=answers.taken,
            untaken=answers.untaken,
            unknown=answers.unknown,
        )
