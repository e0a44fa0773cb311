"""Quarantines requests that crash back ends, based on the crashes that this node observed.

The decision is the same as in gateways (:mod:`ploverhatch.quarantine`). Nodes of a cell do
not exchange their observations, so each node decides on its own observations.
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

TRIAL_WAIT_MS = 250.0  # how long a request waits for the trial of another copy
TRIAL_RETRY_AFTER_S = 0.25  # retry time for the caller of a request refused because of a trial


class GuardedRequest:
    """A request as the guard sees it; its digests are computed on demand."""

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
        """The short digest, which few other requests share."""
        return short_digest(self._target, self._body)

    @property
    def fingerprint(self) -> Fingerprint:
        """The fingerprint, which is equal for copies of the same request."""
        if self._fingerprint is None:
            content = (*(part.encode() for part in self._content), self._target, self._body)
            caller = [part.encode() for part in self._caller]
            self._fingerprint = fingerprint(self.short_digest, content, caller)
        return self._fingerprint


class CrashGuard:
    """Records the crashes of back ends, and decides whether requests may be sent."""

    def __init__(self) -> None:
        self._ledger = CrashLedger()
        self._trials = Trials()
        self._changed = Signal()

    def check(self, request: GuardedRequest, may_have_run: bool) -> None:
        """Wait until a request may be sent, that is, until no other copy of it is on trial.

        Once a back end has crashed while it ran a request, only one copy at a time is sent
        until a copy is answered: otherwise all waiting copies would go to the next owner
        together and, after its crash, to the owner after that.

        :raises RefusedError: the request is quarantined, or the trial of another copy
            takes longer than ``TRIAL_WAIT_MS``.
        """
        until_ms = elapsed_ms() + TRIAL_WAIT_MS
        while not self.allows(request, may_have_run):
            remaining_ms = until_ms - elapsed_ms()
            if remaining_ms <= 0:
                raise _refusal(results.ON_TRIAL, may_have_run, TRIAL_RETRY_AFTER_S)
            self._changed.wait(remaining_ms / 1000)

    def allows(self, request: GuardedRequest, may_have_run: bool) -> bool:
        """Tell whether a request may be sent now; false while another copy is on trial.

        A request that may be sent only as a trial becomes the copy on trial.

        :raises RefusedError: the request is quarantined.
        """
        if not self._ledger.may_contain(request.short_digest):
            return True
        digest, now_ms = request.fingerprint.request_digest, elapsed_ms()
        decision = self._ledger.decide(request.fingerprint)
        remaining_s = (decision.until_ms - now_ms) / 1000 if decision else 0.0
        if remaining_s > 0:
            raise _refusal(results.QUARANTINED, may_have_run, remaining_s)
        if decision is None and not self._ledger.is_suspect(digest):
            return True
        return self._trials.acquire(digest, request, now_ms) == 0.0

    def note_finished(self, request: GuardedRequest) -> None:
        """Note that a request has finished, so that another copy may be sent."""
        if len(self._trials):
            self._trials.release(request.fingerprint.request_digest, request)
            self._changed.raise_()

    def note_answer(self, request: GuardedRequest) -> None:
        """Note that a back end has answered a request."""
        if self._ledger.may_contain(request.short_digest):
            self._ledger.note_answer(request.fingerprint, elapsed_ms())
            self._changed.raise_()

    def note_crash(self, request: GuardedRequest, server: str, sent_ms: float) -> None:
        """Note that the process of a back end ended before it answered a request."""
        now_ms = elapsed_ms()
        self._ledger.expire(now_ms)
        LOG.warning(
            "Server crashed while it ran a request.", content=request.fingerprint, server=server
        )
        # Back ends keep their names when they restart; the time distinguishes incarnations.
        crash = CrashEvent(
            f"{server}@{now_ms:.0f}", request.fingerprint.caller_digest, "", sent_ms, now_ms
        )
        self._ledger.note_crash(request.fingerprint.request_digest, crash)
        self._changed.raise_()


def _refusal(result: Result, may_have_run: bool, retry_after_s: float) -> RefusedError:
    if may_have_run:
        result = results.ANSWER_LOST
    return RefusedError(result, "servers ended under it", retry_after_s)
