"""Keeps requests away from servers that ended under them, as far as this node saw it.

The same decision as in gateways (:mod:`ploverhatch.quarantine`). Nodes of a cell don't
tell each other, so each one learns for itself.
"""

from collections.abc import Iterable

from ploverhatch.common import results
from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.logs import PartLogger
from ploverhatch.common.results import RefusedError, Result
from ploverhatch.common.signal import Signal
from ploverhatch.quarantine.fingerprint import Fingerprint, fingerprint, short_digest
from ploverhatch.quarantine.ledger import CrashLedger
from ploverhatch.quarantine.record import CrashEvent
from ploverhatch.quarantine.trials import Trials

LOG = PartLogger("quarantine")

TRIAL_WAIT_MS = 250.0  # a request waits so long for the trial of another copy of it
TRIAL_AFTER_S = 0.25  # its caller may come back after so long


class GuardedRequest:
    """What the guard needs to know of a request; its digests are made when they are needed."""

    def __init__(
        self, target: str, body: bytes, content: Iterable[str], caller: Iterable[str]
    ) -> None:
        self._target = target.encode()
        self._body = body
        self._content = tuple(content)
        self._caller = tuple(caller)
        self._fingerprint: Fingerprint | None = None

    @property
    def short_digest(self) -> bytes:
        """What few other requests share."""
        return short_digest(self._target, self._body)

    @property
    def fingerprint(self) -> Fingerprint:
        """What tells the same request apart."""
        if self._fingerprint is None:
            content = (*(part.encode() for part in self._content), self._target, self._body)
            caller = [part.encode() for part in self._caller]
            self._fingerprint = fingerprint(self.short_digest, content, caller)
        return self._fingerprint


class CrashGuard:
    """What one node saw of servers that ended under requests."""

    def __init__(self) -> None:
        self._ledger = CrashLedger()
        self._trials = Trials()
        self._changed = Signal()

    def check(self, request: GuardedRequest, may_have_run: bool) -> None:
        """Let a request be sent; wait for a while where another copy of it is on trial.

        One copy at a time, once a server has ended under it and until it is answered: else
        all that callers ask meanwhile goes to the next owner at once, and after it to a third.

        :raises RefusedError: when it is held, or the trial takes too long.
        """
        until_ms = elapsed_ms() + TRIAL_WAIT_MS
        while not self.allows(request, may_have_run):
            left_ms = until_ms - elapsed_ms()
            if left_ms <= 0:
                raise _refusal(results.ON_TRIAL, may_have_run, TRIAL_AFTER_S)
            self._changed.wait(left_ms / 1000)

    def allows(self, request: GuardedRequest, may_have_run: bool) -> bool:
        """Whether a request may be sent now; false while another copy is on trial.

        :raises RefusedError: when it is held.
        """
        if not self._ledger.may_contain(request.short_digest):
            return True
        content, now_ms = request.fingerprint.request_digest, elapsed_ms()
        hold = self._ledger.decide(request.fingerprint)
        left_s = (hold.until_ms - now_ms) / 1000 if hold else 0.0
        if left_s > 0:
            raise _refusal(results.QUARANTINED, may_have_run, left_s)
        if hold is None and not self._ledger.is_suspect(content):
            return True
        return self._trials.acquire(content, request, now_ms) == 0.0

    def note_finished(self, request: GuardedRequest) -> None:
        """A request has ended, so that another copy may be sent."""
        if len(self._trials):
            self._trials.release(request.fingerprint.request_digest, request)
            self._changed.raise_()

    def note_answer(self, request: GuardedRequest) -> None:
        """A server has answered a request."""
        if self._ledger.may_contain(request.short_digest):
            self._ledger.note_answer(request.fingerprint, elapsed_ms())
            self._changed.raise_()

    def note_crash(self, request: GuardedRequest, server: str, sent_ms: float) -> None:
        """A server's process was gone when its answer was missed."""
        now_ms = elapsed_ms()
        self._ledger.expire(now_ms)
        LOG.warning("Server ended under a request.", content=request.fingerprint, server=server)
        # Servers keep their names over lives; the time tells these apart.
        end = CrashEvent(
            f"{server}@{now_ms:.0f}", request.fingerprint.caller_digest, "", sent_ms, now_ms
        )
        self._ledger.note_crash(request.fingerprint.request_digest, end)
        self._changed.raise_()


def _refusal(result: Result, may_have_run: bool, after_s: float) -> RefusedError:
    if may_have_run:
        result = results.ANSWER_LOST
    return RefusedError(result, "servers ended under it", after_s)
